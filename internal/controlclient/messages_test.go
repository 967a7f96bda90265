package controlclient

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

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
