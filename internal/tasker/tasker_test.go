package tasker

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestWorkThatMustNotBeLostWaitsForRoom(t *testing.T) {
	var q Queue
	n := 0
	for range capacity {
		qt.Assert(t, q.Try(func() { n++ }), qt.IsTrue)
	}
	qt.Assert(t, q.Try(func() { n++ }), qt.IsFalse)
	queued := make(chan bool, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { queued <- q.Do(cancel) }()
	err := q.Run(ctx, time.Hour, func() {}, func() error { return nil })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-queued, qt.IsTrue)
	qt.Assert(t, n, qt.Equals, capacity)
	qt.Assert(t, q.Do(func() {}), qt.IsFalse)
	qt.Assert(t, q.Try(func() {}), qt.IsFalse)
	<-q.Stopped()
}

func TestFunctionsThatWaitTogetherAreFollowedByOneCall(t *testing.T) {
	var q Queue
	for range 10 {
		q.Try(func() {})
	}
	calls, stop := 0, errors.New("stop")
	err := q.Run(t.Context(), time.Hour, func() {}, func() error {
		calls++
		return stop
	})
	qt.Assert(t, err, qt.Equals, stop)
	qt.Assert(t, calls, qt.Equals, 1)
	qt.Assert(t, q.tasks, qt.HasLen, 0)
}

func TestTicks(t *testing.T) {
	var q Queue
	ctx, cancel := context.WithCancel(t.Context())
	ticks := 0
	err := q.Run(ctx, time.Millisecond, func() {
		if ticks++; ticks == 3 {
			cancel()
		}
	}, func() error { return nil })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ticks >= 3, qt.IsTrue)
}

// Messages between control hosts were dropped while calls filled the queue.
func TestWorkThatFillsTheQueueDoesNotDisplaceThatOfTryFirst(t *testing.T) {
	var q Queue
	var order []string
	for q.Try(func() { order = append(order, "call") }) {
	}
	qt.Assert(t, q.Dropped(), qt.Equals, uint64(1))
	qt.Assert(t, q.TryFirst(func() { order = append(order, "message") }), qt.IsTrue)
	ctx, cancel := context.WithCancel(t.Context())
	err := q.Run(ctx, time.Hour, func() {}, func() error {
		if len(order) == capacity+1 {
			cancel()
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, order, qt.HasLen, capacity+1)
	// Run itself may have chosen one call before it.
	qt.Assert(t, order[0] == "message" || order[1] == "message", qt.IsTrue)
}
