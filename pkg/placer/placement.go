package placer

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
)

// maxImbalance is how far the demand placed at an upstream may exceed its share,
// unless all upstreams have theirs.
const maxImbalance = 1.1

// Demand is the demand of an organisation in any unit.
type Demand struct {
	Organisation string
	Weight       float64
}

// Capacity is the number of organisations for which an upstream can keep
// connections.
type Capacity struct {
	Upstream string
	MaxHomes int
}

// Placement is the ranking of upstreams for organisations. The zero value ranks
// all upstreams first.
type Placement struct {
	// ranks maps an organisation to the rank of each upstream.
	ranks map[string]map[string]int
}

// Rank returns the rank of an upstream for an organisation. Upstreams with rank 0
// keep connections for it.
func (p Placement) Rank(organisation, upstream string) int { return p.ranks[organisation][upstream] }

// Place decides which upstreams of a service keep connections for which
// organisations. Those upstreams are the homes of the organisation and have rank 0.
// Each group of upstreams, such as those of a region, distributes its homes by
// demand: the largest organisations have several there, and if the capacities are
// too small for all, the smallest have none. A group first accepts the
// organisations that have no home in a group of higher capacity, so that none is
// without any home unless all groups are full. The other upstreams of a group
// follow in the order of a rendezvous hash, so that all hosts send the requests
// that the homes cannot take to the same upstream.
//
// Every host computes the same placement from the same arguments. Adding or
// removing an upstream moves the homes that it gains or loses, and those few that
// an even distribution requires.
func Place(service string, demands []Demand, groups map[string][]Capacity) Placement {
	p := Placement{ranks: make(map[string]map[string]int, len(demands))}
	ordered := slices.Clone(demands)
	slices.SortFunc(ordered, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Organisation, b.Organisation))
	})
	for _, d := range ordered {
		p.ranks[d.Organisation] = map[string]int{}
	}
	names := slices.SortedFunc(maps.Keys(groups), func(a, b string) int {
		return cmp.Or(cmp.Compare(seatsOf(groups[b], len(ordered)), seatsOf(groups[a], len(ordered))), cmp.Compare(a, b))
	})
	placed := make([]bool, len(ordered))
	for _, name := range names {
		p.placeGroup(service, ordered, placed, groups[name])
	}
	return p
}

// seatsOf returns how many homes a group of upstreams offers.
func seatsOf(capacities []Capacity, organisations int) int {
	seats := 0
	for _, c := range capacities {
		seats += max(0, min(c.MaxHomes, organisations))
	}
	return seats
}

// placeGroup distributes the homes of one group. placed tells which organisations
// have a home in an earlier group.
func (p Placement) placeGroup(service string, ordered []Demand, placed []bool, capacities []Capacity) {
	seats, totalWeight := seatsOf(capacities, len(ordered)), 0.0
	homes := countHomes(ordered, placed, len(capacities), seats)
	for i, d := range ordered {
		if homes[i] > 0 {
			totalWeight += d.Weight
		}
	}
	rooms := make([]room, len(capacities))
	for i, c := range capacities {
		most := seatsOf(capacities[i:i+1], len(ordered))
		rooms[i] = room{upstream: c.Upstream, homes: most, weight: totalWeight * float64(most) / float64(max(1, seats)) * maxImbalance}
	}
	for i, d := range ordered {
		rank(service, d, rooms, homes[i], p.ranks[d.Organisation])
		placed[i] = placed[i] || homes[i] > 0
	}
}

// countHomes distributes seats, first one to each organisation that is not placed
// yet and then by the highest average: each goes to the organisation with the
// highest demand per home, counting the new one. The result is the number of homes
// of each organisation, at most one at each upstream.
func countHomes(ordered []Demand, placed []bool, upstreams, seats int) []int {
	homes := make([]int, len(ordered))
	averages := make(averageHeap, 0, len(ordered))
	unplaced := slices.Contains(placed, true)
	for i, d := range ordered {
		if unplaced && !placed[i] && seats > 0 && upstreams > 0 {
			homes[i] = 1
			seats--
		}
		if homes[i] < upstreams {
			averages = append(averages, average{index: i, weight: d.Weight, divisor: float64(homes[i] + 1)})
		}
	}
	heap.Init(&averages)
	for ; seats > 0 && len(averages) > 0 && upstreams > 0; seats-- {
		top := &averages[0]
		homes[top.index]++
		top.divisor++
		if homes[top.index] == upstreams {
			heap.Pop(&averages)
		} else {
			heap.Fix(&averages, 0)
		}
	}
	return homes
}

// average is the demand per home of an organisation with one home more.
type average struct {
	index   int
	weight  float64
	divisor float64
}

// averageHeap has the highest average first.
type averageHeap []average

func (h averageHeap) Len() int { return len(h) }
func (h averageHeap) Less(i, j int) bool {
	a, b := h[i].weight*h[j].divisor, h[j].weight*h[i].divisor
	return a > b || (a == b && h[i].index < h[j].index)
}
func (h averageHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *averageHeap) Push(x any)   { *h = append(*h, x.(average)) }
func (h *averageHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// room is what can still be placed at an upstream.
type room struct {
	upstream string
	homes    int
	weight   float64
}

// choice is an upstream considered for an organisation.
type choice struct {
	scoredHost
	room *room
	// full is true if no home is left, overloaded if the upstream has its share of
	// the demand.
	full, overloaded bool
}

// compareChoices orders the upstreams for an organisation, best first.
func compareChoices(a, b choice) int {
	switch {
	case a.full != b.full:
		return compareBool(a.full, b.full)
	case a.overloaded != b.overloaded:
		return compareBool(a.overloaded, b.overloaded)
	case a.overloaded && a.room.weight != b.room.weight:
		return cmp.Compare(b.room.weight, a.room.weight)
	case a.ranksBefore(b.scoredHost):
		return -1
	}
	return 1
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// rank places an organisation at n upstreams and stores the ranks of all.
func rank(service string, d Demand, rooms []room, n int, ranks map[string]int) {
	weight := d.Weight / float64(max(1, n))
	choices := make([]choice, len(rooms))
	for i := range rooms {
		r := &rooms[i]
		choices[i] = choice{scoredHost{r.upstream, score(service+"\x00"+d.Organisation, r.upstream)}, r, r.homes == 0, weight > r.weight}
	}
	slices.SortFunc(choices, compareChoices)
	next := 0
	for i, c := range choices {
		if i < n && !c.full {
			c.room.homes--
			c.room.weight -= weight
			continue
		}
		next++
		ranks[c.host] = next
	}
}
