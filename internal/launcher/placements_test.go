package launcher

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// manyOrganisations adds more organisations than an upstream has connections, and
// a second upstream in data centre b1.
func manyOrganisations(v *keeper.View) {
	for i := range 80 {
		name := fmt.Sprintf("organisation-%d", i)
		v.Configuration.Organisations[name] = keeper.Organisation{Name: name, Rate: 10 + float64(i)/100}
	}
	v.Primaries = map[string]string{"s": "i-a1"}
	v.Upstreams["i-b1-2"] = keeper.Upstream{ID: "i-b1-2", Service: "s", DataCentre: "b1"}
	for id, u := range v.Upstreams {
		u.Lifecycle = keeper.LifecycleReady
		v.Upstreams[id] = u
	}
}

// If hosts placed an organisation differently, or more organisations than an
// upstream has connections, connections would be opened and closed all the time.
func TestHostsAgreeOnPlacement(t *testing.T) {
	v, regions := fleetView()
	manyOrganisations(v)
	reference := assignmentsFor("a1-0", "a1", v, regions)
	for name, p := range v.Peers {
		o := assignmentsFor(name, p.DataCentre, v, regions)
		for organisation := range v.Configuration.Organisations {
			for _, u := range v.Upstreams {
				qt.Assert(t, o.affinity(u, organisation), qt.Equals, reference.affinity(u, organisation))
			}
		}
	}
	homes := map[string]int{}
	for organisation := range v.Configuration.Organisations {
		own := 0
		for id, u := range v.Upstreams {
			if reference.affinity(u, organisation) == 0 {
				homes[id]++
				own++
			}
		}
		qt.Assert(t, own >= 1, qt.IsTrue, qt.Commentf("%s has no home", organisation))
	}
	owned := ownerConnections(v, "s")
	for id, n := range homes {
		qt.Assert(t, float64(n) < owned, qt.IsTrue, qt.Commentf("%s: %d organisations, %g connections", id, n, owned))
	}
	qt.Assert(t, homes["i-a1"] < homes["i-a2"], qt.IsTrue, qt.Commentf("the primary keeps connections for writes"))
}

// The capacity of an upstream for reads changes when it becomes the primary or no
// longer is one, and that of one that is not ready must not be planned with.
func TestPlacementFollowsTheUpstreams(t *testing.T) {
	v, regions := fleetView()
	manyOrganisations(v)
	o := assignmentsFor("b1-0", "b1", v, regions)
	count := func(id string) (n int) {
		if o.affinity(v.Upstreams[id], transactor.PublicOrganisation) == 0 {
			n++
		}
		for organisation := range v.Configuration.Organisations {
			if o.affinity(v.Upstreams[id], organisation) == 0 {
				n++
			}
		}
		return n
	}
	atPrimary, atReplica := count("i-a1"), count("i-a2")
	next := *v
	next.Primaries = map[string]string{"s": "i-a2"}
	o.update(&next)
	qt.Assert(t, count("i-a1"), qt.Equals, atReplica)
	qt.Assert(t, count("i-a2"), qt.Equals, atPrimary)
	next.Upstreams = maps.Clone(v.Upstreams)
	draining := next.Upstreams["i-a1"]
	draining.Lifecycle = keeper.LifecycleDraining
	next.Upstreams["i-a1"] = draining
	before := map[string]int{}
	for organisation := range v.Configuration.Organisations {
		before[organisation] = o.affinity(v.Upstreams["i-b1"], organisation)
	}
	o.update(&next)
	moved := 0
	for organisation, rank := range before {
		if rank == 0 && o.affinity(v.Upstreams["i-b1"], organisation) != 0 {
			moved++
		}
	}
	qt.Assert(t, moved <= len(before)/4, qt.IsTrue, qt.Commentf("%d homes moved in another region", moved))
}

// With few organisations every upstream has connections for all, and reads are
// spread by load alone.
func TestFewOrganisationsAreNotPlaced(t *testing.T) {
	v, regions := fleetView()
	v.Primaries = map[string]string{"s": "i-a1"}
	o := assignmentsFor("a1-0", "a1", v, regions)
	for _, u := range v.Upstreams {
		qt.Assert(t, o.affinity(u, "small"), qt.Equals, 0)
	}
}

// The load test of pkg/balancer uses these numbers for upstreams with 70 connections.
// If they change here, its results are those of other decisions.
func TestLoadTestUsesTheseNumbers(t *testing.T) {
	v, regions := fleetView()
	v.Configuration.Services["s"] = keeper.Service{MaxConnections: 70}
	u := v.Upstreams["i-a1"]
	limits := map[int]bool{}
	for name, p := range v.Peers {
		limits[assignmentsFor(name, p.DataCentre, v, regions).poolLimits(v, u).MaxConnections] = true
	}
	qt.Assert(t, limits, qt.DeepEquals, map[int]bool{54: true, 8: true, 1: true, 0: true})
	qt.Assert(t, int(ownerConnections(v, "s")*homeFraction), qt.Equals, 46)
	qt.Assert(t, int(ownerConnections(v, "s")*primaryHomeFraction), qt.Equals, 40)
}
