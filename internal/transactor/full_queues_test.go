package transactor

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

func queueRefusal(e connector.QueueError) *refuser.Refusal {
	return refuser.Wrap(refuser.ReasonPoolFull, "upstream", &connector.RunError{Err: &e})
}

// A read that no upstream takes at once waits only where the owner says that it may,
// at the shortest queue. Otherwise it would be held in vain.
func TestReadWaitsAtTheShortestQueueThatTakesIt(t *testing.T) {
	var f fullQueues
	_, ok := f.shortest()
	qt.Assert(t, ok, qt.IsFalse)
	f.add("full", queueRefusal(connector.QueueError{ExpectedWait: time.Millisecond}))
	f.add("lost", refuser.New(refuser.ReasonNoUpstream, ""))
	_, ok = f.shortest()
	qt.Assert(t, ok, qt.IsFalse)
	f.add("long", queueRefusal(connector.QueueError{ExpectedWait: time.Second, MayWait: true}))
	f.add("short", queueRefusal(connector.QueueError{ExpectedWait: 400 * time.Millisecond, MayWait: true}))
	id, ok := f.shortest()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, id, qt.Equals, "short")
	f.add("short", queueRefusal(connector.QueueError{ExpectedWait: 2 * time.Second}))
	id, _ = f.shortest()
	qt.Assert(t, id, qt.Equals, "long")
}

// Callers that were refused together returned together, not before 250 ms although
// there was room earlier.
func TestRetryAfterIsTheTimeUntilThereIsRoomWithJitter(t *testing.T) {
	s := &Server{Random: func() float64 { return 0 }}
	qt.Assert(t, s.retryAfter(queueRefusal(connector.QueueError{RoomIn: 40 * time.Millisecond})), qt.Equals, 40*time.Millisecond)
	qt.Assert(t, s.retryAfter(refuser.Wrap(refuser.ReasonNoFloor, "", queueRefusal(connector.QueueError{RoomIn: 40 * time.Millisecond}))), qt.Equals, 40*time.Millisecond)
	qt.Assert(t, s.retryAfter(queueRefusal(connector.QueueError{})), qt.Equals, defaultRetryAfter)
	qt.Assert(t, s.retryAfter(refuser.Wrap(refuser.ReasonPoolFull, "", errors.New("unknown"))), qt.Equals, defaultRetryAfter)
	s.Random = func() float64 { return 0.5 }
	qt.Assert(t, s.retryAfter(queueRefusal(connector.QueueError{RoomIn: 40 * time.Millisecond})), qt.Equals, 50*time.Millisecond)
	s.Random = nil
	seen := map[time.Duration]bool{}
	for range 20 {
		seen[s.retryAfter(queueRefusal(connector.QueueError{RoomIn: time.Second}))] = true
	}
	qt.Assert(t, len(seen) > 10, qt.IsTrue)
}
