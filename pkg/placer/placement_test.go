package placer

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// unevenDemands returns 84 organisations, five of which have ten times the demand
// of the others.
func unevenDemands() []Demand {
	demands := make([]Demand, 84)
	for i := range demands {
		demands[i] = Demand{Organisation: fmt.Sprintf("o-%02d", i), Weight: 1 + float64(i%7)/10}
		if i < 5 {
			demands[i].Weight = 10
		}
	}
	return demands
}

// capacities returns upstreams that can each be home to 45 organisations.
func capacities(upstreams ...string) map[string][]Capacity {
	var all []Capacity
	for _, u := range upstreams {
		all = append(all, Capacity{u, 45})
	}
	return map[string][]Capacity{"region": all}
}

func homesOf(p Placement, organisation string, upstreams []string) []string {
	var homes []string
	for _, u := range upstreams {
		if p.Rank(organisation, u) == 0 {
			homes = append(homes, u)
		}
	}
	return homes
}

// Hosts receive organisations and upstreams in any order. If they placed an
// organisation differently, it would have connections everywhere.
func TestPlacementDependsOnNoOrder(t *testing.T) {
	demands, upstreams := unevenDemands(), []string{"u-1", "u-2", "u-3"}
	p := Place("s", demands, capacities(upstreams...))
	reversed := slices.Clone(demands)
	slices.Reverse(reversed)
	same := Place("s", reversed, capacities("u-3", "u-1", "u-2"))
	for _, d := range demands {
		for _, u := range upstreams {
			qt.Assert(t, same.Rank(d.Organisation, u), qt.Equals, p.Rank(d.Organisation, u))
		}
	}
}

// An upstream with more organisations than connections opens one for most
// statements. An upstream with most of the demand is the bottleneck of a service.
func TestPlacementIsEvenAndFits(t *testing.T) {
	demands, upstreams := unevenDemands(), []string{"u-1", "u-2", "u-3"}
	for service := range 8 {
		p := Place(fmt.Sprintf("s-%d", service), demands, capacities(upstreams...))
		weight, homes, total := map[string]float64{}, map[string]int{}, 0.0
		for _, d := range demands {
			own := homesOf(p, d.Organisation, upstreams)
			qt.Assert(t, len(own) >= 1, qt.IsTrue)
			if d.Weight >= 10 {
				qt.Assert(t, own, qt.HasLen, 3, qt.Commentf("a large organisation has several homes"))
			}
			for _, u := range own {
				weight[u] += d.Weight / float64(len(own))
				homes[u]++
			}
			total += d.Weight
		}
		for _, u := range upstreams {
			qt.Assert(t, homes[u] <= 45, qt.IsTrue, qt.Commentf("%d homes", homes[u]))
			qt.Assert(t, weight[u] <= 1.2*total/3, qt.IsTrue, qt.Commentf("demand of %.1f of %.1f", weight[u], total))
		}
	}
}

// Every home that moves costs its organisation new connections.
func TestFewHomesMoveWithAnUpstream(t *testing.T) {
	demands, upstreams := unevenDemands(), []string{"u-1", "u-2", "u-3"}
	for service := range 8 {
		name := fmt.Sprintf("s-%d", service)
		two, three := Place(name, demands, capacities(upstreams[:2]...)), Place(name, demands, capacities(upstreams...))
		moved := 0
		for _, d := range demands {
			before, after := homesOf(two, d.Organisation, upstreams[:2]), homesOf(three, d.Organisation, upstreams[:2])
			for _, u := range after {
				if !slices.Contains(before, u) {
					moved++
				}
			}
		}
		qt.Assert(t, moved <= len(demands)/4, qt.IsTrue, qt.Commentf("%d homes moved between upstreams that stayed", moved))
	}
}

// Connections for all organisations at an upstream with fewer connections would be
// closed before they are used again.
func TestSmallestOrganisationsHaveNoHomeBeyondTheCapacity(t *testing.T) {
	upstreams := []string{"replica", "primary"}
	p := Place("s", unevenDemands(), map[string][]Capacity{"region": {{"replica", 45}, {"primary", 30}}})
	homes, without := map[string]int{}, 0
	for _, d := range unevenDemands() {
		own := homesOf(p, d.Organisation, upstreams)
		for _, u := range own {
			homes[u]++
		}
		if d.Weight >= 10 {
			qt.Assert(t, own, qt.HasLen, 2)
		}
		if len(own) == 0 {
			without++
			qt.Assert(t, d.Weight <= 1.1, qt.IsTrue, qt.Commentf("an organisation of demand %.1f has no home", d.Weight))
			qt.Assert(t, p.Rank(d.Organisation, "replica")+p.Rank(d.Organisation, "primary"), qt.Equals, 3)
		}
	}
	qt.Assert(t, homes, qt.DeepEquals, map[string]int{"replica": 45, "primary": 30})
	qt.Assert(t, without, qt.Equals, 84+5-75)
}

// Organisations that have no home in one region must have one in another, where
// their reads go instead of opening a connection each time.
func TestRegionsShareTheSmallestOrganisations(t *testing.T) {
	p := Place("s", unevenDemands(), map[string][]Capacity{"a": {{"a-1", 40}, {"a-2", 33}}, "b": {{"b-1", 40}}})
	homesInB := 0
	for _, d := range unevenDemands() {
		qt.Assert(t, len(homesOf(p, d.Organisation, []string{"a-1", "a-2", "b-1"})) >= 1, qt.IsTrue, qt.Commentf("%s", d.Organisation))
		homesInB += len(homesOf(p, d.Organisation, []string{"b-1"}))
		if d.Weight >= 10 {
			qt.Assert(t, homesOf(p, d.Organisation, []string{"a-1", "a-2", "b-1"}), qt.HasLen, 3)
		}
	}
	qt.Assert(t, homesInB, qt.Equals, 40)
}

func TestFewOrganisationsHaveEveryHome(t *testing.T) {
	upstreams := []string{"u-1", "u-2", "u-3"}
	p := Place("s", unevenDemands()[:45], capacities(upstreams...))
	for _, d := range unevenDemands()[:45] {
		qt.Assert(t, homesOf(p, d.Organisation, upstreams), qt.HasLen, 3)
	}
	qt.Assert(t, Place("s", nil, capacities(upstreams...)).Rank("unknown", "u-1"), qt.Equals, 0)
	qt.Assert(t, Place("s", unevenDemands(), nil).Rank("o-00", "u-1"), qt.Equals, 0)
}
