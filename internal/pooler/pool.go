// Package pooler keeps the connections to upstreams and shares them between
// requests.
//
// A connection belongs to one transaction at a time. Two gates bound the use
// of an upstream by this host: one counts connections, the other statements
// that run at the same time. Both are fair between organisations.
//
// # Usage
//
//	p := &pooler.Pool{Upstream: u, Config: cfg, Connections: 5, Slots: 2}
//	go p.Run(ctx)
//	conn, err := p.Take(ctx, "prairie_1", 2*time.Second)
//	...
//	p.Return(conn) // or p.Discard(conn) when its state is in doubt
package pooler

import (
	"context"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

const (
	// keepInterval is the time between rounds of the pool's upkeep.
	keepInterval = 500 * time.Millisecond
	// checkAfter is the idle time after which a connection is checked.
	checkAfter = 2 * time.Second
	// checkTimeout bounds a check.
	checkTimeout = time.Second
)

// Pool holds this host's connections to one upstream. Exported fields are set
// before use.
type Pool struct {
	Upstream configurer.Upstream
	// Connect opens a connection.
	Connect func(ctx context.Context) (*Conn, error)
	// Connections bounds the open connections.
	Connections int
	// Slots bounds the statements that run at the same time.
	Slots int

	conns Gate
	slots Gate

	mu     sync.Mutex
	idle   []*Conn
	open   int
	taken  map[*Conn]holder
	closed bool
	wake   chan struct{}
	// freed is closed when a connection becomes idle or is closed.
	freed chan struct{}
}

type holder struct {
	organisation string
	since        time.Time
}

// init prepares the gates once. The caller holds p.mu.
func (p *Pool) init() {
	if p.taken != nil {
		return
	}
	p.taken = map[*Conn]holder{}
	p.wake = make(chan struct{}, 1)
	p.freed = make(chan struct{})
	p.conns.SetLimit(p.Connections)
	p.slots.SetLimit(p.Slots)
}

// Load returns this host's running and waiting requests and the limit.
func (p *Pool) Load() (used, limit int) {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	return p.slots.Load()
}

// Take returns a connection for one transaction of an organisation. It waits
// for at most bound.
func (p *Pool) Take(ctx context.Context, organisation string, bound time.Duration) (*Conn, error) {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	start := time.Now()
	if p.conns.TryEnter() {
		if c := p.takeIdle(organisation, start); c != nil {
			return c, nil
		}
		ctx, cancel := context.WithTimeout(ctx, bound)
		defer cancel()
		return p.takeEntered(ctx, organisation, start)
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if err := p.conns.Enter(ctx, organisation); err != nil {
		return nil, refuser.Wrap(refuser.ReasonPoolFull, "upstream "+p.Upstream.ID, err)
	}
	return p.takeEntered(ctx, organisation, time.Now())
}

// takeIdle hands an idle connection to an organisation, or returns nil.
func (p *Pool) takeIdle(organisation string, since time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.popIdle()
	if c != nil {
		p.taken[c] = holder{organisation: organisation, since: since}
	}
	return c
}

// takeEntered takes a connection for an organisation that has its place.
func (p *Pool) takeEntered(ctx context.Context, organisation string, since time.Time) (*Conn, error) {
	c, err := p.takeOrOpen(ctx)
	if err != nil {
		p.conns.Leave(organisation, time.Since(since))
		return nil, refuser.Wrap(refuser.ReasonNoUpstream, "upstream "+p.Upstream.ID, err)
	}
	p.mu.Lock()
	p.taken[c] = holder{organisation: organisation, since: since}
	p.mu.Unlock()
	return c, nil
}

// takeOrOpen returns an idle connection or opens one. When the upstream accepts
// no more connections, it waits for one that the pool has.
func (p *Pool) takeOrOpen(ctx context.Context) (*Conn, error) {
	for {
		p.mu.Lock()
		if c := p.popIdle(); c != nil {
			p.mu.Unlock()
			return c, nil
		}
		freed := p.freed
		mayOpen := p.open < p.Connections
		if mayOpen {
			p.open++
			p.signal()
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

// popIdle returns the connection that was used last, or nil. The caller holds
// p.mu.
func (p *Pool) popIdle() *Conn {
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	if n == 1 {
		p.signal()
	}
	return c
}

// connect opens a connection that was counted before.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	c, err := p.Connect(ctx)
	if err != nil {
		p.mu.Lock()
		p.dropOpen()
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

// dropOpen counts a closed connection. The caller holds p.mu.
func (p *Pool) dropOpen() {
	p.open--
	p.announceFreed()
}

// addIdle makes a connection available. The caller holds p.mu.
func (p *Pool) addIdle(c *Conn) {
	p.idle = append(p.idle, c)
	p.announceFreed()
}

func (p *Pool) announceFreed() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// signal wakes the upkeep. The caller holds p.mu.
func (p *Pool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// StartStatement waits for a slot for one statement on a taken connection, for
// at most bound.
func (p *Pool) StartStatement(ctx context.Context, organisation string, bound time.Duration) error {
	if p.slots.TryEnter() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if err := p.slots.Enter(ctx, organisation); err != nil {
		return refuser.Wrap(refuser.ReasonPoolFull, "upstream "+p.Upstream.ID, err)
	}
	return nil
}

// EndStatement frees the slot that a statement held.
func (p *Pool) EndStatement(organisation string, held time.Duration) {
	p.slots.Leave(organisation, held)
}

// Return gives back a connection that is idle and in a known state.
func (p *Pool) Return(c *Conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	h := p.taken[c]
	delete(p.taken, c)
	if p.closed {
		p.dropOpen()
		c.close()
	} else {
		p.addIdle(c)
	}
	p.mu.Unlock()
	p.conns.Leave(h.organisation, time.Since(h.since))
}

// Discard closes a connection whose state is in doubt.
func (p *Pool) Discard(c *Conn) {
	c.close()
	p.mu.Lock()
	h := p.taken[c]
	delete(p.taken, c)
	p.dropOpen()
	p.mu.Unlock()
	p.conns.Leave(h.organisation, time.Since(h.since))
}

// Break ends whatever waits for the upstream, which answers no new connection
// either. Idle connections are closed.
func (p *Pool) Break() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.taken {
		c.SetDeadline(longAgo)
	}
	p.dropIdle()
}

// longAgo is a deadline that ends reads and writes at once.
var longAgo = time.Unix(1, 0)

// dropIdle closes the idle connections. The caller holds p.mu.
func (p *Pool) dropIdle() {
	for _, c := range p.idle {
		p.dropOpen()
		c.close()
	}
	p.idle = nil
}

// Run keeps the pool until ctx ends: it opens a connection ahead of need and
// replaces idle connections that no longer answer.
func (p *Pool) Run(ctx context.Context) {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		p.openAhead(ctx)
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

// openAhead keeps one idle connection ready while the limit allows it.
func (p *Pool) openAhead(ctx context.Context) {
	p.mu.Lock()
	needed := len(p.idle) == 0 && p.open < p.Connections && !p.closed
	if needed {
		p.open++
	}
	p.mu.Unlock()
	if !needed {
		return
	}
	connectCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c, err := p.connect(connectCtx)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addIdle(c)
}

// checkIdle makes a round trip on each connection that has been idle for long
// and closes those that do not answer.
func (p *Pool) checkIdle() {
	p.mu.Lock()
	var stale []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.lastUsed) > checkAfter {
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
				p.dropOpen()
				c.close()
				return
			}
			p.addIdle(c)
		}()
	}
	wg.Wait()
}

// close ends the idle connections; taken ones end when they come back.
func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdle()
}
