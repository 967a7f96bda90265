package queuer

import (
	"container/list"
	"time"
)

// Waiter is a statement that waits.
type Waiter struct {
	Organisation string
	// Priority orders waiters; zero is the most urgent.
	Priority int
	// Holds is true for a statement of an open transaction, which has its
	// connection.
	Holds bool
	// Values are session values that a connection should already hold.
	Values map[string]string
	Since  time.Time
	// Granted receives one value when the waiter may run.
	Granted chan Grant

	element *list.Element
}

// Grant is what a waiter gets: a connection of its organisation, or the right
// to open one when Connection is nil.
type Grant struct {
	Connection any
}

// rank orders waiters before their time of arrival.
func (w *Waiter) rank() int {
	if w.Holds {
		return -1
	}
	return w.Priority
}

// precedes reports whether w goes before an earlier waiter.
func (w *Waiter) precedes(earlier *Waiter) bool { return w.rank() < earlier.rank() }
