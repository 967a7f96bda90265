package queuer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestFreedConnectionPrefersItsOrganisation(t *testing.T) {
	q := Queue{Patience: 30 * time.Millisecond}
	start := time.Unix(100, 0)
	a := &Waiter{Organisation: "a", Since: start}
	b := &Waiter{Organisation: "b", Since: start.Add(time.Millisecond)}
	q.Push(a)
	q.Push(b)
	qt.Assert(t, q.Pop("b", start.Add(10*time.Millisecond)), qt.Equals, b)
	qt.Assert(t, q.Pop("b", start.Add(10*time.Millisecond)), qt.Equals, a)
	qt.Assert(t, q.Pop("b", start), qt.IsNil)
}

func TestFirstWaiterIsNotPassedOverForLong(t *testing.T) {
	q := Queue{Patience: 30 * time.Millisecond}
	start := time.Unix(100, 0)
	a := &Waiter{Organisation: "a", Since: start}
	b := &Waiter{Organisation: "b", Since: start.Add(time.Millisecond)}
	q.Push(a)
	q.Push(b)
	qt.Assert(t, q.Pop("b", start.Add(30*time.Millisecond)), qt.Equals, a)
	qt.Assert(t, q.Remove(a), qt.IsFalse)
	qt.Assert(t, q.Remove(b), qt.IsTrue)
	qt.Assert(t, q.Len(), qt.Equals, 0)
}
