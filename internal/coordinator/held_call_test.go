package coordinator

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A leader that had been suspended for longer than its lease refused all calls until its
// next heartbeat was answered.
func TestSuspendedLeaderAnswersOnceItsLeaseHolds(t *testing.T) {
	var suspended atomic.Int64
	f := newControlFleetWith(t, &controlFleet{now: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }})
	f.configure(1)
	h := f.hosts[f.leader()]
	for range 10 {
		suspended.Add(int64(leaderLease))
		document, err := h.ConfigurationDocument(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(document), qt.Equals, "1")
		waitFor(t, "the lease", func() bool {
			s, ok := h.Status(t.Context())
			return ok && s.HoldsLease
		})
	}
}

// A host that does not lead must send its callers on at once.
func TestCallsDoNotWaitAtHostsThatDoNotLead(t *testing.T) {
	f := newControlFleet(t)
	f.configure(1)
	leader := f.leader()
	for node, h := range f.hosts {
		if node == leader {
			continue
		}
		_, err := h.ConfigurationDocument(t.Context())
		qt.Assert(t, err, qt.Equals, ErrNotLeader)
		held := make(chan int, 1)
		qt.Assert(t, h.queue.Do(func() { held <- len(h.heldCalls) }), qt.IsTrue)
		qt.Assert(t, <-held, qt.Equals, 0)
	}
}
