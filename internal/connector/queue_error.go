package connector

import (
	"fmt"
	"time"
)

// QueueError is returned when a statement was not sent because the wait for a
// slot or a connection was, or would have been, too long.
type QueueError struct {
	Upstream string
	// Waited is the time spent waiting without success. ExpectedWait is the
	// expected wait for which the statement was refused at once.
	Waited       time.Duration
	ExpectedWait time.Duration
	// MayWait is true if the statement would be admitted with Patient and without
	// MaxWait.
	MayWait bool
	// RoomIn is the time after which the statement should be sent again; zero
	// means unknown.
	RoomIn time.Duration
}

// Error implements error.
func (e *QueueError) Error() string {
	if e.ExpectedWait > 0 {
		return fmt.Sprintf("connector: the wait for upstream %s would be %s", e.Upstream, e.ExpectedWait.Round(time.Millisecond))
	}
	return fmt.Sprintf("connector: upstream %s had no place within %s", e.Upstream, e.Waited.Round(time.Millisecond))
}
