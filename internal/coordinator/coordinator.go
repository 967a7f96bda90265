// Package coordinator runs a control host. Control hosts replicate the
// configuration, the upstreams, the promotions and the list of control hosts; the
// leader also serves the entry hosts' streams of reports and updates.
//
// One goroutine owns all control state. Connections, timers and operators' calls
// submit functions to it.
//
// # Usage
//
//	c := &coordinator.Coordinator{Node: "control-1", DataDir: dir, ...}
//	err := c.Open()
//	go c.ServePeers(ctx, listener)
//	err = c.Run(ctx)
//
// Consensus is in package elector, the replicated state in keeper, and the
// decisions in failoverplanner, sharer and replacer.
package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcconn"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/decoder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/storer"
	"github.com/shallotstage/shallotstage/internal/tasker"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

const (
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval and electionTimeout let a leader be replaced within a
	// second, with round trips of 60 ms and disk syncs of a few milliseconds.
	heartbeatInterval = 110 * time.Millisecond
	electionTimeout   = 450 * time.Millisecond
	// leaderLease is longer than the answers to two heartbeats take. A voter that
	// restarts waits for it to expire.
	leaderLease = 300 * time.Millisecond
	// electionStagger is the time within which a granted vote reaches the next
	// voter, which then restarts its own timeout: one and a half round trips of
	// 60 ms between regions, with their disk syncs.
	electionStagger = 110 * time.Millisecond
	// jitterDivisor sets the random part of the election timeout, which keeps
	// hosts from becoming candidates at the same time. fixedDelayDivisor sets a
	// fixed part: voters that restart together refuse an earlier candidate until
	// their own timeout.
	jitterDivisor     = 8
	fixedDelayDivisor = 8
	// maxClockDrift bounds how much faster one clock runs than another.
	maxClockDrift = 0.01
	// compactEntries and compactBytes are the number of applied entries, and
	// their size, after which a snapshot replaces the log.
	compactEntries = 200
	compactBytes   = 2 << 20
	// saveRetryDelay is the wait after a failed write of the replicated state.
	saveRetryDelay = 200 * time.Millisecond
)

// ErrNotLeader means that this control host cannot be sure that it leads, so
// another one must be asked.
var ErrNotLeader = errors.New("coordinator: this control host does not certainly lead")

// ErrStopped means that the control host is stopping.
var ErrStopped = errors.New("coordinator: stopped")

// Settings identify a control host. All fields but WarmupOvershoot, WarmupSlack, Regions, Bootstrap, Founders and Voters
// must be set.
type Settings struct {
	Node            string
	DataDir         string
	PeerAddress     string
	OperatorAddress string
	DataCentre      string
	Region          string
	// WarmupOvershoot and WarmupSlack bound the statements that a cold upstream receives
	// in any second: its service's rate times the former plus the latter.
	WarmupOvershoot, WarmupSlack float64
	// Regions maps data centres to regions.
	Regions map[string]string
	// Bootstrap is true at the first start of the whole fleet. Founders are then
	// the peer addresses of the initial voters.
	Bootstrap bool
	Founders  []string
	// Voters is the number of voters up to which the fleet adds members.
	Voters int
	// PrimaryLease is true if nothing but the leases of entry hosts keeps a replaced
	// primary from committing.
	PrimaryLease bool
}

// PromotionRequest is a request to the platform to promote an upstream.
type PromotionRequest struct {
	Service   string
	Candidate string
	Holder    string
	Token     uint64
	// IsCurrent reports whether the request may still be sent. It is called once the
	// connection is open, as opening it may have taken long.
	IsCurrent func() bool
}

// PromotionOutcome is the outcome of a promotion request.
type PromotionOutcome string

// The outcome of a promotion request. PromotionAccepted means that the platform
// accepted it.
const (
	PromotionAccepted PromotionOutcome = "taken"
	// PromotionRejected means that the platform will never carry out the request.
	PromotionRejected PromotionOutcome = "refused"
	// PromotionOutcomeUnknown means that the outcome is unknown: the platform
	// may carry out the request, even later.
	PromotionOutcomeUnknown PromotionOutcome = "unanswered"
)

// Coordinator is one control host. Exported fields must be set before Open.
type Coordinator struct {
	Settings
	// Seeds returns the peer addresses of control hosts in the current settings.
	Seeds func() []string
	// Decode decodes an operator's configuration document.
	Decode keeper.DecodeFunc
	// Now reads a clock that advances while the machine is suspended.
	Now func() time.Time
	// Dial opens a connection to another control host.
	Dial func(ctx context.Context, address string) (*drpcconn.Conn, error)
	// Promote sends a promotion request to the platform.
	Promote func(ctx context.Context, r PromotionRequest) (PromotionOutcome, error)
	// QueryStatus requests the replication status of an upstream.
	QueryStatus func(ctx context.Context, u keeper.Upstream) (connector.ReplicationStatus, error)
	// Demote makes a primary of an earlier term than term a replica, and returns its
	// status after that.
	Demote func(ctx context.Context, u keeper.Upstream, term uint64) (connector.ReplicationStatus, error)
	Log    *logger.Logger

	id    string
	queue tasker.Queue
	run   context.Context

	store *storer.Storer
	// write stores an output on the disk. Open sets it.
	write func(elector.Output) error
	// saves is the save under way, if any.
	saves sync.WaitGroup
	// isStoreFailing is true after the disk refused a save, until one succeeds.
	isStoreFailing bool
	elector        *elector.Elector
	state          *keeper.State
	// pending holds the proposals of this host by log index.
	pending map[uint64]proposal
	// applied is the index of the last applied entry, and logBytes the size of
	// the log since the last snapshot.
	applied    uint64
	logBytes   int
	transport  *peerTransport
	leadership leaderState
	// leaderHint is the leader named in the answer to the last announcement, and
	// leaderHintAt is when it arrived.
	leaderHint   keeper.Member
	leaderHintAt time.Time
	// heldStreams are the entry host streams with a held report.
	heldStreams map[*hostStream]bool
	// heldCalls are the calls that wait for the lease of this host.
	heldCalls []heldCall
	// updateCache holds the compressed parts of updates while this host leads.
	updateCache updateCache
	observer    observer
}

type proposal struct {
	term uint64
	done func(keeper.Outcome, error)
}

// ID returns the member ID of the host in the consensus group.
func (c *Coordinator) ID() string { return c.id }

// Run takes part in consensus until ctx ends. It then closes the data directory.
func (c *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		c.saves.Wait()
		_ = c.store.Close()
	}()
	c.run = ctx
	go c.announce(ctx)
	return c.queue.Run(ctx, tickInterval, func() {
		now := c.Now()
		c.elector.Tick(now)
		c.releaseHeldReports(now)
		c.tick(now)
		c.observe(now)
	}, func() error { return c.drainOutput(ctx) })
}

// submit queues f for the control goroutine unless the queue is full. The senders of
// such work repeat it.
func (c *Coordinator) submit(f func()) bool { return c.queue.Try(f) }

// drainOutput sends and applies the output of the elector until there is none left, and
// starts to store what it must. Everything else goes on while that is stored.
func (c *Coordinator) drainOutput(ctx context.Context) error {
	c.releaseHeldCalls(c.Now())
	for {
		c.updateLeadership()
		out := c.elector.Output()
		if out.IsEmpty() {
			return nil
		}
		if out.NeedsStorage() {
			write := c.write
			c.saves.Go(func() { c.save(ctx, out, write) })
		}
		if out.Snapshot != nil {
			state, err := keeper.Unmarshal(out.Snapshot.Data, c.Decode)
			if err != nil {
				return err
			}
			c.logIgnored("snapshot", state.Ignored()...)
			c.state, c.applied, c.logBytes = state, out.Snapshot.Index, 0
			c.transport.addAddresses(state.Members)
		}
		for _, m := range out.Messages {
			if !c.isStoreFailing {
				c.transport.send(m)
			}
		}
		for _, e := range out.Committed {
			c.apply(e)
		}
		c.recallEarlierHolders()
		c.compact()
		c.releaseHeldReports(c.Now())
		c.leadership.publish(c)
	}
}

// logIgnored logs the entries of a list that were left out.
func (c *Coordinator) logIgnored(part string, entries ...*decoder.EntryError) {
	for _, e := range entries {
		c.Log.Warn(logger.EventEntryIgnored, zap.String("part", part), zap.Error(e))
	}
}

// save stores an output and tells the elector. While the disk refuses writes, nothing is
// sent, so the other hosts see this one as silent.
func (c *Coordinator) save(ctx context.Context, out elector.Output, write func(elector.Output) error) {
	for {
		begun := time.Now()
		err := write(out)
		c.recordSave(out, time.Since(begun))
		c.queue.DoFirst(func() {
			c.isStoreFailing = err != nil
			if err == nil {
				c.elector.Stored(c.Now())
			}
		})
		if err == nil {
			return
		}
		c.Log.Error(logger.EventControlStateNotStored, zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(saveRetryDelay):
		}
	}
}

// compact replaces the log with a snapshot once the log exceeds its limits.
func (c *Coordinator) compact() {
	if c.applied < c.elector.FirstIndex()+compactEntries && c.logBytes < compactBytes || !c.elector.CanCompact(c.applied) {
		return
	}
	body, err := c.state.Marshal()
	if err != nil {
		// The log stays as it is; the next entry triggers another attempt.
		c.Log.Error(logger.EventControlStateNotStored, zap.Error(err))
		return
	}
	c.elector.Compact(c.applied, body)
	c.logBytes = 0
}

// propose appends a command to the replicated log. done is called in the control
// goroutine once the command is applied, or when this host has lost the
// leadership.
func (c *Coordinator) propose(command keeper.Command, done func(keeper.Outcome, error)) {
	body, err := json.Marshal(command)
	if err != nil {
		done(keeper.Outcome{}, fmt.Errorf("coordinator: encode command: %w", err))
		return
	}
	index, term, err := c.elector.Propose(body)
	if err != nil {
		done(keeper.Outcome{}, ErrNotLeader)
		return
	}
	c.pending[index] = proposal{term: term, done: done}
}
