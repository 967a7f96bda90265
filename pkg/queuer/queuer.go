// Package queuer orders the statements that wait for a slot of an upstream.
//
// An upstream runs a few statements at once and queues the rest itself, in the
// order in which they come. So no more are sent than it runs; the others wait
// here, where one that cannot be served in time is refused at once, before it
// has cost anything. Statements of open transactions go first, as they hold
// what others wait for; then those of urgent routes; then who came first. A
// connection belongs to one organisation and a new one costs a handshake, so a
// free connection of an organisation is used before the first waiter needs a
// new one, as long as that waiter has not waited long.
//
// # Usage
//
//	q := queuer.Queue{Slots: 5}
//	if wait := q.Expect(w); wait > maxWait { ... }   // refuse
//	q.Push(w)
//	next := q.Next(now, fit)
//	q.Served(33 * time.Millisecond)
//
// A Queue is plain state: its user serialises the calls.
package queuer

import (
	"container/list"
	"time"
)

const (
	// patience is how long a waiter that needs a new connection may be passed
	// over for one that does not.
	patience = 40 * time.Millisecond
	// serviceWeight is the weight of the newest statement in the mean time.
	serviceWeight = 0.05
	// defaultService is a statement's time while none was measured.
	defaultService = 20 * time.Millisecond
	// overdueFactor times the mean is the time after which a statement without
	// an answer counts as ended, minOverdue the least such time.
	overdueFactor = 6
	minOverdue    = 200 * time.Millisecond
	// patienceFactor times that is how long the answer to a read is waited for:
	// it can be asked for again.
	patienceFactor = 2
	// missedFactor times the mean is what a missed answer counts for, so that
	// the patience grows with an upstream that became slow, but not with one
	// that loses answers.
	missedFactor = 2
	// ahead is the number of statements sent beyond the slots, which cover the
	// way to the upstream.
	ahead = 1
)

// Fit says how a waiter could get a connection now.
type Fit string

// The ways to a connection.
const (
	// FitNone means that there is none.
	FitNone Fit = "none"
	// FitIdle means an idle connection of the waiter's organisation.
	FitIdle Fit = "idle"
	// FitOpen means that one may be opened.
	FitOpen Fit = "open"
)

// Queue holds waiters and counts the statements that run. The zero value has no
// bound on them.
type Queue struct {
	// Slots are the statements that the upstream runs at once; zero means no
	// bound.
	Slots int

	waiters list.List
	running int
	service time.Duration
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.waiters.Len() }

// Running returns the number of statements that run.
func (q *Queue) Running() int { return q.running }

// HasSlot reports whether one more statement may run.
func (q *Queue) HasSlot() bool { return q.Slots <= 0 || q.running < q.Slots+ahead }

// Start counts a statement that runs.
func (q *Queue) Start() { q.running++ }

// Stop counts a statement that has ended.
func (q *Queue) Stop() { q.running-- }

// Served notes how long a statement ran.
func (q *Queue) Served(took time.Duration) {
	if q.service == 0 {
		q.service = took
	}
	q.service += time.Duration(serviceWeight * float64(took-q.service))
}

// Overdue returns the time after which a statement without an answer has
// probably ended.
func (q *Queue) Overdue() time.Duration { return max(minOverdue, overdueFactor*q.service) }

// ReadPatience returns how long the answer to a read is waited for.
func (q *Queue) ReadPatience() time.Duration { return patienceFactor * q.Overdue() }

// Missed notes that a read's answer was waited for in vain.
func (q *Queue) Missed() { q.Served(missedFactor * max(q.service, defaultService)) }

// Expect returns the time for which w would probably wait.
func (q *Queue) Expect(w *Waiter) time.Duration {
	if q.Slots <= 0 || (q.HasSlot() && q.waiters.Len() == 0) {
		return 0
	}
	before := 1
	for e := q.waiters.Front(); e != nil; e = e.Next() {
		if !w.precedes(e.Value.(*Waiter)) {
			before++
		}
	}
	service := q.service
	if service == 0 {
		service = defaultService
	}
	return time.Duration(before) * service / time.Duration(q.Slots)
}

// Push adds a waiter behind all that go before it.
func (q *Queue) Push(w *Waiter) {
	for e := q.waiters.Back(); e != nil; e = e.Prev() {
		if !w.precedes(e.Value.(*Waiter)) {
			w.element = q.waiters.InsertAfter(w, e)
			return
		}
	}
	w.element = q.waiters.PushFront(w)
}

// Remove takes a waiter back. It returns false when it was taken already.
func (q *Queue) Remove(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	q.waiters.Remove(w.element)
	w.element = nil
	return true
}

// Next removes and returns the waiter that runs next, or nil when none may run
// or has a connection. fit tells how a waiter could get one.
func (q *Queue) Next(now time.Time, fit func(w *Waiter) Fit) *Waiter {
	if !q.HasSlot() {
		return nil
	}
	var chosen *Waiter
	for e := q.waiters.Front(); e != nil; e = e.Next() {
		w := e.Value.(*Waiter)
		if chosen != nil && w.rank() > chosen.rank() {
			break
		}
		switch f := fit(w); {
		case w.Holds || f == FitIdle:
			q.Remove(w)
			return w
		case f == FitNone:
			continue
		case now.Sub(w.Since) >= patience && chosen == nil:
			q.Remove(w)
			return w
		case chosen == nil:
			chosen = w
		}
	}
	if chosen != nil {
		q.Remove(chosen)
	}
	return chosen
}
