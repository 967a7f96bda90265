// Package pooler implements connection pools for upstreams.
//
// A connection serves one transaction at a time. Two semaphores limit this
// host's use of an upstream: one limits its connections, the other its
// concurrent statements. Both are fair between organisations.
//
// # Usage
//
//	p := &pooler.Pool{Upstream: u, Connect: connect, Connections: 5, Slots: 2}
//	go p.Run(ctx)
//	conn, err := p.Acquire(ctx, "prairie_1", 2*time.Second)
//	...
//	p.Release(conn) // or p.Discard(conn) if its state is unknown
package pooler

import (
	"context"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

const (
	// maintenanceInterval is the time between checks of the idle connections.
	maintenanceInterval = 500 * time.Millisecond
	// idleCheckAfter is the idle time after which a connection is health-checked.
	idleCheckAfter = 2 * time.Second
	// checkTimeout limits a health check and the opening of a spare connection.
	checkTimeout = time.Second
)

// Pool holds this host's connections to one upstream. The exported fields must
// not change after first use.
type Pool struct {
	Upstream configurer.Upstream
	// Connect opens a connection.
	Connect func(ctx context.Context) (*Conn, error)
	// Connections is the maximum number of open connections.
	Connections int
	// Slots is the maximum number of concurrent statements.
	Slots int
	// OnStrayResponse is called for each response that belongs to no request; nil disables
	// it. It must be safe for concurrent use.
	OnStrayResponse func(err *StrayResponseError)

	conns Semaphore
	slots Semaphore

	mu       sync.Mutex
	idle     []*Conn
	open     int
	acquired map[*Conn]holder
	closed   bool
	wake     chan struct{}
	// freed is closed and replaced when a connection becomes idle or is closed.
	freed chan struct{}
	// loginTimeout is the timeout of spare connections; only Run's goroutine uses it.
	loginTimeout LoginTimeout
}

type holder struct {
	organisation string
	since        time.Time
}

// init initialises the pool on first use. The caller holds p.mu.
func (p *Pool) init() {
	if p.acquired != nil {
		return
	}
	p.acquired = map[*Conn]holder{}
	p.wake = make(chan struct{}, 1)
	p.freed = make(chan struct{})
	p.conns.SetLimit(p.Connections)
	p.slots.SetLimit(p.Slots)
}

// Load returns the number of running and waiting statements, and the limit.
func (p *Pool) Load() (used, limit int) {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	return p.slots.Load()
}

// Acquire acquires a connection for one transaction of an organisation. It waits
// for at most timeout.
func (p *Pool) Acquire(ctx context.Context, organisation string, timeout time.Duration) (*Conn, error) {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	start := time.Now()
	if p.conns.TryAcquire() {
		if c := p.acquireIdle(organisation, start); c != nil {
			return c, nil
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return p.acquireWithPermit(ctx, organisation, start)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := p.conns.Acquire(ctx, organisation); err != nil {
		return nil, refuser.Wrap(refuser.ReasonPoolFull, "upstream "+p.Upstream.ID, err)
	}
	return p.acquireWithPermit(ctx, organisation, time.Now())
}

// acquireWithPermit acquires a connection for an organisation that holds a
// permit of p.conns. It releases the permit on error.
func (p *Pool) acquireWithPermit(ctx context.Context, organisation string, since time.Time) (*Conn, error) {
	c, err := p.idleOrNew(ctx)
	if err != nil {
		p.conns.Release(organisation, time.Since(since))
		return nil, refuser.Wrap(refuser.ReasonNoUpstream, "upstream "+p.Upstream.ID, err)
	}
	p.mu.Lock()
	p.acquired[c] = holder{organisation: organisation, since: since}
	p.mu.Unlock()
	return c, nil
}

// idleOrNew returns an idle connection or opens one. If the upstream accepts no
// more connections, it waits until one of the pool's connections is freed.
func (p *Pool) idleOrNew(ctx context.Context) (*Conn, error) {
	for {
		if c := p.settledIdle(); c != nil {
			return c, nil
		}
		p.mu.Lock()
		if len(p.idle) > 0 {
			p.mu.Unlock()
			continue
		}
		freed := p.freed
		mayOpen := p.open < p.Connections
		if mayOpen {
			p.open++
			p.wakeMaintenance()
		}
		p.mu.Unlock()
		if mayOpen {
			c, err := p.connect(ctx)
			if err == nil || !p.hasOpen() {
				return c, err
			}
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connect opens a connection that is already counted in p.open.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	c, err := p.Connect(ctx)
	if err != nil {
		p.mu.Lock()
		p.countClosed()
		p.mu.Unlock()
		return nil, err
	}
	c.Upstream = p.Upstream.ID
	return c, nil
}

func (p *Pool) hasOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open > 0
}

// countClosed subtracts a closed connection from p.open. The caller holds p.mu.
func (p *Pool) countClosed() {
	p.open--
	p.notifyFreed()
}

// addIdle adds a connection to the idle list. The caller holds p.mu.
func (p *Pool) addIdle(c *Conn) {
	p.idle = append(p.idle, c)
	p.notifyFreed()
}

func (p *Pool) notifyFreed() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// wakeMaintenance makes Run open a spare connection. The caller holds p.mu.
func (p *Pool) wakeMaintenance() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// StartStatement acquires a slot for one statement on an acquired connection. It
// waits for at most timeout.
func (p *Pool) StartStatement(ctx context.Context, organisation string, timeout time.Duration) error {
	if p.slots.TryAcquire() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := p.slots.Acquire(ctx, organisation); err != nil {
		return refuser.Wrap(refuser.ReasonPoolFull, "upstream "+p.Upstream.ID, err)
	}
	return nil
}

// EndStatement releases the slot of a statement.
func (p *Pool) EndStatement(organisation string, held time.Duration) {
	p.slots.Release(organisation, held)
}

// Release puts a connection back into the pool. It must be idle and in a known
// state.
func (p *Pool) Release(c *Conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	h := p.acquired[c]
	delete(p.acquired, c)
	if p.closed {
		p.countClosed()
		c.close()
	} else {
		p.addIdle(c)
	}
	p.mu.Unlock()
	p.conns.Release(h.organisation, time.Since(h.since))
}

// Discard closes an acquired connection whose state is unknown.
func (p *Pool) Discard(c *Conn) {
	c.close()
	p.mu.Lock()
	h := p.acquired[c]
	delete(p.acquired, c)
	p.countClosed()
	p.mu.Unlock()
	p.conns.Release(h.organisation, time.Since(h.since))
}

// Abort aborts reads and writes on all acquired connections and closes the idle
// ones. It is called when new connections to the upstream fail as well.
func (p *Pool) Abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.acquired {
		c.SetDeadline(pastDeadline)
	}
	p.closeIdle()
}

// pastDeadline is a deadline that makes reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// closeIdle closes the idle connections. The caller holds p.mu.
func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		p.countClosed()
		c.close()
	}
	p.idle = nil
}

// Run maintains the pool until ctx ends: it keeps a spare connection open and
// closes idle connections that fail their health check.
func (p *Pool) Run(ctx context.Context) {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		p.openSpare(ctx)
		select {
		case <-ctx.Done():
			p.close()
			return
		case <-ticker.C:
			p.checkIdle()
		case <-p.wake:
		}
	}
}

// openSpare opens a connection if none is idle and the limit allows it.
func (p *Pool) openSpare(ctx context.Context) {
	p.mu.Lock()
	needed := len(p.idle) == 0 && p.open < p.Connections && !p.closed
	if needed {
		p.open++
	}
	p.mu.Unlock()
	if !needed {
		return
	}
	connectCtx, cancel := context.WithTimeout(ctx, p.loginTimeout.Next(checkTimeout))
	defer cancel()
	c, err := p.connect(connectCtx)
	p.loginTimeout.Record(err)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addIdle(c)
}

// checkIdle health-checks the connections that have been idle for longer than
// idleCheckAfter and closes those that fail.
func (p *Pool) checkIdle() {
	p.mu.Lock()
	var stale []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.lastUsed) > idleCheckAfter {
			stale = append(stale, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range stale {
		wg.Add(1)
		go func() {
			defer wg.Done()
			err := c.check(checkTimeout)
			p.mu.Lock()
			defer p.mu.Unlock()
			if err != nil || p.closed {
				p.countClosed()
				c.close()
				return
			}
			p.addIdle(c)
		}()
	}
	wg.Wait()
}

// close closes the idle connections. Acquired ones are closed when returned.
func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}
