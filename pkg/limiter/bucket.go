// Package limiter spends, on one host, the tokens that the allocator handed
// out to it.
//
// # Usage
//
//	l := &limiter.Limiter{Now: time.Now, Wait: 300 * time.Millisecond, Waiters: 64}
//	if refusal := l.Limit(ctx, "prairie_1", 1); refusal != nil { ... }
//	reports := l.Reports()         // goes to the allocator
//	l.Grant("prairie_1", 120)      // its answer
//
// Bucket holds the decisions and is plain state; Limiter adds waiting.
package limiter

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the demand's average.
	demandWindow = time.Second
	// minHorizon and maxHorizon bound the time of demand for which a host
	// keeps tokens.
	minHorizon = 100 * time.Millisecond
	maxHorizon = 800 * time.Millisecond
	// keptPart is the part of the burst that all hosts together keep when the
	// organisation asks for its whole rate.
	keptPart = 0.5
	// spread is the number of standard deviations of the demand's arrivals
	// that a host keeps tokens for.
	spread = 1.5
	// minDemand is the demand, in tokens a second, below which a host keeps
	// none, so that a thousand idle hosts do not hold the whole burst.
	minDemand = 0.05
	// lowPart is the part of the kept tokens below which more are asked for.
	lowPart = 0.4
	// returnFactor times the kept tokens is what a host holds at most.
	returnFactor = 1.5
)

// Bucket holds one organisation's tokens on one host. Totals count from the
// start of the host.
type Bucket struct {
	// Horizon is the time of demand for which the host keeps tokens; zero
	// means the longest.
	Horizon time.Duration

	Spent    float64
	Returned float64
	Received float64

	// demand is the smoothed request rate, in tokens a second.
	demand float64
	at     time.Time
	// waiting is the number of tokens that queued requests need.
	waiting float64
}

// HorizonOf returns the horizon for an organisation's rate and burst. What
// hosts keep is missing elsewhere, so that a small burst makes it short.
func HorizonOf(rate, burst float64) time.Duration {
	if !(rate > 0) {
		return maxHorizon
	}
	h := time.Duration(keptPart * burst / rate * float64(time.Second))
	return min(max(h, minHorizon), maxHorizon)
}

// Held returns the tokens that can be spent.
func (b *Bucket) Held() float64 { return b.Received - b.Spent - b.Returned }

// Ask notes the demand for n tokens.
func (b *Bucket) Ask(n float64, now time.Time) {
	b.decay(now)
	b.demand += n / demandWindow.Seconds()
}

func (b *Bucket) decay(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		b.at = now
	}
}

// Take spends n tokens, or returns false and spends none.
func (b *Bucket) Take(n float64) bool {
	if b.Held() < n {
		return false
	}
	b.Spent += n
	return true
}

// Grant takes the total that the allocator has granted. Totals that fall are
// ignored.
func (b *Bucket) Grant(total float64) { b.Received = math.Max(b.Received, total) }

// target is what the bucket should hold.
func (b *Bucket) target() float64 {
	if b.demand < minDemand {
		return b.waiting
	}
	horizon := b.Horizon
	if horizon == 0 {
		horizon = maxHorizon
	}
	mean := b.demand * horizon.Seconds()
	return math.Ceil(mean+spread*math.Sqrt(mean)) + b.waiting
}

// IsLow reports whether tokens should be asked for before the next report.
func (b *Bucket) IsLow() bool { return b.Held() < lowPart*b.target() }

// Wanted returns the tokens that the bucket lacks.
func (b *Bucket) Wanted(now time.Time) float64 {
	b.decay(now)
	return math.Max(0, b.target()-b.Held())
}

// Settle returns the tokens that the bucket holds beyond its need.
func (b *Bucket) Settle(now time.Time) {
	b.decay(now)
	keep := returnFactor * b.target()
	if surplus := b.Held() - keep; surplus >= 1 {
		b.Returned += math.Floor(surplus)
	}
}
