package controlclient

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

// oddTopology returns a topology whose upstream "odd" cannot be decoded.
func oddTopology(revision, index uint64) map[string]any {
	return map[string]any{
		"revision": revision, "index": index,
		"upstreams": map[string]any{"good": keeper.Upstream{ID: "good", Service: "s"}, "odd": map[string]any{"id": "odd", "slots": 1e30}},
		"primaries": map[string]any{"s": "good", "t": 7},
		"members":   map[string]any{"c1": keeper.Member{ID: "c1"}, "c2": []int{1}},
	}
}

// A host that could not decode one entry of a topology left the control host and asked for
// it again, without end.
func TestOddEntryOfATopologyIsLeftOut(t *testing.T) {
	c := &Client{Now: time.Now, Shares: &spender.Spender{Now: time.Now}}
	qt.Assert(t, c.apply(Update{
		Topology: compress(t, oddTopology(7, 50)),
		Peers:    compress(t, map[string]any{"entry-1": keeper.Peer{Address: "a:1"}, "entry-2": "nowhere"}),
	}), qt.IsNil)
	view, _ := c.View()
	good := map[string]keeper.Upstream{"good": {ID: "good", Service: "s"}}
	qt.Assert(t, view.Upstreams, qt.DeepEquals, good)
	qt.Assert(t, view.Primaries, qt.DeepEquals, map[string]string{"s": "good"})
	qt.Assert(t, view.Members, qt.DeepEquals, map[string]keeper.Member{"c1": {ID: "c1"}})
	qt.Assert(t, view.Peers, qt.DeepEquals, map[string]keeper.Peer{"entry-1": {Address: "a:1"}})
	change := map[string]any{"from": 7, "revision": 8, "index": 51, "upstreams": map[string]any{"next": keeper.Upstream{ID: "next"}, "odd": 3}}
	qt.Assert(t, c.apply(Update{TopologyChange: compress(t, change)}), qt.IsNil)
	view, _ = c.View()
	good["next"] = keeper.Upstream{ID: "next"}
	qt.Assert(t, view.Upstreams, qt.DeepEquals, good)
	qt.Assert(t, view.Index, qt.Equals, uint64(51))
}

// A host that cannot read a configuration keeps its own and follows the topology.
func TestUnreadableConfigurationKeepsTheOldOne(t *testing.T) {
	c := &Client{Now: time.Now, Shares: &spender.Spender{Now: time.Now}}
	qt.Assert(t, c.apply(Update{Configuration: compress(t, keeper.Configuration{Version: 4})}), qt.IsNil)
	odd := map[string]any{"version": 5, "organisations": map[string]any{"o": map[string]any{"rate": "much"}}}
	qt.Assert(t, c.apply(Update{Configuration: compress(t, odd), Topology: compress(t, oddTopology(3, 9))}), qt.IsNil)
	view, _ := c.View()
	qt.Assert(t, view.Configuration.Version, qt.Equals, uint64(4))
	qt.Assert(t, view.Revision, qt.Equals, uint64(3))
}
