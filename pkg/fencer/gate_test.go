package fencer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var gateStart = time.Unix(0, 0)

// newGate returns a gate for the service s with the primary a.
func newGate(exclusive bool) *Gate {
	g := &Gate{Exclusive: exclusive, HandOverTimeout: 400 * time.Millisecond, HoldTimeout: 2 * time.Second}
	g.SetPrimary("s", "a", nil, gateStart)
	return g
}

// use begins work that must pass.
func use(t *testing.T, g *Gate, upstream string, now time.Time) Use {
	t.Helper()
	u, ok := g.Begin("s", upstream, now)
	qt.Assert(t, ok, qt.IsTrue)
	return u
}

func passes(g *Gate, upstream string, now time.Time) bool {
	u, ok := g.Begin("s", upstream, now)
	if ok {
		g.End(u)
	}
	return ok
}

func TestWorkInProgressDelaysThePlannedRelease(t *testing.T) {
	now := gateStart
	g := newGate(true)
	work := use(t, g, "a", now)
	qt.Assert(t, g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 50, Planned: true}, now), qt.Equals, 400*time.Millisecond)
	qt.Assert(t, passes(g, "a", now), qt.IsFalse, qt.Commentf("new work"))
	qt.Assert(t, g.Release(60, now), qt.Equals, uint64(49))
	qt.Assert(t, g.MayAcknowledge(work), qt.IsTrue)
	qt.Assert(t, g.End(work), qt.IsTrue)
	qt.Assert(t, g.Release(60, now), qt.Equals, uint64(60))
	qt.Assert(t, g.MayAcknowledge(work), qt.IsFalse)
}

func TestReleaseIsForcedAfterTheTimeout(t *testing.T) {
	now := gateStart
	g := newGate(true)
	work := use(t, g, "a", now)
	g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 50, Planned: true}, now)
	qt.Assert(t, g.Release(60, now.Add(399*time.Millisecond)), qt.Equals, uint64(49))
	qt.Assert(t, g.Release(60, now.Add(400*time.Millisecond)), qt.Equals, uint64(60))
	qt.Assert(t, g.MayAcknowledge(work), qt.IsFalse, qt.Commentf("the release has been reported"))
}

func TestUnplannedReplacementReleasesAtOnce(t *testing.T) {
	now := gateStart
	g := newGate(true)
	old := use(t, g, "a", now)
	g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 50}, now)
	qt.Assert(t, g.Release(60, now), qt.Equals, uint64(60))
	qt.Assert(t, g.MayAcknowledge(old), qt.IsFalse)
	next := use(t, g, "b", now)
	g.SetPrimary("s", "b", nil, now)
	qt.Assert(t, g.MayAcknowledge(next), qt.IsTrue, qt.Commentf("the candidate was tried before it was announced"))
	qt.Assert(t, g.MayAcknowledge(old), qt.IsFalse)
}

func TestHandOversInSeries(t *testing.T) {
	now := gateStart
	g := newGate(true)
	first := use(t, g, "a", now)
	g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 50, Planned: true}, now)
	g.Release(50, now.Add(time.Second))
	g.SetPrimary("s", "b", nil, now)
	second := use(t, g, "b", now)
	g.SetPrimary("s", "a", &HandOver{Former: "b", Token: 70, Planned: true}, now)
	qt.Assert(t, g.Release(80, now), qt.Equals, uint64(69))
	qt.Assert(t, g.MayAcknowledge(second), qt.IsTrue)
	qt.Assert(t, g.MayAcknowledge(first), qt.IsFalse, qt.Commentf("it began when a was the primary before"))
	g.End(second)
	qt.Assert(t, g.Release(80, now), qt.Equals, uint64(80))
}

func TestAnotherCandidateDoesNotGiveTheFormerPrimaryBack(t *testing.T) {
	now := gateStart
	g := newGate(true)
	work := use(t, g, "a", now)
	g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 50, Planned: true}, now)
	g.Release(50, now.Add(time.Second))
	g.SetPrimary("s", "c", &HandOver{Former: "a", Token: 60, Planned: true}, now.Add(time.Second))
	qt.Assert(t, g.MayAcknowledge(work), qt.IsFalse)
	qt.Assert(t, g.Release(60, now.Add(time.Second)), qt.Equals, uint64(60))
}

// A host that was frozen or cut off until its lease had ended may have missed changes
// of primary, even one away and back.
func TestWorkFromBeforeALeaseEndedIsNotAcknowledged(t *testing.T) {
	now := gateStart
	g := newGate(true)
	work := use(t, g, "a", now)
	g.LeaseEnded()
	qt.Assert(t, g.MayAcknowledge(work), qt.IsFalse)
	g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 50, Planned: true}, now)
	qt.Assert(t, g.MayAcknowledge(work), qt.IsFalse, qt.Commentf("during a planned change"))
	qt.Assert(t, g.MayAcknowledge(use(t, g, "b", now)), qt.IsTrue)
}

// Where the platform keeps a replaced primary from committing, a planned change holds
// new work for a bounded time and an unplanned one not at all.
func TestGateThatIsNotExclusive(t *testing.T) {
	now := gateStart
	g := newGate(false)
	qt.Assert(t, passes(g, "c", now), qt.IsTrue)
	g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 50}, now)
	work := use(t, g, "a", now)
	g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 60, Planned: true}, now)
	qt.Assert(t, g.Holds("s", now), qt.IsTrue)
	qt.Assert(t, passes(g, "a", now), qt.IsFalse)
	qt.Assert(t, passes(g, "a", now.Add(2*time.Second)), qt.IsTrue)
	qt.Assert(t, g.MayAcknowledge(work), qt.IsTrue)
}

func TestOnlyKnownHoldersAreWaitedFor(t *testing.T) {
	start := time.Unix(0, 0)
	g := Granter{TTL: 3 * time.Second}
	g.Reset(start)
	g.RecordVersion("a", 7)
	g.Release("b")
	qt.Assert(t, g.InForce(7, start.Add(time.Second)), qt.IsFalse, qt.Commentf("others may hold a lease"))
	g.SetKnownHolders([]string{"a", "b"})
	qt.Assert(t, g.InForce(7, start.Add(time.Second)), qt.IsTrue)
	qt.Assert(t, g.InForce(8, start.Add(time.Second)), qt.IsFalse)
	g.SetKnownHolders([]string{"c"})
	g.Reset(start)
	g.SetKnownHolders([]string{"a", "c"})
	g.RecordVersion("a", 9)
	qt.Assert(t, g.OutdatedHolders(9, start.Add(time.Second)), qt.DeepEquals, []string{"c"})
	qt.Assert(t, g.InForce(9, start.Add(3*time.Second)), qt.IsTrue)
}

// A host that still reached a primary which most hosts could not reach went on
// acknowledging its commits while another upstream was promoted without them.
func TestAbandonedPrimaryIsNotAcknowledged(t *testing.T) {
	now := gateStart
	g := newGate(false)
	work := use(t, g, "a", now)
	g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 50, AbandonsFormer: true}, now)
	qt.Assert(t, g.MayAcknowledge(work), qt.IsFalse)
	qt.Assert(t, passes(g, "a", now), qt.IsFalse)
	g.SetPrimary("s", "b", nil, now)
	qt.Assert(t, g.MayAcknowledge(work), qt.IsFalse, qt.Commentf("an answer that comes after the promotion"))
	qt.Assert(t, g.MayAcknowledge(use(t, g, "b", now)), qt.IsTrue)
}

// A promotion that does not come into effect gives the primary back after a while.
func TestAbandonedPrimaryIsUsedAgain(t *testing.T) {
	now := gateStart
	g := newGate(false)
	h := &HandOver{Former: "a", Token: 50, AbandonsFormer: true}
	g.SetPrimary("s", "b", h, now)
	now = now.Add(g.HoldTimeout)
	g.SetPrimary("s", "b", h, now)
	work := use(t, g, "a", now)
	qt.Assert(t, g.MayAcknowledge(work), qt.IsTrue)
	g.SetPrimary("s", "b", &HandOver{Former: "a", Token: 51, AbandonsFormer: true}, now)
	qt.Assert(t, g.MayAcknowledge(work), qt.IsFalse, qt.Commentf("the next decision"))
}

// A change of primary may give work in progress, and the hold of new work, more time than
// the gate's own limit.
func TestHandOverTimeoutOfOneChange(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		timeout, want time.Duration
	}{{0, time.Second}, {500 * time.Millisecond, time.Second}, {3 * time.Second, 3 * time.Second}} {
		g := Gate{HandOverTimeout: time.Second, HoldTimeout: 2 * time.Second}
		g.SetPrimary("s", "p", nil, start)
		_, ok := g.Begin("s", "p", start)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, g.SetPrimary("s", "r", &HandOver{Token: 9, Former: "p", Planned: true, Timeout: test.timeout}, start), qt.Equals, test.want)
		qt.Assert(t, g.Release(9, start.Add(test.want-1)), qt.Equals, uint64(8))
		qt.Assert(t, g.Holds("s", start.Add(test.want+time.Second-1)), qt.IsTrue)
		qt.Assert(t, g.Holds("s", start.Add(test.want+time.Second)), qt.IsFalse)
		qt.Assert(t, g.Release(9, start.Add(test.want)), qt.Equals, uint64(9))
	}
}
