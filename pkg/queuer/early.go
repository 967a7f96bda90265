package queuer

import "time"

const (
	// maxLoadAge is the age above which a load report says nothing about the
	// present queue.
	maxLoadAge = 500 * time.Millisecond
	// earlyMargin times the time to the objective is the least wait for which a
	// statement is refused by a load report. The report counts all waiters, and
	// the queue serves those of an organisation below its share sooner.
	earlyMargin = 2
)

// RefuseEarly decides from an owner's load report of an age whether a statement
// would be refused there, so that it need not be sent. answerWithin is the time to
// its objective, and left that to its deadline, for which a patient statement may
// wait. If it is refused, RefuseEarly returns the time after which it should be
// tried again. It assumes that the queue has only become shorter since the report.
func RefuseEarly(load Load, age, answerWithin, left time.Duration) (roomIn time.Duration, refuse bool) {
	if load.Slots <= 0 || load.MeanServiceTime <= 0 || answerWithin <= 0 || age < 0 || age > maxLoadAge {
		return 0, false
	}
	wait := time.Duration(load.Queued)*load.MeanServiceTime/time.Duration(load.Slots) - age
	limit := max(earlyMargin*answerWithin, left/patientDivisor)
	if wait <= limit {
		return 0, false
	}
	longest := max(minRoomIn, answerWithin/maxRoomDivisor)
	return min(longest, max(minRoomIn, wait-limit)), true
}
