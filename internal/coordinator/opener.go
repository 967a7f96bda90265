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

// Open opens the data folder. It is called before the other methods.
func (c *Coordinator) Open() error {
	c.inbox = make(chan func(), inboxSize)
	c.stopped = make(chan struct{})
	c.waiting = map[uint64]proposal{}
	c.held = map[*attendance]bool{}
	store, err := storer.Open(c.DataDir, c.Node)
	if err != nil {
		return err
	}
	c.store = store
	if err := c.load(); err != nil {
		_ = store.Close()
		return err
	}
	return nil
}

func (c *Coordinator) load() error {
	member, err := c.store.Member()
	if err != nil {
		return err
	}
	if member == "" {
		if member, err = c.found(); err != nil {
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
	c.applied = loaded.Snapshot.Index
	c.links = newLinks(c)
	c.learnStored(loaded.Entries)
	c.elector, err = elector.New(elector.Config{
		ID: c.id, Heartbeat: heartbeat, ElectionTimeout: electionTimeout, Lease: leaderLease, Drift: drift, Jitter: jitter, Stagger: electionStagger,
	}, loaded.Hard, loaded.Snapshot, loaded.Entries, c.Now())
	return err
}

// learnStored takes the addresses of control hosts from the stored log. Its
// entries may not be agreed on, but without the addresses the voters of the log
// could not find each other to agree.
func (c *Coordinator) learnStored(entries []elector.Entry) {
	c.links.learnAll(c.state.Members)
	for _, e := range entries {
		var command keeper.Command
		if e.Kind == elector.EntryCommand && json.Unmarshal(e.Data, &command) == nil && command.Kind == keeper.CommandMember && command.Member != nil {
			c.links.learn(*command.Member)
		}
	}
}

// jitter returns a random part of an election timeout.
func jitter(bound time.Duration) time.Duration { return bound/skewPart + rand.N(bound/jitterPart) }

// found names a host with a new data folder. A founder goes by its address and
// begins with the founders as voters; any other host goes by its folder and
// waits to be admitted.
func (c *Coordinator) found() (string, error) {
	member := "folder-" + c.store.Instance()
	if c.Bootstrap && slices.Contains(c.Founders, c.PeerAddress) {
		member = c.PeerAddress
		voters := slices.Sorted(slices.Values(c.Founders))
		first := elector.Snapshot{Index: 1, Membership: elector.Membership{Voters: slices.Compact(voters)}}
		if err := c.store.SaveSnapshot(first); err != nil {
			return "", err
		}
	}
	return member, c.store.SetMember(member)
}
