// Package balancer chooses the upstream that serves a read.
//
// The cost of a candidate is its estimated response time: the round trip, the
// queue for its slots, the opening of a connection unless the upstream keeps some
// for the organisation, and a penalty if it may not have reached the read's floor
// yet. The candidate with the lowest cost is chosen.
//
// # Usage
//
//	i := balancer.Choose(floor, now, candidates)
//
// Choose is a pure function: the same arguments give the same choice.
package balancer

import (
	"slices"
	"time"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Distance is the distance class of an upstream, as seen from the host.
type Distance string

// The values of Distance, nearest first.
const (
	DistanceDataCentre Distance = "data_centre"
	DistanceRegion     Distance = "region"
	DistanceFar        Distance = "far"
)

const (
	// regionCost and farCost are round trips of 3 and 60 ms, plus a surcharge
	// for the traffic: the link between regions is narrow and billed by volume.
	regionCost = 6 * time.Millisecond
	farCost    = 150 * time.Millisecond
	// primaryCost keeps slots of the primary free for requests that only it can
	// serve. It does not apply to organisations that are placed at the primary,
	// whose number is bounded for the same reason.
	primaryCost = 20 * time.Millisecond
	// staleCost is the penalty for the risk that an upstream whose last known
	// position is below the floor has still not reached it.
	staleCost = 6 * time.Millisecond
	// defaultService is the service time assumed before the first measurement.
	defaultService = 20 * time.Millisecond
	// openingTime is how long the opening of a connection occupies a slot.
	openingTime = 12 * time.Millisecond
	// rankCost separates the upstreams that keep no connections for an
	// organisation, so that its requests share the same one of them.
	rankCost = 2 * time.Millisecond
	// displacementCost is the penalty for opening a connection at an upstream
	// whose connections are all meant for other organisations, while one in
	// another region keeps some for this one. The opening displaces a connection
	// that must be opened again, so both cost twice what a statement needs of a
	// slot. It is higher than farCost by what a longer queue there may cost.
	displacementCost = farCost + 30*time.Millisecond
)

// Candidate is the host's view of an upstream.
type Candidate struct {
	ID       string
	Distance Distance
	Primary  bool
	// Position is the last known position of the upstream's log.
	Position tracker.Position
	// LaggedFloor is the floor of the last read that the upstream refused as
	// lagging. Until LaggedUntil it is assumed not to have reached that floor
	// or a higher one.
	LaggedFloor tracker.Position
	LaggedUntil time.Time
	// InFlight is the number of this host's unanswered requests to the
	// upstream.
	InFlight int
	// Slots is the number of statements that the upstream runs at once; zero
	// means unknown.
	Slots int
	// MeanServiceTime is the mean service time of a statement; zero means
	// unknown.
	MeanServiceTime time.Duration
	// Affinity is the rank of the upstream for the organisation of the read. An
	// upstream of rank 0 keeps connections for it; at others one must probably be
	// opened.
	Affinity int
	// Suspect is true when the upstream has recently failed to answer.
	Suspect bool
}

// Choose returns the index of the candidate with the lowest cost, or -1 if
// there is none that is neither suspect nor lagging behind the floor.
func Choose(floor tracker.Position, now time.Time, candidates []Candidate) int {
	best, bestCost := -1, time.Duration(0)
	opening := openingCost(floor, now, candidates)
	placed := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Affinity > 0 })
	for i, c := range candidates {
		if c.Suspect || c.isLagging(floor, now) {
			continue
		}
		cost := c.cost(floor)
		if c.Affinity > 0 {
			cost += opening
		}
		if c.Primary && (!placed || c.Affinity > 0) {
			cost += primaryCost
		}
		if best < 0 || cost < bestCost || (cost == bestCost && c.ID < candidates[best].ID) {
			best, bestCost = i, cost
		}
	}
	return best
}

// openingCost returns the penalty for an upstream that keeps no connections for
// the organisation: the opening itself, and displacementCost if only upstreams in
// another region keep some.
func openingCost(floor tracker.Position, now time.Time, candidates []Candidate) time.Duration {
	near, far := false, false
	for _, c := range candidates {
		if c.Affinity > 0 || c.Suspect || c.isLagging(floor, now) {
			continue
		}
		if c.Distance == DistanceFar {
			far = true
		} else {
			near = true
		}
	}
	if far && !near {
		return openingTime + displacementCost
	}
	return openingTime
}

// cost returns the estimated response time of the candidate, plus penalties for
// what its use costs other requests.
func (c Candidate) cost(floor tracker.Position) time.Duration {
	cost := time.Duration(0)
	switch c.Distance {
	case DistanceRegion:
		cost += regionCost
	case DistanceFar:
		cost += farCost
	}
	service := c.MeanServiceTime
	if service == 0 {
		service = defaultService
	}
	cost += service * time.Duration(1+c.InFlight) / time.Duration(max(1, c.Slots))
	if c.Affinity > 0 {
		cost += openingTime * time.Duration(1+c.InFlight) / time.Duration(max(1, c.Slots))
		cost += rankCost * time.Duration(c.Affinity-1)
	}
	if !c.Primary && c.Position.Less(floor) {
		cost += staleCost
	}
	return cost
}

// isLagging reports whether the candidate is assumed not to have reached the
// floor.
func (c Candidate) isLagging(floor tracker.Position, now time.Time) bool {
	return !c.Primary && c.Position.Less(floor) && now.Before(c.LaggedUntil) && !floor.Less(c.LaggedFloor)
}
