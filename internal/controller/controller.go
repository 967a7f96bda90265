// Package controller runs a control host: it takes part in the agreement and,
// while it leads, grants leases and tokens to entry hosts, replaces primaries
// and carries out operators' plans.
//
// One goroutine owns all control state. Connections, timers and platform
// orders hand it functions to run and never touch the state themselves.
//
// # Usage
//
//	c := &controller.Controller{ID: "control-1", DataDir: dir, SendPeer: send, ...}
//	c.Prepare()
//	err := c.Open()
//	err = c.Run(ctx)
//
// The agreement is in package elector, the agreed state in package planner,
// and the decisions in packages fencer, allocator, promoter and registrar.
package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/storer"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

const (
	tickInterval = 20 * time.Millisecond
	// inboxSize bounds the functions that wait for the control goroutine.
	inboxSize = 4096
	// compactEntries is the number of applied entries after which the log is
	// replaced by a snapshot.
	compactEntries = 1000
)

// ErrNotLeading means that another control host must be asked.
var ErrNotLeading = errors.New("controller: this control host does not lead")

// ErrStopped means that the control host is stopping.
var ErrStopped = errors.New("controller: stopped")

// Timing holds the intervals of control. Zero fields mean the defaults.
type Timing struct {
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	// LeaseTTL is the length of an entry host's lease.
	LeaseTTL time.Duration
	// SuspectAfter is how long a primary is missed before it is replaced.
	SuspectAfter time.Duration
	// Drift bounds how much faster one clock runs than another.
	Drift float64
	// ReplaceAfter is the silence after which a control host is replaced by a
	// spare; zero means two minutes.
	ReplaceAfter time.Duration
}

// withDefaults returns t with zero fields replaced.
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

// Controller is one control host. Exported fields are set before Run.
type Controller struct {
	ID      string
	DataDir string
	// Initial are the voters of a new fleet. A spare has none.
	Initial []string
	// Seed is the configuration of a new fleet, used when the log is empty.
	Seed []planner.Operation
	// Timing holds the intervals.
	Timing Timing
	// GroupSize is the number of upstreams with which a group forms.
	GroupSize int
	// PlatformToken is sent with the platform's orders.
	PlatformToken string
	// Client sends the platform's orders; nil means the default client.
	Client *http.Client
	// SendPeer hands a message to the transport, which may drop it.
	SendPeer func(m elector.Message)
	// Self is what the fleet is to know of this control host. It is set after
	// Open.
	Self configurer.ControlHost
	// MembersChanged is called in the control goroutine with the agreed
	// control hosts whenever they may have changed.
	MembersChanged func(map[string]configurer.ControlHost)
	Log            *logger.Logger

	inbox   chan func()
	stopped chan struct{}

	store   *storer.Storer
	elector *elector.Elector
	book    *planner.Book
	// controlHosts are the agreed control hosts, for other goroutines.
	controlHosts atomic.Pointer[map[string]configurer.ControlHost]
	// pages is the number of pages that the book has sealed.
	pages atomic.Uint64
	// waiting are proposals of this host by log index.
	waiting map[uint64]proposal

	lead leadership
}

// Run takes part in the agreement until ctx ends. It closes the data folder.
func (c *Controller) Run(ctx context.Context) error {
	defer c.Close()
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
			c.elector.Tick(time.Now())
			c.tick(time.Now())
		}
		if err := c.drainOutput(); err != nil {
			return err
		}
	}
}

// runWaiting runs the functions that have gathered, so that one sync serves
// them all.
func (c *Controller) runWaiting() {
	for range inboxSize {
		select {
		case f := <-c.inbox:
			f()
		default:
			return
		}
	}
}

// Prepare makes the control host ready to take messages. It is called before
// Run and before any message arrives.
func (c *Controller) Prepare() {
	c.inbox = make(chan func(), inboxSize)
	c.stopped = make(chan struct{})
}

// Close closes the data folder without Run, or at its end.
func (c *Controller) Close() {
	close(c.stopped)
	_ = c.store.Close()
}

// Open opens the data folder. It is called after Prepare and before Run.
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
	book, err := planner.Unmarshal(loaded.Snapshot.Data)
	if err != nil {
		_ = store.Close()
		return err
	}
	e, err := elector.New(elector.Config{
		ID: c.ID, Heartbeat: c.Timing.Heartbeat, ElectionTimeout: c.Timing.ElectionTimeout, Drift: c.Timing.Drift,
		Jitter:  rand.N[time.Duration],
		Initial: elector.Membership{Voters: c.Initial},
	}, loaded.Hard, loaded.Snapshot, loaded.Entries, time.Now())
	if err != nil {
		_ = store.Close()
		return err
	}
	c.store, c.book, c.elector = store, book, e
	c.waiting = map[uint64]proposal{}
	c.publishMembers()
	c.pages.Store(book.Pages())
	return nil
}

// Do runs f in the control goroutine. It returns false when the host stops.
func (c *Controller) Do(f func()) bool {
	select {
	case c.inbox <- f:
		return true
	case <-c.stopped:
		return false
	}
}

// Step takes a message from another control host. It is dropped when too many
// messages wait.
func (c *Controller) Step(m elector.Message) {
	select {
	case c.inbox <- func() { c.elector.Step(m, time.Now()) }:
	default:
	}
}

// drainOutput stores, sends and applies what the elector asks for.
func (c *Controller) drainOutput() error {
	for {
		out := c.elector.Output()
		if out.IsEmpty() {
			return nil
		}
		if err := c.store.Save(out); err != nil {
			return err
		}
		if out.Snapshot != nil {
			book, err := planner.Unmarshal(out.Snapshot.Data)
			if err != nil {
				return err
			}
			c.book = book
			c.publishMembers()
			c.pages.Store(book.Pages())
		}
		for _, m := range out.Messages {
			c.SendPeer(m)
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
			c.pages.Store(c.book.Pages())
		}
	}
}

// compact replaces the log by a snapshot when it has grown long.
func (c *Controller) compact(applied uint64) error {
	if applied < c.elector.FirstIndex()+compactEntries {
		return nil
	}
	body, err := c.book.Marshal()
	if err != nil {
		return err
	}
	return c.store.SaveSnapshot(c.elector.Compact(applied, body))
}

// apply carries out an agreed entry.
func (c *Controller) apply(e elector.Entry) {
	if e.Kind != elector.EntryCommand {
		return
	}
	var plan *planner.Plan
	o, err := decodeOperation(e.Data)
	if err == nil {
		plan, err = c.book.Apply(o, e.Index)
		c.applied(o, e.Index, err)
	}
	p, ok := c.waiting[e.Index]
	delete(c.waiting, e.Index)
	if !ok {
		return
	}
	if p.term != e.Term {
		err = ErrNotLeading
	}
	p.done(plan, err)
}

// Read runs f on the agreed state in the control goroutine and waits for it.
// It returns ErrNotLeading unless this host certainly leads.
func (c *Controller) Read(ctx context.Context, f func(*planner.Book)) error {
	done := make(chan error, 1)
	ok := c.Do(func() {
		if !c.elector.HasLease(time.Now()) {
			done <- ErrNotLeading
			return
		}
		f(c.book)
		done <- nil
	})
	if !ok {
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-c.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
