// Package spiller decides whether reads leave a region, and what fraction of them.
//
// A read that leaves the region takes a round trip between regions and its bytes
// are billed. It is worth that only while the upstreams of the region have a queue
// that takes longer. The fraction that may leave grows while this is so and shrinks
// when it no longer is. In between it stays, so that reads do not go back and
// forth: those that leave shorten the queue that made them leave.
//
// # Usage
//
//	share := s.Share("ledger", now, spiller.Sites{...})
//	cost := spiller.DistanceCost(roundTrip, price)
//
// A Spiller holds no clock, lock or random source. It is not safe for concurrent
// use.
package spiller

import "time"

const (
	// rampTime is the time in which the fraction grows from zero to one. Owners'
	// reports follow a change of the queue within some hundred milliseconds, so
	// a faster change would overshoot.
	rampTime = 500 * time.Millisecond
	// marginDivisor divides the cost of leaving to get the margin by which the
	// wait must exceed the cost for the fraction to grow, or fall below it for the
	// fraction to shrink.
	marginDivisor = 4
	// unknownShare is the highest fraction while no owner elsewhere has reported
	// recently: it brings the reports without a risk for the upstreams there.
	unknownShare = 0.1
	// maxStep bounds the time that counts as passed between two decisions. A
	// decision after a long pause is based on new reports only.
	maxStep = 100 * time.Millisecond
)

// Sites is what a host knows of the upstreams of a service.
type Sites struct {
	// NearWait is the shortest expected time at an upstream of the region, FarWait
	// that at one elsewhere.
	NearWait, FarWait time.Duration
	// RoundTrip is the measured round trip to the upstreams elsewhere.
	RoundTrip time.Duration
	// Price is the price of the bytes of a read, as time.
	Price time.Duration
	// FarRoom is the fraction of the slots elsewhere that are free, and FarKnown
	// is false if no recent report tells it.
	FarRoom  float64
	FarKnown bool
}

// Spiller holds the fractions of all services. The zero value lets no read leave.
type Spiller struct {
	services map[string]*state
}

type state struct {
	share     float64
	decidedAt time.Time
}

// Share returns the fraction of a service's reads that may leave the region now.
func (s *Spiller) Share(service string, now time.Time, sites Sites) float64 {
	if s.services == nil {
		s.services = map[string]*state{}
	}
	st := s.services[service]
	if st == nil {
		st = &state{decidedAt: now}
		s.services[service] = st
	}
	step := float64(min(maxStep, max(0, now.Sub(st.decidedAt)))) / float64(rampTime)
	st.decidedAt = now
	cost := DistanceCost(sites.RoundTrip, sites.Price)
	margin, gain := cost/marginDivisor, sites.NearWait-sites.FarWait-cost
	switch {
	case gain > margin:
		st.share = min(st.share+step, sites.limit())
	case gain < -margin:
		st.share = max(0, st.share-step)
	default:
		st.share = min(st.share, sites.limit())
	}
	return st.share
}

// Current returns the last decision for a service.
func (s *Spiller) Current(service string) float64 {
	if st := s.services[service]; st != nil {
		return st.share
	}
	return 0
}

// limit returns the highest fraction that may leave.
func (s Sites) limit() float64 {
	if !s.FarKnown {
		return unknownShare
	}
	return max(0, min(1, s.FarRoom))
}

// Retain forgets the services for which keep is false.
func (s *Spiller) Retain(keep func(service string) bool) {
	for service := range s.services {
		if !keep(service) {
			delete(s.services, service)
		}
	}
}

// DistanceCost returns the cost of sending a read to an upstream elsewhere.
func DistanceCost(roundTrip, price time.Duration) time.Duration { return roundTrip + price }
