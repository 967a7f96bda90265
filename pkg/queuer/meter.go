package queuer

import (
	"math"
	"time"
)

// demandWindow is the time constant of the measured demand. It is short against
// a burst of a few seconds, and long enough to average over dozens of statements.
const demandWindow = time.Second

// demandMeter measures the work requested of an upstream, in slots, as an
// exponentially weighted average. Refused work counts too: its callers return.
type demandMeter struct {
	slots float64
	at    time.Time
}

func (m *demandMeter) add(now time.Time, work time.Duration) {
	m.decay(now)
	m.slots += work.Seconds() / demandWindow.Seconds()
}

func (m *demandMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.slots *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		m.at = now
	}
}

// average is an exponentially weighted average of durations. Zero means that
// nothing was measured.
type average time.Duration

func (a *average) observe(d time.Duration, weight float64) {
	if *a == 0 {
		*a = average(d)
		return
	}
	*a += average(weight * float64(d-time.Duration(*a)))
}

func (a average) or(d time.Duration) time.Duration {
	if a == 0 {
		return d
	}
	return time.Duration(a)
}

// class groups statements that are ordered in the same way.
type class struct {
	rank int
	// allowance is the time from arrival to the answer, rounded down.
	allowance time.Duration
}

// maxClasses bounds the number of classes; statements of others are not counted.
const maxClasses = 32

// classOf returns the class of a waiter. Allowances are rounded to quarters of a
// power of two, to have few classes.
func classOf(w *Waiter) class {
	allowance := w.due().Sub(w.EnqueuedAt)
	unit := 25 * time.Millisecond
	for allowance > 8*unit {
		unit *= 2
	}
	return class{w.rank(), max(0, allowance.Truncate(unit))}
}

// classes measures the admitted work by class.
type classes map[class]*demandMeter

func (c *classes) add(now time.Time, w *Waiter, work time.Duration) {
	if *c == nil {
		*c = classes{}
	}
	k := classOf(w)
	m := (*c)[k]
	if m == nil {
		if len(*c) >= maxClasses {
			return
		}
		m = &demandMeter{at: now}
		(*c)[k] = m
	}
	m.add(now, work)
}

// extensions is the number of times that an expected wait is extended by what
// arrives during it. The sum converges unless there is no capacity left.
const extensions = 4

// extend returns the time in which slots work off the work before a waiter, and
// the work that will arrive meanwhile and go before it.
func (c classes) extend(now time.Time, w *Waiter, before time.Duration, slots int) time.Duration {
	own := classOf(w)
	base := before / time.Duration(slots)
	wait := base
	for range extensions {
		extra := time.Duration(0)
		for k, m := range c {
			overtakes := wait
			if k.rank == own.rank {
				overtakes = min(wait, own.allowance-k.allowance)
			}
			if k.rank > own.rank || overtakes <= 0 {
				continue
			}
			m.decay(now)
			extra += time.Duration(m.slots * float64(overtakes))
		}
		wait = base + extra/time.Duration(slots)
	}
	return wait
}
