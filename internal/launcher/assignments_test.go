package launcher

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/broker"
	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/placer"
)

// fleetView returns a fleet of four data centres in two regions with five hosts
// each, and an upstream in each data centre.
func fleetView() (*keeper.View, map[string]string) {
	v := &keeper.View{
		Hosts: 20, Upstreams: map[string]keeper.Upstream{}, Peers: map[string]keeper.Peer{},
		Configuration: keeper.Configuration{
			Version:  1,
			Services: map[string]keeper.Service{"s": {MaxConnections: 42}},
			Organisations: map[string]keeper.Organisation{
				"small": {Name: "small", Rate: 8}, "large": {Name: "large", Rate: 80},
			},
		},
	}
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
	for dataCentre := range regions {
		id := "i-" + dataCentre
		v.Upstreams[id] = keeper.Upstream{ID: id, Service: "s", DataCentre: dataCentre}
		for i := range 5 {
			name := fmt.Sprintf("%s-%d", dataCentre, i)
			v.Peers[name] = keeper.Peer{Address: name + ":1", DataCentre: dataCentre}
		}
	}
	return v, regions
}

func assignmentsFor(host, dataCentre string, v *keeper.View, regions map[string]string) *assignments {
	o := &assignments{host: host, dataCentre: dataCentre, location: transactor.Location{DataCentre: dataCentre, Region: regions[dataCentre], Regions: regions}}
	o.update(v)
	return o
}

func TestHostsAgreeOnOwnersAndTokenHosts(t *testing.T) {
	v, regions := fleetView()
	owner := map[string]string{}
	all, first := map[string][]string{}, map[string]map[string]int{}
	for name, p := range v.Peers {
		o := assignmentsFor(name, p.DataCentre, v, regions)
		for id, u := range v.Upstreams {
			ranked := o.ownersOf(u, "small")
			qt.Assert(t, ranked, qt.HasLen, assignedHosts)
			for _, o := range ranked {
				// Bodies of restricted requests pass through the owners.
				qt.Assert(t, v.Peers[o.Host].DataCentre, qt.Equals, u.DataCentre)
			}
			for _, lender := range o.lendersOf(u, "small") {
				// They may pass through a host of the caller's data centre besides.
				dataCentre := v.Peers[lender.Host].DataCentre
				qt.Assert(t, dataCentre == u.DataCentre || dataCentre == p.DataCentre, qt.IsTrue, qt.Commentf("%s lends %s to %s", lender.Host, id, name))
			}
			qt.Assert(t, ranked[0].Address == "", qt.Equals, ranked[0].Host == name)
			if known := owner[id]; known != "" {
				qt.Assert(t, ranked[0].Host, qt.Equals, known)
			}
			owner[id] = ranked[0].Host
		}
		for organisation, location := range map[string]string{"small": regions[p.DataCentre], "large": p.DataCentre} {
			own := map[string]int{"small": assignedHosts, "large": maxTokenHosts}[organisation]
			list := o.tokenHostsOf(organisation)
			qt.Assert(t, list, qt.HasLen, map[string]int{"small": 2, "large": 4}[organisation]*own, qt.Commentf("those of all locations"))
			for _, other := range list[own:] {
				qt.Assert(t, strings.HasPrefix(other.Host, location), qt.IsFalse)
			}
			var names []string
			for _, one := range list[:own] {
				qt.Assert(t, strings.HasPrefix(one.Host, location), qt.IsTrue, qt.Commentf("its own location comes first"))
				names = append(names, one.Host)
				qt.Assert(t, one.Address == "", qt.Equals, one.Host == name)
			}
			if first[organisation+location] == nil {
				first[organisation+location] = map[string]int{}
			}
			first[organisation+location][names[0]]++
			qt.Assert(t, organisation == "small" || slices.Index(names, name) <= 0, qt.IsTrue, qt.Commentf("%s asks itself first", name))
			slices.Sort(names)
			if known := all[organisation+location]; known != nil {
				qt.Assert(t, names, qt.DeepEquals, known)
			}
			all[organisation+location] = names
		}
	}
	qt.Assert(t, all, qt.HasLen, 2+4)
	for _, location := range []string{"a", "b"} {
		qt.Assert(t, all["small"+location], qt.HasLen, assignedHosts)
		qt.Assert(t, first["small"+location], qt.HasLen, 1, qt.Commentf("a small rate is spent at one host of a region"))
	}
	for _, location := range []string{"a1", "a2", "b1", "b2"} {
		qt.Assert(t, all["large"+location], qt.HasLen, maxTokenHosts)
		qt.Assert(t, len(first["large"+location]) > 1, qt.IsTrue, qt.Commentf("the hosts start with different token hosts"))
	}
}

func TestConnectionsStayWithinTheUpstreamsBound(t *testing.T) {
	v, regions := fleetView()
	u := v.Upstreams["i-a1"]
	total := 0
	for name, p := range v.Peers {
		total += assignmentsFor(name, p.DataCentre, v, regions).poolLimits(v, u).MaxConnections
	}
	qt.Assert(t, total <= 42-reservedConnections, qt.IsTrue, qt.Commentf("%d connections", total))
}

// While hosts disagree about which owners answer, all of them may open connections
// at the same time. Together they must stay below the upstream's limit, which is
// 70 in the largest deployments.
func TestConnectionsOfHundredsOfHostsStayWithinTheLimit(t *testing.T) {
	v, regions := fleetView()
	v.Configuration.Services["s"] = keeper.Service{MaxConnections: 70}
	for _, dataCentre := range []string{"a3", "b3"} {
		regions[dataCentre] = dataCentre[:1]
	}
	for dataCentre := range regions {
		for i := range 14 {
			name := fmt.Sprintf("%s-%d", dataCentre, i)
			v.Peers[name] = keeper.Peer{Address: name + ":1", DataCentre: dataCentre}
		}
	}
	v.Hosts = len(v.Peers)
	for _, u := range v.Upstreams {
		total := 0
		for name, p := range v.Peers {
			o := assignmentsFor(name, p.DataCentre, v, regions)
			limit := o.poolLimits(v, u).MaxConnections
			total += limit
			fallback := o.lendersOf(u, "small")[assignedHosts]
			qt.Assert(t, v.Peers[fallback.Host].DataCentre, qt.Equals, p.DataCentre)
			qt.Assert(t, limit > 0, qt.Equals, slices.ContainsFunc(o.lendersOf(u, "small"), func(l broker.Owner) bool { return l.Address == "" }), qt.Commentf("a host that is asked for connections may open some"))
		}
		qt.Assert(t, total <= 70-reservedConnections, qt.IsTrue, qt.Commentf("%d connections to %s", total, u.ID))
	}
}

// A host that is alone, or that does not know any other yet, must open its own.
func TestHostWithoutOthersOpensConnections(t *testing.T) {
	v, regions := fleetView()
	v.Peers = map[string]keeper.Peer{}
	o := assignmentsFor("a1-0", "a1", v, regions)
	qt.Assert(t, o.poolLimits(v, v.Upstreams["i-a1"]).MaxConnections >= 1, qt.IsTrue)
	qt.Assert(t, o.poolLimits(v, v.Upstreams["i-b1"]).MaxConnections >= 1, qt.IsTrue)
	v.Peers["a1-0"] = keeper.Peer{Address: "a1-0:1", DataCentre: "a1"}
	o = assignmentsFor("a1-0", "a1", v, regions)
	qt.Assert(t, o.poolLimits(v, v.Upstreams["i-a1"]).MaxConnections, qt.Equals, 32)
	qt.Assert(t, o.poolLimits(v, v.Upstreams["i-b1"]).MaxConnections >= 1, qt.IsTrue)
}

// A host that owned several upstreams of a data centre would be a bottleneck for
// all of them, so they must be spread over the hosts.
func TestNoHostOwnsTwoUpstreamsWhileOthersOwnNone(t *testing.T) {
	v, regions := fleetView()
	for _, dataCentre := range []string{"a1", "b2"} {
		for i := range 3 {
			id := fmt.Sprintf("i-%s-%d", dataCentre, i)
			v.Upstreams[id] = keeper.Upstream{ID: id, Service: "s", DataCentre: dataCentre}
		}
	}
	for i := range 40 {
		name := fmt.Sprintf("organisation-%d", i)
		v.Configuration.Organisations[name] = keeper.Organisation{Name: name, Rate: float64(4 * i)}
	}
	owned, firstAsked, asked := map[string]int{}, map[string]int{}, 0
	for name, p := range v.Peers {
		o := assignmentsFor(name, p.DataCentre, v, regions)
		if name == "a1-0" {
			for _, u := range v.Upstreams {
				owned[o.ownersOf(u, "small")[0].Host]++
			}
		}
		if p.DataCentre == "a1" {
			for organisation := range v.Configuration.Organisations {
				firstAsked[o.tokenHostsOf(organisation)[0].Host]++
				asked++
			}
		}
	}
	for host, n := range owned {
		qt.Assert(t, n, qt.Equals, 1, qt.Commentf("%s", host))
	}
	for host, n := range firstAsked {
		qt.Assert(t, n <= asked/2, qt.IsTrue, qt.Commentf("%s spends for %d of %d", host, n, asked))
	}
}

// narrowAssignmentsFor returns the assignments of a host with a narrow link.
func narrowAssignmentsFor(host, dataCentre string, v *keeper.View, regions map[string]string) *assignments {
	o := &assignments{
		host: host, dataCentre: dataCentre, linkMegabits: 2,
		location: transactor.Location{DataCentre: dataCentre, Region: regions[dataCentre], Regions: regions},
	}
	o.update(v)
	return o
}

// One host with a narrow link cannot carry all statements of an upstream: its answers
// come late, callers take it for lost, and their requests come again elsewhere.
func TestHostsWithNarrowLinksShareAnUpstream(t *testing.T) {
	v, regions := fleetView()
	for i := range 60 {
		name := fmt.Sprintf("organisation-%d", i)
		v.Configuration.Organisations[name] = keeper.Organisation{Name: name, Rate: 8}
	}
	u := v.Upstreams["i-a1"]
	reference := narrowAssignmentsFor("b2-0", "b2", v, regions)
	carried, total := map[string]int{}, 0
	for organisation := range v.Configuration.Organisations {
		carried[reference.ownersOf(u, organisation)[0].Host]++
	}
	qt.Assert(t, len(carried) >= 2, qt.IsTrue, qt.Commentf("owners and their organisations: %v", carried))
	for name, p := range v.Peers {
		o := narrowAssignmentsFor(name, p.DataCentre, v, regions)
		for organisation := range v.Configuration.Organisations {
			owners := o.ownersOf(u, organisation)
			qt.Assert(t, owners[0].Host, qt.Equals, reference.ownersOf(u, organisation)[0].Host)
			for _, owner := range owners {
				// Bodies of restricted requests pass through the owners.
				qt.Assert(t, v.Peers[owner.Host].DataCentre, qt.Equals, u.DataCentre)
			}
		}
		limits := o.poolLimits(v, u)
		qt.Assert(t, limits.MaxConnections > 0 || carried[name] == 0, qt.IsTrue, qt.Commentf("%s lends connections and may open none", name))
		total += limits.MaxConnections
	}
	qt.Assert(t, total <= 42-reservedConnections, qt.IsTrue, qt.Commentf("%d connections", total))
}

// Two hosts that send to a cold upstream would need two grants.
func TestUpstreamWithWarmupLimitHasOneOwner(t *testing.T) {
	v, regions := fleetView()
	v.Configuration.Services["s"] = keeper.Service{MaxConnections: 42, WarmupRate: 10}
	o := narrowAssignmentsFor("a1-0", "a1", v, regions)
	qt.Assert(t, o.ofUpstream(v.Upstreams["i-a1"]).owners, qt.HasLen, 1)
	first := 0
	for name, p := range v.Peers {
		if narrowAssignmentsFor(name, p.DataCentre, v, regions).isFirstOwner(v.Upstreams["i-a1"]) {
			first++
		}
	}
	qt.Assert(t, first, qt.Equals, 1)
}

// A change of the limit must divide the connections anew although no host and no
// upstream has come or gone.
func TestOwnersFollowTheWarmupLimit(t *testing.T) {
	v, regions := fleetView()
	o := narrowAssignmentsFor("a1-0", "a1", v, regions)
	qt.Assert(t, o.ofUpstream(v.Upstreams["i-a1"]).owners, qt.HasLen, placer.PartsFor(2))
	next := *v
	next.Configuration.Version++
	next.Configuration.Services = map[string]keeper.Service{"s": {MaxConnections: 42, WarmupRate: 10}}
	o.update(&next)
	qt.Assert(t, o.ofUpstream(v.Upstreams["i-a1"]).owners, qt.HasLen, 1)
}
