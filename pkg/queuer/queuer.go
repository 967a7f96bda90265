// Package queuer orders the requests that wait for a connection of an upstream.
//
// A connection belongs to one organisation, and a new one costs the upstream a
// handshake. So the queue is first come, first served, except that a freed
// connection goes to a waiter of its own organisation as long as the first
// waiter has not waited long.
//
// # Usage
//
//	q := queuer.Queue{Patience: 30 * time.Millisecond}
//	q.Push(w)
//	next := q.Pop("prairie_1", now)
//
// A Queue is plain state: its user serialises the calls.
package queuer

import (
	"container/list"
	"time"
)

// Waiter is a request that waits.
type Waiter struct {
	Organisation string
	Since        time.Time
	// Granted receives one value when the waiter is popped.
	Granted chan Grant

	element *list.Element
}

// Grant is what a popped waiter gets: a connection of its organisation, or the
// right to open one when Connection is nil.
type Grant struct {
	Connection any
}

// Queue holds waiters. The zero value is empty and strictly first come, first
// served.
type Queue struct {
	// Patience is how long the first waiter may be passed over.
	Patience time.Duration

	waiters list.List
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.waiters.Len() }

// Push appends a waiter.
func (q *Queue) Push(w *Waiter) { w.element = q.waiters.PushBack(w) }

// Remove takes a waiter back. It returns false when it was popped already.
func (q *Queue) Remove(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	q.waiters.Remove(w.element)
	w.element = nil
	return true
}

// Pop removes the waiter that a freed connection of an organisation serves
// next, or returns nil. An empty organisation means a free place.
func (q *Queue) Pop(organisation string, now time.Time) *Waiter {
	front := q.waiters.Front()
	if front == nil {
		return nil
	}
	first := front.Value.(*Waiter)
	chosen := first
	if organisation != "" && first.Organisation != organisation && now.Sub(first.Since) < q.Patience {
		for e := front; e != nil; e = e.Next() {
			if w := e.Value.(*Waiter); w.Organisation == organisation {
				chosen = w
				break
			}
		}
	}
	q.Remove(chosen)
	return chosen
}
