// Package scheduler shares the slots of an upstream fairly between
// organisations.
//
// The queue serves the waiting organisation that has attained the least
// service, as in start-time fair queueing: an organisation is charged the time
// that its requests held a slot, and one that comes back after a pause starts
// level with the others, so that it neither owes nor is owed for the pause.
//
// # Usage
//
//	var q scheduler.Queue
//	q.Push(w)                        // a request waits
//	next := q.Pop()                  // a slot became free
//	q.Charge(next.Organisation, 0.2) // it held the slot for 0.2 s
//
// A Queue is plain state: its user serialises the calls.
package scheduler

import "container/heap"

// maxIdleAccounts bounds the organisations remembered without waiters.
const maxIdleAccounts = 1024

// Queue is a fair queue. The zero value is empty and ready for use.
type Queue struct {
	backlogged accountHeap
	accounts   map[string]*account
	// virtual is the service level of the last organisation served.
	virtual float64
	length  int
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// Push appends a waiter behind those of its organisation.
func (q *Queue) Push(w *Waiter) {
	a := q.account(w.Organisation)
	a.waiters = append(a.waiters, w)
	q.length++
	if a.index >= 0 {
		return
	}
	a.service = max(a.service, q.virtual)
	heap.Push(&q.backlogged, a)
}

// Pop removes the next waiter, or returns nil.
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
		q.virtual = max(q.virtual, a.service)
		return w
	}
	return nil
}

// Remove takes back a waiter that was not popped.
func (q *Queue) Remove(w *Waiter) {
	if w.removed {
		return
	}
	w.removed = true
	q.length--
}

// Charge adds the seconds that an organisation held a slot.
func (q *Queue) Charge(organisation string, seconds float64) {
	a := q.account(organisation)
	a.service = max(a.service, q.virtual) + seconds
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
		q.forgetIdle()
	}
	a := &account{organisation: organisation, service: q.virtual, index: -1}
	q.accounts[organisation] = a
	return a
}

// forgetIdle drops the accounts that have neither waiters nor recent service.
func (q *Queue) forgetIdle() {
	for name, a := range q.accounts {
		if a.index < 0 && a.service <= q.virtual {
			delete(q.accounts, name)
		}
	}
}
