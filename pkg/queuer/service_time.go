package queuer

import (
	"time"
)

// ObserveServiceTime records the service time of a statement.
func (q *Queue) ObserveServiceTime(took time.Duration) {
	if q.meanService == 0 {
		q.meanService = took
	}
	q.meanService += time.Duration(serviceWeight * float64(took-q.meanService))
}

// ObserveStatement records the service time of a statement of a kind.
func (q *Queue) ObserveStatement(kind Kind, took time.Duration) {
	q.ObserveServiceTime(took)
	if q.kindService == nil {
		q.kindService = map[Kind]average{}
	}
	a := q.kindService[kind]
	a.observe(took, kindWeight)
	q.kindService[kind] = a
}

// ObserveOpening records the time in which a connection was opened.
func (q *Queue) ObserveOpening(took time.Duration) { q.openingTime.observe(took, openingWeight) }

// ServiceTime returns the expected service time of a statement of a kind.
func (q *Queue) ServiceTime(kind Kind) time.Duration {
	a := q.kindService[kind]
	return a.or(average(q.meanService).or(defaultService))
}

// OverdueAfter returns the time after which a statement without an answer has
// probably ended.
func (q *Queue) OverdueAfter() time.Duration { return max(minOverdue, overdueFactor*q.meanService) }

// ReadTimeout returns the timeout of a read.
func (q *Queue) ReadTimeout() time.Duration { return readTimeoutFactor * q.OverdueAfter() }

// ObserveTimeout records that a read has timed out.
func (q *Queue) ObserveTimeout() {
	q.ObserveServiceTime(timeoutFactor * max(q.meanService, defaultService))
}
