// Package spender limits the rate of an organisation's operations on one host
// with token buckets, within the host's share of the organisation's rate and
// burst.
//
// A share is the sum of two fractions. The base is an equal split between hosts
// of a small fraction of the rate; it needs no lease, so a host that is cut off
// from all control hosts still serves. The extra follows demand, is granted by
// the leading control host and expires with its lease. All bases and extras
// together never exceed the rate.
//
// # Usage
//
//	s := &spender.Spender{Now: timer.Now}
//	s.SetHostCount(6)
//	s.ApplyGrant(3, map[string]float64{"prairie_1": 0.2}, leaseEnd)
//	admission := s.Admit(organisation, 250*time.Millisecond)
//	report := s.Report()
package spender

import (
	"math"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

const (
	// BaseFraction is the fraction of a rate that hosts hold together without a
	// lease.
	BaseFraction = 0.05
	// demandTimeConstant is the time constant of the exponential average of
	// demand.
	demandTimeConstant = 2 * time.Second
	// startupPeriod is the time after its start during which a host also
	// receives the burst of its first extras. The rate that its previous
	// incarnation left unspent while the host was down compensates for it.
	startupPeriod = 5 * time.Second
	// minExhaustedInterval is the minimum time between two calls of OnExhausted.
	minExhaustedInterval = 200 * time.Millisecond
	// grantTimeout is the time without a grant, two report intervals, after
	// which none is expected.
	grantTimeout = 2 * time.Second
	// maxRetryAfter bounds the suggested retry delay of a refused operation:
	// after the next report the host may get a larger share.
	maxRetryAfter = time.Second
	// keptFraction is the fraction of an old extra below which a new one counts
	// as a reduction.
	keptFraction = 0.8
	// minBurst lets a host with a small share admit single operations.
	minBurst = 1
)

// Spender holds a host's token buckets. It is safe for concurrent use.
type Spender struct {
	// Now returns the time of a clock that keeps running while the machine is
	// suspended.
	Now func() time.Time
	// OnExhausted is called when an operation finds no token, at most every 200
	// ms. It must not block, and it may be nil.
	OnExhausted func()

	mu sync.Mutex
	// startedAt is the time of the first use.
	startedAt   time.Time
	exhaustedAt time.Time
	// nextGrant is closed by the next grant.
	nextGrant   chan struct{}
	hosts       int
	grantNumber uint64
	// grantedAt is the time of the newest grant.
	grantedAt time.Time
	extras    map[string]float64
	leaseEnd  time.Time
	buckets   map[string]*bucket
}

type bucket struct {
	tokens float64
	// burst is the organisation's burst, summed over all hosts.
	burst      float64
	refilledAt time.Time
	demand     float64
}

// Report is the state of a host's shares that it sends to the leading control
// host.
type Report struct {
	// GrantNumber is the number of the newest grant applied.
	GrantNumber uint64 `json:"grant"`
	// Demands are the operations per second of each organisation, refused ones
	// included.
	Demands map[string]float64 `json:"demands,omitempty"`
	// Extras are the granted fractions of the rates that the host may use.
	Extras map[string]float64 `json:"extras,omitempty"`
}

// SetHostCount sets the number of hosts between which the bases are split.
func (s *Spender) SetHostCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = n
	s.isStarting(s.Now())
}

// ApplyGrant replaces the extras, which expire at leaseEnd. It reports whether an
// extra was reduced: the leading control host must learn of that, as it may
// then grant the difference to others.
func (s *Spender) ApplyGrant(number uint64, extras map[string]float64, leaseEnd time.Time) (reduced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if s.isStarting(now) {
		for name, fraction := range extras {
			if b := s.buckets[name]; b != nil && s.extras[name] == 0 {
				b.tokens += b.burst * fraction
			}
		}
	}
	for name, fraction := range s.extras {
		reduced = reduced || extras[name] < keptFraction*fraction
	}
	s.grantNumber, s.grantedAt, s.extras, s.leaseEnd = number, now, extras, leaseEnd
	if s.nextGrant != nil {
		close(s.nextGrant)
		s.nextGrant = nil
	}
	return reduced
}

// PendingGrant returns a channel that is closed by the next grant if one with a
// share for the organisation is probably on its way: the host has just started,
// or it has no extra and control hosts send grants. Otherwise it returns nil.
func (s *Spender) PendingGrant(organisation string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	expected := s.extras[organisation] == 0 && !s.grantedAt.IsZero() && now.Sub(s.grantedAt) < grantTimeout
	if !expected && !s.isStarting(now) {
		return nil
	}
	if s.nextGrant == nil {
		s.nextGrant = make(chan struct{})
	}
	return s.nextGrant
}

// isStarting reports whether the host has just started. Its first call sets the
// start time.
func (s *Spender) isStarting(now time.Time) bool {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	return now.Sub(s.startedAt) < startupPeriod
}

// share returns the fraction of an organisation's rate that the host may use.
func (s *Spender) share(organisation string, now time.Time) float64 {
	share := BaseFraction / float64(max(1, s.hosts))
	if now.Before(s.leaseEnd) {
		share += s.extras[organisation]
	}
	return share
}

// Admission is the decision on one operation.
type Admission struct {
	// Admitted is false when no token was spent. The operation may then be
	// retried after RetryAfter.
	Admitted   bool
	RetryAfter time.Duration
	// Wait is the time by which an admitted operation must be delayed.
	Wait time.Duration
	// Share is the host's fraction of the rate, and Tokens its tokens before the
	// decision.
	Share  float64
	Tokens float64
}

// Admit takes one token of an organisation. It admits an operation up to
// maxWait before its token is due, which smooths arrivals.
func (s *Spender) Admit(o keeper.Organisation, maxWait time.Duration) Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	share := s.share(o.Name, now)
	rate, burst := o.Rate*share, math.Max(minBurst, o.Burst*share)
	b := s.bucket(o.Name, burst, now)
	b.burst = o.Burst
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.demand = b.demand*math.Exp(-elapsed/demandTimeConstant.Seconds()) + 1/demandTimeConstant.Seconds()
	b.tokens = math.Min(burst, b.tokens+rate*elapsed)
	a := Admission{Share: share, Tokens: b.tokens}
	if b.tokens >= 1 {
		b.tokens--
		a.Admitted = true
		return a
	}
	if s.OnExhausted != nil && now.Sub(s.exhaustedAt) >= minExhaustedInterval {
		s.exhaustedAt = now
		s.OnExhausted()
	}
	if rate <= 0 {
		a.RetryAfter = maxRetryAfter
		return a
	}
	delay := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	if delay > maxWait {
		a.RetryAfter = min(delay, maxRetryAfter)
		return a
	}
	b.tokens--
	a.Admitted, a.Wait = true, delay
	return a
}

func (s *Spender) bucket(name string, burst float64, now time.Time) *bucket {
	if b := s.buckets[name]; b != nil {
		return b
	}
	if s.buckets == nil {
		s.buckets = map[string]*bucket{}
	}
	b := &bucket{tokens: burst, refilledAt: now}
	s.buckets[name] = b
	return b
}

// minReportedDemand is the demand below which reports omit an organisation.
const minReportedDemand = 0.05

// Report returns the host's state for the leading control host.
func (s *Spender) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	r := Report{GrantNumber: s.grantNumber, Demands: map[string]float64{}}
	for name, b := range s.buckets {
		d := b.demand * math.Exp(-now.Sub(b.refilledAt).Seconds()/demandTimeConstant.Seconds())
		if d >= minReportedDemand {
			r.Demands[name] = math.Round(d*100) / 100
		}
	}
	if now.Before(s.leaseEnd) {
		r.Extras = s.extras
	}
	return r
}
