package queuer

import (
	"container/list"
	"time"
)

// Kind is what a statement does, as far as the queue distinguishes it.
type Kind string

// The values of Kind.
const (
	// KindRead is a read outside a transaction. It is the zero value.
	KindRead Kind = ""
	// KindWrite is a statement that may hold others up: a write, the begin of a
	// transaction, or a query for the position that reads wait for.
	KindWrite Kind = "write"
)

// Waiter is a queued statement.
type Waiter struct {
	Organisation string
	Kind         Kind
	// Priority orders waiters; zero is the highest.
	Priority int
	// InTransaction is true for a statement of an open transaction, which
	// already has its connection.
	InTransaction bool
	// SessionVariables are the session variables that the connection should
	// already have set.
	SessionVariables map[string]string
	EnqueuedAt       time.Time
	// MaxWait is the expected wait above which another upstream is preferred; zero
	// means no limit.
	MaxWait time.Duration
	// AnswerBy is when the answer must leave to meet the caller's latency
	// objective, and LatestStart the latest time to start, for the answer to
	// reach the caller before its deadline. Zero means no limit.
	AnswerBy    time.Time
	LatestStart time.Time
	// Patient is true if the statement may wait beyond its objective, because
	// the caller has time left and no other upstream can run it.
	Patient bool
	// Granted receives one value when the waiter may run or is refused.
	Granted chan Grant

	element *list.Element
	// weight is the weight of the organisation.
	weight float64
}

// Grant is what a waiter receives: a connection of its organisation, or
// permission to open one if Connection is nil.
type Grant struct {
	Connection any
	// Expired is true if the waiter is refused because its time is over. It
	// holds no slot then.
	Expired bool
}

// rank is the sort key of waiters before their time of arrival; lower goes
// first.
func (w *Waiter) rank() int {
	switch {
	case w.InTransaction:
		return -1
	case w.Kind == KindWrite:
		return 2 * w.Priority
	}
	return 2*w.Priority + 1
}

// precedes reports whether w goes before a waiter that arrived earlier.
func (w *Waiter) precedes(earlier *Waiter) bool { return w.rank() < earlier.rank() }

// isExpired reports whether the waiter can no longer be answered in time.
func (w *Waiter) isExpired(now time.Time) bool {
	return !w.LatestStart.IsZero() && now.After(w.LatestStart)
}

// defaultAllowance is the time to the answer that orders statements without an
// objective.
const defaultAllowance = time.Second

// due returns when the answer is due.
func (w *Waiter) due() time.Time {
	if w.AnswerBy.IsZero() {
		return w.EnqueuedAt.Add(defaultAllowance)
	}
	return w.AnswerBy
}
