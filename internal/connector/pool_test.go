package connector

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/peeker"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

// idlePool returns a pool at its limit, with idle connections of the organisations
// a, b and c, returned in this order.
func idlePool(t *testing.T) *Pool {
	t.Helper()
	p := newPool(&Dialer{}, keeper.Upstream{ID: "u", Slots: 4})
	p.limit = 3
	for _, organisation := range []string{"a", "b", "c"} {
		local, remote := net.Pipe()
		t.Cleanup(func() { _ = remote.Close() })
		p.open++
		p.put(&Conn{Organisation: organisation, net: local, peeker: peeker.New(local), r: bufio.NewReader(local), state: StateIdle})
	}
	return p
}

func organisationsOf(p *Pool) []string {
	var names []string
	for _, c := range p.idle {
		names = append(names, c.Organisation)
	}
	return names
}

// A connection that is used often must stay when an organisation needs a place,
// even if others were returned later. Queries of the position use any connection
// and must not count.
func TestPoolKeepsConnectionsThatAreUsedOften(t *testing.T) {
	p := idlePool(t)
	p.Release(p.takeIdle("a", nil))
	p.Release(p.takeIdle("b", nil))
	for range 3 {
		c := p.AcquireIdle()
		p.Release(c)
	}
	p.Release(p.takeIdle("c", nil))
	p.Release(p.takeIdle("a", nil))
	p.makeRoom(time.Now())
	qt.Assert(t, p.open, qt.Equals, 2)
	qt.Assert(t, organisationsOf(p), qt.DeepEquals, []string{"c", "a"})
}

// A host that may open no connections must say so at once: a wait would end only
// at the deadline.
func TestPoolWithoutConnectionsRefusesAtOnce(t *testing.T) {
	p := newPool(&Dialer{}, keeper.Upstream{ID: "u", Slots: 4})
	begin := time.Now()
	_, err := p.Acquire(context.Background(), "a", nil, Limits{Deadline: begin.Add(time.Minute)})
	var connectErr *ConnectError
	qt.Assert(t, errors.As(err, &connectErr), qt.IsTrue)
	qt.Assert(t, time.Since(begin) < 10*time.Second, qt.IsTrue)
}

// A host that is no longer an owner may open no connections. Those that already wait
// at it must still be served.
func TestWaitersAreServedWhenTheLimitBecomesZero(t *testing.T) {
	p := newPool(&Dialer{}, keeper.Upstream{ID: "u", Slots: 4})
	p.limit = 1
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = remote.Close() })
	p.open++
	inUse := &Conn{Organisation: "a", net: local, state: StateIdle}
	w := &queuer.Waiter{Organisation: "b", Granted: make(chan queuer.Grant, 1), EnqueuedAt: time.Now()}
	p.queue.Push(w)
	p.dispatch()
	qt.Assert(t, p.queue.Len(), qt.Equals, 1)
	p.Configure(keeper.Upstream{ID: "u", Slots: 4}, PoolLimits{})
	p.Release(inUse)
	qt.Assert(t, p.queue.Len(), qt.Equals, 0)
	qt.Assert(t, (<-w.Granted).Connection, qt.IsNil, qt.Commentf("it may open one"))
	qt.Assert(t, p.open, qt.Equals, 1)
}

// The dial of a connection read the upstream while a new view changed it; -race tells.
func TestPoolDialsWhileItsUpstreamIsConfigured(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	u := keeper.Upstream{ID: "u", Address: l.Addr().String(), Slots: 4}
	qt.Assert(t, l.Close(), qt.IsNil)
	p := newPool(&Dialer{}, u)
	p.Configure(u, PoolLimits{MaxConnections: 4})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range 50 {
			_, err := p.Acquire(context.Background(), "a", nil, Limits{Deadline: time.Now().Add(time.Minute)})
			qt.Check(t, err, qt.IsNotNil)
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		default:
			u.Slots = 4 + n%2
			p.Configure(u, PoolLimits{MaxConnections: 4})
		}
	}
}
