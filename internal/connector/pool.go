package connector

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

const (
	// minFull and maxFull bound the time for which no connection is opened
	// after the upstream took none; it doubles while that goes on.
	minFull = 80 * time.Millisecond
	maxFull = 320 * time.Millisecond
)

// Pool holds one host's connections to one upstream, and the queue of the
// statements that wait for the upstream's slots.
type Pool struct {
	dialer *Dialer

	mu       sync.Mutex
	upstream keeper.Upstream
	limit    int
	// keep is how long an idle connection is kept; zero means for ever.
	keep time.Duration
	// open counts connections in use, idle and being opened.
	open   int
	idle   []*Conn
	queue  queuer.Queue
	closed bool
	opened uint64
	// fullUntil is when a connection may be opened again, after the upstream
	// took none, and fullFor the last wait.
	fullUntil time.Time
	fullFor   time.Duration
}

func newPool(d *Dialer, u keeper.Upstream) *Pool {
	return &Pool{dialer: d, upstream: u, queue: queuer.Queue{Slots: u.Slots}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Acquire waits for a slot and a connection of an organisation, one that fits
// the values best.
func (p *Pool) Acquire(ctx context.Context, organisation string, values map[string]string, limits Limits) (*Conn, error) {
	w := &queuer.Waiter{Organisation: organisation, Priority: limits.Priority}
	if err := p.wait(ctx, w, limits); err != nil {
		return nil, err
	}
	p.mu.Lock()
	c := p.takeIdle(organisation, values)
	if c == nil && !p.makePlace() {
		p.queue.Stop()
		p.dispatch()
		p.mu.Unlock()
		return nil, &QueueError{Upstream: p.upstream.ID, Waited: time.Since(w.Since)}
	}
	if c != nil {
		p.mu.Unlock()
		return c, nil
	}
	p.open++
	p.mu.Unlock()
	return p.dial(ctx, organisation)
}

// Resume waits for a slot for the next statement of an open transaction.
func (p *Pool) Resume(ctx context.Context, c *Conn, limits Limits) error {
	return p.wait(ctx, &queuer.Waiter{Organisation: c.Organisation, Holds: true}, limits)
}

// wait waits for a slot. A statement that would wait too long is refused at
// once.
func (p *Pool) wait(ctx context.Context, w *queuer.Waiter, limits Limits) error {
	p.mu.Lock()
	if p.closed && !w.Holds {
		p.mu.Unlock()
		return &ConnectError{Upstream: p.upstream.ID, Err: fmt.Errorf("upstream is gone")}
	}
	w.Since = time.Now()
	if expected := p.queue.Expect(w); !w.Holds && limits.MaxWait > 0 && expected > limits.MaxWait {
		p.mu.Unlock()
		return &QueueError{Upstream: p.upstream.ID, Expected: expected}
	}
	w.Granted = make(chan queuer.Grant, 1)
	p.queue.Push(w)
	p.dispatch()
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(limits.Deadline) - limits.Reserve)
	defer timer.Stop()
	select {
	case <-w.Granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.queue.Remove(w) {
		// Granted at the same moment.
		p.queue.Stop()
		p.dispatch()
	}
	return &QueueError{Upstream: p.upstream.ID, Waited: time.Since(w.Since)}
}

// dispatch lets waiters run while there are slots and connections.
func (p *Pool) dispatch() {
	now := time.Now()
	reserved := map[string]int{}
	opening := 0
	fit := func(w *queuer.Waiter) queuer.Fit {
		idle := 0
		for _, c := range p.idle {
			if c.Organisation == w.Organisation {
				idle++
			}
		}
		switch {
		case idle > reserved[w.Organisation]:
			return queuer.FitIdle
		case p.places(now) > opening:
			return queuer.FitOpen
		}
		return queuer.FitNone
	}
	for {
		w := p.queue.Next(now, fit)
		if w == nil {
			return
		}
		if !w.Holds {
			if fit(w) == queuer.FitIdle {
				reserved[w.Organisation]++
			} else {
				opening++
			}
		}
		p.queue.Start()
		w.Granted <- queuer.Grant{}
	}
}

// places returns how many connections may be opened now, counting idle ones
// that can be closed for it.
func (p *Pool) places(now time.Time) int {
	if now.Before(p.fullUntil) {
		return len(p.idle)
	}
	return p.limit - p.open + len(p.idle)
}

// takeIdle removes the idle connection that fits best.
func (p *Pool) takeIdle(organisation string, values map[string]string) *Conn {
	best := -1
	for i, c := range p.idle {
		if c.Organisation != organisation {
			continue
		}
		if best < 0 || c.fits(values) >= p.idle[best].fits(values) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	c := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return c
}

// makePlace reports whether one more connection may be opened; it closes the
// connection that was idle longest when that makes place.
func (p *Pool) makePlace() bool {
	if p.open < p.limit && !time.Now().Before(p.fullUntil) {
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	p.closeOldest()
	return p.open < p.limit
}

func (p *Pool) closeOldest() {
	_ = p.idle[0].net.Close()
	p.idle = p.idle[1:]
	p.open--
}

// dial opens a connection in a place and a slot that are already counted.
func (p *Pool) dial(ctx context.Context, organisation string) (*Conn, error) {
	c, _, err := p.dialer.Dial(ctx, p.upstream, organisation)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteOpening(err)
	if err == nil {
		return c, nil
	}
	p.open--
	p.queue.Stop()
	p.dispatch()
	return nil, err
}

// noteOpening keeps the time for which the upstream takes no connection.
func (p *Pool) noteOpening(err error) {
	p.opened++
	var refused *ConnectError
	if !errors.As(err, &refused) || refused.Failure != FailureTooMany {
		p.fullFor = 0
		return
	}
	now := time.Now()
	if now.Before(p.fullUntil) {
		return
	}
	p.fullFor = min(max(2*p.fullFor, minFull), maxFull)
	p.fullUntil = now.Add(p.fullFor)
	time.AfterFunc(p.fullFor, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch()
	})
}

// Park ends the use of a slot; the connection stays with its transaction.
func (p *Pool) Park(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Stop()
	if took > 0 {
		p.queue.Served(took)
	}
	p.dispatch()
}

// Release gives a parked connection back. A broken one, or one with an open
// transaction, is closed.
func (p *Pool) Release(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.broken || c.state != StateIdle || p.closed || p.open > p.limit {
		_ = c.net.Close()
		p.open--
	} else {
		c.idleAt = time.Now()
		p.idle = append(p.idle, c)
	}
	p.dispatch()
}

// sweep closes connections that were idle longer than they are kept.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.keep > 0 && len(p.idle) > 0 && now.Sub(p.idle[0].idleAt) > p.keep {
		p.closeOldest()
	}
}

// Set changes what the host may hold of the upstream's connections, and what
// the upstream says of itself.
func (p *Pool) Set(u keeper.Upstream, a Allowance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream, p.limit, p.keep, p.queue.Slots = u, a.Connections, a.Keep, u.Slots
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeOldest()
	}
	p.dispatch()
}

// Close closes idle connections; those in use are closed when released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeOldest()
	}
}

// QueueError means that a statement was not sent, because it would have been
// worked on too late.
type QueueError struct {
	Upstream string
	// Waited is the time spent in vain, Expected the wait for which it was
	// refused at once.
	Waited   time.Duration
	Expected time.Duration
}

// Error implements error.
func (e *QueueError) Error() string {
	if e.Expected > 0 {
		return fmt.Sprintf("connector: the wait for upstream %s would be %s", e.Upstream, e.Expected.Round(time.Millisecond))
	}
	return fmt.Sprintf("connector: upstream %s had no place within %s", e.Upstream, e.Waited.Round(time.Millisecond))
}
