package warmer

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// A budget above the bound would let a single holder exceed it.
func TestBudgetStaysWithinTheBound(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 1, 2, 7.5, 20, 300} {
		for _, overshoot := range []float64{0, 0.5, 1, 1.5, 3} {
			for _, slack := range []float64{0, 1, 2, 5} {
				b, most := Budget(rate, overshoot, slack), math.Floor(rate*overshoot+slack)
				comment := qt.Commentf("rate %g, overshoot %g, slack %g: %+v", rate, overshoot, slack, b)
				qt.Assert(t, b.Rate <= rate, qt.IsTrue, comment)
				qt.Assert(t, b.Rate >= 0, qt.IsTrue, comment)
				qt.Assert(t, math.Floor(b.Rate+b.Burst) <= most, qt.IsTrue, comment)
				qt.Assert(t, b.Rate > 0, qt.Equals, rate > 0 && most >= 1, comment)
			}
		}
	}
	qt.Assert(t, Budget(20, 1.5, 5), qt.Equals, Grant{Rate: 20, Burst: 2})
}

func holderWith(grant Grant) *Holder {
	h := &Holder{}
	h.RecordReport(1, []string{"u"}, start)
	h.Apply(1, map[string]Grant{"u": grant}, start)
	return h
}

// A bucket that starts full would add its burst each time that the grant changes hands.
func TestNewGrantStartsWithAnEmptyBucket(t *testing.T) {
	h := holderWith(Grant{Rate: 10, Burst: 2, TTL: 3 * time.Second})
	ok, wait := h.Take("u", 1, false, start)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, wait, qt.Equals, 100*time.Millisecond)
	ok, _ = h.Take("u", 1, false, at(100*time.Millisecond))
	qt.Assert(t, ok, qt.IsTrue)
	// A renewal keeps the tokens, and a grant after the earlier one has expired has none.
	h.RecordReport(2, []string{"u"}, at(time.Second))
	h.Apply(2, map[string]Grant{"u": {Rate: 10, Burst: 2, TTL: 3 * time.Second}}, at(time.Second))
	ok, _ = h.Take("u", 2, false, at(time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	h.RecordReport(3, []string{"u"}, at(9*time.Second))
	h.Apply(3, map[string]Grant{"u": {Rate: 10, Burst: 2, TTL: 3 * time.Second}}, at(9*time.Second))
	ok, _ = h.Take("u", 1, false, at(9*time.Second))
	qt.Assert(t, ok, qt.IsFalse)
}

// The leader may give the grant to another host once its duration has passed since the
// report that it answers.
func TestGrantExpiresFromBeforeItsReport(t *testing.T) {
	h := &Holder{}
	qt.Assert(t, h.Holds("u", start), qt.IsFalse)
	h.RecordReport(1, []string{"u"}, start)
	h.Apply(1, map[string]Grant{"u": {Rate: 10, Burst: 2, TTL: 3 * time.Second}}, at(2*time.Second))
	qt.Assert(t, h.Holds("u", at(3*time.Second-1)), qt.IsTrue)
	qt.Assert(t, h.Holds("u", at(3*time.Second)), qt.IsFalse)
	ok, _ := h.Take("u", 1, false, at(3*time.Second))
	qt.Assert(t, ok, qt.IsFalse)
	// An answer to an unknown report has no known start.
	h.Apply(9, map[string]Grant{"u": {Rate: 10, Burst: 2, TTL: 3 * time.Second}}, at(4*time.Second))
	qt.Assert(t, h.Holds("u", at(4*time.Second)), qt.IsFalse)
}

// An answer to an earlier report brought back a grant that the leader has given to another
// host since.
func TestReturnedGrantIsNotTakenBack(t *testing.T) {
	grants := map[string]Grant{"u": {Rate: 10, Burst: 2, TTL: 3 * time.Second}}
	h := &Holder{}
	h.RecordReport(1, []string{"u"}, start)
	h.RecordReport(2, nil, start)
	h.Apply(1, grants, start)
	qt.Assert(t, h.Holds("u", start), qt.IsFalse)
	h.RecordReport(3, []string{"u"}, start)
	h.Apply(2, grants, start)
	qt.Assert(t, h.Holds("u", start), qt.IsFalse)
	h.Apply(3, grants, start)
	qt.Assert(t, h.Holds("u", start), qt.IsTrue)
	h.RecordReport(4, nil, start)
	qt.Assert(t, h.Holds("u", start), qt.IsFalse)
}

// New work that takes each token as it arrives would keep an open transaction waiting.
func TestOpenTransactionsComeFirst(t *testing.T) {
	h := holderWith(Grant{Rate: 10, Burst: 2, TTL: time.Minute})
	ok, _ := h.Take("u", 1, true, at(50*time.Millisecond))
	qt.Assert(t, ok, qt.IsFalse)
	ok, _ = h.Take("u", 1, false, at(110*time.Millisecond))
	qt.Assert(t, ok, qt.IsFalse)
	ok, _ = h.Take("u", 1, true, at(120*time.Millisecond))
	qt.Assert(t, ok, qt.IsTrue)
	ok, _ = h.Take("u", 1, false, at(210*time.Millisecond))
	qt.Assert(t, ok, qt.IsTrue)
	// A transaction that does not ask again holds up nobody.
	_, _ = h.Take("u", 1, true, at(220*time.Millisecond))
	ok, _ = h.Take("u", 1, false, at(330*time.Millisecond))
	qt.Assert(t, ok, qt.IsTrue)
}

func TestTakeOfMoreThanABurstIsRefused(t *testing.T) {
	h := holderWith(Grant{Rate: 10, Burst: 2, TTL: time.Hour})
	ok, _ := h.Take("u", 3, false, at(time.Minute))
	qt.Assert(t, ok, qt.IsFalse)
	ok, _ = h.Take("u", 2, false, at(time.Minute))
	qt.Assert(t, ok, qt.IsTrue)
	ok, _ = h.Take("u", 0, false, at(time.Minute))
	qt.Assert(t, ok, qt.IsTrue)
}

// Two holders at once would double the rate.
func TestGranterHasOneHolderAtATime(t *testing.T) {
	g := &Granter{TTL: 3 * time.Second, MaxClockDrift: 0.01}
	g.Reset(start)
	wanted := []string{"u"}
	qt.Assert(t, g.Grant("u", "a", at(3*time.Second)), qt.IsFalse, qt.Commentf("a grant of the earlier leader may be valid"))
	ready := at(3030 * time.Millisecond)
	qt.Assert(t, g.Grant("u", "a", ready), qt.IsTrue)
	g.HandleReport("a", wanted)
	qt.Assert(t, g.Grant("u", "b", ready.Add(3*time.Second)), qt.IsFalse)
	qt.Assert(t, g.Grant("v", "b", ready), qt.IsTrue)
	qt.Assert(t, g.Grant("u", "a", ready.Add(time.Second)), qt.IsTrue, qt.Commentf("a renewal"))
	// The holder is lost: its grant expires.
	qt.Assert(t, g.Grant("u", "b", ready.Add(4029*time.Millisecond)), qt.IsFalse)
	qt.Assert(t, g.Grant("u", "b", ready.Add(4030*time.Millisecond)), qt.IsTrue)
	// The holder returns it with a report that does not name it.
	g.HandleReport("b", []string{"v"})
	qt.Assert(t, g.Grant("u", "a", ready.Add(4030*time.Millisecond)), qt.IsTrue)
	g.Release("a")
	qt.Assert(t, g.Grant("u", "b", ready.Add(4030*time.Millisecond)), qt.IsTrue)
}

// A countdown that starts anew with each topology would keep an upstream cold for ever,
// and one without tolerance would end before the announcements do.
func TestCountdowns(t *testing.T) {
	var c Countdowns
	first := Announcement{Incarnation: 5, Sequence: 1}
	qt.Assert(t, c.Until("u").After(start), qt.IsFalse)
	qt.Assert(t, c.IsRise("u", 5, time.Second, start), qt.IsTrue)
	qt.Assert(t, c.IsRise("u", 5, 0, start), qt.IsFalse)
	c.Set("u", first, 10*time.Second, start)
	c.Set("u", first, 10*time.Second, at(8*time.Second))
	qt.Assert(t, c.Until("u"), qt.Equals, at(10*time.Second+Tolerance))
	qt.Assert(t, c.IsRise("u", 5, 2*time.Second+Tolerance, at(8*time.Second)), qt.IsFalse)
	qt.Assert(t, c.IsRise("u", 5, 2*time.Second+Tolerance+1, at(8*time.Second)), qt.IsTrue)
	qt.Assert(t, c.IsRise("u", 6, time.Second, at(8*time.Second)), qt.IsTrue)
	qt.Assert(t, c.IsRise("u", 5, time.Second, at(20*time.Second)), qt.IsTrue, qt.Commentf("after its end"))
	c.Set("u", Announcement{Incarnation: 5, Sequence: 9}, 0, at(9*time.Second))
	qt.Assert(t, c.Until("u").After(at(9*time.Second)), qt.IsFalse)
	c.Retain(func(string) bool { return false })
	qt.Assert(t, c.Until("u").IsZero(), qt.IsTrue)
}

// A check that spent a token, or let wait for one that is kept for a transaction, would
// refuse work that may be sent, or let work wait for a slot in vain.
func TestAvailableSpendsNothing(t *testing.T) {
	h := holderWith(Grant{Rate: 10, Burst: 2, TTL: time.Minute})
	ok, wait := h.Available("u", 1, at(50*time.Millisecond))
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, wait, qt.Equals, 50*time.Millisecond)
	for range 3 {
		ok, _ = h.Available("u", 1, at(100*time.Millisecond))
		qt.Assert(t, ok, qt.IsTrue)
	}
	ok, _ = h.Take("u", 1, false, at(100*time.Millisecond))
	qt.Assert(t, ok, qt.IsTrue)
	_, _ = h.Take("u", 1, true, at(150*time.Millisecond))
	ok, _ = h.Available("u", 1, at(220*time.Millisecond))
	qt.Assert(t, ok, qt.IsFalse)
	ok, _ = h.Available("other", 1, at(220*time.Millisecond))
	qt.Assert(t, ok, qt.IsFalse)
	ok, _ = h.Available("other", 0, at(220*time.Millisecond))
	qt.Assert(t, ok, qt.IsTrue)
}
