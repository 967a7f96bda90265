package connector

import (
	"sync/atomic"
	"time"
)

// quietBeforeEnd is the time without refusals after which an overload has ended.
// It is longer than refused callers take to return.
const quietBeforeEnd = 3 * time.Second

// OverloadChange reports that the queue of an upstream has begun or ceased to
// refuse statements.
type OverloadChange struct {
	Upstream   string
	Overloaded bool
	// Waiting is the number of waiting statements.
	Waiting int
	// RefusedEarly and RefusedLate count the statements that were refused on
	// arrival and after a wait since the overload began.
	RefusedEarly, RefusedLate uint64
	// Lasted is the time from the first refusal to the last.
	Lasted time.Duration
}

// overload is the state of one queue.
type overload struct {
	early, late uint64
	began, last time.Time
	// reported is true once the beginning was reported.
	reported bool
}

func (o *overload) record(now time.Time, isEarly bool) {
	if o.began.IsZero() {
		o.began = now
	}
	o.last = now
	if isEarly {
		o.early++
	} else {
		o.late++
	}
}

// change returns a change that has not been reported, or false.
func (o *overload) change(now time.Time) (OverloadChange, bool) {
	if o.began.IsZero() {
		return OverloadChange{}, false
	}
	c := OverloadChange{Overloaded: true, RefusedEarly: o.early, RefusedLate: o.late, Lasted: o.last.Sub(o.began)}
	if !o.reported {
		o.reported = true
		return c, true
	}
	if now.Sub(o.last) < quietBeforeEnd {
		return OverloadChange{}, false
	}
	c.Overloaded = false
	*o = overload{}
	return c, true
}

// QueueStatistics describes the queues of a set of pools.
type QueueStatistics struct {
	// Waiting and Running count the statements at present.
	Waiting, Running int
	// RefusedEarly and RefusedLate count the statements refused so far on arrival
	// and after a wait.
	RefusedEarly, RefusedLate uint64
}

// refusals counts the refusals of all pools of a set, also of removed ones.
type refusals struct{ early, late atomic.Uint64 }

// QueueStatistics returns the statistics of the queues.
func (s *PoolSet) QueueStatistics() QueueStatistics {
	q := QueueStatistics{RefusedEarly: s.refusals.early.Load(), RefusedLate: s.refusals.late.Load()}
	for _, p := range s.all() {
		p.mu.Lock()
		q.Waiting += p.queue.Len()
		q.Running += p.queue.Running()
		p.mu.Unlock()
	}
	return q
}

// recordRefusal records that a statement was refused. p.mu must be held.
func (p *Pool) recordRefusal(isEarly bool) {
	p.overload.record(time.Now(), isEarly)
	switch {
	case p.refusals == nil:
	case isEarly:
		p.refusals.early.Add(1)
	default:
		p.refusals.late.Add(1)
	}
}

// overloadChange returns a change that has not been reported, or false.
func (p *Pool) overloadChange(now time.Time) (OverloadChange, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.overload.change(now)
	c.Upstream, c.Waiting = p.upstream.ID, p.queue.Len()
	return c, ok
}
