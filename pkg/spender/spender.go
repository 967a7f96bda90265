// Package spender admits an organisation's operations on one host, within the
// host's share of the organisation's rate and burst.
//
// A share has two parts. The base is the host's equal part of a small part of the rate;
// it needs nobody's leave, so that a host without control hosts serves on. The
// extra follows demand, is lent by the leading control host and ends with its
// lease. All bases and extras together never exceed the rate.
//
// # Usage
//
//	s := &spender.Spender{Now: timer.Now}
//	s.SetHosts(6)
//	s.Grant(3, map[string]float64{"prairie_1": 0.2}, until)
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
	// BasePart is the part of a rate that hosts hold without a lease.
	BasePart = 0.05
	// demandWindow is the time constant of the demand's average.
	demandWindow = 2 * time.Second
	// youth is how long after its start a host also takes the burst of its first
	// extras. The rate that an earlier incarnation could not spend while the
	// host was down makes up for it.
	youth = 5 * time.Second
	// starvedInterval is the least time between two calls of Starved.
	starvedInterval = 200 * time.Millisecond
	// grantsCease is the time without a grant after which none is expected: two
	// reports.
	grantsCease = 2 * time.Second
	// maxRetryAfter bounds the time after which a refused operation should come
	// back: with the next report the host may get a larger part.
	maxRetryAfter = time.Second
	// keptPart is the part of an extra below which a smaller one counts as given
	// up.
	keptPart = 0.8
	// minBurst lets a host with a small share serve single operations.
	minBurst = 1
)

// Spender holds a host's buckets. It is safe for concurrent use.
type Spender struct {
	// Now is a clock that counts suspensions.
	Now func() time.Time
	// Starved is called, at most every 200 ms, when an operation finds no
	// token; nil means nobody is told. It must not block.
	Starved func()

	mu sync.Mutex
	// begun is the first use.
	begun   time.Time
	starved time.Time
	// changed is closed by the next grant.
	changed chan struct{}
	hosts   int
	grant   uint64
	// granted is when the newest grant was taken.
	granted time.Time
	extras  map[string]float64
	until   time.Time
	buckets map[string]*bucket
}

type bucket struct {
	level float64
	// burst is the organisation's burst over all hosts.
	burst  float64
	at     time.Time
	demand float64
}

// Report is what the leading control host learns of a host's shares.
type Report struct {
	// Grant is the number of the newest grant taken.
	Grant uint64 `json:"grant"`
	// Demands are operations a second by organisation, refused ones included.
	Demands map[string]float64 `json:"demands,omitempty"`
	// Extras are the lent parts of the rates that the host may spend.
	Extras map[string]float64 `json:"extras,omitempty"`
}

// SetHosts tells over how many hosts the bases are spread.
func (s *Spender) SetHosts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = n
	s.isYoung(s.Now())
}

// Grant replaces the extras. They end at until. It returns true when the host
// gave a part up, which the leading control host must learn.
func (s *Spender) Grant(number uint64, extras map[string]float64, until time.Time) (gaveUp bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if s.isYoung(now) {
		for name, part := range extras {
			if b := s.buckets[name]; b != nil && s.extras[name] == 0 {
				b.level += b.burst * part
			}
		}
	}
	for name, part := range s.extras {
		gaveUp = gaveUp || extras[name] < keptPart*part
	}
	s.grant, s.granted, s.extras, s.until = number, now, extras, until
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return gaveUp
}

// Settling returns a channel that is closed by the next grant while the host's
// part of an organisation's rate is probably on its way: the host has just
// started, or it has none and control hosts answer. It returns nil otherwise.
func (s *Spender) Settling(organisation string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	expected := s.extras[organisation] == 0 && !s.granted.IsZero() && now.Sub(s.granted) < grantsCease
	if !expected && !s.isYoung(now) {
		return nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// isYoung reports whether the host has just started.
func (s *Spender) isYoung(now time.Time) bool {
	if s.begun.IsZero() {
		s.begun = now
	}
	return now.Sub(s.begun) < youth
}

// share returns the part of an organisation's rate that the host may spend.
func (s *Spender) share(organisation string, now time.Time) float64 {
	share := BasePart / float64(max(1, s.hosts))
	if now.Before(s.until) {
		share += s.extras[organisation]
	}
	return share
}

// Admission is the decision on one operation.
type Admission struct {
	// Admitted is false when nothing was spent. The operation may then come
	// back after RetryAfter.
	Admitted   bool
	RetryAfter time.Duration
	// Wait is the time before an admitted operation goes on.
	Wait time.Duration
	// Share is the host's part of the rate, and Level its tokens before the
	// decision.
	Share float64
	Level float64
}

// Admit spends one operation of an organisation. It waits for its token for
// maxWait at most, which evens out arrivals.
func (s *Spender) Admit(o keeper.Organisation, maxWait time.Duration) Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	share := s.share(o.Name, now)
	rate, burst := o.Rate*share, math.Max(minBurst, o.Burst*share)
	b := s.bucket(o.Name, burst, now)
	b.burst = o.Burst
	elapsed := now.Sub(b.at).Seconds()
	b.at = now
	b.demand = b.demand*math.Exp(-elapsed/demandWindow.Seconds()) + 1/demandWindow.Seconds()
	b.level = math.Min(burst, b.level+rate*elapsed)
	a := Admission{Share: share, Level: b.level}
	if b.level >= 1 {
		b.level--
		a.Admitted = true
		return a
	}
	if s.Starved != nil && now.Sub(s.starved) >= starvedInterval {
		s.starved = now
		s.Starved()
	}
	if rate <= 0 {
		a.RetryAfter = maxRetryAfter
		return a
	}
	lack := time.Duration((1 - b.level) / rate * float64(time.Second))
	if lack > maxWait {
		a.RetryAfter = min(lack, maxRetryAfter)
		return a
	}
	b.level--
	a.Admitted, a.Wait = true, lack
	return a
}

func (s *Spender) bucket(name string, burst float64, now time.Time) *bucket {
	if b := s.buckets[name]; b != nil {
		return b
	}
	if s.buckets == nil {
		s.buckets = map[string]*bucket{}
	}
	b := &bucket{level: burst, at: now}
	s.buckets[name] = b
	return b
}

// minReported is the demand below which an organisation is left out of
// reports.
const minReported = 0.05

// Report returns what the leading control host must know.
func (s *Spender) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	r := Report{Grant: s.grant, Demands: map[string]float64{}}
	for name, b := range s.buckets {
		d := b.demand * math.Exp(-now.Sub(b.at).Seconds()/demandWindow.Seconds())
		if d >= minReported {
			r.Demands[name] = math.Round(d*100) / 100
		}
	}
	if now.Before(s.until) {
		r.Extras = s.extras
	}
	return r
}
