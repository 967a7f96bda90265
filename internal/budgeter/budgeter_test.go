package budgeter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func newHolder(b *Budget, closed *[]string, name string) *Holder {
	h := &Holder{Budget: b, Kind: KindCaller}
	// A closed holder's goroutine releases its memory.
	h.Close = func() {
		*closed = append(*closed, name)
		h.Release()
	}
	return h
}

// The largest holder is closed when the sum is reached, and not the one that asks.
func TestLargestHolderIsClosed(t *testing.T) {
	b := &Budget{Bytes: 400}
	var closed []string
	small, large, asking := newHolder(b, &closed, "small"), newHolder(b, &closed, "large"), newHolder(b, &closed, "asking")
	qt.Assert(t, small.SetHeld(90), qt.IsTrue)
	qt.Assert(t, large.SetHeld(150), qt.IsTrue)
	qt.Assert(t, asking.SetHeld(100), qt.IsTrue)
	qt.Assert(t, closed, qt.DeepEquals, []string{"large"})
	qt.Assert(t, large.SetHeld(10), qt.IsFalse)
	qt.Assert(t, b.Usage(KindCaller), qt.Equals, Usage{Bytes: 190, Closed: 1})
	// One that asks and would be the largest is closed itself.
	qt.Assert(t, asking.SetHeld(290), qt.IsFalse)
	qt.Assert(t, closed, qt.DeepEquals, []string{"large", "asking"})
}

// A stranger's connection is closed before a larger one with a known key, and one that
// executes a statement is not closed.
func TestUnknownHoldersAreClosedFirstAndBusyOnesNever(t *testing.T) {
	b := &Budget{Bytes: 400}
	var closed []string
	busy, known, unknown, asking := newHolder(b, &closed, "busy"), newHolder(b, &closed, "known"), newHolder(b, &closed, "unknown"), newHolder(b, &closed, "asking")
	qt.Assert(t, busy.SetHeld(120), qt.IsTrue)
	busy.SetBusy(true)
	qt.Assert(t, known.SetHeld(100), qt.IsTrue)
	qt.Assert(t, unknown.SetHeld(40), qt.IsTrue)
	unknown.SetUnknown(true)
	qt.Assert(t, asking.SetHeld(50), qt.IsTrue)
	qt.Assert(t, closed, qt.DeepEquals, []string{"unknown"})
	known.SetStalled(true)
	qt.Assert(t, asking.SetHeld(90), qt.IsTrue)
	qt.Assert(t, closed, qt.DeepEquals, []string{"unknown", "known"})
}

// A part of the budget is kept for answers of work that has run.
func TestAnswersHaveAReserve(t *testing.T) {
	b := &Budget{Bytes: 400}
	var closed []string
	message, answer := newHolder(b, &closed, "message"), newHolder(b, &closed, "answer")
	answer.HoldsAnswers = true
	qt.Assert(t, message.SetHeld(300), qt.IsTrue)
	qt.Assert(t, answer.SetHeld(100), qt.IsTrue)
	qt.Assert(t, closed, qt.HasLen, 0)
}

// Nothing may be closed: a holder that waits in vain is closed itself, and the call ends.
func TestWaitForBusyHoldersIsBounded(t *testing.T) {
	b := &Budget{Bytes: 400}
	var closed []string
	busy, asking := newHolder(b, &closed, "busy"), newHolder(b, &closed, "asking")
	qt.Assert(t, busy.SetHeld(280), qt.IsTrue)
	busy.SetBusy(true)
	asking.SetBusy(true)
	qt.Assert(t, asking.SetHeld(50), qt.IsFalse)
	qt.Assert(t, closed, qt.DeepEquals, []string{"asking"})
}

// A goroutine that still reads must not take memory for a connection that has ended:
// nobody would release it.
func TestEndedHolderGetsNothing(t *testing.T) {
	b := &Budget{Bytes: 400}
	var closed []string
	h := newHolder(b, &closed, "h")
	qt.Assert(t, h.SetHeld(100), qt.IsTrue)
	h.End()
	qt.Assert(t, h.SetHeld(100), qt.IsFalse)
	qt.Assert(t, b.Usage(KindCaller), qt.Equals, Usage{})
	qt.Assert(t, closed, qt.HasLen, 0)
}

// Without a limit nothing is counted.
func TestZeroBudgetHasNoLimit(t *testing.T) {
	var closed []string
	for _, b := range []*Budget{nil, {}} {
		h := newHolder(b, &closed, "h")
		qt.Assert(t, h.SetHeld(1<<40), qt.IsTrue)
		h.Release()
		qt.Assert(t, b.Usage(KindCaller), qt.Equals, Usage{})
	}
	qt.Assert(t, closed, qt.HasLen, 0)
}
