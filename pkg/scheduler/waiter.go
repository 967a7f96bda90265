package scheduler

// Waiter is a queued request for a slot.
type Waiter struct {
	Organisation string
	// Granted is closed by the user of the queue when the waiter may go on.
	Granted chan struct{}

	removed bool
}

// NewWaiter returns a waiter of an organisation.
func NewWaiter(organisation string) *Waiter {
	return &Waiter{Organisation: organisation, Granted: make(chan struct{})}
}
