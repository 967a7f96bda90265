package coordinator

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotstage/shallotstage/internal/storer"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// Open opens the data directory. It must be called before the other methods.
func (c *Coordinator) Open() error {
	c.pending = map[uint64]proposal{}
	c.heldStreams = map[*hostStream]bool{}
	store, err := storer.Open(c.DataDir, c.Node)
	if err != nil {
		return err
	}
	c.store, c.write = store, store.Save
	if err := c.load(); err != nil {
		_ = store.Close()
		return err
	}
	return nil
}

func (c *Coordinator) load() error {
	member, err := c.store.MemberID()
	if err != nil {
		return err
	}
	if member == "" {
		if member, err = c.initialise(); err != nil {
			return err
		}
	}
	c.id = member
	loaded, err := c.store.Load()
	if err != nil {
		return err
	}
	if c.state, err = keeper.Unmarshal(loaded.Snapshot.Data, c.Decode); err != nil {
		return err
	}
	c.logIgnored("data folder", c.state.Ignored()...)
	c.applied = loaded.Snapshot.Index
	c.transport = newPeerTransport(c)
	c.loadAddresses(loaded.Entries)
	c.elector, err = elector.New(elector.Config{
		ID: c.id, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, LeaseDuration: leaderLease, MaxClockDrift: maxClockDrift, Jitter: jitter, ElectionStagger: electionStagger, OnEvent: c.recordElectionStep,
	}, loaded.Hard, loaded.Snapshot, loaded.Entries, c.Now())
	return err
}

// loadAddresses reads the addresses of control hosts from the stored log. Its
// entries may not be committed, but without the addresses the voters of the log
// could not reach each other to commit them.
func (c *Coordinator) loadAddresses(entries []elector.Entry) {
	c.transport.addAddresses(c.state.Members)
	for _, e := range entries {
		var command keeper.Command
		if e.Kind == elector.EntryCommand && json.Unmarshal(e.Data, &command) == nil && command.Kind == keeper.CommandSetMember && command.Member != nil {
			c.transport.setAddress(*command.Member)
		}
	}
}

// jitter returns the additional delay of an election timeout: a fixed and a
// random part.
func jitter(bound time.Duration) time.Duration {
	return bound/fixedDelayDivisor + rand.N(bound/jitterDivisor)
}

// initialise sets the member ID of a host with a new data directory. The ID of a
// founder is its address, and it starts with the founders as voters. The ID of
// any other host comes from its data directory, and the host waits to be added.
func (c *Coordinator) initialise() (string, error) {
	member := "folder-" + c.store.InstanceID()
	if c.Bootstrap && slices.Contains(c.Founders, c.PeerAddress) {
		member = c.PeerAddress
		voters := slices.Sorted(slices.Values(c.Founders))
		first := elector.Snapshot{Index: 1, Membership: elector.Membership{Voters: slices.Compact(voters)}}
		if err := c.store.SaveSnapshot(first); err != nil {
			return "", err
		}
	}
	return member, c.store.SetMemberID(member)
}
