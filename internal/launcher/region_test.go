package launcher

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// An owner that did not apply its own configuration would run the restricted statements
// of a host that does not know of the restriction.
func TestOwnerAppliesTheRestrictionsOfRouteAndOrganisation(t *testing.T) {
	v := &keeper.View{
		Configuration: keeper.Configuration{
			Version:       1,
			Routes:        map[string]keeper.Route{"open": {}, "east": {PermittedRegions: []string{"east"}}, "west": {PermittedRegions: []string{"west"}}},
			Organisations: map[string]keeper.Organisation{"all": {}, "eastern": {PermittedRegions: []string{"east"}}},
		},
		Upstreams: map[string]keeper.Upstream{"u-east": {DataCentre: "a"}, "u-west": {DataCentre: "b"}, "u-odd": {DataCentre: "c"}},
	}
	place := transactor.Location{DataCentre: "a", Region: "east", Regions: map[string]string{"b": "west"}}
	tests := []struct {
		upstream, organisation, route string
		permitted                     bool
	}{
		{"u-west", "all", "open", true},
		{"u-west", "all", "", true},
		{"u-west", "all", "east", false},
		{"u-west", "eastern", "open", false},
		{"u-west", "all", "west", true},
		{"u-west", "eastern", "west", false},
		{"u-east", "eastern", "east", true},
		{"u-odd", "all", "open", true},
		{"u-odd", "all", "east", false},
		{"unknown", "all", "east", false},
	}
	for _, test := range tests {
		err := checkRegion(v, place, test.upstream, test.organisation, test.route)
		qt.Assert(t, err == nil, qt.Equals, test.permitted, qt.Commentf("%+v", test))
	}
}
