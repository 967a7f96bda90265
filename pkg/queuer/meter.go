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
