package connector

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/evictor"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

const (
	// minDialBackoff and maxDialBackoff bound the time for which no connection
	// is opened after the upstream refused one because of its limit. The time
	// doubles while the refusals continue.
	minDialBackoff = 80 * time.Millisecond
	maxDialBackoff = 320 * time.Millisecond
)

// Pool holds one host's connections to one upstream, and the queue of
// statements waiting for the upstream's slots.
type Pool struct {
	dialer *Dialer

	mu       sync.Mutex
	upstream keeper.Upstream
	limit    int
	// idleTimeout is how long an idle connection is kept open; zero means for ever.
	idleTimeout time.Duration
	// open is the number of connections that are in use, idle or being opened, and opening
	// that of those being opened.
	open     int
	opening  int
	idle     []*Conn
	queue    queuer.Queue
	closed   bool
	opened   uint64
	overload overload
	// refusals are the counters of the set; nil without a set.
	refusals *refusals
	// dialBlockedUntil is when a connection may be opened again after the upstream
	// refused one because of its limit, and dialBackoff the length of that time.
	dialBlockedUntil time.Time
	dialBackoff      time.Duration
}

func newPool(d *Dialer, u keeper.Upstream) *Pool {
	return &Pool{dialer: d, upstream: u, queue: queuer.Queue{Slots: u.Slots}}
}

// currentUpstream returns the upstream as it last announced itself.
func (p *Pool) currentUpstream() keeper.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Load returns the state of the queue for an organisation.
func (p *Pool) Load(organisation string) queuer.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.queue.Load()
	l.Opening, l.HasIdle = p.opening, p.hasIdle(organisation)
	return l
}

// Acquire waits for a slot and a connection of an organisation, preferring the
// idle connection that matches the values best.
func (p *Pool) Acquire(ctx context.Context, organisation string, values map[string]string, limits Limits) (*Conn, error) {
	w := &queuer.Waiter{Organisation: organisation, Kind: limits.Kind, Priority: limits.Priority, SessionVariables: values, Patient: limits.Patient}
	grant, err := p.waitForSlot(ctx, w, limits)
	if err != nil {
		return nil, err
	}
	c, ok := grant.Connection.(*Conn)
	switch {
	case !ok:
		return p.dial(ctx, organisation)
	case !c.isUsable():
		return p.replace(ctx, c)
	}
	return c, nil
}

// AcquireSlot waits for a slot for the next statement of an open transaction.
func (p *Pool) AcquireSlot(ctx context.Context, c *Conn, limits Limits) error {
	_, err := p.waitForSlot(ctx, &queuer.Waiter{Organisation: c.Organisation, Kind: limits.Kind, InTransaction: true}, limits)
	return err
}

// waitForSlot waits for a slot. A statement that would wait too long is refused
// at once.
func (p *Pool) waitForSlot(ctx context.Context, w *queuer.Waiter, limits Limits) (queuer.Grant, error) {
	p.mu.Lock()
	if p.closed && !w.InTransaction {
		defer p.mu.Unlock()
		return queuer.Grant{}, &ConnectError{Upstream: p.upstream.ID, Err: fmt.Errorf("upstream is gone")}
	}
	if p.limit <= 0 && !w.InTransaction {
		defer p.mu.Unlock()
		return queuer.Grant{}, &ConnectError{Upstream: p.upstream.ID, Err: &OwnerError{Err: errors.New("this host opens no connections of its own")}}
	}
	w.EnqueuedAt = time.Now()
	w.LatestStart = limits.Deadline.Add(-limits.TimeReserve)
	w.MaxWait = limits.MaxWait
	if limits.AnswerWithin > 0 {
		w.AnswerBy = w.EnqueuedAt.Add(limits.AnswerWithin)
	}
	if d := p.queue.Offer(w.EnqueuedAt, w); !d.Admitted {
		p.recordRefusal(true)
		defer p.mu.Unlock()
		return queuer.Grant{}, &QueueError{Upstream: p.upstream.ID, ExpectedWait: d.ExpectedWait, MayWait: d.MayWait, RoomIn: d.RoomIn}
	}
	w.Granted = make(chan queuer.Grant, 1)
	p.queue.Push(w)
	p.dispatch()
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(w.LatestStart))
	defer timer.Stop()
	select {
	case g := <-w.Granted:
		if !g.Expired {
			return g, nil
		}
	case <-timer.C:
		p.abandon(w)
	case <-ctx.Done():
		p.abandon(w)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordRefusal(false)
	return queuer.Grant{}, &QueueError{Upstream: p.upstream.ID, Waited: time.Since(w.EnqueuedAt), RoomIn: p.queue.RoomIn(time.Now(), w)}
}

// abandon removes a waiter that gave up.
func (p *Pool) abandon(w *queuer.Waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Remove(w) {
		return
	}
	if g := <-w.Granted; !g.Expired {
		p.returnGrant(w, g)
	}
}

// returnGrant takes back a grant that arrived just as the waiter gave up.
func (p *Pool) returnGrant(w *queuer.Waiter, g queuer.Grant) {
	p.queue.Stop()
	if c, ok := g.Connection.(*Conn); ok {
		p.put(c)
	} else if !w.InTransaction {
		p.open--
		p.opening--
	}
	p.dispatch()
}

// dispatch grants slots to waiters while slots and connections are available.
func (p *Pool) dispatch() {
	now := time.Now()
	fit := func(w *queuer.Waiter) queuer.Availability {
		switch {
		case p.hasIdle(w.Organisation):
			return queuer.IdleAvailable
		case p.canOpen(now):
			return queuer.OpenAllowed
		}
		return queuer.Unavailable
	}
	for _, w := range p.queue.Expire(now) {
		w.Granted <- queuer.Grant{Expired: true}
	}
	for {
		w := p.queue.Pop(now, fit)
		if w == nil {
			return
		}
		p.queue.Start()
		grant := queuer.Grant{}
		if !w.InTransaction {
			if c := p.takeIdle(w.Organisation, w.SessionVariables); c != nil {
				grant.Connection = c
			} else {
				p.makeRoom(now)
				p.open++
				p.opening++
			}
		}
		w.Granted <- grant
	}
}

func (p *Pool) hasIdle(organisation string) bool {
	for _, c := range p.idle {
		if c.Organisation == organisation {
			return true
		}
	}
	return false
}

// canOpen reports whether a connection may be opened now, if necessary by
// closing an idle one.
func (p *Pool) canOpen(now time.Time) bool {
	if p.open < p.openLimit() && !now.Before(p.dialBlockedUntil) {
		return true
	}
	return len(p.idle) > 0 && p.open <= p.openLimit()
}

// openLimit returns the maximum number of connections. Where the limit has become
// zero, those that were already waiting use one, or else they would wait until
// their deadlines.
func (p *Pool) openLimit() int {
	if p.queue.Len() > 0 {
		return max(1, p.limit)
	}
	return p.limit
}

// makeRoom closes an idle connection if a new one can be opened only in its place.
func (p *Pool) makeRoom(now time.Time) {
	if p.open >= max(1, p.limit) || now.Before(p.dialBlockedUntil) {
		p.closeLeastUsed()
	}
}

// closeLeastUsed closes the idle connection that evictor chooses.
func (p *Pool) closeLeastUsed() {
	uses := make([]evictor.Use, len(p.idle))
	for i, c := range p.idle {
		uses[i] = evictor.Use{Last: c.idleSince, Previous: c.previousUse}
	}
	p.closeIdle(evictor.Choose(uses))
}

func (p *Pool) closeIdle(i int) {
	_ = p.idle[i].net.Close()
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
}

// takeIdle removes the best matching idle connection.
func (p *Pool) takeIdle(organisation string, values map[string]string) *Conn {
	best := -1
	for i, c := range p.idle {
		if c.Organisation != organisation {
			continue
		}
		if best < 0 || c.matchScore(values) >= p.idle[best].matchScore(values) {
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

// dial opens a connection. The connection and its slot are already counted.
func (p *Pool) dial(ctx context.Context, organisation string) (*Conn, error) {
	begin := time.Now()
	c, _, err := p.dialer.Dial(ctx, p.currentUpstream(), organisation)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	p.recordDial(err)
	if err == nil {
		p.queue.ObserveOpening(time.Since(begin))
		return c, nil
	}
	p.open--
	p.queue.Stop()
	p.dispatch()
	return nil, err
}

// recordDial records the result of a dial. If the upstream is at its connection
// limit, no more connections are opened for the backoff time.
func (p *Pool) recordDial(err error) {
	p.opened++
	var connectErr *ConnectError
	if !errors.As(err, &connectErr) || connectErr.Failure != FailureTooManyConnections {
		p.dialBackoff = 0
		return
	}
	now := time.Now()
	if now.Before(p.dialBlockedUntil) {
		return
	}
	p.dialBackoff = min(max(2*p.dialBackoff, minDialBackoff), maxDialBackoff)
	p.dialBlockedUntil = now.Add(p.dialBackoff)
	time.AfterFunc(p.dialBackoff, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch()
	})
}

// Release returns a connection to the pool, or closes it if it cannot be reused.
func (p *Pool) Release(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(c)
	p.dispatch()
}

// put adds a connection to the idle ones, or closes it.
func (p *Pool) put(c *Conn) {
	if !c.isReusable() || p.closed || p.open > p.limit {
		_ = c.net.Close()
		p.open--
		return
	}
	if !c.positionOnly {
		c.previousUse, c.idleSince = c.idleSince, time.Now()
	}
	c.positionOnly = false
	p.idle = append(p.idle, c)
}

// sweep closes connections that have been idle for longer than idleTimeout.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.idleTimeout > 0 && len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.idleTimeout {
		p.closeIdle(0)
	}
}

// Configure updates the upstream's attributes and the limits of the pool.
func (p *Pool) Configure(u keeper.Upstream, a PoolLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream, p.limit, p.idleTimeout, p.queue.Slots = u, a.MaxConnections, a.IdleTimeout, u.Slots
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeLeastUsed()
	}
	p.dispatch()
}

// Close closes idle connections; those in use are closed when released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeIdle(0)
	}
}
