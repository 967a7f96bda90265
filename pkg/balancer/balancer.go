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
// Choose and ChooseSpread are pure functions: the same arguments give the same choice.
package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/spiller"
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
	// They apply until a round trip has been measured.
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
	// freshReportAge is the age up to which a report of an upstream's load counts
	// fully. It then fades and counts no more at twice that age.
	freshReportAge = 500 * time.Millisecond
	// displacementCost plus the distance of an upstream in another region that
	// keeps connections for the organisation is the penalty for opening one at an
	// upstream whose connections are all meant for other organisations. The
	// opening displaces a connection that must be opened again, so both cost twice
	// what a statement needs of a slot. It is what a longer queue there may cost.
	displacementCost = 30 * time.Millisecond
	// TrafficCost is the surcharge for the traffic to another region.
	TrafficCost = 90 * time.Millisecond
	// regionTrafficFactor times a measured round trip within a region is its cost,
	// like the 6 ms for 3 ms above.
	regionTrafficFactor = 2
	// heldCost is the penalty for leaving the region with a read that is not to
	// leave it. It is higher than the wait in any queue that accepts the read.
	heldCost = 5 * time.Second
)

// Candidate is the host's view of an upstream.
type Candidate struct {
	ID       string
	Distance Distance
	// RoundTrip is the measured round trip to the upstream's data centre; zero
	// means unknown.
	RoundTrip time.Duration
	// Held is true if the read is not to leave the region for this upstream unless
	// there is no other. It does not apply where only upstreams in another region
	// keep connections for the organisation.
	Held    bool
	Primary bool
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
	// Load is the last report of the upstream's owner, and LoadAge its age. The
	// zero value means that there is none.
	Load    queuer.Load
	LoadAge time.Duration
	// Suspect is true when the upstream has recently failed to answer.
	Suspect bool
}

// Choose returns the index of the candidate with the lowest cost, or -1 if
// there is none that is neither suspect nor lagging behind the floor.
func Choose(floor tracker.Position, now time.Time, candidates []Candidate) int {
	best, _ := chooseTwo(floor, now, candidates)
	return best.index
}

// ChooseSpread returns the same as Choose, or the second best candidate if the
// queues, as their owners have reported them, decide between the two. Otherwise all
// hosts with the same reports would send their requests to the same upstream until
// the next reports. The shorter the second queue, the higher is its probability.
// random is a random number in [0, 1).
func ChooseSpread(floor tracker.Position, now time.Time, candidates []Candidate, random float64) int {
	best, second := chooseTwo(floor, now, candidates)
	if second.index < 0 {
		return best.index
	}
	a, b := candidates[best.index], candidates[second.index]
	if a.reportWeight() == 0 || b.reportWeight() == 0 || second.cost-best.cost > max(a.wait(), b.wait()) {
		return best.index
	}
	// A queue may have grown by a statement of each slot since it was reported.
	waitA, waitB := a.wait()+a.serviceTime(), b.wait()+b.serviceTime()
	if random < float64(waitA)/float64(waitA+waitB) {
		return second.index
	}
	return best.index
}

// ranked is a candidate with its cost.
type ranked struct {
	index int
	cost  time.Duration
}

// chooseTwo returns the two candidates with the lowest costs. The index is -1 where
// there is none.
func chooseTwo(floor tracker.Position, now time.Time, candidates []Candidate) (best, second ranked) {
	best, second = ranked{index: -1}, ranked{index: -1}
	precedes := func(r, other ranked) bool {
		return other.index < 0 || r.cost < other.cost || (r.cost == other.cost && candidates[r.index].ID < candidates[other.index].ID)
	}
	for i, cost := range Costs(floor, now, candidates) {
		r := ranked{i, cost}
		switch {
		case cost == Unusable:
		case precedes(r, best):
			best, second = r, best
		case precedes(r, second):
			second = r
		}
	}
	return best, second
}

// Unusable is the cost of a candidate that is suspect or lags behind the floor.
const Unusable = time.Duration(math.MaxInt64)

// Costs returns the costs of the candidates.
func Costs(floor tracker.Position, now time.Time, candidates []Candidate) []time.Duration {
	costs := make([]time.Duration, len(candidates))
	opening := openingCost(floor, now, candidates)
	placed := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Affinity > 0 })
	homeless := opening > openingTime
	for i, c := range candidates {
		if c.Suspect || c.isLagging(floor, now) {
			costs[i] = Unusable
			continue
		}
		costs[i] = c.cost(floor)
		if c.Held && (c.Affinity > 0 || !homeless) {
			costs[i] += heldCost
		}
		if c.Affinity > 0 && !c.Load.HasIdle {
			costs[i] += opening
		}
		if c.Primary && (!placed || c.Affinity > 0) {
			costs[i] += primaryCost
		}
	}
	return costs
}

// openingCost returns the penalty for an upstream that keeps no connections for
// the organisation: the opening itself, and displacementCost if only upstreams in
// another region keep some.
func openingCost(floor tracker.Position, now time.Time, candidates []Candidate) time.Duration {
	nearest := time.Duration(-1)
	for _, c := range candidates {
		if c.Affinity > 0 || c.Suspect || c.isLagging(floor, now) {
			continue
		}
		if c.Distance != DistanceFar {
			return openingTime
		}
		if nearest < 0 || c.distanceCost() < nearest {
			nearest = c.distanceCost()
		}
	}
	if nearest >= 0 {
		return openingTime + nearest + displacementCost
	}
	return openingTime
}

// distanceCost returns the cost of the way to the upstream.
func (c Candidate) distanceCost() time.Duration {
	switch {
	case c.Distance == DistanceFar && c.RoundTrip > 0:
		return spiller.DistanceCost(c.RoundTrip, TrafficCost)
	case c.Distance == DistanceFar:
		return farCost
	case c.Distance == DistanceRegion && c.RoundTrip > 0:
		return regionTrafficFactor * c.RoundTrip
	case c.Distance == DistanceRegion:
		return regionCost
	}
	return 0
}

// cost returns the estimated response time of the candidate, plus penalties for
// what its use costs other requests.
func (c Candidate) cost(floor tracker.Position) time.Duration {
	cost := c.wait() + c.distanceCost()
	if c.Affinity > 0 {
		cost += rankCost * time.Duration(c.Affinity)
		if !c.Load.HasIdle {
			cost += time.Duration(float64(openingTime) * (1 + c.busy()) / c.slots())
		}
	}
	if !c.Primary && c.Position.Less(floor) {
		cost += staleCost
	}
	return cost
}

// wait returns the time that the upstream's slots need for the statements before
// this one and for this one itself.
func (c Candidate) wait() time.Duration {
	opening := c.reportWeight() * float64(c.Load.Opening) * float64(openingTime)
	return time.Duration((float64(c.serviceTime())*(1+c.busy()) + opening) / c.slots())
}

// serviceTime returns the mean service time that the owner has reported, or else
// that which the host has observed.
func (c Candidate) serviceTime() time.Duration {
	switch {
	case c.reportWeight() > 0 && c.Load.MeanServiceTime > 0:
		return c.Load.MeanServiceTime
	case c.MeanServiceTime > 0:
		return c.MeanServiceTime
	}
	return defaultService
}

// busy returns the number of statements at the upstream: those that the owner has
// reported, as far as the report counts, and otherwise those of this host.
func (c Candidate) busy() float64 {
	own, weight := float64(c.InFlight), c.reportWeight()
	return weight*max(own, float64(c.Load.Running+c.Load.Queued)) + (1-weight)*own
}

// slots returns the number of statements that the upstream runs at once.
func (c Candidate) slots() float64 {
	if c.Slots > 0 {
		return float64(c.Slots)
	}
	return float64(max(1, c.Load.Slots))
}

// reportWeight returns how far the owner's report counts, from 0 to 1.
func (c Candidate) reportWeight() float64 {
	if c.Load == (queuer.Load{}) || c.LoadAge >= 2*freshReportAge {
		return 0
	}
	return min(1, 2-float64(c.LoadAge)/float64(freshReportAge))
}

// Sites returns what the candidates tell about the region and about other regions,
// or false if there are none in one of these.
func Sites(candidates []Candidate) (spiller.Sites, bool) {
	sites := spiller.Sites{Price: TrafficCost}
	near, far, free, slots := false, false, 0.0, 0.0
	for _, c := range candidates {
		switch {
		case c.Suspect:
		case c.Distance != DistanceFar:
			if wait := c.wait() + c.distanceCost(); !near || wait < sites.NearWait {
				sites.NearWait = wait
			}
			near = true
		default:
			if wait := c.wait(); !far || wait < sites.FarWait {
				sites.FarWait = wait
				if sites.RoundTrip = c.RoundTrip; c.RoundTrip <= 0 {
					sites.RoundTrip = farCost - TrafficCost
				}
			}
			far = true
			if c.reportWeight() > 0 {
				sites.FarKnown = true
				free += max(0, c.slots()-c.busy())
				slots += c.slots()
			}
		}
	}
	if slots > 0 {
		sites.FarRoom = free / slots
	}
	return sites, near && far
}

// Reason is why a read goes to an upstream.
type Reason string

// The values of Reason.
const (
	// ReasonNear means that no upstream is nearer.
	ReasonNear Reason = "near"
	// ReasonPlacement means that a nearer one keeps no connections for the
	// organisation.
	ReasonPlacement Reason = "placement"
	// ReasonOnly means that nearer ones do not answer or lag.
	ReasonOnly Reason = "only"
	// ReasonLoad means that a nearer one has a longer queue, or keeps its slots.
	ReasonLoad Reason = "load"
)

// ReasonOf returns why the candidate with index i was chosen.
func ReasonOf(floor tracker.Position, now time.Time, candidates []Candidate, i int) Reason {
	rank := map[Distance]int{DistanceDataCentre: 0, DistanceRegion: 1, DistanceFar: 2}
	chosen, reason := candidates[i], ReasonNear
	for _, c := range candidates {
		if rank[c.Distance] >= rank[chosen.Distance] {
			continue
		}
		switch {
		case c.Suspect || c.isLagging(floor, now):
			if reason == ReasonNear {
				reason = ReasonOnly
			}
		case chosen.Affinity == 0 && c.Affinity > 0:
			if reason != ReasonLoad {
				reason = ReasonPlacement
			}
		default:
			reason = ReasonLoad
		}
	}
	return reason
}

// isLagging reports whether the candidate is assumed not to have reached the
// floor.
func (c Candidate) isLagging(floor tracker.Position, now time.Time) bool {
	return !c.Primary && c.Position.Less(floor) && now.Before(c.LaggedUntil) && !floor.Less(c.LaggedFloor)
}
