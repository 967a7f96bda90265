package scheduler

// Waiter is a queued request for a slot.
type Waiter struct {
	Organisation string
	// Granted is closed when the waiter may go on. The user of the queue
	// closes it.
	Granted chan struct{}

	removed bool
}

// NewWaiter returns a waiter of an organisation.
func NewWaiter(organisation string) *Waiter {
	return &Waiter{Organisation: organisation, Granted: make(chan struct{})}
}
