package coordinator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// A primary in a region that a route of its service does not permit cannot serve that
// route, so that candidates elsewhere come first.
func TestExcludedRoutesOfAnUpstream(t *testing.T) {
	decode := func([]byte) (keeper.Configuration, error) {
		return keeper.Configuration{Version: 1, Routes: map[string]keeper.Route{
			"open":       {Service: "s"},
			"east":       {Service: "s", PermittedRegions: []string{"east"}},
			"both":       {Service: "s", PermittedRegions: []string{"east", "west"}},
			"elsewhere":  {Service: "other", PermittedRegions: []string{"north"}},
			"everywhere": {Service: "s", PermittedRegions: []string{}},
		}}, nil
	}
	c := &Coordinator{Settings: Settings{DataCentre: "a", Region: "east", Regions: map[string]string{"b": "west", "c": "east"}}, state: keeper.New(decode)}
	c.state.Apply(keeper.Command{Kind: keeper.CommandConfigure, Version: 1}, 1)
	for dataCentre, want := range map[string]int{"a": 0, "c": 0, "b": 1, "unknown": 2} {
		qt.Assert(t, c.excludedRoutes(keeper.Upstream{Service: "s", DataCentre: dataCentre}), qt.Equals, want, qt.Commentf(dataCentre))
	}
}
