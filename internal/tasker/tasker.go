// Package tasker runs functions one after the other in the goroutine that owns a host's
// control state. Connections, timers and calls hand their work to it.
//
// # Usage
//
//	var q tasker.Queue
//	go q.Run(ctx, 50*time.Millisecond, onTick, afterEach)
//	q.Do(func() { ... })      // work that must not be lost
//	q.Try(func() { ... })     // work that its sender repeats
//	q.DoFirst(func() { ... }) // as Do, but before the work of Do and Try
//	q.TryFirst(func() { ... })
//
// Work of Do and Try that fills its queue neither delays nor displaces that of DoFirst and
// TryFirst.
//
// Functions that wait together run before afterEach is called once, so that one disk
// sync covers them.
package tasker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// capacity bounds the functions that wait.
const capacity = 1024

// Queue is a queue of functions. The zero value is ready for use.
type Queue struct {
	once    sync.Once
	tasks   chan func()
	first   chan func()
	stopped chan struct{}
	dropped atomic.Uint64
}

// Dropped returns how many functions Try and TryFirst have not queued because the queue
// was full.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

func (q *Queue) init() {
	q.once.Do(func() {
		q.tasks, q.first = make(chan func(), capacity), make(chan func(), capacity)
		q.stopped = make(chan struct{})
	})
}

// Run runs functions until ctx ends or afterEach returns an error, which it returns.
// onTick is called at every interval. Run is called at most once.
func (q *Queue) Run(ctx context.Context, interval time.Duration, onTick func(), afterEach func() error) error {
	q.init()
	defer close(q.stopped)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-q.first:
			f()
			q.runWaiting()
		case f := <-q.tasks:
			f()
			q.runWaiting()
		case <-ticker.C:
			onTick()
		}
		if err := afterEach(); err != nil {
			return err
		}
	}
}

// runWaiting runs the functions that wait already.
func (q *Queue) runWaiting() {
	for range capacity {
		select {
		case f := <-q.first:
			f()
			continue
		default:
		}
		select {
		case f := <-q.tasks:
			f()
		default:
			return
		}
	}
}

// Stopped returns a channel that is closed when Run has returned.
func (q *Queue) Stopped() <-chan struct{} {
	q.init()
	return q.stopped
}

// Do queues f and waits for room. It returns false once Run has returned. It must not be
// called by a queued function.
func (q *Queue) Do(f func()) bool {
	q.init()
	return q.do(q.tasks, f)
}

// DoFirst is Do for a function that runs before those of Do and Try.
func (q *Queue) DoFirst(f func()) bool {
	q.init()
	return q.do(q.first, f)
}

func (q *Queue) do(tasks chan func(), f func()) bool {
	select {
	case <-q.stopped:
		return false
	default:
	}
	select {
	case tasks <- f:
		return true
	case <-q.stopped:
		return false
	}
}

// Try queues f unless the queue is full or Run has returned.
func (q *Queue) Try(f func()) bool {
	q.init()
	return q.try(q.tasks, f)
}

// TryFirst is Try for a function that runs before those of Do and Try.
func (q *Queue) TryFirst(f func()) bool {
	q.init()
	return q.try(q.first, f)
}

func (q *Queue) try(tasks chan func(), f func()) bool {
	select {
	case <-q.stopped:
		return false
	default:
	}
	select {
	case tasks <- f:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}
