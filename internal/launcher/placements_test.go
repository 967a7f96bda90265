package launcher

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// manyOrganisations adds more organisations than an upstream has connections.
func manyOrganisations(v *keeper.View) {
	for i := range 80 {
		name := fmt.Sprintf("organisation-%d", i)
		v.Configuration.Organisations[name] = keeper.Organisation{Name: name, Rate: 10}
	}
	v.Primaries = map[string]string{"s": "i-a1"}
	v.Upstreams["i-b1-2"] = keeper.Upstream{ID: "i-b1-2", Service: "s", DataCentre: "b1"}
}

// If hosts placed an organisation differently, or reads went to the primary by
// preference, connections would be opened and closed all the time.
func TestHostsAgreeOnPlacement(t *testing.T) {
	v, regions := fleetView()
	manyOrganisations(v)
	reference := assignmentsFor("a1-0", "a1", v, regions)
	for name, p := range v.Peers {
		o := assignmentsFor(name, p.DataCentre, v, regions)
		for organisation := range v.Configuration.Organisations {
			for _, u := range v.Upstreams {
				qt.Assert(t, o.affinity(v, u, organisation), qt.Equals, reference.affinity(v, u, organisation))
			}
		}
	}
	homes := map[string]int{}
	for organisation := range v.Configuration.Organisations {
		for id, u := range v.Upstreams {
			if reference.affinity(v, u, organisation) == 0 {
				homes[id]++
			}
		}
	}
	qt.Assert(t, homes["i-a1"], qt.Equals, 0, qt.Commentf("reads prefer the replicas of the region"))
	qt.Assert(t, homes["i-a2"], qt.Equals, 82, qt.Commentf("the only replica of a region"))
	for _, id := range []string{"i-b1", "i-b2", "i-b1-2"} {
		qt.Assert(t, homes[id] > 20 && homes[id] < 40, qt.IsTrue, qt.Commentf("%s keeps connections for %d", id, homes[id]))
	}
}

// The former primary must become a home and the new one must not stay one.
func TestPlacementFollowsThePrimary(t *testing.T) {
	v, regions := fleetView()
	manyOrganisations(v)
	o := assignmentsFor("b1-0", "b1", v, regions)
	next := *v
	next.Primaries = maps.Clone(v.Primaries)
	next.Primaries["s"] = "i-a2"
	o.update(&next)
	qt.Assert(t, o.affinity(&next, v.Upstreams["i-a1"], "small"), qt.Equals, 0)
	qt.Assert(t, o.affinity(&next, v.Upstreams["i-a2"], "small"), qt.Equals, primaryAffinity)
}

// With few organisations every upstream has connections for all, and reads are
// spread by load alone.
func TestFewOrganisationsAreNotPlaced(t *testing.T) {
	v, regions := fleetView()
	v.Primaries = map[string]string{"s": "i-a1"}
	o := assignmentsFor("a1-0", "a1", v, regions)
	for _, u := range v.Upstreams {
		qt.Assert(t, o.affinity(v, u, "small"), qt.Equals, 0)
	}
}
