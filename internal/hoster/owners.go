package hoster

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/shallotstage/shallotstage/internal/admitter"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/lender"
	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/configurer"
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
	ownerPart = 0.45
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
)

// owners knows which entry hosts hold the connections to each upstream.
type owners struct {
	host       string
	dataCentre string
	place      transactor.Place

	current atomic.Pointer[ownersOf]
	peers   map[string]keeper.Peer
	// treasurers maps an organisation to the hosts of this data centre, or of
	// this region, that spend its tokens.
	treasurers atomic.Pointer[map[string][]admitter.Treasurer]
	// spent is the configuration that treasurers was made for.
	spent uint64
}

// ownersOf maps an upstream's ID to its owners, the best first.
type ownersOf map[string][]lender.Owner

// take follows a view. It is called by one goroutine.
func (o *owners) take(view *keeper.View) {
	old := o.current.Load()
	next := ownersOf{}
	same := maps.Equal(o.peers, view.Peers)
	o.peers = view.Peers
	byDataCentre := map[string]map[string]configurer.Host{}
	for name, p := range view.Peers {
		if byDataCentre[p.DataCentre] == nil {
			byDataCentre[p.DataCentre] = map[string]configurer.Host{}
		}
		byDataCentre[p.DataCentre][name] = configurer.Host{ID: name}
	}
	for id, u := range view.Upstreams {
		if same && old != nil {
			if kept, ok := (*old)[id]; ok {
				next[id] = kept
				continue
			}
		}
		next[id] = o.choose(id, byDataCentre[u.DataCentre], view.Peers)
	}
	o.current.Store(&next)
	if same && o.spent == view.Configuration.Version {
		return
	}
	o.spent = view.Configuration.Version
	treasurers := map[string][]admitter.Treasurer{}
	region := o.regionOf(view.Peers)
	for name, organisation := range view.Configuration.Organisations {
		hosts := byDataCentre[o.dataCentre]
		if organisation.Rate < dataCentreRate*float64(len(byDataCentre)) {
			hosts = region
		}
		for _, owner := range o.choose("organisation "+name, hosts, view.Peers) {
			treasurers[name] = append(treasurers[name], admitter.Treasurer(owner))
		}
	}
	o.treasurers.Store(&treasurers)
}

// regionOf returns the hosts of this host's region.
func (o *owners) regionOf(peers map[string]keeper.Peer) map[string]configurer.Host {
	hosts := map[string]configurer.Host{}
	for name, p := range peers {
		if o.place.DistanceTo(p.DataCentre) != balancer.DistanceFar {
			hosts[name] = configurer.Host{ID: name}
		}
	}
	return hosts
}

// treasurersOf returns the hosts that spend an organisation's tokens.
func (o *owners) treasurersOf(organisation string) []admitter.Treasurer {
	if current := o.treasurers.Load(); current != nil {
		return (*current)[organisation]
	}
	return nil
}

// choose ranks hosts as owners of a thing.
func (o *owners) choose(thing string, hosts map[string]configurer.Host, peers map[string]keeper.Peer) []lender.Owner {
	var ranked []lender.Owner
	left := maps.Clone(hosts)
	for range min(ownersKept, len(hosts)) {
		best := placer.Placer{PerDataCentre: 1}.Owners(thing, left)
		if len(best) == 0 {
			break
		}
		delete(left, best[0])
		owner := lender.Owner{Host: best[0], Address: peers[best[0]].Address}
		if owner.Host == o.host {
			owner.Address = ""
		}
		ranked = append(ranked, owner)
	}
	return ranked
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
