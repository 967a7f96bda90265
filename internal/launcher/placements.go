package launcher

import (
	"maps"

	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/placer"
)

const (
	// homeFraction is the fraction of an owner's connections to an upstream that
	// is planned for organisations placed there. The rest covers simultaneous
	// statements of one organisation, and requests that other upstreams could not
	// take. With more, organisations displace each other; with less, more reads
	// go to another region: docs/design/0016.
	homeFraction = 0.86
	// primaryHomeFraction is that fraction at a primary, which also needs
	// connections for the writes of all organisations.
	primaryHomeFraction = 0.74
)

// placements holds, by service, which upstreams keep connections for which
// organisation. A service is missing if its upstreams have connections for all.
type placements map[string]placer.Placement

// placementInput is what the placement of an upstream's service depends on.
type placementInput struct {
	service, dataCentre string
	primary             bool
}

// placeOrganisations recomputes the placements if the configuration, the ready
// upstreams or their primaries have changed.
func (o *assignments) placeOrganisations(view *keeper.View) {
	inputs := map[string]placementInput{}
	for id, u := range view.Upstreams {
		if u.Lifecycle == keeper.LifecycleReady {
			inputs[id] = placementInput{u.Service, u.DataCentre, view.Primaries[u.Service] == id}
		}
	}
	if o.placementVersion == view.Configuration.Version && maps.Equal(o.placementInputs, inputs) {
		return
	}
	o.placementVersion, o.placementInputs = view.Configuration.Version, inputs
	demands := organisationDemands(view)
	services := map[string]map[string][]placer.Capacity{}
	for id, input := range inputs {
		owned := ownerConnections(view, input.service)
		if len(demands) <= int(owned*homeFraction) {
			continue
		}
		homes := int(owned * homeFraction)
		if input.primary {
			homes = int(owned * primaryHomeFraction)
		}
		regions := services[input.service]
		if regions == nil {
			regions = map[string][]placer.Capacity{}
			services[input.service] = regions
		}
		region := o.location.Regions[input.dataCentre]
		regions[region] = append(regions[region], placer.Capacity{Upstream: id, MaxHomes: homes})
	}
	next := placements{}
	for service, regions := range services {
		next[service] = placer.Place(service, demands, regions)
	}
	o.placements.Store(&next)
}

// organisationDemands returns the demands of all organisations and of public
// routes. The rate of an organisation stands for its demand.
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
func (o *assignments) affinity(u keeper.Upstream, organisation string) int {
	current := o.placements.Load()
	if current == nil {
		return 0
	}
	return (*current)[u.Service].Rank(organisation, u.ID)
}

// ownerConnections returns how many connections to each upstream of a service
// its owner may hold.
func ownerConnections(view *keeper.View, service string) float64 {
	return float64(view.Configuration.Services[service].MaxConnections-reservedConnections) * ownerFraction
}
