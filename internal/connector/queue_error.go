package connector

import (
	"fmt"
	"time"
)

// QueueError means that a statement was not sent, because it would have been
// worked on too late.
type QueueError struct {
	Upstream string
	// Waited is the time spent in vain, Expected the wait for which it was
	// refused at once.
	Waited   time.Duration
	Expected time.Duration
}

// Error implements error.
func (e *QueueError) Error() string {
	if e.Expected > 0 {
		return fmt.Sprintf("connector: the wait for upstream %s would be %s", e.Upstream, e.Expected.Round(time.Millisecond))
	}
	return fmt.Sprintf("connector: upstream %s had no place within %s", e.Upstream, e.Waited.Round(time.Millisecond))
}
