package queuer

import (
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var ruleStart = time.Unix(1000, 0)

// busyQueue returns a queue whose slots are all in use by statements of 20 ms.
func busyQueue(slots int) *Queue {
	q := &Queue{Slots: slots}
	q.ObserveServiceTime(20 * time.Millisecond)
	for q.HasSlot() {
		q.Start()
	}
	return q
}

// popOrder frees one slot after the other and returns the order of the waiters.
func popOrder(q *Queue, now time.Time) []string {
	var order []string
	for q.Len() > 0 {
		q.Stop()
		w := q.Pop(now, idle)
		if w == nil {
			return order
		}
		q.Start()
		order = append(order, w.Organisation)
	}
	return order
}

// One organisation filled the queue, and others waited behind all of its statements.
func TestOrganisationAboveItsShareLetsOthersPass(t *testing.T) {
	q := busyQueue(4)
	for i := range 200 {
		q.Push(&Waiter{Organisation: "hot", EnqueuedAt: ruleStart.Add(time.Duration(i) * time.Microsecond), AnswerBy: ruleStart.Add(time.Second)})
	}
	small := &Waiter{Organisation: "small", EnqueuedAt: ruleStart.Add(time.Millisecond), AnswerBy: ruleStart.Add(1001 * time.Millisecond)}
	qt.Assert(t, q.ExpectedWait(small) < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", q.ExpectedWait(small)))
	hot := &Waiter{Organisation: "hot", EnqueuedAt: ruleStart.Add(time.Millisecond), AnswerBy: ruleStart.Add(time.Second)}
	qt.Assert(t, q.ExpectedWait(hot) > 900*time.Millisecond, qt.IsTrue, qt.Commentf("%s", q.ExpectedWait(hot)))
	q.Push(small)
	order := popOrder(q, ruleStart.Add(2*time.Millisecond))
	position := 0
	for order[position] != "small" {
		position++
	}
	qt.Assert(t, position <= 8, qt.IsTrue, qt.Commentf("position %d", position))
}

// With two organisations that always wait, the shares follow the weights. An
// organisation of unknown weight counts as average.
func TestSharesFollowWeights(t *testing.T) {
	for _, test := range []struct {
		weights     map[string]float64
		least, most float64
	}{
		{map[string]float64{"a": 3, "b": 1}, 0.70, 0.80},
		{nil, 0.45, 0.55},
		{map[string]float64{"a": 100}, 0.45, 0.55},
	} {
		q := busyQueue(4)
		if test.weights != nil {
			q.Weight = func(organisation string) float64 { return test.weights[organisation] }
		}
		push := func(organisation string, now time.Time) {
			q.Push(&Waiter{Organisation: organisation, EnqueuedAt: now, AnswerBy: now.Add(time.Second)})
		}
		now := ruleStart
		for range 20 {
			push("a", now)
			push("b", now)
		}
		count := 0
		const rounds = 2000
		for range rounds {
			now = now.Add(5 * time.Millisecond)
			q.Stop()
			w := q.Pop(now, idle)
			q.Start()
			if w.Organisation == "a" {
				count++
			}
			push(w.Organisation, now)
		}
		share := float64(count) / rounds
		qt.Assert(t, share >= test.least && share <= test.most, qt.IsTrue, qt.Commentf("%v: %.3f", test.weights, share))
	}
}

// A pause must not earn an organisation the right to hold up the others.
func TestPauseEarnsNoCredit(t *testing.T) {
	q := busyQueue(4)
	now := ruleStart
	q.Push(&Waiter{Organisation: "pausing", EnqueuedAt: now})
	popOrder(q, now)
	for range 500 {
		q.Push(&Waiter{Organisation: "steady", EnqueuedAt: now})
		popOrder(q, now)
	}
	for range 10 {
		q.Push(&Waiter{Organisation: "steady", EnqueuedAt: now})
		q.Push(&Waiter{Organisation: "pausing", EnqueuedAt: now})
	}
	steady := 0
	for _, organisation := range popOrder(q, now)[:10] {
		if organisation == "steady" {
			steady++
		}
	}
	qt.Assert(t, steady >= 3, qt.IsTrue, qt.Commentf("%d of the first ten", steady))
}

func TestEarliestDueAnswerGoesFirst(t *testing.T) {
	q := busyQueue(4)
	q.Push(&Waiter{Organisation: "long", EnqueuedAt: ruleStart, AnswerBy: ruleStart.Add(3 * time.Second)})
	q.Push(&Waiter{Organisation: "short", EnqueuedAt: ruleStart.Add(time.Millisecond), AnswerBy: ruleStart.Add(time.Second)})
	qt.Assert(t, popOrder(q, ruleStart.Add(2*time.Millisecond)), qt.DeepEquals, []string{"short", "long"})
}

// A queue that was too long once served everyone late, one after the other. Those that
// are late let those pass that can still be in time.
func TestLateWaiterLetsOthersPass(t *testing.T) {
	q := busyQueue(4)
	now := ruleStart.Add(time.Second)
	q.Push(&Waiter{Organisation: "late", EnqueuedAt: ruleStart, AnswerBy: now.Add(10 * time.Millisecond)})
	q.Push(&Waiter{Organisation: "late_transaction", InTransaction: true, EnqueuedAt: ruleStart, AnswerBy: now.Add(-time.Second)})
	q.Push(&Waiter{Organisation: "late_write", Kind: KindWrite, EnqueuedAt: ruleStart, AnswerBy: now.Add(-time.Second)})
	q.Push(&Waiter{Organisation: "in_time", EnqueuedAt: now, AnswerBy: now.Add(time.Second)})
	qt.Assert(t, popOrder(q, now), qt.DeepEquals, []string{"late_transaction", "in_time", "late_write", "late"})
}

// A waiter that has missed its objective was passed until its time was over.
func TestLateWaiterIsServedBeforeItsTimeIsOver(t *testing.T) {
	for _, test := range []struct {
		left time.Duration
		want int
	}{{2 * time.Second, agedShare - 1}, {2*time.Second + 1, 3 * agedShare}} {
		q := busyQueue(4)
		now := ruleStart.Add(8*time.Second - test.left)
		for range 3 * agedShare {
			q.Push(&Waiter{Organisation: "in_time", EnqueuedAt: now, AnswerBy: now.Add(time.Second)})
		}
		q.Push(&Waiter{Organisation: "late", EnqueuedAt: ruleStart, AnswerBy: ruleStart.Add(time.Second), LatestStart: ruleStart.Add(8 * time.Second)})
		qt.Assert(t, slices.Index(popOrder(q, now), "late"), qt.Equals, test.want)
	}
}

// Waiters whose callers had given up were granted slots.
func TestExpiredWaiterIsNotRun(t *testing.T) {
	q := busyQueue(1)
	now := ruleStart.Add(time.Second)
	expired := &Waiter{Organisation: "a", EnqueuedAt: ruleStart, LatestStart: now.Add(-1)}
	last := &Waiter{Organisation: "b", EnqueuedAt: ruleStart, LatestStart: now}
	q.Push(expired)
	q.Push(last)
	q.Stop()
	qt.Assert(t, q.Pop(now, idle), qt.Equals, last)
	qt.Assert(t, q.Pop(now, idle), qt.IsNil)
	removed := q.Expire(now)
	qt.Assert(t, len(removed), qt.Equals, 1)
	qt.Assert(t, removed[0], qt.Equals, expired)
	qt.Assert(t, q.Len(), qt.Equals, 0)
	qt.Assert(t, q.Remove(expired), qt.IsFalse)
}

// Transactions and writes go first, but readers that they pass for long get one of
// agedShare grants.
func TestHigherRanksPassWithinBounds(t *testing.T) {
	q := busyQueue(4)
	now := ruleStart.Add(maxPassed)
	for range 4 * agedShare {
		q.Push(&Waiter{Organisation: "a", InTransaction: true, EnqueuedAt: now})
	}
	q.Push(&Waiter{Organisation: "read", EnqueuedAt: now.Add(-maxPassed), AnswerBy: now.Add(time.Second)})
	q.Push(&Waiter{Organisation: "write", Kind: KindWrite, EnqueuedAt: now.Add(-maxPassed + 1), AnswerBy: now.Add(time.Second)})
	order := popOrder(q, now)
	qt.Assert(t, order[agedShare-1], qt.Equals, "read")
	qt.Assert(t, order[len(order)-1], qt.Equals, "write")
	q = busyQueue(4)
	for range 2 * agedShare {
		q.Push(&Waiter{Organisation: "a", InTransaction: true, EnqueuedAt: now})
	}
	q.Push(&Waiter{Organisation: "read", EnqueuedAt: now.Add(-maxPassed + 1)})
	order = popOrder(q, now)
	qt.Assert(t, order[len(order)-1], qt.Equals, "read", qt.Commentf("it has not waited for long"))
}

// In a long queue everyone has waited for more than maxSkip. Opening connections in
// order then takes the time of the slots.
func TestWaiterWithTimeLeftIsSkippedForIdleConnections(t *testing.T) {
	fit := func(w *Waiter) Availability {
		if w.Organisation == "has_idle" {
			return IdleAvailable
		}
		return OpenAllowed
	}
	for _, test := range []struct {
		waited time.Duration
		want   string
	}{{399 * time.Millisecond, "has_idle"}, {400 * time.Millisecond, "none"}} {
		q := busyQueue(4)
		q.Stop()
		now := ruleStart.Add(test.waited)
		q.Push(&Waiter{Organisation: "none", EnqueuedAt: ruleStart, AnswerBy: ruleStart.Add(1200 * time.Millisecond)})
		q.Push(&Waiter{Organisation: "has_idle", EnqueuedAt: now, AnswerBy: now.Add(1200 * time.Millisecond)})
		qt.Assert(t, q.Pop(now, fit).Organisation, qt.Equals, test.want)
	}
}

// The expected wait left out openings, which take as long as short statements.
func TestExpectedWaitIncludesOpenings(t *testing.T) {
	q := busyQueue(4)
	probe := &Waiter{Organisation: "p", EnqueuedAt: ruleStart}
	fill := func() {
		for range 20 {
			q.Push(&Waiter{Organisation: "p", EnqueuedAt: ruleStart})
		}
	}
	fill()
	without := q.ExpectedWait(probe)
	popOrder(q, ruleStart)
	q.ObserveOpening(12 * time.Millisecond)
	for range 200 {
		q.Push(&Waiter{Organisation: "p", EnqueuedAt: ruleStart})
		q.Stop()
		q.Pop(ruleStart, func(*Waiter) Availability { return OpenAllowed })
		q.Start()
	}
	fill()
	with := q.ExpectedWait(probe)
	qt.Assert(t, with-without > 20*11*time.Millisecond/4, qt.IsTrue, qt.Commentf("%s with openings, %s without", with, without))
}

// The mean of all statements says little about those of one kind.
func TestServiceTimesAreMeasuredByKind(t *testing.T) {
	q := &Queue{Slots: 4}
	qt.Assert(t, q.ServiceTime(KindRead), qt.Equals, defaultService)
	for range 100 {
		q.ObserveStatement(KindRead, 30*time.Millisecond)
		q.ObserveStatement(KindWrite, 6*time.Millisecond)
	}
	qt.Assert(t, q.ServiceTime(KindRead), qt.Equals, 30*time.Millisecond)
	qt.Assert(t, q.ServiceTime(KindWrite), qt.Equals, 6*time.Millisecond)
}

// A statement that would be answered within its objective must not be refused, and
// one that would not must be, before it waits.
func TestStatementIsAdmittedUpToItsObjective(t *testing.T) {
	q := busyQueue(4)
	for range 100 {
		q.Push(&Waiter{Organisation: "a", EnqueuedAt: ruleStart, AnswerBy: ruleStart.Add(time.Second)})
	}
	offer := func(change func(w *Waiter)) Decision {
		w := &Waiter{Organisation: "a", EnqueuedAt: ruleStart, AnswerBy: ruleStart.Add(time.Second), LatestStart: ruleStart.Add(8 * time.Second)}
		change(w)
		return q.Offer(ruleStart, w)
	}
	in := func(d time.Duration) func(w *Waiter) {
		return func(w *Waiter) { w.AnswerBy = ruleStart.Add(d) }
	}
	// A hundred statements of 20 ms and the running ones take 505 ms.
	d := offer(in(time.Second))
	qt.Assert(t, d.Admitted, qt.IsTrue, qt.Commentf("%+v", d))
	// Others with the same objective and earlier arrivals go first.
	d = offer(func(w *Waiter) { w.MaxWait = 300 * time.Millisecond })
	qt.Assert(t, d.Admitted, qt.IsFalse)
	qt.Assert(t, d.MayWait, qt.IsTrue)
	qt.Assert(t, offer(func(w *Waiter) { w.InTransaction = true; in(time.Millisecond)(w) }).Admitted, qt.IsTrue)
	for i := range 100 {
		q.Push(&Waiter{Organisation: "a", EnqueuedAt: ruleStart, AnswerBy: ruleStart.Add(time.Duration(900-i) * time.Millisecond)})
	}
	d = offer(in(time.Second))
	qt.Assert(t, d.Admitted, qt.IsFalse, qt.Commentf("%+v", d))
	qt.Assert(t, d.RoomIn > 0, qt.IsTrue)
	d = offer(func(w *Waiter) { w.Patient = true })
	qt.Assert(t, d.Admitted, qt.IsTrue, qt.Commentf("its caller waits for eight seconds"))
	d = offer(func(w *Waiter) { w.Patient, w.LatestStart = true, ruleStart.Add(2*time.Second) })
	qt.Assert(t, d.Admitted, qt.IsFalse, qt.Commentf("it would be held in vain"))
	d = offer(func(w *Waiter) { w.AnswerBy, w.LatestStart = time.Time{}, ruleStart.Add(200*time.Millisecond) })
	qt.Assert(t, d.Admitted, qt.IsFalse, qt.Commentf("it would be held in vain"))
	unlimited := &Queue{}
	qt.Assert(t, unlimited.Offer(ruleStart, &Waiter{AnswerBy: ruleStart}).Admitted, qt.IsTrue)
	free := &Queue{Slots: 4}
	qt.Assert(t, free.Offer(ruleStart, &Waiter{EnqueuedAt: ruleStart, AnswerBy: ruleStart.Add(-time.Second)}).Admitted, qt.IsTrue, qt.Commentf("an idle upstream serves late ones too"))
}

// Refused callers were all told the same time, and returned together.
func TestRefusedCallersAreToldSuccessiveTimes(t *testing.T) {
	q := busyQueue(4)
	for range 300 {
		q.Push(&Waiter{Organisation: "a", EnqueuedAt: ruleStart, AnswerBy: ruleStart.Add(time.Second)})
	}
	last := time.Duration(0)
	reached := false
	for range 100 {
		w := &Waiter{Organisation: "a", EnqueuedAt: ruleStart, AnswerBy: ruleStart.Add(time.Second), LatestStart: ruleStart.Add(8 * time.Second)}
		d := q.Offer(ruleStart, w)
		qt.Assert(t, d.Admitted, qt.IsFalse)
		qt.Assert(t, d.RoomIn >= minRoomIn && d.RoomIn <= time.Second/maxRoomDivisor, qt.IsTrue, qt.Commentf("%s", d.RoomIn))
		qt.Assert(t, d.RoomIn > last || d.RoomIn == time.Second/maxRoomDivisor, qt.IsTrue)
		last = d.RoomIn
		reached = reached || d.RoomIn == time.Second/maxRoomDivisor
	}
	qt.Assert(t, reached, qt.IsTrue)
	later := ruleStart.Add(time.Minute)
	qt.Assert(t, q.RoomIn(later, &Waiter{Organisation: "a"}) >= minRoomIn, qt.IsTrue)
	qt.Assert(t, (&Queue{}).RoomIn(later, &Waiter{}), qt.Equals, minRoomIn)
}

// A return before there is room is refused again.
func TestJitterOnlyLengthens(t *testing.T) {
	qt.Assert(t, Jitter(time.Second, 0), qt.Equals, time.Second)
	almostOne := math.Nextafter(1, 0)
	qt.Assert(t, Jitter(time.Second, almostOne) <= 1500*time.Millisecond, qt.IsTrue)
	qt.Assert(t, Jitter(time.Second, 0.5), qt.Equals, 1250*time.Millisecond)
}

// State by organisation and class must not grow without limit.
func TestQueueForgetsOrganisations(t *testing.T) {
	q := busyQueue(4)
	now := ruleStart
	for i := range 5 * maxAccounts {
		now = now.Add(time.Millisecond)
		w := &Waiter{Organisation: string(rune('a' + i)), Priority: i, EnqueuedAt: now, AnswerBy: now.Add(time.Duration(i) * time.Millisecond)}
		q.Offer(now, w)
		q.Push(w)
		popOrder(q, now)
	}
	qt.Assert(t, len(q.accounts.service) <= maxAccounts, qt.IsTrue, qt.Commentf("%d", len(q.accounts.service)))
	qt.Assert(t, len(q.classes) <= maxClasses, qt.IsTrue)
	qt.Assert(t, len(q.waiting), qt.Equals, 0)
	qt.Assert(t, q.waitingWeight, qt.Equals, 0.0)
}
