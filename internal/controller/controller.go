// Package controller runs a control host: it takes part in consensus and, while
// it is the leader, grants leases and tokens to entry hosts, fails over primaries
// and executes operators' plans.
//
// One goroutine, the control goroutine, owns all control state. Connections,
// timers and platform orders queue functions for it and never access the state
// directly.
//
// # Usage
//
//	c := &controller.Controller{ID: "control-1", DataDir: dir, SendMessage: send, ...}
//	err := c.Open()
//	err = c.Run(ctx)
//
// Consensus is implemented by package elector, the replicated state machine by
// package planner, and the decisions by packages fencer, allocator, promoter,
// registrar and replacer.
package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/storer"
	"github.com/shallotstage/shallotstage/internal/tasker"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

const (
	tickInterval = 20 * time.Millisecond
	// compactEntries is the number of applied entries after which the log is
	// replaced by a snapshot.
	compactEntries = 1000
)

// ErrNotLeader means that this control host is not the leader; the request must
// be sent to another one.
var ErrNotLeader = errors.New("controller: this control host does not lead")

// ErrStopped means that the control host is stopping.
var ErrStopped = errors.New("controller: stopped")

// Timing holds the intervals and timeouts of a control host. Zero fields mean
// the defaults.
type Timing struct {
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	// LeaseTTL is the duration of an entry host's lease.
	LeaseTTL time.Duration
	// SuspectAfter is how long a primary is unreachable before failover starts.
	SuspectAfter time.Duration
	// Drift is the maximum relative difference between the rates of two clocks.
	Drift float64
	// ReplaceAfter is the time without contact after which a spare replaces a
	// control host; zero means two minutes.
	ReplaceAfter time.Duration
}

// withDefaults returns t with defaults in place of zero fields.
func (t Timing) withDefaults() Timing {
	if t.Heartbeat == 0 {
		t.Heartbeat = 100 * time.Millisecond
	}
	if t.ElectionTimeout == 0 {
		t.ElectionTimeout = time.Second
	}
	if t.LeaseTTL == 0 {
		t.LeaseTTL = 3 * time.Second
	}
	if t.SuspectAfter == 0 {
		t.SuspectAfter = 600 * time.Millisecond
	}
	if t.Drift == 0 {
		t.Drift = 0.01
	}
	return t
}

// Controller runs one control host. Exported fields are set before Run.
type Controller struct {
	ID      string
	DataDir string
	// Initial are the IDs of a new fleet's voters; it is empty on a spare.
	Initial []string
	// Seed is the initial configuration of a new fleet, proposed while no
	// configuration exists.
	Seed []planner.Operation
	// Timing holds the intervals and timeouts.
	Timing Timing
	// GroupSize is the number of upstreams that a group needs to form.
	GroupSize int
	// PlatformToken authenticates orders to the upstreams' platform interface.
	PlatformToken string
	// Client sends the orders to upstreams; nil means the default client.
	Client *http.Client
	// SendMessage passes a message to the transport, which may drop it.
	SendMessage func(m elector.Message)
	// Self is the entry under which this control host registers. It is set
	// after Open.
	Self configurer.ControlHost
	// OnControlHostsChanged is called in the control goroutine with the
	// registered control hosts whenever they may have changed.
	OnControlHostsChanged func(map[string]configurer.ControlHost)
	Log                   *logger.Logger

	queue tasker.Queue

	store *storer.Storer
	// write stores an output on the disk. Open sets it.
	write func(elector.Output) error
	// saves is the save under way, if any, and saveErr its error, which ends Run.
	saves        sync.WaitGroup
	saveErr      error
	elector      *elector.Elector
	stateMachine *planner.StateMachine
	// controlHosts are the registered control hosts, published for other
	// goroutines.
	controlHosts atomic.Pointer[map[string]configurer.ControlHost]
	// pages is the number of pages that the state machine has sealed.
	pages atomic.Uint64
	// proposals are this host's pending proposals by log index.
	proposals map[uint64]proposal

	leader leaderState
}

// Run takes part in consensus until ctx ends. It closes the data directory.
func (c *Controller) Run(ctx context.Context) error {
	defer func() {
		c.saves.Wait()
		_ = c.store.Close()
	}()
	return c.queue.Run(ctx, tickInterval, func() {
		c.elector.Tick(time.Now())
		c.tick(time.Now())
	}, c.processOutput)
}

// Close closes the data directory if Run is never started.
func (c *Controller) Close() { _ = c.store.Close() }

// Open opens the data directory and restores the state. It must be called before
// Run.
func (c *Controller) Open() error {
	c.Timing = c.Timing.withDefaults()
	store, err := storer.Open(c.DataDir, c.ID)
	if err != nil {
		return err
	}
	loaded, err := store.Load()
	if err != nil {
		_ = store.Close()
		return err
	}
	stateMachine, err := planner.Unmarshal(loaded.Snapshot.Data)
	if err != nil {
		_ = store.Close()
		return err
	}
	e, err := elector.New(elector.Config{
		ID: c.ID, HeartbeatInterval: c.Timing.Heartbeat, ElectionTimeout: c.Timing.ElectionTimeout, MaxClockDrift: c.Timing.Drift,
		Jitter:            rand.N[time.Duration],
		InitialMembership: elector.Membership{Voters: c.Initial},
	}, loaded.Hard, loaded.Snapshot, loaded.Entries, time.Now())
	if err != nil {
		_ = store.Close()
		return err
	}
	c.store, c.write, c.stateMachine, c.elector = store, store.Save, stateMachine, e
	c.proposals = map[uint64]proposal{}
	c.publishMembers()
	c.pages.Store(stateMachine.PageCount())
	return nil
}

// Enqueue queues f to run in the control goroutine. It returns false if the
// host has stopped.
func (c *Controller) Enqueue(f func()) bool { return c.queue.Do(f) }

// HandleMessage queues a message received from another control host. The
// message is dropped if the queue is full.
func (c *Controller) HandleMessage(m elector.Message) {
	c.queue.TryFirst(func() { c.elector.Step(m, time.Now()) })
}

// processOutput sends and applies the elector's output until there is none left, and
// starts to store what it must. Everything else goes on while that is stored.
func (c *Controller) processOutput() error {
	for c.saveErr == nil {
		out := c.elector.Output()
		if out.IsEmpty() {
			return nil
		}
		if out.NeedsStorage() {
			write := c.write
			c.saves.Go(func() { c.save(out, write) })
		}
		if out.Snapshot != nil {
			stateMachine, err := planner.Unmarshal(out.Snapshot.Data)
			if err != nil {
				return err
			}
			c.stateMachine = stateMachine
			c.publishMembers()
			c.pages.Store(stateMachine.PageCount())
		}
		for _, m := range out.Messages {
			c.SendMessage(m)
		}
		for _, e := range out.Committed {
			c.apply(e)
		}
		if err := c.savePages(); err != nil {
			return err
		}
		if len(out.Committed) > 0 {
			if err := c.compact(out.Committed[len(out.Committed)-1].Index); err != nil {
				return err
			}
			c.pushChanges()
			c.pages.Store(c.stateMachine.PageCount())
		}
	}
	return c.saveErr
}

// save stores an output and tells the elector.
func (c *Controller) save(out elector.Output, write func(elector.Output) error) {
	err := write(out)
	c.queue.DoFirst(func() {
		if err != nil {
			c.saveErr = err
			return
		}
		c.elector.Stored(time.Now())
	})
}

// compact replaces the log by a snapshot after compactEntries applied entries.
func (c *Controller) compact(applied uint64) error {
	if applied < c.elector.FirstIndex()+compactEntries || !c.elector.CanCompact(applied) {
		return nil
	}
	body, err := c.stateMachine.Marshal()
	if err != nil {
		return err
	}
	c.elector.Compact(applied, body)
	return nil
}

// apply applies a committed entry to the state machine and completes the
// proposal that waits for it.
func (c *Controller) apply(e elector.Entry) {
	if e.Kind != elector.EntryCommand {
		return
	}
	var plan *planner.Plan
	o, err := decodeOperation(e.Data)
	if err == nil {
		plan, err = c.stateMachine.Apply(o, e.Index)
		c.afterApply(o, e.Index, err)
	}
	p, ok := c.proposals[e.Index]
	delete(c.proposals, e.Index)
	if !ok {
		return
	}
	if p.term != e.Term {
		err = ErrNotLeader
	}
	p.done(plan, err)
}

// ReadState runs f on the replicated state in the control goroutine and waits
// for it to return. It returns ErrNotLeader unless this host holds the leader
// lease.
func (c *Controller) ReadState(ctx context.Context, f func(*planner.StateMachine)) error {
	done := make(chan error, 1)
	ok := c.Enqueue(func() {
		if !c.elector.HasLease(time.Now()) {
			done <- ErrNotLeader
			return
		}
		f(c.stateMachine)
		done <- nil
	})
	if !ok {
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-c.queue.Stopped():
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
