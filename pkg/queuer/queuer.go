// Package queuer is the priority queue of statements that wait for a slot of an
// upstream.
//
// An upstream runs a few statements at once and queues the rest itself, first
// come, first served. So no more are sent than it can run. The others wait
// here. A statement that would miss its latency objective is refused before it
// has cost anything, unless its caller has time left and the queue is draining.
//
// Statements of open transactions go first, as they hold resources that others
// need; then those of routes with a high priority, writes before reads. One that
// others pass for long gets one of four grants. Within a rank, organisations
// share the upstream by their weights (start-time fair queueing), so that one of
// them cannot fill the queue for the others. A waiter that has missed its
// objective lets those pass that can still meet theirs; otherwise a queue that
// is once too long would make every statement late. A waiter whose caller can no
// longer be answered in time is not run.
//
// A connection belongs to one organisation and opening one costs a handshake, so
// an idle connection of an organisation is used before the first waiter opens a
// new one, unless that waiter has waited for long.
//
// # Usage
//
//	q := queuer.Queue{Slots: 5}
//	if d := q.Offer(now, w); !d.Admitted { ... }   // refuse
//	q.Push(w)
//	expired := q.Expire(now)                       // refuse
//	next := q.Pop(now, fit)
//	q.ObserveStatement(queuer.KindRead, 33 * time.Millisecond)
//
// A Queue is not safe for concurrent use: callers must serialise the calls.
package queuer

import (
	"container/list"
	"math"
	"time"
)

const (
	// maxSkip is how long a waiter that needs a new connection may be skipped
	// in favour of one that has an idle connection. A waiter with an objective may
	// be skipped for longer, until 1/skipDivisor of its time is over: in a long
	// queue everyone waits for more than maxSkip, and opening connections in order
	// of arrival would take a third of the slots' time.
	maxSkip     = 40 * time.Millisecond
	skipDivisor = 3
	// maxPassed is how long a waiter may be passed by those of a higher rank.
	// After that it gets one of agedShare grants. A waiter that has missed its
	// objective gets them in the last 1/lastDivisor of its time.
	maxPassed   = 100 * time.Millisecond
	agedShare   = 4
	lastDivisor = 4
	// serviceWeight is the weight of the newest statement in the moving average
	// of service times.
	serviceWeight = 0.05
	// kindWeight is the weight of the newest statement in the averages by kind,
	// and openingWeight of the newest grant in the share of openings and of the
	// newest opening in their duration.
	kindWeight    = 0.1
	openingWeight = 0.05
	// weightWeight is the weight of the newest waiter in the mean weight.
	weightWeight = 0.02
	// defaultService is the service time assumed before the first measurement.
	defaultService = 20 * time.Millisecond
	// overdueFactor times the mean service time is the time after which a
	// statement without an answer counts as ended, and minOverdue is the lower
	// bound of that time.
	overdueFactor = 6
	minOverdue    = 200 * time.Millisecond
	// readTimeoutFactor times the overdue time is the timeout of a read, which
	// can be retried.
	readTimeoutFactor = 2
	// timeoutFactor times the mean is the service time that a timed-out read
	// counts for. The timeout thus grows with an upstream that became slow, but
	// not with one that loses answers.
	timeoutFactor = 2
	// prefetch is the number of statements sent beyond the slots, to cover the
	// network latency to the upstream.
	prefetch = 1
)

// Availability is the way in which a waiter could get a connection now.
type Availability string

// The values of Availability.
const (
	// Unavailable means that no connection is available.
	Unavailable Availability = "none"
	// IdleAvailable means that an idle connection of the waiter's organisation is
	// available.
	IdleAvailable Availability = "idle"
	// OpenAllowed means that a new connection may be opened.
	OpenAllowed Availability = "open"
)

// Queue holds waiters and counts the running statements. The zero value does
// not limit them.
type Queue struct {
	// Slots is the number of statements that the upstream runs at once; zero
	// means no limit.
	Slots int
	// Weight returns the weight of an organisation; nil, or a result that is not
	// positive, means that it is unknown. It counts as average then.
	Weight func(organisation string) float64

	waiters     list.List
	running     int
	meanService time.Duration
	kindService map[Kind]average
	// openingTime is the mean duration of an opening, and openingShare the share
	// of grants that needed one.
	openingTime  average
	openingShare float64
	// meanWeight is the mean weight of the newest waiters of known weight.
	meanWeight float64
	accounts   accounts
	// waiting counts the waiters by organisation; waitingWeight is the sum of the
	// organisations' weights.
	waiting       map[string]int
	waitingWeight float64
	classes       classes
	demand        demandMeter
	// passed counts the grants by which waiters were passed for too long.
	passed int
	// nextReturn is when the next refused caller should return.
	nextReturn time.Time
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.waiters.Len() }

// Running returns the number of running statements.
func (q *Queue) Running() int { return q.running }

// HasSlot reports whether one more statement may run.
func (q *Queue) HasSlot() bool { return q.Slots <= 0 || q.running < q.Slots+prefetch }

// Start records that a statement has started.
func (q *Queue) Start() { q.running++ }

// Stop records that a statement has ended.
func (q *Queue) Stop() { q.running-- }

// cost returns the time of a slot that a waiter is expected to take, with its
// part of the openings.
func (q *Queue) cost(w *Waiter) time.Duration {
	cost := q.ServiceTime(w.Kind)
	if !w.InTransaction {
		cost += time.Duration(q.openingShare * float64(q.openingTime))
	}
	return cost
}

func (q *Queue) weight(organisation string) float64 {
	weight := 0.0
	if q.Weight != nil {
		weight = q.Weight(organisation)
	}
	switch {
	case weight > 0 && q.meanWeight == 0:
		q.meanWeight = weight
	case weight > 0:
		q.meanWeight += weightWeight * (weight - q.meanWeight)
	case q.meanWeight > 0:
		return q.meanWeight
	default:
		return 1
	}
	return weight
}

// isLate reports whether a waiter has missed its objective. Statements of open
// transactions never count as late, as they hold up others.
func (q *Queue) isLate(w *Waiter, now time.Time) bool {
	return !w.InTransaction && !w.AnswerBy.IsZero() && now.Add(q.ServiceTime(w.Kind)).After(w.AnswerBy)
}

// ExpectedWait returns the expected waiting time of w if it arrived at
// w.EnqueuedAt: the work of the waiters that go before it, and of those that will
// arrive meanwhile and go before it, with the opening of connections.
func (q *Queue) ExpectedWait(w *Waiter) time.Duration {
	if q.Slots <= 0 || (q.HasSlot() && q.waiters.Len() == 0) {
		return 0
	}
	now := w.EnqueuedAt
	if w.weight == 0 {
		w.weight = q.weight(w.Organisation)
	}
	own := q.accounts.tag(w.Organisation)
	for e := q.waiters.Front(); e != nil; e = e.Next() {
		o := e.Value.(*Waiter)
		if o.Organisation == w.Organisation && !w.precedes(o) && !q.isLate(o, now) && !w.due().Before(o.due()) {
			own += q.cost(o).Seconds() / o.weight
		}
	}
	ownDue := w.due().Add(q.lead(own))
	before := average(q.meanService).or(defaultService)
	tags := map[string]float64{}
	for e := q.waiters.Front(); e != nil; e = e.Next() {
		o := e.Value.(*Waiter)
		if w.precedes(o) || q.isLate(o, now) {
			continue
		}
		tag, ok := tags[o.Organisation]
		if !ok {
			tag = q.accounts.tag(o.Organisation)
		}
		cost := q.cost(o)
		tags[o.Organisation] = tag + cost.Seconds()/o.weight
		if o.rank() < w.rank() || !ownDue.Before(o.due().Add(q.lead(tag))) {
			before += cost
		}
	}
	return q.classes.extend(now, w, before, q.Slots)
}

// lead returns the time in which an organisation that has attained the service of
// a tag works off its lead over the others at its share of the slots.
func (q *Queue) lead(tag float64) time.Duration {
	if q.Slots <= 0 || tag <= q.accounts.virtualTime {
		return 0
	}
	lead := (tag - q.accounts.virtualTime) * q.waitingWeight / float64(q.Slots)
	return time.Duration(min(lead, maxLead.Seconds()) * float64(time.Second))
}

// maxLead bounds the lead of an organisation with a very small weight.
const maxLead = time.Hour

// Push inserts a waiter behind those of the same or a higher priority.
func (q *Queue) Push(w *Waiter) {
	w.weight = q.weight(w.Organisation)
	if q.waiting == nil {
		q.waiting = map[string]int{}
	}
	if q.waiting[w.Organisation]++; q.waiting[w.Organisation] == 1 {
		q.waitingWeight += w.weight
	}
	for e := q.waiters.Back(); e != nil; e = e.Prev() {
		if !w.precedes(e.Value.(*Waiter)) {
			w.element = q.waiters.InsertAfter(w, e)
			return
		}
	}
	w.element = q.waiters.PushFront(w)
}

// Remove removes a waiter. It returns false if the waiter is not in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	q.waiters.Remove(w.element)
	w.element = nil
	if q.waiting[w.Organisation]--; q.waiting[w.Organisation] == 0 {
		delete(q.waiting, w.Organisation)
		q.waitingWeight -= w.weight
	}
	if len(q.waiting) == 0 {
		q.waitingWeight = 0
	}
	return true
}

// Expire removes and returns the waiters that can no longer be answered in time.
func (q *Queue) Expire(now time.Time) []*Waiter {
	var expired []*Waiter
	for e := q.waiters.Front(); e != nil; {
		w := e.Value.(*Waiter)
		e = e.Next()
		if w.isExpired(now) {
			q.Remove(w)
			expired = append(expired, w)
		}
	}
	return expired
}

// Pop removes and returns the waiter that runs next, or nil if no slot is free
// or no waiter can get a connection. fit returns the way in which a waiter
// could get one. Waiters whose time is over are passed over.
func (q *Queue) Pop(now time.Time, fit func(w *Waiter) Availability) *Waiter {
	if !q.HasSlot() {
		return nil
	}
	var first, withIdle, aged choice
	minTag := math.Inf(1)
	for e := q.waiters.Front(); e != nil; e = e.Next() {
		w := e.Value.(*Waiter)
		tag := q.accounts.tag(w.Organisation)
		c := choice{waiter: w, late: q.isLate(w, now), due: w.due().Add(q.lead(tag))}
		isAged := c.isAged(now) && (aged.waiter == nil || w.EnqueuedAt.Before(aged.waiter.EnqueuedAt))
		minTag = min(minTag, tag)
		if w.isExpired(now) || (!isAged && !c.before(first) && !c.before(withIdle)) {
			continue
		}
		c.availability = IdleAvailable
		if !w.InTransaction {
			c.availability = fit(w)
		}
		if c.availability == Unavailable {
			continue
		}
		if isAged {
			aged = c
		}
		if c.before(first) {
			first = c
		}
		if c.availability == IdleAvailable && c.before(withIdle) {
			withIdle = c
		}
	}
	if first.waiter == nil {
		return nil
	}
	chosen := first
	if withIdle.waiter != nil && !first.rankBefore(withIdle) && now.Sub(first.waiter.EnqueuedAt) < skipLimit(first.waiter) {
		chosen = withIdle
	}
	if aged.waiter != nil && chosen.rankBefore(aged) {
		if q.passed++; q.passed >= agedShare {
			chosen, q.passed = aged, 0
		}
	}
	q.accounts.advance(minTag)
	q.grant(chosen)
	return chosen.waiter
}

// skipLimit returns how long a waiter that needs a new connection may be skipped.
func skipLimit(w *Waiter) time.Duration {
	if w.AnswerBy.IsZero() {
		return maxSkip
	}
	return max(maxSkip, w.AnswerBy.Sub(w.EnqueuedAt)/skipDivisor)
}

// grant removes a waiter and charges it to its organisation.
func (q *Queue) grant(c choice) {
	w := c.waiter
	q.Remove(w)
	cost := q.ServiceTime(w.Kind)
	if !w.InTransaction {
		opened := 0.0
		if c.availability == OpenAllowed {
			opened = 1
			cost += time.Duration(q.openingTime)
		}
		q.openingShare += openingWeight * (opened - q.openingShare)
	}
	q.accounts.charge(w.Organisation, cost, w.weight)
}
