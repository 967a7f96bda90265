// Package scheduler is a fair queue of the requests that wait for a slot of an
// upstream.
//
// The queue serves the waiting organisation with the least attained service, as
// in start-time fair queueing. An organisation is charged the time for which
// its requests held a slot. One that returns after a pause starts at the
// current virtual time, so the pause earns it neither credit nor debt.
//
// # Usage
//
//	var q scheduler.Queue
//	q.Push(w)                        // a request waits
//	next := q.Pop()                  // a slot became free
//	q.Charge(next.Organisation, 0.2) // it held the slot for 0.2 s
//
// A Queue is not safe for concurrent use: callers must serialise the calls.
package scheduler

import "container/heap"

// maxIdleAccounts is the number of accounts from which those of organisations
// without waiters are evicted.
const maxIdleAccounts = 1024

// Queue is a fair queue. The zero value is empty and ready for use.
type Queue struct {
	backlogged accountHeap
	accounts   map[string]*account
	// virtualTime is the attained service of the last organisation served.
	virtualTime float64
	length      int
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// Push adds a waiter behind the others of its organisation.
func (q *Queue) Push(w *Waiter) {
	a := q.account(w.Organisation)
	a.waiters = append(a.waiters, w)
	q.length++
	if a.index >= 0 {
		return
	}
	a.service = max(a.service, q.virtualTime)
	heap.Push(&q.backlogged, a)
}

// Pop removes and returns the next waiter, or nil if there is none.
func (q *Queue) Pop() *Waiter {
	for len(q.backlogged) > 0 {
		a := q.backlogged[0]
		w := a.waiters[0]
		a.waiters[0] = nil
		a.waiters = a.waiters[1:]
		if len(a.waiters) == 0 {
			heap.Pop(&q.backlogged)
		}
		if w.removed {
			continue
		}
		q.length--
		q.virtualTime = max(q.virtualTime, a.service)
		return w
	}
	return nil
}

// Remove removes a waiter that was not popped.
func (q *Queue) Remove(w *Waiter) {
	if w.removed {
		return
	}
	w.removed = true
	q.length--
}

// Charge adds the seconds for which an organisation held a slot to its service.
func (q *Queue) Charge(organisation string, seconds float64) {
	a := q.account(organisation)
	a.service = max(a.service, q.virtualTime) + seconds
	if a.index >= 0 {
		heap.Fix(&q.backlogged, a.index)
	}
}

func (q *Queue) account(organisation string) *account {
	if a, ok := q.accounts[organisation]; ok {
		return a
	}
	if q.accounts == nil {
		q.accounts = map[string]*account{}
	}
	if len(q.accounts) >= maxIdleAccounts {
		q.evictIdle()
	}
	a := &account{organisation: organisation, service: q.virtualTime, index: -1}
	q.accounts[organisation] = a
	return a
}

// evictIdle removes the accounts that have neither waiters nor recent service.
func (q *Queue) evictIdle() {
	for name, a := range q.accounts {
		if a.index < 0 && a.service <= q.virtualTime {
			delete(q.accounts, name)
		}
	}
}
