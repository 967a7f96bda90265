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
	p := Place("s", demands, upstreams, 35)
	reversed := slices.Clone(demands)
	slices.Reverse(reversed)
	same := Place("s", reversed, []string{"u-3", "u-1", "u-2"}, 35)
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
		p := Place(fmt.Sprintf("s-%d", service), demands, upstreams, 35)
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
			qt.Assert(t, homes[u] <= 39, qt.IsTrue, qt.Commentf("%d homes", homes[u]))
			qt.Assert(t, weight[u] <= 1.2*total/3, qt.IsTrue, qt.Commentf("demand of %.1f of %.1f", weight[u], total))
		}
	}
}

// Every home that moves costs its organisation new connections.
func TestFewHomesMoveWithAnUpstream(t *testing.T) {
	demands, upstreams := unevenDemands(), []string{"u-1", "u-2", "u-3"}
	for service := range 8 {
		name := fmt.Sprintf("s-%d", service)
		two, three := Place(name, demands, upstreams[:2], 35), Place(name, demands, upstreams, 35)
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

func TestFewOrganisationsHaveEveryHome(t *testing.T) {
	upstreams := []string{"u-1", "u-2", "u-3"}
	p := Place("s", unevenDemands()[:35], upstreams, 35)
	for _, d := range unevenDemands()[:35] {
		qt.Assert(t, homesOf(p, d.Organisation, upstreams), qt.HasLen, 3)
	}
	qt.Assert(t, Place("s", nil, upstreams, 35).Rank("unknown", "u-1"), qt.Equals, 0)
	qt.Assert(t, Place("s", unevenDemands(), nil, 35).Rank("o-00", "u-1"), qt.Equals, 0)
}
