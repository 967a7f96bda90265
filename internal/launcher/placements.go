package launcher

import (
	"slices"

	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/placer"
)

// homeFraction is the fraction of the connections of an upstream's owner that
// are planned for organisations placed there. The rest covers simultaneous
// statements of one organisation and requests that other upstreams could not take.
const homeFraction = 0.8

// placements maps an upstream to the placement of its service and region.
type placements map[string]placer.Placement

// placeOrganisations decides for each service which upstreams of a region keep
// connections for which organisation. A primary keeps its connections for writes
// unless it is the only upstream of its service in the region.
func (o *assignments) placeOrganisations(view *keeper.View) {
	demands := organisationDemands(view)
	groups := map[[2]string][]string{}
	for id, u := range view.Upstreams {
		key := [2]string{u.Service, o.location.Regions[u.DataCentre]}
		groups[key] = append(groups[key], id)
	}
	next := placements{}
	for key, ids := range groups {
		service := key[0]
		perUpstream := int(ownerConnections(view, service) * homeFraction)
		// With fewer organisations, every upstream has connections for all.
		if len(demands) <= perUpstream {
			continue
		}
		slices.Sort(ids)
		replicas := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == view.Primaries[service] })
		if len(replicas) == 0 {
			continue
		}
		p := placer.Place(service, demands, replicas, perUpstream)
		for _, id := range ids {
			next[id] = p
		}
	}
	o.placements.Store(&next)
}

// organisationDemands returns the demands of all organisations and of public
// routes.
func organisationDemands(view *keeper.View) []placer.Demand {
	organisations := view.Configuration.Organisations
	demands := make([]placer.Demand, 0, len(organisations)+1)
	total := 0.0
	for name, organisation := range organisations {
		demands = append(demands, placer.Demand{Organisation: name, Weight: organisation.Rate})
		total += organisation.Rate
	}
	return append(demands, placer.Demand{Organisation: transactor.PublicOrganisation, Weight: total / float64(max(1, len(organisations)))})
}

// affinity returns the rank of an upstream for an organisation.
func (o *assignments) affinity(view *keeper.View, u keeper.Upstream, organisation string) int {
	current := o.placements.Load()
	if current == nil {
		return 0
	}
	p, ok := (*current)[u.ID]
	if !ok {
		return 0
	}
	if view.Primaries[u.Service] == u.ID {
		return primaryAffinity
	}
	return p.Rank(organisation, u.ID)
}

// primaryAffinity is the rank of a primary whose region has replicas.
const primaryAffinity = 1

// ownerConnections returns how many connections to each upstream of a service
// its owner may hold.
func ownerConnections(view *keeper.View, service string) float64 {
	return float64(view.Configuration.Services[service].MaxConnections-reservedConnections) * ownerFraction
}
