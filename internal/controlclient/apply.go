package controlclient

import (
	"fmt"
	"maps"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/decoder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// apply applies an update. A host never returns to an older configuration.
func (c *Client) apply(u Update) error {
	old := c.current()
	next := *old.view
	changed := false
	configuration, err := c.nextConfiguration(u, old.view)
	if err != nil {
		return err
	}
	if configuration.Version > next.Configuration.Version {
		next.Configuration = configuration
		changed = true
		c.Log.Info(logger.EventConfigurationApplied, zap.Uint64("version", configuration.Version), zap.Int("routes", len(configuration.Routes)))
	}
	t, err := c.nextTopology(u, old.view)
	if err != nil {
		return err
	}
	if t != nil {
		if t.Index == 0 {
			// This leader is of a build that grants no leases.
			c.leaseUntil.Store(math.MaxInt64)
		} else if old.view.Index == 0 {
			c.leaseUntil.Store(0)
		}
		if t.Index != 0 && t.Index < next.Index {
			return fmt.Errorf("controlclient: topology of index %d is older than %d", t.Index, next.Index)
		}
		next.Upstreams, next.Primaries, next.Promotions, next.Members = t.Upstreams, t.Primaries, t.Promotions, t.Members
		next.Evacuations, next.EvacuationAges = t.Evacuations, u.EvacuationAges
		next.Revision, next.Index = t.Revision, t.Index
		changed = true
		c.Log.Info(logger.EventTopologyUpdated, zap.Uint64("revision", t.Revision), zap.Int("upstreams", len(t.Upstreams)), zap.Any("primaries", t.Primaries))
	}
	if u.Hosts > 0 && u.Hosts != next.Hosts {
		next.Hosts = u.Hosts
		changed = true
	}
	if u.Peers != nil {
		var peers map[string]keeper.Peer
		odd, err := u.Peers.DecodeEntries(&peers)
		if err != nil {
			return err
		}
		c.logIgnored("peers", odd)
		if !maps.Equal(peers, next.Peers) {
			next.Peers = peers
			changed = true
			c.Log.Info(logger.EventPeersUpdated, zap.Int("peers", len(peers)))
		}
	}
	if sent, ok := c.sentAt[u.ReportSequence]; ok && u.GrantNumber > 0 && c.Shares.ApplyGrant(u.GrantNumber, maps.Clone(u.Extras), sent.Add(u.Lease)) {
		// Other hosts wait for the share that this host has released.
		c.ReportNow()
	}
	if u.PrimaryLease > 0 {
		c.holder.Renew(u.ReportSequence, u.PrimaryLease)
	}
	if u.ReportSequence > 0 && c.ApplyWarmupGrants != nil {
		c.ApplyWarmupGrants(u.ReportSequence, u.WarmupGrants)
	}
	// A later update may answer the same report again.
	maps.DeleteFunc(c.sentAt, func(n uint64, _ time.Time) bool { return n < u.ReportSequence })
	if !changed {
		c.publishLease()
		return nil
	}
	c.Shares.SetHostCount(next.Hosts)
	next.BuildServiceIndex()
	if c.OnViewChange != nil {
		c.OnViewChange(&next)
	}
	c.viewState.Store(&viewState{view: &next, changed: make(chan struct{})})
	close(old.changed)
	if latestPromotion(next.Promotions) > latestPromotion(old.view.Promotions) {
		// The leader waits for this before a primary is replaced.
		c.ReportNow()
	}
	c.publishLease()
	return nil
}

// logIgnored logs the entries of a list that were left out.
func (c *Client) logIgnored(part string, odd []*decoder.EntryError) {
	for _, e := range odd {
		c.Log.Warn(logger.EventEntryIgnored, zap.String("part", part), zap.Error(e))
	}
}

// nextConfiguration returns the configuration in an update, or the present one. A
// configuration is used whole or not at all: without an entry it would allow what it
// forbids. A host that cannot read one goes on with its own and with the topology.
func (c *Client) nextConfiguration(u Update, view *keeper.View) (keeper.Configuration, error) {
	if u.Configuration != nil {
		var configuration keeper.Configuration
		if err := u.Configuration.Decode(&configuration); err != nil {
			c.Log.Error(logger.EventEntryIgnored, zap.String("part", "configuration"), zap.Error(err))
			return view.Configuration, nil
		}
		return configuration, nil
	}
	if u.ConfigurationChange == nil {
		return view.Configuration, nil
	}
	var change ConfigurationChange
	if err := u.ConfigurationChange.Decode(&change); err != nil {
		return keeper.Configuration{}, err
	}
	configuration, ok := change.Apply(view.Configuration)
	if !ok {
		return configuration, fmt.Errorf("controlclient: change of configuration %d, this host has %d", change.From, view.Configuration.Version)
	}
	return configuration, nil
}

// nextTopology returns the topology in an update, or nil if it has none.
func (c *Client) nextTopology(u Update, view *keeper.View) (*Topology, error) {
	if u.Topology != nil {
		var t Topology
		odd, err := u.Topology.DecodeEntries(&t)
		if err != nil {
			return nil, err
		}
		c.logIgnored("topology", odd)
		return &t, nil
	}
	if u.TopologyChange == nil {
		return nil, nil
	}
	var change TopologyChange
	odd, err := u.TopologyChange.DecodeEntries(&change)
	if err != nil {
		return nil, err
	}
	c.logIgnored("change of topology", odd)
	t, ok := change.Apply(Topology{
		Revision: view.Revision, Index: view.Index, Upstreams: view.Upstreams, Primaries: view.Primaries, Promotions: view.Promotions, Members: view.Members,
		Evacuations: view.Evacuations,
	})
	if !ok {
		return nil, fmt.Errorf("controlclient: change of topology %d, this host has %d", change.From, view.Revision)
	}
	return &t, nil
}
