package queuer

import "time"

const (
	// admittedShare is the share of the time to the objective up to which the
	// expected wait may come. The rest covers statements that arrive later and go
	// first, and the variance of service times.
	admittedShare = 0.65
	// patientDivisor divides the time left before the deadline to get the longest
	// expected wait of a patient statement that misses its objective.
	patientDivisor = 2
	// minSpare is the least share of the slots that is assumed to work off the
	// queue: overload is usually a burst.
	minSpare = 0.25
	// minRoomIn is the shortest time until there is room, a few statements.
	minRoomIn = 25 * time.Millisecond
	// maxRoomDivisor divides the time left before the objective to get the longest
	// time after which a refused caller is told to return: an attempt then can
	// still meet the objective. Callers that return later are late anyway, and
	// take the place of others after the burst in which they were refused.
	maxRoomDivisor = 4
	// defaultMaxRoomIn is that time for a statement without an objective.
	defaultMaxRoomIn = time.Second
)

// Decision is the answer to an offered statement.
type Decision struct {
	Admitted bool
	// ExpectedWait is the expected waiting time.
	ExpectedWait time.Duration
	// MayWait is true for a refused statement that would be admitted if it was
	// patient and had no MaxWait.
	MayWait bool
	// RoomIn is the time after which a statement that is not admitted should be
	// offered again.
	RoomIn time.Duration
}

// Offer decides whether a statement may wait. It does not push it.
func (q *Queue) Offer(now time.Time, w *Waiter) Decision {
	if q.Slots <= 0 {
		return Decision{Admitted: true}
	}
	q.demand.add(now, q.cost(w))
	expected := q.ExpectedWait(w)
	d := q.decide(now, w, expected)
	if d.Admitted {
		q.classes.add(now, w, q.cost(w))
	}
	return d
}

func (q *Queue) decide(now time.Time, w *Waiter, expected time.Duration) Decision {
	d := Decision{Admitted: true, ExpectedWait: expected}
	if w.InTransaction {
		return d
	}
	inTime := w.LatestStart.IsZero() || !now.Add(expected).After(w.LatestStart)
	limit := q.admittedWait(now, w)
	if !w.LatestStart.IsZero() {
		limit = min(limit, w.LatestStart.Sub(now))
	}
	fits := inTime && expected <= limit
	if fits && (w.MaxWait <= 0 || expected <= w.MaxWait) {
		return d
	}
	d.MayWait = fits || (inTime && q.mayBeLate(now, w))
	if d.MayWait && w.Patient {
		return d
	}
	d.Admitted = false
	if !fits {
		d.RoomIn = q.roomIn(now, w, expected-limit)
	}
	return d
}

// RoomIn returns the time after which a waiter that was removed unserved should be
// offered again.
func (q *Queue) RoomIn(now time.Time, w *Waiter) time.Duration {
	if q.Slots <= 0 {
		return minRoomIn
	}
	again := &Waiter{Organisation: w.Organisation, Kind: w.Kind, Priority: w.Priority, EnqueuedAt: now}
	return q.roomIn(now, again, q.ExpectedWait(again))
}

// admittedWait returns the longest expected wait with which a statement would
// meet its objective.
func (q *Queue) admittedWait(now time.Time, w *Waiter) time.Duration {
	if w.AnswerBy.IsZero() {
		return maxDuration
	}
	left := w.AnswerBy.Sub(now) - q.ServiceTime(w.Kind)
	return max(0, time.Duration(admittedShare*float64(left)))
}

const maxDuration = time.Duration(1<<63 - 1)

// mayBeLate reports whether a statement may wait beyond its objective: it would
// be served well before its deadline. A statement that waits is passed by those
// that meet their objective, so it takes nothing from them, while the retries of
// a refused one would.
func (q *Queue) mayBeLate(now time.Time, w *Waiter) bool {
	return !w.LatestStart.IsZero() && q.lateWait(now) <= w.LatestStart.Sub(now)/patientDivisor
}

// load returns the demand as a share of the slots.
func (q *Queue) load(now time.Time) float64 {
	q.demand.decay(now)
	return q.demand.slots / float64(q.Slots)
}

// lateWait returns the expected wait of a statement that lets all others pass:
// the whole queue, worked off with what the demand leaves of the slots.
func (q *Queue) lateWait(now time.Time) time.Duration {
	work := time.Duration(0)
	for e := q.waiters.Front(); e != nil; e = e.Next() {
		work += q.cost(e.Value.(*Waiter))
	}
	spare := max(minSpare, 1-q.load(now))
	return time.Duration(float64(work) / float64(q.Slots) / spare)
}

// roomIn returns the time after which a refused statement should be offered
// again. The queue must have become shorter by excess. Callers are told
// successive times, as far apart as the spare slots serve them, so that they do
// not return together.
func (q *Queue) roomIn(now time.Time, w *Waiter, excess time.Duration) time.Duration {
	longest := defaultMaxRoomIn
	if !w.AnswerBy.IsZero() {
		longest = max(minRoomIn, w.AnswerBy.Sub(now)/maxRoomDivisor)
	}
	spare := max(minSpare, 1-q.load(now))
	at := now.Add(max(minRoomIn, time.Duration(float64(excess)/spare)))
	if at.Before(q.nextReturn) {
		at = q.nextReturn
	}
	if latest := now.Add(longest); at.After(latest) {
		return longest
	}
	q.nextReturn = at.Add(time.Duration(float64(q.cost(w)) / float64(q.Slots) / spare))
	return at.Sub(now)
}

// maxJitter is the largest share by which a time to return is lengthened.
const maxJitter = 0.5

// Jitter lengthens the time after which a caller should return, by a random
// number from 0 up to 1. It never shortens it, as there is no room before.
func Jitter(d time.Duration, random float64) time.Duration {
	return d + time.Duration(random*maxJitter*float64(d))
}
