// Package coordinator runs a control host that agrees with the others on whole
// configurations, upstreams, promotions and control hosts, and serves entry
// hosts that attend it while it leads.
//
// One goroutine owns all control state. Connections, timers and operators'
// calls hand it functions to run.
//
// # Usage
//
//	c := &coordinator.Coordinator{Node: "control-1", DataDir: dir, ...}
//	err := c.Open()
//	go c.ServePeers(ctx, listener)
//	err = c.Run(ctx)
//
// The agreement is in package elector, the agreed state in keeper, and the
// decisions in appointer, sharer and replacer.
package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcconn"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/storer"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

const (
	tickInterval = 50 * time.Millisecond
	// heartbeat and electionTimeout let a leader be replaced within a second,
	// with round trips of 60 ms and syncs of some milliseconds.
	heartbeat       = 110 * time.Millisecond
	electionTimeout = 450 * time.Millisecond
	// leaderLease outlives the answers to two heartbeats; a voter that restarts
	// waits for it.
	leaderLease = 300 * time.Millisecond
	// electionStagger is the time after which a vote has reached the next voter,
	// which then waits anew: one and a half round trips of 60 ms between regions,
	// with their syncs.
	electionStagger = 110 * time.Millisecond
	// jitterPart is the random part of the election timeout that keeps hosts
	// from standing at once, and skewPart the fixed one: voters that start
	// again together refuse a candidate of before their own timeout.
	jitterPart = 8
	skewPart   = 8
	// drift bounds how much faster one clock runs than another.
	drift = 0.01
	// inboxSize bounds the functions that wait for the control goroutine.
	inboxSize = 1024
	// compactEntries and compactBytes are the applied entries, and their
	// bytes, after which the log is replaced by a snapshot.
	compactEntries = 200
	compactBytes   = 2 << 20
	// storePause follows a failed write of the agreed state.
	storePause = 200 * time.Millisecond
)

// ErrNotLeading means that another control host must be asked.
var ErrNotLeading = errors.New("coordinator: this control host does not certainly lead")

// ErrStopped means that the control host is stopping.
var ErrStopped = errors.New("coordinator: stopped")

// Settings name a control host. All fields but Bootstrap, Founders and Voters
// must be set.
type Settings struct {
	Node            string
	DataDir         string
	PeerAddress     string
	OperatorAddress string
	DataCentre      string
	Region          string
	// Bootstrap is true at the first start of the whole fleet. Founders are
	// then the peer addresses of the first voters.
	Bootstrap bool
	Founders  []string
	// Voters is the number of voters that the fleet grows to.
	Voters int
}

// Order asks the platform to promote an upstream.
type Order struct {
	Service   string
	Candidate string
	Holder    string
	Token     uint64
}

// OrderResult is what became of an order.
type OrderResult string

// The results of orders.
const (
	OrderTaken OrderResult = "taken"
	// OrderRefused means that the order will never be carried out.
	OrderRefused OrderResult = "refused"
	// OrderUnanswered means that it may be carried out, also later.
	OrderUnanswered OrderResult = "unanswered"
)

// Coordinator is one control host. Exported fields are set before Open.
type Coordinator struct {
	Settings
	// Seeds returns peer addresses of control hosts, as the settings of now
	// name them.
	Seeds func() []string
	// Decode decodes an operator's document.
	Decode keeper.DecodeFunc
	// Now is a clock that counts suspensions.
	Now func() time.Time
	// Dial opens a connection to another control host.
	Dial func(ctx context.Context, address string) (*drpcconn.Conn, error)
	// Promote carries an order to the platform.
	Promote func(ctx context.Context, o Order) (OrderResult, error)
	// Ask asks an upstream for its standing.
	Ask func(ctx context.Context, u keeper.Upstream) (connector.Standing, error)
	Log *logger.Logger

	id      string
	inbox   chan func()
	stopped chan struct{}
	run     context.Context

	store   *storer.Storer
	elector *elector.Elector
	state   *keeper.State
	// waiting are proposals of this host by log index.
	waiting map[uint64]proposal
	// applied is the index of the last applied entry, logBytes the bytes of
	// the log since the last snapshot.
	applied  uint64
	logBytes int
	links    *links
	lead     leadership
	// told is the leader that answered the last announcement, at toldAt.
	told   keeper.Member
	toldAt time.Time
	// held are the streams of entry hosts whose reports are held.
	held map[*attendance]bool
	// packed is what entry hosts are told while this host leads.
	packed packed
}

type proposal struct {
	term uint64
	done func(keeper.Outcome, error)
}

// ID returns the name under which the host takes part in the agreement.
func (c *Coordinator) ID() string { return c.id }

// Run takes part in the agreement until ctx ends. It closes the data folder.
func (c *Coordinator) Run(ctx context.Context) error {
	defer func() {
		close(c.stopped)
		_ = c.store.Close()
	}()
	c.run = ctx
	go c.announce(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.inbox:
			f()
			c.runWaiting()
		case <-ticker.C:
			now := c.Now()
			c.elector.Tick(now)
			c.releaseHeld(now)
			c.tick(now)
		}
		if err := c.drainOutput(ctx); err != nil {
			return err
		}
	}
}

// runWaiting runs the functions that have gathered, so that one sync serves
// them all.
func (c *Coordinator) runWaiting() {
	for range inboxSize {
		select {
		case f := <-c.inbox:
			f()
		default:
			return
		}
	}
}

// do runs f in the control goroutine. It returns false when the host stops or
// is too busy.
func (c *Coordinator) do(f func()) bool {
	select {
	case <-c.stopped:
		return false
	default:
	}
	select {
	case c.inbox <- f:
		return true
	default:
		return false
	}
}

// drainOutput stores, sends and applies what the elector asks for.
func (c *Coordinator) drainOutput(ctx context.Context) error {
	for {
		c.noteLeadership()
		out := c.elector.Output()
		if out.IsEmpty() {
			return nil
		}
		if !c.save(ctx, out) {
			return nil
		}
		if out.Snapshot != nil {
			state, err := keeper.Unmarshal(out.Snapshot.Data, c.Decode)
			if err != nil {
				return err
			}
			c.state, c.applied, c.logBytes = state, out.Snapshot.Index, 0
			c.links.learnAll(state.Members)
		}
		for _, m := range out.Messages {
			c.links.send(m)
		}
		for _, e := range out.Committed {
			c.apply(e)
		}
		c.compact()
		c.releaseHeld(c.Now())
		c.lead.publish(c)
	}
}

// save stores an output. While the disk refuses, nothing is sent, answered or
// applied: the others see a silent host.
func (c *Coordinator) save(ctx context.Context, out elector.Output) bool {
	for {
		err := c.store.Save(out)
		if err == nil {
			return true
		}
		c.Log.Error(logger.EventControlFailed, zap.Error(err))
		select {
		case <-ctx.Done():
			return false
		case <-time.After(storePause):
		}
	}
}

// compact replaces the log by a snapshot when it has grown long.
func (c *Coordinator) compact() {
	if c.applied < c.elector.FirstIndex()+compactEntries && c.logBytes < compactBytes {
		return
	}
	body, err := c.state.Marshal()
	if err == nil {
		err = c.store.SaveSnapshot(c.elector.Compact(c.applied, body))
	}
	if err != nil {
		// The log stays longer; the next entry tries again.
		c.Log.Error(logger.EventControlFailed, zap.Error(err))
		return
	}
	c.logBytes = 0
}

// propose puts a command into the agreed log. done is called in the control
// goroutine once it is applied, or when this host lost its lead.
func (c *Coordinator) propose(command keeper.Command, done func(keeper.Outcome, error)) {
	body, err := json.Marshal(command)
	if err != nil {
		done(keeper.Outcome{}, fmt.Errorf("coordinator: encode command: %w", err))
		return
	}
	index, term, err := c.elector.Propose(body)
	if err != nil {
		done(keeper.Outcome{}, ErrNotLeading)
		return
	}
	c.waiting[index] = proposal{term: term, done: done}
}
