package controlclient

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/warmer"
)

// earlierUpdate and earlierConfiguration are what an entry host of a build without
// permitted regions and warm-up rates reads.
type earlierUpdate struct {
	ReportSequence uint64         `json:"answers,omitempty"`
	Configuration  CompressedJSON `json:"configuration,omitempty"`
	Hosts          int            `json:"hosts,omitempty"`
}

type earlierConfiguration struct {
	Version uint64 `json:"version"`
	Routes  map[string]struct {
		Service string `json:"service"`
	} `json:"routes"`
	Services map[string]struct {
		MaxConnections int `json:"max_connections"`
	} `json:"services"`
}

// An entry host of an earlier build must go on under a control host of this build.
func TestEarlierBuildReadsUpdates(t *testing.T) {
	configuration, err := CompressJSON(keeper.Configuration{
		Version: 4, Routes: map[string]keeper.Route{"r": {Service: "s", PermittedRegions: []string{"east"}}},
		Services: map[string]keeper.Service{"s": {MaxConnections: 9, WarmupRate: 20}}, Organisations: map[string]keeper.Organisation{"o": {PermittedRegions: []string{"east"}}},
	})
	qt.Assert(t, err, qt.IsNil)
	body, err := linker.JSONEncoding{}.Marshal(&Update{ReportSequence: 3, Hosts: 2, Configuration: configuration, WarmupGrants: map[string]warmer.Grant{"u": {Rate: 20}}})
	qt.Assert(t, err, qt.IsNil)
	var u earlierUpdate
	qt.Assert(t, linker.EntryEncoding{}.Unmarshal(body, &u), qt.IsNil)
	qt.Assert(t, u.ReportSequence, qt.Equals, uint64(3))
	var c earlierConfiguration
	qt.Assert(t, u.Configuration.Decode(&c), qt.IsNil)
	qt.Assert(t, c.Version, qt.Equals, uint64(4))
	qt.Assert(t, c.Routes["r"].Service, qt.Equals, "s")
	qt.Assert(t, c.Services["s"].MaxConnections, qt.Equals, 9)
}

// Without restrictions and rates the messages are those of the earlier build.
func TestUnusedFieldsAreNotSent(t *testing.T) {
	for _, v := range []any{Report{}, Update{}, keeper.Route{}, keeper.Organisation{}, keeper.Service{}} {
		body, err := json.Marshal(v)
		qt.Assert(t, err, qt.IsNil)
		for _, field := range []string{"warmup", "permitted_regions"} {
			qt.Assert(t, string(body), qt.Not(qt.Contains), field)
		}
	}
}
