package queuer

import (
	"time"
)

// choice is a waiter that may be granted the next slot.
type choice struct {
	waiter       *Waiter
	availability Availability
	late         bool
	// due is when the answer is due, later by the lead of its organisation.
	due time.Time
}

// isAged reports whether the waiter may have a grant although others go first.
func (c choice) isAged(now time.Time) bool {
	w := c.waiter
	if !c.late {
		return now.Sub(w.EnqueuedAt) >= maxPassed
	}
	return !w.LatestStart.IsZero() && w.LatestStart.Sub(now) <= w.LatestStart.Sub(w.EnqueuedAt)/lastDivisor
}

// before reports whether c goes before a waiter that is ahead of it in the
// queue. Any waiter goes before none.
func (c choice) before(ahead choice) bool {
	if ahead.waiter == nil || c.rankBefore(ahead) {
		return true
	}
	return !ahead.rankBefore(c) && c.due.Before(ahead.due)
}

// rankBefore reports whether c goes before another waiter whatever their
// organisations have attained.
func (c choice) rankBefore(other choice) bool {
	if c.late != other.late {
		return other.late
	}
	return c.waiter.rank() < other.waiter.rank()
}
