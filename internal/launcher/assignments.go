package launcher

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/shallotstage/shallotstage/internal/admitter"
	"github.com/shallotstage/shallotstage/internal/broker"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/sampler"
	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/placer"
)

const (
	// reservedConnections of an upstream's connections are kept for queries of
	// control hosts.
	reservedConnections = 2
	// ownerFraction is the fraction of an upstream's connections that its first
	// owner opens. With more organisations than connections, each one more saves
	// openings.
	ownerFraction = 0.8
	// secondOwnerFraction is the fraction that the second owner opens for hosts
	// that cannot reach the first, until all hosts know that the first is gone.
	secondOwnerFraction = 0.12
	// fallbackFraction is the fraction that the fallback hosts of all data
	// centres open together.
	fallbackFraction = 0.08
	// nonOwnerIdleTimeout is the idle timeout of connections from a host that is
	// not the owner.
	nonOwnerIdleTimeout = time.Second
	// minDataCentreRate is the number of operations a second per data centre
	// below which an organisation's tokens are spent by one host of a whole
	// region: random bursts are then large compared with a data centre's share.
	minDataCentreRate = 5
	// assignedHosts is the number of hosts assigned to a key and tried one after
	// the other.
	assignedHosts = 2
	// tokenHostRate is the number of operations a second per token host, of which
	// each data centre or region has at most maxTokenHosts. With several
	// token hosts, hosts that a partition cuts off from one can still reach
	// another one with a share of the rate.
	tokenHostRate = 5
	maxTokenHosts = 4
)

// assignments computes which entry hosts own the connections to each upstream,
// hold the tokens of each organisation and keep the samples of each service. All
// hosts compute the same assignments from the same view.
type assignments struct {
	host       string
	dataCentre string
	location   transactor.Location

	// linkMegabits is the bandwidth of the hosts' links; zero means unknown.
	linkMegabits float64

	current atomic.Pointer[connectionOwners]
	// peers, upstreamDataCentres and undivided are the inputs of the current
	// assignment; firstOwners are the first owners of all upstreams. undivided are
	// the upstreams with a warm-up limit: only one host may hold the grant to send.
	peers               map[string]keeper.Peer
	upstreamDataCentres map[string]string
	undivided           map[string]bool
	// dataCentres is the number of data centres that have peers.
	dataCentres int
	firstOwners map[string]bool
	// tokenHosts maps an organisation to the hosts that spend its tokens, in the
	// order in which this host asks them.
	tokenHosts atomic.Pointer[map[string][]admitter.TokenHost]
	// sampleHosts maps a service to the hosts of this region that keep samples
	// of its primary.
	sampleHosts atomic.Pointer[map[string][]sampler.SampleHost]
	placements  atomic.Pointer[placements]
	// configurationVersion is the configuration for which tokenHosts was
	// computed.
	configurationVersion uint64
	// placementVersion and placementInputs are the configuration and the
	// upstreams for which placements were computed.
	placementVersion uint64
	placementInputs  map[string]placementInput
}

// update recomputes the assignments for a view. It is called by one goroutine.
func (o *assignments) update(view *keeper.View) {
	upstreamDataCentres, undivided := map[string]string{}, map[string]bool{}
	for id, u := range view.Upstreams {
		upstreamDataCentres[id] = u.DataCentre
		if view.Configuration.Services[u.Service].WarmupRate > 0 {
			undivided[id] = true
		}
	}
	o.placeOrganisations(view)
	same := maps.Equal(o.peers, view.Peers) && maps.Equal(o.upstreamDataCentres, upstreamDataCentres) && maps.Equal(o.undivided, undivided)
	if same && o.configurationVersion == view.Configuration.Version {
		return
	}
	o.peers, o.upstreamDataCentres, o.undivided, o.configurationVersion = view.Peers, upstreamDataCentres, undivided, view.Configuration.Version
	if !same {
		o.assignOwners()
	}
	o.assignTokenHosts(view)
}

// assignOwners assigns the owners of all upstreams.
func (o *assignments) assignOwners() {
	hosts, parts := o.groupPeers(func(p keeper.Peer) string { return p.DataCentre }), map[string]map[string]int{}
	o.dataCentres = len(hosts)
	for id, dataCentre := range o.upstreamDataCentres {
		if parts[dataCentre] == nil {
			parts[dataCentre] = map[string]int{}
		}
		parts[dataCentre][id] = placer.PartsFor(o.linkMegabits)
		if o.undivided[id] {
			parts[dataCentre][id] = 1
		}
	}
	next := connectionOwners{}
	o.firstOwners = map[string]bool{}
	for dataCentre, upstreams := range parts {
		assigned := placer.AssignParts(upstreams, hosts[dataCentre], assignedHosts)
		for id := range upstreams {
			for _, ranked := range assigned[id] {
				o.firstOwners[ranked[0]] = true
			}
			next[id] = newUpstreamOwners(id, o.dataCentre, assigned[id], hosts[o.dataCentre], o.addressOf)
		}
	}
	o.current.Store(&next)
}

// assignTokenHosts assigns the token hosts of all organisations and the sample
// hosts of all services.
func (o *assignments) assignTokenHosts(view *keeper.View) {
	dataCentres := o.groupPeers(func(p keeper.Peer) string { return p.DataCentre })
	var perDataCentre, perRegion []string
	for name, organisation := range view.Configuration.Organisations {
		if organisation.Rate < minDataCentreRate*float64(len(dataCentres)) {
			perRegion = append(perRegion, name)
		} else {
			perDataCentre = append(perDataCentre, name)
		}
	}
	byRegion := o.groupPeers(func(p keeper.Peer) string { return o.location.Regions[p.DataCentre] })
	tokenHosts := map[string][]admitter.TokenHost{}
	o.addTokenHosts(tokenHosts, view, perDataCentre, dataCentres, o.nearestFirst(dataCentres))
	o.addTokenHosts(tokenHosts, view, perRegion, byRegion, o.regionFirst(byRegion))
	o.tokenHosts.Store(&tokenHosts)
	sampleHosts := map[string][]sampler.SampleHost{}
	for service, ranked := range placer.AssignBounded(slices.Collect(maps.Keys(view.Configuration.Services)), o.nonOwners(byRegion[o.location.Region]), assignedHosts) {
		for _, host := range ranked {
			sampleHosts[service] = append(sampleHosts[service], sampler.SampleHost{Host: host, Address: o.addressOf(host)})
		}
	}
	o.sampleHosts.Store(&sampleHosts)
}

// addTokenHosts adds the token hosts of organisations in each of the locations,
// which are data centres or regions, in the order in which this host asks them.
func (o *assignments) addTokenHosts(tokenHosts map[string][]admitter.TokenHost, view *keeper.View, organisations []string, locations map[string][]string, order []string) {
	for _, location := range order {
		for name, ranked := range placer.AssignBounded(organisations, o.nonOwners(locations[location]), maxTokenHosts) {
			n := int(view.Configuration.Organisations[name].Rate / float64(tokenHostRate*len(locations)))
			for _, host := range o.requestOrder(name, ranked, min(max(1, n), len(ranked))) {
				tokenHosts[name] = append(tokenHosts[name], admitter.TokenHost{Host: host, Address: o.addressOf(host)})
			}
		}
	}
}

// nearestFirst orders data centres: this host's, then those of its region, then
// the others.
func (o *assignments) nearestFirst(dataCentres map[string][]string) []string {
	rank := func(dataCentre string) int {
		return slices.Index([]balancer.Distance{balancer.DistanceDataCentre, balancer.DistanceRegion, balancer.DistanceFar}, o.location.DistanceTo(dataCentre))
	}
	names := slices.Sorted(maps.Keys(dataCentres))
	slices.SortStableFunc(names, func(a, b string) int { return rank(a) - rank(b) })
	return names
}

// regionFirst orders regions: this host's, then the others.
func (o *assignments) regionFirst(regions map[string][]string) []string {
	names := slices.Sorted(maps.Keys(regions))
	if i := slices.Index(names, o.location.Region); i > 0 {
		names = append([]string{o.location.Region}, slices.Delete(names, i, i+1)...)
	}
	return names
}

// requestOrder returns the token hosts in the order in which this host asks them.
// It starts with itself if it is one of the first n, or else with the one
// assigned to it by hash.
func (o *assignments) requestOrder(organisation string, ranked []string, n int) []string {
	first := slices.Index(ranked[:n], o.host)
	if first < 0 {
		first = placer.PickOwner(organisation, o.host, n)
	}
	ordered := append(slices.Clone(ranked[first:n]), ranked[:first]...)
	return append(ordered, ranked[n:max(n, min(assignedHosts, len(ranked)))]...)
}

// sampleHostsOf returns the hosts of this region that keep samples of a service.
func (o *assignments) sampleHostsOf(service string) []sampler.SampleHost {
	if current := o.sampleHosts.Load(); current != nil {
		return (*current)[service]
	}
	return nil
}

// groupPeers groups the peers by a key. The names in each group are sorted.
func (o *assignments) groupPeers(group func(p keeper.Peer) string) map[string][]string {
	groups := map[string][]string{}
	for name, p := range o.peers {
		groups[group(p)] = append(groups[group(p)], name)
	}
	for _, names := range groups {
		slices.Sort(names)
	}
	return groups
}

// nonOwners returns the hosts that are not the first owner of any upstream, or
// all hosts if fewer than half are left.
func (o *assignments) nonOwners(hosts []string) []string {
	others := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return o.firstOwners[h] })
	if 2*len(others) < len(hosts) {
		return hosts
	}
	return others
}

// addressOf returns the address of a host, or an empty string for this one.
func (o *assignments) addressOf(host string) string {
	if host == o.host {
		return ""
	}
	return o.peers[host].Address
}

// tokenHostsOf returns the hosts that spend an organisation's tokens.
func (o *assignments) tokenHostsOf(organisation string) []admitter.TokenHost {
	if current := o.tokenHosts.Load(); current != nil {
		return (*current)[organisation]
	}
	return nil
}

// ofUpstream returns the owners of an upstream.
func (o *assignments) ofUpstream(u keeper.Upstream) upstreamOwners {
	if current := o.current.Load(); current != nil {
		return (*current)[u.ID]
	}
	return upstreamOwners{}
}

// ownersOf returns the owners of the connections to an upstream that an organisation
// uses.
func (o *assignments) ownersOf(u keeper.Upstream, organisation string) []broker.Owner {
	return ofPart(o.ofUpstream(u).owners, u.ID, organisation)
}

// lendersOf returns the hosts that lend an organisation connections to an upstream:
// the owners and the fallback host of this data centre.
func (o *assignments) lendersOf(u keeper.Upstream, organisation string) []broker.Owner {
	return ofPart(o.ofUpstream(u).lenders, u.ID, organisation)
}

// isFirstOwner reports whether this host is the first owner of an upstream. If no host is
// in its data centre, each host may act as one.
func (o *assignments) isFirstOwner(u keeper.Upstream) bool {
	parts := o.ofUpstream(u).owners
	return len(parts) == 0 || parts[0][0].Host == o.host
}

// poolLimits returns how many of an upstream's connections this host may hold. The
// limits of all hosts together stay within the upstream's. A host that is neither
// owner nor fallback opens none, unless there is no such host. It is called by the
// goroutine that calls update.
func (o *assignments) poolLimits(view *keeper.View, u keeper.Upstream) connector.PoolLimits {
	most := float64(view.Configuration.Services[u.Service].MaxConnections - reservedConnections)
	owned := o.ofUpstream(u)
	share := most / float64(max(1, len(owned.owners)))
	first, second := 0, 0
	for _, owners := range owned.owners {
		switch slices.IndexFunc(owners, func(l broker.Owner) bool { return l.Host == o.host }) {
		case 0:
			first += max(1, int(share*ownerFraction))
		case 1:
			second += max(1, int(share*secondOwnerFraction))
		}
	}
	switch {
	case first > 0:
		return connector.PoolLimits{MaxConnections: first + second}
	case second > 0:
		return connector.PoolLimits{MaxConnections: second, IdleTimeout: nonOwnerIdleTimeout}
	case owned.fallback == o.host || len(owned.lenders) == 0:
		return connector.PoolLimits{MaxConnections: max(1, int(most*fallbackFraction)/max(1, o.dataCentres)), IdleTimeout: nonOwnerIdleTimeout}
	}
	return connector.PoolLimits{IdleTimeout: nonOwnerIdleTimeout}
}
