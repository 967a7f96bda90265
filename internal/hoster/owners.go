package hoster

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/shallotstage/shallotstage/internal/admitter"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/lender"
	"github.com/shallotstage/shallotstage/internal/sampler"
	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/placer"
)

const (
	// reservedConnections are left of an upstream's connections for control
	// hosts' questions.
	reservedConnections = 2
	// ownerPart is the part of an upstream's connections that hosts of its data
	// centre open. The rest is for hosts that do not reach the owner, and for
	// an owner that starts again while the upstream still counts the
	// connections of before.
	ownerPart = 0.6
	// otherPart is the part that hosts of other data centres open together.
	otherPart = 0.15
	// otherKeep is how long a host that is not the owner keeps an idle
	// connection.
	otherKeep = time.Second
	// dataCentreRate is the operations a second for each data centre below which
	// an organisation's tokens are spent by one host of a whole region: chance
	// arrivals are then large beside a data centre's part.
	dataCentreRate = 5
	// ownersKept is the number of owners that are tried one after the other.
	ownersKept = 2
	// treasurerRate is the operations a second for each treasurer, of which there
	// are maxTreasurers at most in a place. With several, hosts that a partition
	// cuts off from one reach another one that has a part of the rate.
	treasurerRate = 5
	maxTreasurers = 4
)

// owners knows which entry hosts hold the connections to each upstream.
type owners struct {
	host       string
	dataCentre string
	place      transactor.Place

	current atomic.Pointer[ownersOf]
	// peers and places, the data centres of upstreams, are what current was
	// made for; busy are the best owners.
	peers  map[string]keeper.Peer
	places map[string]string
	busy   map[string]bool
	// treasurers maps an organisation to the hosts of this data centre, or of
	// this region, that spend its tokens.
	treasurers atomic.Pointer[map[string][]admitter.Treasurer]
	// keepers maps a service to the hosts of this region that keep samples of
	// its primary.
	keepers atomic.Pointer[map[string][]sampler.Keeper]
	// spent is the configuration that treasurers was made for.
	spent uint64
}

// ownersOf maps an upstream's ID to its owners, the best first.
type ownersOf map[string][]lender.Owner

// take follows a view. It is called by one goroutine.
func (o *owners) take(view *keeper.View) {
	places := map[string]string{}
	for id, u := range view.Upstreams {
		places[id] = u.DataCentre
	}
	same := maps.Equal(o.peers, view.Peers) && maps.Equal(o.places, places)
	if same && o.spent == view.Configuration.Version {
		return
	}
	o.peers, o.places, o.spent = view.Peers, places, view.Configuration.Version
	if !same {
		o.takeUpstreams()
	}
	o.takeOrganisations(view)
}

// takeUpstreams chooses the owners of all upstreams.
func (o *owners) takeUpstreams() {
	hosts, upstreams := o.peersBy(func(p keeper.Peer) string { return p.DataCentre }), map[string][]string{}
	for id, dataCentre := range o.places {
		upstreams[dataCentre] = append(upstreams[dataCentre], id)
	}
	next := ownersOf{}
	o.busy = map[string]bool{}
	for dataCentre, ids := range upstreams {
		for id, ranked := range placer.Spread(ids, hosts[dataCentre], ownersKept) {
			o.busy[ranked[0]] = true
			for _, host := range ranked {
				next[id] = append(next[id], lender.Owner{Host: host, Address: o.addressOf(host)})
			}
		}
	}
	o.current.Store(&next)
}

// takeOrganisations chooses the treasurers of all organisations and the keepers
// of samples.
func (o *owners) takeOrganisations(view *keeper.View) {
	dataCentres := o.peersBy(func(p keeper.Peer) string { return p.DataCentre })
	var near, wide []string
	for name, organisation := range view.Configuration.Organisations {
		if organisation.Rate < dataCentreRate*float64(len(dataCentres)) {
			wide = append(wide, name)
		} else {
			near = append(near, name)
		}
	}
	byRegion := o.peersBy(func(p keeper.Peer) string { return o.place.Regions[p.DataCentre] })
	treasurers := map[string][]admitter.Treasurer{}
	o.addTreasurers(treasurers, view, near, dataCentres, o.nearestFirst(dataCentres))
	o.addTreasurers(treasurers, view, wide, byRegion, o.regionFirst(byRegion))
	o.treasurers.Store(&treasurers)
	keepers := map[string][]sampler.Keeper{}
	for service, ranked := range placer.Spread(slices.Collect(maps.Keys(view.Configuration.Services)), o.spare(byRegion[o.place.Region]), ownersKept) {
		for _, host := range ranked {
			keepers[service] = append(keepers[service], sampler.Keeper{Host: host, Address: o.addressOf(host)})
		}
	}
	o.keepers.Store(&keepers)
}

// addTreasurers adds the treasurers of organisations in each of the places, in
// the order in which this host asks them.
func (o *owners) addTreasurers(treasurers map[string][]admitter.Treasurer, view *keeper.View, organisations []string, places map[string][]string, order []string) {
	for _, place := range order {
		for name, ranked := range placer.Spread(organisations, o.spare(places[place]), maxTreasurers) {
			n := int(view.Configuration.Organisations[name].Rate / float64(treasurerRate*len(places)))
			for _, host := range o.order(name, ranked, min(max(1, n), len(ranked))) {
				treasurers[name] = append(treasurers[name], admitter.Treasurer{Host: host, Address: o.addressOf(host)})
			}
		}
	}
}

// nearestFirst orders data centres: this host's, those of its region, the others.
func (o *owners) nearestFirst(dataCentres map[string][]string) []string {
	rank := func(dataCentre string) int {
		return slices.Index([]balancer.Distance{balancer.DistanceDataCentre, balancer.DistanceRegion, balancer.DistanceFar}, o.place.DistanceTo(dataCentre))
	}
	names := slices.Sorted(maps.Keys(dataCentres))
	slices.SortStableFunc(names, func(a, b string) int { return rank(a) - rank(b) })
	return names
}

// regionFirst orders regions: this host's, then the others.
func (o *owners) regionFirst(regions map[string][]string) []string {
	names := slices.Sorted(maps.Keys(regions))
	if i := slices.Index(names, o.place.Region); i > 0 {
		names = append([]string{o.place.Region}, slices.Delete(names, i, i+1)...)
	}
	return names
}

// order returns the treasurers that this host asks one after the other: of the
// first n it begins with itself, or with the one that falls to it.
func (o *owners) order(organisation string, ranked []string, n int) []string {
	first := slices.Index(ranked[:n], o.host)
	if first < 0 {
		first = placer.Pick(organisation, o.host, n)
	}
	ordered := append(slices.Clone(ranked[first:n]), ranked[:first]...)
	return append(ordered, ranked[n:max(n, min(ownersKept, len(ranked)))]...)
}

// keepersOf returns the hosts of this region that keep samples of a service.
func (o *owners) keepersOf(service string) []sampler.Keeper {
	if current := o.keepers.Load(); current != nil {
		return (*current)[service]
	}
	return nil
}

// peersBy groups the hosts.
func (o *owners) peersBy(group func(p keeper.Peer) string) map[string][]string {
	groups := map[string][]string{}
	for name, p := range o.peers {
		groups[group(p)] = append(groups[group(p)], name)
	}
	for _, names := range groups {
		slices.Sort(names)
	}
	return groups
}

// spare returns the hosts that own no upstream, or all when those are few.
func (o *owners) spare(hosts []string) []string {
	spare := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return o.busy[h] })
	if 2*len(spare) < len(hosts) {
		return hosts
	}
	return spare
}

// addressOf returns where a host is reached; this one has no address.
func (o *owners) addressOf(host string) string {
	if host == o.host {
		return ""
	}
	return o.peers[host].Address
}

// treasurersOf returns the hosts that spend an organisation's tokens.
func (o *owners) treasurersOf(organisation string) []admitter.Treasurer {
	if current := o.treasurers.Load(); current != nil {
		return (*current)[organisation]
	}
	return nil
}

// of returns the owners of an upstream.
func (o *owners) of(u keeper.Upstream) []lender.Owner {
	if current := o.current.Load(); current != nil {
		return (*current)[u.ID]
	}
	return nil
}

// allow is what this host may hold of an upstream's connections.
func (o *owners) allow(view *keeper.View, u keeper.Upstream) connector.Allowance {
	most := float64(view.Configuration.Services[u.Service].MaxConnections - reservedConnections)
	a := connector.Allowance{Connections: max(1, int(most*ownerPart)), Keep: otherKeep}
	if u.DataCentre != o.dataCentre {
		a.Connections = max(1, int(most*otherPart)/max(1, view.Hosts))
	}
	if ranked := o.of(u); len(ranked) > 0 && ranked[0].Host == o.host {
		a.Keep = 0
	}
	return a
}
