package controlclient

import (
	"maps"
	"slices"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// TopologyChange is the difference between two topologies of one leader.
type TopologyChange struct {
	// From is the revision of the topology to change, Revision that of the result.
	From     uint64 `json:"from"`
	Revision uint64 `json:"revision"`
	// Index is that of the result.
	Index uint64 `json:"index"`
	// Upstreams are those that are new or have changed, Removed the IDs of those that
	// are gone.
	Upstreams map[string]keeper.Upstream `json:"upstreams,omitempty"`
	Removed   []string                   `json:"removed,omitempty"`
	// Primaries, Promotions, Members and Evacuations are whole; nil means unchanged.
	Primaries  map[string]string           `json:"primaries"`
	Promotions map[string]keeper.Promotion `json:"promotions"`
	Members    map[string]keeper.Member    `json:"members"`
	// Evacuations are ignored by hosts of an earlier build.
	Evacuations map[string]uint64 `json:"evacuations"`
}

// ChangeOf returns the change from one topology to a later one.
func ChangeOf(from, to Topology) TopologyChange {
	c := TopologyChange{From: from.Revision, Revision: to.Revision, Index: to.Index, Upstreams: map[string]keeper.Upstream{}}
	for id, u := range to.Upstreams {
		if old, ok := from.Upstreams[id]; !ok || old != u {
			c.Upstreams[id] = u
		}
	}
	for id := range from.Upstreams {
		if _, ok := to.Upstreams[id]; !ok {
			c.Removed = append(c.Removed, id)
		}
	}
	slices.Sort(c.Removed)
	if !maps.Equal(from.Primaries, to.Primaries) {
		c.Primaries = to.Primaries
	}
	if !maps.Equal(from.Promotions, to.Promotions) {
		c.Promotions = to.Promotions
	}
	if !maps.Equal(from.Members, to.Members) {
		c.Members = to.Members
	}
	if !maps.Equal(from.Evacuations, to.Evacuations) {
		c.Evacuations = to.Evacuations
	}
	return c
}

// Apply returns the topology after the change. It returns false if the change is one of
// another topology.
func (c TopologyChange) Apply(t Topology) (Topology, bool) {
	if t.Revision != c.From {
		return t, false
	}
	t.Revision, t.Index = c.Revision, c.Index
	t.Upstreams = maps.Clone(t.Upstreams)
	if t.Upstreams == nil {
		t.Upstreams = map[string]keeper.Upstream{}
	}
	maps.Copy(t.Upstreams, c.Upstreams)
	for _, id := range c.Removed {
		delete(t.Upstreams, id)
	}
	if c.Primaries != nil {
		t.Primaries = c.Primaries
	}
	if c.Promotions != nil {
		t.Promotions = c.Promotions
	}
	if c.Members != nil {
		t.Members = c.Members
	}
	if c.Evacuations != nil {
		t.Evacuations = c.Evacuations
	}
	return t, true
}
