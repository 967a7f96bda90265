package controlclient

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// A host that applies each change has the topology of the leader, whatever changed.
func TestChangesOfTopologyAddUp(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		leader := Topology{Revision: 1, Upstreams: map[string]keeper.Upstream{}, Primaries: map[string]string{}, Promotions: map[string]keeper.Promotion{}, Members: map[string]keeper.Member{}}
		host := leader
		for revision := uint64(2); revision < 60; revision++ {
			next := Topology{
				Revision: revision, Index: 3 * revision, Upstreams: maps.Clone(leader.Upstreams), Primaries: maps.Clone(leader.Primaries),
				Promotions: maps.Clone(leader.Promotions), Members: maps.Clone(leader.Members),
			}
			for range rnd.IntN(4) {
				id := fmt.Sprint("u", rnd.IntN(8))
				switch rnd.IntN(6) {
				case 0:
					delete(next.Upstreams, id)
				case 1:
					next.Primaries[id] = fmt.Sprint(revision)
				case 2:
					delete(next.Primaries, id)
				case 3:
					next.Promotions[id] = keeper.Promotion{Service: id, Token: revision}
				case 4:
					next.Members[id] = keeper.Member{ID: id, Node: fmt.Sprint(revision)}
				default:
					next.Upstreams[id] = keeper.Upstream{ID: id, Sequence: revision}
				}
			}
			body, err := json.Marshal(ChangeOf(leader, next))
			qt.Assert(t, err, qt.IsNil)
			var change TopologyChange
			qt.Assert(t, json.Unmarshal(body, &change), qt.IsNil)
			applied, ok := change.Apply(host)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, applied, qt.DeepEquals, next, qt.Commentf("seed %d, revision %d", seed, revision))
			_, ok = change.Apply(applied)
			qt.Assert(t, ok, qt.IsFalse, qt.Commentf("a change is applied once"))
			leader, host = next, applied
		}
	}
}

func TestChangesOfConfigurationAddUp(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		leader := keeper.Configuration{
			Version: 1, Routes: map[string]keeper.Route{}, Services: map[string]keeper.Service{}, Organisations: map[string]keeper.Organisation{}, Keys: map[string]string{},
		}
		host := leader
		for version := uint64(2); version < 120; version += 1 + rnd.Uint64N(3) {
			next := keeper.Configuration{
				Version: version, Routes: maps.Clone(leader.Routes), Services: maps.Clone(leader.Services), Organisations: maps.Clone(leader.Organisations), Keys: maps.Clone(leader.Keys),
				TransactionIdleTimeout: time.Duration(rnd.IntN(3)) * time.Second,
			}
			for range rnd.IntN(5) {
				name := fmt.Sprint("n", rnd.IntN(6))
				switch rnd.IntN(7) {
				case 0:
					delete(next.Routes, name)
				case 1:
					delete(next.Keys, name)
				case 2:
					next.Keys[name] = fmt.Sprint(version)
				case 3:
					next.Services[name] = keeper.Service{Name: name, MaxConnections: int(version)}
				case 4:
					delete(next.Services, name)
				case 5:
					next.Organisations[name] = keeper.Organisation{Name: name, Rate: float64(version), PermittedRegions: [][]string{nil, {"east"}, {"east", "west"}}[rnd.IntN(3)]}
				default:
					next.Routes[name] = keeper.Route{Name: name, Timeout: time.Duration(version % 3), PermittedRegions: [][]string{nil, {"east"}, {"east", "west"}}[rnd.IntN(3)]}
				}
			}
			body, err := json.Marshal(ConfigurationChangeOf(leader, next))
			qt.Assert(t, err, qt.IsNil)
			var change ConfigurationChange
			qt.Assert(t, json.Unmarshal(body, &change), qt.IsNil)
			applied, ok := change.Apply(host)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, applied, qt.DeepEquals, next, qt.Commentf("seed %d, version %d", seed, version))
			_, ok = change.Apply(applied)
			qt.Assert(t, ok, qt.IsFalse)
			leader, host = next, applied
		}
	}
}

// A revoked order must reach the hosts: an empty map of evacuations must not be taken
// for an unchanged one.
func TestTopologyChangeCarriesEvacuations(t *testing.T) {
	none := Topology{Revision: 1, Evacuations: map[string]uint64{}}
	ordered := Topology{Revision: 2, Evacuations: map[string]uint64{"a": 7}}
	revoked := Topology{Revision: 3, Evacuations: map[string]uint64{}}
	t1 := none
	for _, next := range []Topology{ordered, revoked} {
		body, err := CompressJSON(ChangeOf(t1, next))
		qt.Assert(t, err, qt.IsNil)
		var change TopologyChange
		odd, err := body.DecodeEntries(&change)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, odd, qt.HasLen, 0)
		got, ok := change.Apply(t1)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, got.Evacuations, qt.DeepEquals, next.Evacuations)
		t1 = got
	}
	unchanged := revoked
	unchanged.Revision = 4
	qt.Assert(t, ChangeOf(revoked, unchanged).Evacuations, qt.IsNil)
}

// An entry host of the build before evacuations decodes the same messages; it must find
// all of its fields and fail on none.
func TestEarlierBuildsReadTopologiesWithEvacuations(t *testing.T) {
	type earlierTopology struct {
		Revision   uint64                      `json:"revision"`
		Index      uint64                      `json:"index"`
		Upstreams  map[string]keeper.Upstream  `json:"upstreams"`
		Primaries  map[string]string           `json:"primaries"`
		Promotions map[string]keeper.Promotion `json:"promotions"`
		Members    map[string]keeper.Member    `json:"members"`
	}
	body, err := CompressJSON(Topology{Revision: 2, Index: 9, Primaries: map[string]string{"s": "p"}, Evacuations: map[string]uint64{"a": 7}})
	qt.Assert(t, err, qt.IsNil)
	var earlier earlierTopology
	odd, err := body.DecodeEntries(&earlier)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, odd, qt.HasLen, 0)
	qt.Assert(t, earlier, qt.DeepEquals, earlierTopology{Revision: 2, Index: 9, Primaries: map[string]string{"s": "p"}})
	// A control host of that build sends no evacuations.
	if body, err = CompressJSON(earlier); err != nil {
		t.Fatal(err)
	}
	var current Topology
	odd, err = body.DecodeEntries(&current)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, odd, qt.HasLen, 0)
	qt.Assert(t, current.Evacuations, qt.HasLen, 0)
}
