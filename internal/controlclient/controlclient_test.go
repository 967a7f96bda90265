package controlclient

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

func compress(t *testing.T, v any) CompressedJSON {
	body, err := CompressJSON(v)
	qt.Assert(t, err, qt.IsNil)
	return body
}

// Whatever a control host sends, a host goes back neither to an older topology nor to an
// older configuration, nor does it apply a change of one that it does not have.
func TestHostNeverGoesBack(t *testing.T) {
	c := &Client{Now: time.Now, Shares: &spender.Spender{Now: time.Now}}
	apply := func(u Update) error { return c.apply(u) }
	upstreams := map[string]keeper.Upstream{"u": {ID: "u"}}
	qt.Assert(t, apply(Update{Topology: compress(t, Topology{Revision: 7, Index: 50, Upstreams: upstreams}), Configuration: compress(t, keeper.Configuration{Version: 4})}), qt.IsNil)
	qt.Assert(t, apply(Update{Topology: compress(t, Topology{Revision: 900, Index: 49})}), qt.ErrorMatches, ".*older than.*")
	qt.Assert(t, apply(Update{Configuration: compress(t, keeper.Configuration{Version: 3})}), qt.IsNil)
	qt.Assert(t, apply(Update{TopologyChange: compress(t, TopologyChange{From: 6, Revision: 8, Index: 51})}), qt.ErrorMatches, ".*change of topology 6.*")
	qt.Assert(t, apply(Update{ConfigurationChange: compress(t, ConfigurationChange{From: 3, Version: 5})}), qt.ErrorMatches, ".*change of configuration 3.*")
	qt.Assert(t, apply(Update{Topology: []byte("garbage")}), qt.Not(qt.IsNil))
	view, _ := c.View()
	qt.Assert(t, view.Revision, qt.Equals, uint64(7))
	qt.Assert(t, view.Configuration.Version, qt.Equals, uint64(4))
	qt.Assert(t, view.Upstreams, qt.DeepEquals, upstreams)
}

// While a fleet is upgraded, a leader of an earlier build grants no leases and sends no
// index. A host must serve under it, and need a lease again under a later one.
func TestLeaderOfAnEarlierBuild(t *testing.T) {
	c := &Client{Now: time.Now, Shares: &spender.Spender{Now: time.Now}}
	upstreams := map[string]keeper.Upstream{"u": {ID: "u"}}
	qt.Assert(t, c.apply(Update{Topology: compress(t, Topology{Revision: 3, Upstreams: upstreams})}), qt.IsNil)
	qt.Assert(t, c.HoldsLease(), qt.IsTrue)
	qt.Assert(t, c.apply(Update{Topology: compress(t, Topology{Revision: 2, Index: 40, Upstreams: upstreams})}), qt.IsNil)
	qt.Assert(t, c.HoldsLease(), qt.IsFalse)
	qt.Assert(t, c.apply(Update{Topology: compress(t, Topology{Revision: 9})}), qt.IsNil)
	qt.Assert(t, c.HoldsLease(), qt.IsTrue)
}
