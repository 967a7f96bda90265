// Package limiter enforces rate limits on one host with the tokens that the
// allocator has granted to it.
//
// # Usage
//
//	l := &limiter.Limiter{Now: time.Now, MaxWait: 300 * time.Millisecond, MaxWaiters: 64}
//	if refusal := l.Acquire(ctx, "prairie_1", 1, false); refusal != nil { ... }
//	reports := l.Reports()         // sent to the allocator
//	l.Grant("prairie_1", 120)      // the response of the allocator
//
// Bucket tracks tokens and demand without locks or clocks; Limiter adds queueing
// and is safe for concurrent use.
package limiter

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential moving average
	// of the demand.
	demandTimeConstant = time.Second
	// minHorizon and maxHorizon limit the horizon, the time for which a host
	// retains tokens to cover its expected demand.
	minHorizon = 100 * time.Millisecond
	maxHorizon = 800 * time.Millisecond
	// retainedBurstFraction is the fraction of the burst that all hosts together
	// retain when the organisation uses its full rate.
	retainedBurstFraction = 0.5
	// safetyDeviations is the number of standard deviations of the arrivals that
	// a host retains tokens for in addition to the mean.
	safetyDeviations = 1.5
	// minDemand is the demand in tokens per second below which a host retains no
	// tokens. Without it, a thousand idle hosts would hold the whole burst.
	minDemand = 0.05
	// lowFraction is the fraction of the target below which a host requests more
	// tokens before the next report.
	lowFraction = 0.4
	// maxHeldFactor times the target is the number of tokens above which a host
	// returns the surplus.
	maxHeldFactor = 1.5
)

// Bucket is the token bucket of one organisation on one host. Totals are
// cumulative since the start of the host.
type Bucket struct {
	// Horizon is the time for which the host retains tokens to cover its
	// expected demand; zero means maxHorizon.
	Horizon time.Duration

	Spent    float64
	Returned float64
	Received float64

	// demand is the moving average of the requested tokens per second.
	demand    float64
	decayedAt time.Time
	// queuedTokens is the number of tokens that queued requests need.
	queuedTokens float64
}

// HorizonOf returns the horizon for an organisation's rate and burst. Tokens that
// a host retains are unavailable to other hosts, so a small burst leads to a short
// horizon.
func HorizonOf(rate, burst float64) time.Duration {
	if !(rate > 0) {
		return maxHorizon
	}
	h := time.Duration(retainedBurstFraction * burst / rate * float64(time.Second))
	return min(max(h, minHorizon), maxHorizon)
}

// Available returns the number of tokens that can be spent.
func (b *Bucket) Available() float64 { return b.Received - b.Spent - b.Returned }

// RecordDemand records a request for n tokens in the demand.
func (b *Bucket) RecordDemand(n float64, now time.Time) {
	b.decay(now)
	b.demand += n / demandTimeConstant.Seconds()
}

func (b *Bucket) decay(now time.Time) {
	if elapsed := now.Sub(b.decayedAt); elapsed > 0 {
		b.demand *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		b.decayedAt = now
	}
}

// Take spends n tokens and returns true, or returns false if fewer are available.
func (b *Bucket) Take(n float64) bool {
	if b.Available() < n {
		return false
	}
	b.Spent += n
	return true
}

// Grant sets the total that the allocator has granted. Decreasing totals are
// ignored.
func (b *Bucket) Grant(total float64) { b.Received = math.Max(b.Received, total) }

// target returns the number of tokens the bucket should hold: the expected demand
// within the horizon with a safety margin, and the needs of queued requests.
func (b *Bucket) target() float64 {
	if b.demand < minDemand {
		return b.queuedTokens
	}
	horizon := b.Horizon
	if horizon == 0 {
		horizon = maxHorizon
	}
	mean := b.demand * horizon.Seconds()
	return math.Ceil(mean+safetyDeviations*math.Sqrt(mean)) + b.queuedTokens
}

// IsLow reports whether the host should request tokens before the next report.
func (b *Bucket) IsLow() bool { return b.Available() < lowFraction*b.target() }

// Wanted returns the number of tokens missing to the target.
func (b *Bucket) Wanted(now time.Time) float64 {
	b.decay(now)
	return math.Max(0, b.target()-b.Available())
}

// ReturnSurplus returns surplus tokens to the allocator.
func (b *Bucket) ReturnSurplus(now time.Time) {
	b.decay(now)
	maxHeld := maxHeldFactor * b.target()
	if surplus := b.Available() - maxHeld; surplus >= 1 {
		b.Returned += math.Floor(surplus)
	}
}
