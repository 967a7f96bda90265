// Package balancer chooses the upstream that serves a read.
//
// Each candidate is given the time in which it would probably answer: the round
// trip, the queue before its slots, and a penalty when it may not hold the
// read's floor yet. The least time wins.
//
// # Usage
//
//	i := balancer.Choose(floor, now, candidates)
//
// Choose is pure: the same arguments give the same choice.
package balancer

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Distance is how far an upstream is from the host.
type Distance string

// The distances.
const (
	DistanceDataCentre Distance = "data_centre"
	DistanceRegion     Distance = "region"
	DistanceFar        Distance = "far"
)

const (
	// regionCost and farCost are round trips of 3 and 60 ms, with the price of
	// the bytes: the link between regions is narrow and paid by volume.
	regionCost = 6 * time.Millisecond
	farCost    = 150 * time.Millisecond
	// primaryCost keeps slots of the primary free for what only it can serve.
	primaryCost = 20 * time.Millisecond
	// unknownCost is the risk that an upstream whose position is below the
	// floor has not reached it since.
	unknownCost = 6 * time.Millisecond
	// defaultService is a statement's time while none was measured.
	defaultService = 20 * time.Millisecond
)

// Candidate is an upstream as the host knows it.
type Candidate struct {
	ID       string
	Distance Distance
	Primary  bool
	// Position is the last known position of its log.
	Position tracker.Position
	// LaggedFloor is the floor at which it last refused a read as lagging, and
	// LaggedUntil the time for which that is believed of higher floors.
	LaggedFloor tracker.Position
	LaggedUntil time.Time
	// Outstanding are this host's requests at it that are not answered.
	Outstanding int
	// Slots are the statements that it runs at once; zero means not known.
	Slots int
	// Service is the mean time of a statement; zero means not known.
	Service time.Duration
	// Suspect is true when it did not answer of late.
	Suspect bool
}

// Choose returns the index of the best candidate, or -1 when all are suspect or
// behind the floor, or there is none.
func Choose(floor tracker.Position, now time.Time, candidates []Candidate) int {
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		if c.Suspect || c.isLagging(floor, now) {
			continue
		}
		cost := c.cost(floor)
		if best < 0 || cost < bestCost || (cost == bestCost && c.ID < candidates[best].ID) {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost is the time in which the candidate would answer, with what its use
// costs others.
func (c Candidate) cost(floor tracker.Position) time.Duration {
	cost := time.Duration(0)
	switch c.Distance {
	case DistanceRegion:
		cost += regionCost
	case DistanceFar:
		cost += farCost
	}
	service := c.Service
	if service == 0 {
		service = defaultService
	}
	cost += service * time.Duration(1+c.Outstanding) / time.Duration(max(1, c.Slots))
	if c.Primary {
		return cost + primaryCost
	}
	if c.Position.Less(floor) {
		cost += unknownCost
	}
	return cost
}

// isLagging reports whether the candidate is known not to hold the floor.
func (c Candidate) isLagging(floor tracker.Position, now time.Time) bool {
	return !c.Primary && c.Position.Less(floor) && now.Before(c.LaggedUntil) && !floor.Less(c.LaggedFloor)
}
