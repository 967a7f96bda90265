package connector

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

// newBusyPool returns a pool whose slots are all in use by statements of a second.
func newBusyPool(t *testing.T) *Pool {
	t.Helper()
	p := newPool(&Dialer{}, keeper.Upstream{ID: "u", Slots: 1})
	p.limit = 4
	p.queue.ObserveServiceTime(time.Second)
	for p.queue.HasSlot() {
		p.queue.Start()
	}
	return p
}

func queueErrorOf(t *testing.T, err error) *QueueError {
	t.Helper()
	var queueErr *QueueError
	qt.Assert(t, errors.As(err, &queueErr), qt.IsTrue, qt.Commentf("%v", err))
	return queueErr
}

// A statement that would miss its objective must be refused before it has waited,
// with the time until there is room.
func TestStatementBeyondItsObjectiveIsRefusedAtOnce(t *testing.T) {
	p := newBusyPool(t)
	_, err := p.Acquire(t.Context(), "a", nil, Limits{Deadline: time.Now().Add(time.Minute), AnswerWithin: 800 * time.Millisecond})
	refused := queueErrorOf(t, err)
	qt.Assert(t, refused.Waited, qt.Equals, time.Duration(0))
	qt.Assert(t, refused.ExpectedWait >= time.Second, qt.IsTrue)
	qt.Assert(t, refused.RoomIn > 0, qt.IsTrue)
	qt.Assert(t, refused.MayWait, qt.IsTrue, qt.Commentf("the deadline is far away"))
	qt.Assert(t, p.queue.Len(), qt.Equals, 0)
	c, ok := p.overloadChange(time.Now())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.RefusedEarly, qt.Equals, uint64(1))
}

// The slots are in use until after the deadline. The statement must be refused then
// and leave the queue, also if its caller's context never ends.
func TestWaiterIsRefusedWhenItsTimeIsOver(t *testing.T) {
	p := newBusyPool(t)
	p.queue.Stop()
	p.queue.Start()
	_, err := p.Acquire(t.Context(), "a", nil, Limits{Deadline: time.Now().Add(1100 * time.Millisecond), TimeReserve: 50 * time.Millisecond, Patient: true})
	refused := queueErrorOf(t, err)
	qt.Assert(t, refused.Waited >= time.Second, qt.IsTrue, qt.Commentf("%s", refused.Waited))
	qt.Assert(t, refused.RoomIn > 0, qt.IsTrue)
	qt.Assert(t, p.queue.Len(), qt.Equals, 0)
}

// A slot that becomes free after a waiter's time was granted to it before, and its
// statement ran for nobody. It must go to the next waiter.
func TestFreedSlotSkipsWaitersWhoseTimeIsOver(t *testing.T) {
	p := newBusyPool(t)
	expired := &queuer.Waiter{Organisation: "a", InTransaction: true, LatestStart: time.Now().Add(-time.Millisecond), Granted: make(chan queuer.Grant, 1)}
	next := &queuer.Waiter{Organisation: "b", InTransaction: true, LatestStart: time.Now().Add(time.Minute), Granted: make(chan queuer.Grant, 1)}
	p.mu.Lock()
	p.queue.Push(expired)
	p.queue.Push(next)
	p.queue.Stop()
	p.dispatch()
	p.mu.Unlock()
	qt.Assert(t, (<-expired.Granted).Expired, qt.IsTrue)
	qt.Assert(t, (<-next.Granted).Expired, qt.IsFalse)
	qt.Assert(t, p.queue.Running(), qt.Equals, 2, qt.Commentf("the expired waiter holds no slot"))
}

// A waiter that gives up must return a grant that arrived at the same moment, or the
// slot is lost.
func TestAbandonedWaiterReturnsItsGrant(t *testing.T) {
	for _, expired := range []bool{false, true} {
		p := newBusyPool(t)
		w := &queuer.Waiter{Organisation: "a", InTransaction: true, Granted: make(chan queuer.Grant, 1)}
		running := p.queue.Running()
		if !expired {
			p.queue.Stop()
			p.queue.Start()
			running--
		}
		w.Granted <- queuer.Grant{Expired: expired}
		p.abandon(w)
		qt.Assert(t, p.queue.Running(), qt.Equals, running)
	}
}

// The reports of an overload must neither repeat with each refusal nor end while
// refused callers may still return.
func TestOverloadIsReportedOnceAndEndsAfterQuiet(t *testing.T) {
	var o overload
	start := time.Unix(100, 0)
	_, ok := o.change(start)
	qt.Assert(t, ok, qt.IsFalse)
	o.record(start, true)
	c, ok := o.change(start)
	qt.Assert(t, ok && c.Overloaded, qt.IsTrue)
	o.record(start.Add(time.Second), false)
	_, ok = o.change(start.Add(time.Second + quietBeforeEnd - 1))
	qt.Assert(t, ok, qt.IsFalse)
	c, ok = o.change(start.Add(time.Second + quietBeforeEnd))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c, qt.Equals, OverloadChange{RefusedEarly: 1, RefusedLate: 1, Lasted: time.Second})
	_, ok = o.change(start.Add(time.Hour))
	qt.Assert(t, ok, qt.IsFalse)
}

// Counters must not fall when an upstream leaves.
func TestStatisticsOutliveThePool(t *testing.T) {
	s := &PoolSet{Dialer: &Dialer{}}
	allow := func(keeper.Upstream) PoolLimits { return PoolLimits{MaxConnections: 1} }
	s.Update(map[string]keeper.Upstream{"u": {ID: "u", Slots: 1}}, allow)
	p := s.Pool("u")
	for p.queue.HasSlot() {
		p.queue.Start()
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := p.Acquire(ctx, "a", nil, Limits{Deadline: time.Now().Add(time.Minute)})
	qt.Assert(t, queueErrorOf(t, err).Waited > 0, qt.IsTrue)
	_, err = p.Acquire(t.Context(), "a", nil, Limits{Deadline: time.Now().Add(time.Minute), MaxWait: time.Nanosecond})
	qt.Assert(t, queueErrorOf(t, err).ExpectedWait > 0, qt.IsTrue)
	s.Update(nil, allow)
	qt.Assert(t, s.QueueStatistics(), qt.Equals, QueueStatistics{RefusedEarly: 1, RefusedLate: 1})
}
