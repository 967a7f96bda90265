package placer

import (
	"cmp"
	"container/heap"
	"slices"
)

// maxImbalance is how far the demand and the number of organisations placed at
// an upstream may exceed an even distribution, unless every upstream is full.
const maxImbalance = 1.1

// Placement is the ranking of upstreams for organisations. The zero value ranks
// all upstreams first.
type Placement struct {
	// ranks maps an organisation to the rank of each upstream.
	ranks map[string]map[string]int
}

// Demand is the demand of an organisation in any unit.
type Demand struct {
	Organisation string
	Weight       float64
}

// Place decides which of a group of upstreams keep connections for which
// organisation. Each organisation has at least one upstream of rank 0, its home;
// the organisations with the highest demand have several, as long as no upstream
// is home to more than perUpstream of them on average. The other upstreams follow
// in the order of a rendezvous hash, so that all hosts send the requests that the
// homes cannot take to the same upstream.
//
// Every host computes the same placement from the same arguments. Adding or
// removing an upstream moves the homes that it gains or loses, and those few that
// an even distribution requires.
func Place(service string, demands []Demand, upstreams []string, perUpstream int) Placement {
	p := Placement{ranks: make(map[string]map[string]int, len(demands))}
	if len(upstreams) == 0 {
		return p
	}
	ordered := slices.Clone(demands)
	slices.SortFunc(ordered, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Organisation, b.Organisation))
	})
	homes := countHomes(ordered, len(upstreams), perUpstream)
	totalWeight, totalHomes := 0.0, 0
	for i, d := range ordered {
		totalWeight += d.Weight
		totalHomes += homes[i]
	}
	b := bounds{
		weight: totalWeight / float64(len(upstreams)) * maxImbalance, homes: float64(totalHomes) / float64(len(upstreams)) * maxImbalance,
		load: make([]upstreamLoad, len(upstreams)),
	}
	for i, d := range ordered {
		p.ranks[d.Organisation] = b.rank(service, d, upstreams, homes[i])
	}
	return p
}

// Rank returns the rank of an upstream for an organisation. Upstreams with rank 0
// keep connections for it.
func (p Placement) Rank(organisation, upstream string) int { return p.ranks[organisation][upstream] }

// countHomes returns the number of homes of each organisation. Those beyond one
// are distributed by the highest average: each goes to the organisation with the
// highest demand per home.
func countHomes(ordered []Demand, upstreams, perUpstream int) []int {
	homes := make([]int, len(ordered))
	averages := make(averageHeap, 0, len(ordered))
	for i, d := range ordered {
		homes[i] = 1
		averages = append(averages, average{index: i, weight: d.Weight, homes: 1})
	}
	heap.Init(&averages)
	for free := upstreams*perUpstream - len(ordered); free > 0 && len(averages) > 0; free-- {
		top := &averages[0]
		if top.homes < upstreams {
			top.homes++
			homes[top.index]++
		}
		if top.homes == upstreams {
			heap.Pop(&averages)
		} else {
			heap.Fix(&averages, 0)
		}
	}
	return homes
}

// average is the demand per home of an organisation.
type average struct {
	index  int
	weight float64
	homes  int
}

// averageHeap has the highest average first.
type averageHeap []average

func (h averageHeap) Len() int { return len(h) }
func (h averageHeap) Less(i, j int) bool {
	a, b := h[i].weight*float64(h[j].homes), h[j].weight*float64(h[i].homes)
	return a > b || (a == b && h[i].index < h[j].index)
}
func (h averageHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *averageHeap) Push(x any)   { *h = append(*h, x.(average)) }
func (h *averageHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// upstreamLoad is what has been placed at an upstream.
type upstreamLoad struct {
	weight, homes float64
}

// bounds limits what is placed at each upstream.
type bounds struct {
	weight, homes float64
	load          []upstreamLoad
}

// rank places one organisation at n upstreams and ranks all.
func (b *bounds) rank(service string, d Demand, upstreams []string, n int) map[string]int {
	candidates := make([]candidate, len(upstreams))
	weight := d.Weight / float64(n)
	for i, u := range upstreams {
		full := b.load[i].homes+1 > b.homes || b.load[i].weight+weight > b.weight
		candidates[i] = candidate{scoredHost{u, score(service+"\x00"+d.Organisation, u)}, i, full}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		if x.full != y.full {
			if x.full {
				return 1
			}
			return -1
		}
		if x.full && b.load[x.index].weight != b.load[y.index].weight {
			return cmp.Compare(b.load[x.index].weight, b.load[y.index].weight)
		}
		if x.ranksBefore(y.scoredHost) {
			return -1
		}
		return 1
	})
	ranks := make(map[string]int, len(upstreams))
	for i, c := range candidates {
		ranks[c.host] = max(0, i-n+1)
		if i < n {
			b.load[c.index].weight += weight
			b.load[c.index].homes++
		}
	}
	return ranks
}
