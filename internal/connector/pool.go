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

// patience is how long the first waiter is passed over for one whose
// organisation already has the freed connection. A new connection costs 12 ms
// and a slot.
const patience = 40 * time.Millisecond

const (
	// minFull and maxFull bound the time for which no connection is opened
	// after the upstream took none; it doubles while that goes on.
	minFull = 100 * time.Millisecond
	maxFull = 800 * time.Millisecond
)

// Pool holds one host's connections to one upstream.
type Pool struct {
	dialer *Dialer

	mu       sync.Mutex
	upstream keeper.Upstream
	limit    int
	// open counts connections in use, idle and being opened.
	open   int
	inUse  int
	idle   []*Conn
	queue  queuer.Queue
	closed bool
	opened uint64
	// keep is how long an idle connection is kept; zero means for ever.
	keep time.Duration
	// fullUntil is when a connection may be opened again, after the upstream
	// took none, and fullFor the last wait.
	fullUntil time.Time
	fullFor   time.Duration
}

// Load is what a pool tells a balancer.
type Load struct {
	InUse, Waiting, Limit int
}

func newPool(d *Dialer, u keeper.Upstream) *Pool {
	return &Pool{dialer: d, upstream: u, queue: queuer.Queue{Patience: patience}}
}

// Load returns how busy the pool is.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{InUse: p.inUse, Waiting: p.queue.Len(), Limit: p.limit}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Acquire returns a connection of an organisation, one that fits the values
// best. It waits in the queue until ctx ends.
func (p *Pool) Acquire(ctx context.Context, organisation string, values map[string]string) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &ConnectError{Upstream: p.upstream.ID, Err: fmt.Errorf("upstream is gone")}
	}
	if p.queue.Len() == 0 {
		if c := p.takeIdle(organisation, values); c != nil {
			p.inUse++
			p.mu.Unlock()
			return c, nil
		}
		if p.makePlace() {
			p.open++
			p.inUse++
			p.mu.Unlock()
			return p.dial(ctx, organisation)
		}
	}
	w := &queuer.Waiter{Organisation: organisation, Since: time.Now(), Granted: make(chan queuer.Grant, 1)}
	p.queue.Push(w)
	p.mu.Unlock()
	return p.await(ctx, w)
}

func (p *Pool) await(ctx context.Context, w *queuer.Waiter) (*Conn, error) {
	select {
	case g := <-w.Granted:
		return p.take(ctx, w, g)
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.queue.Remove(w)
	p.mu.Unlock()
	if !removed {
		// Granted at the same moment: hand it on.
		g := <-w.Granted
		if c, ok := g.Connection.(*Conn); ok {
			p.Release(c)
		} else {
			p.freePlace()
		}
	}
	return nil, &QueueError{Upstream: p.upstream.ID, Waited: time.Since(w.Since)}
}

func (p *Pool) take(ctx context.Context, w *queuer.Waiter, g queuer.Grant) (*Conn, error) {
	if c, ok := g.Connection.(*Conn); ok {
		return c, nil
	}
	return p.dial(ctx, w.Organisation)
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
	if time.Now().Before(p.fullUntil) {
		return p.exchangeIdle()
	}
	if p.open < p.limit {
		return true
	}
	return p.open == p.limit && p.exchangeIdle()
}

// exchangeIdle closes the connection that was idle longest, so that its place
// is free.
func (p *Pool) exchangeIdle() bool {
	if len(p.idle) == 0 {
		return false
	}
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.open--
	_ = oldest.net.Close()
	return true
}

// dial opens a connection in a place that is already counted.
func (p *Pool) dial(ctx context.Context, organisation string) (*Conn, error) {
	c, _, err := p.dialer.Dial(ctx, p.upstream, organisation)
	p.noteOpening(err)
	if err != nil {
		p.freePlace()
		return nil, err
	}
	return c, nil
}

// noteOpening keeps the time for which the upstream takes no connection.
func (p *Pool) noteOpening(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
	time.AfterFunc(p.fullFor, p.openForWaiters)
}

// openForWaiters lets waiters open connections in free places.
func (p *Pool) openForWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.fullUntil) {
		return
	}
	for p.open < p.limit && p.queue.Len() > 0 {
		p.open++
		p.inUse++
		p.queue.Pop("", time.Now()).Granted <- queuer.Grant{}
	}
}

// sweep closes connections that were idle longer than they are kept.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.keep > 0 && len(p.idle) > 0 && now.Sub(p.idle[0].idleAt) > p.keep {
		_ = p.idle[0].net.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Release gives a connection back. A broken one is closed.
func (p *Pool) Release(c *Conn) {
	if c.broken || c.state != StateIdle {
		_ = c.net.Close()
		p.freePlace()
		return
	}
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.mu.Unlock()
		_ = c.net.Close()
		p.freePlace()
		return
	}
	now := time.Now()
	w := p.queue.Pop(c.Organisation, now)
	switch {
	case w == nil:
		p.inUse--
		c.idleAt = now
		p.idle = append(p.idle, c)
	case w.Organisation == c.Organisation:
		w.Granted <- queuer.Grant{Connection: c}
	default:
		_ = c.net.Close()
		w.Granted <- queuer.Grant{}
	}
	p.mu.Unlock()
}

// freePlace gives the place of a closed connection on.
func (p *Pool) freePlace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open <= p.limit && !time.Now().Before(p.fullUntil) {
		if w := p.queue.Pop("", time.Now()); w != nil {
			w.Granted <- queuer.Grant{}
			return
		}
	}
	p.open--
	p.inUse--
}

// SetLimit changes the number of connections, and how long idle ones are kept.
func (p *Pool) SetLimit(limit int, keep time.Duration) {
	defer p.openForWaiters()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.keep = limit, keep
	for p.open > p.limit && len(p.idle) > 0 {
		_ = p.idle[0].net.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// DropIdle closes the idle connections: they may have gone silent with one
// that did.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.net.Close()
		p.open--
	}
	p.idle = nil
}

// Close closes idle connections; those in use are closed when released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.DropIdle()
}

// QueueError means that no connection became free in time. Nothing was sent.
type QueueError struct {
	Upstream string
	Waited   time.Duration
}

// Error implements error.
func (e *QueueError) Error() string {
	return fmt.Sprintf("connector: no connection to upstream %s became free within %s", e.Upstream, e.Waited)
}
