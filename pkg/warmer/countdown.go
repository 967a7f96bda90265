package warmer

import "time"

// Tolerance is the rise of an announced remaining time above its countdown that is not a
// rise: announcements take different times to arrive. Hosts add it to the remaining time,
// so that none takes an upstream for warm before its announcements do.
const Tolerance = 250 * time.Millisecond

// Announcement identifies the announcement of an upstream from which a remaining time
// comes.
type Announcement struct {
	Incarnation int64
	Sequence    uint64
}

// Countdowns follows the remaining warm-up times of upstreams. The zero value knows none.
type Countdowns struct {
	upstreams map[string]countdown
}

type countdown struct {
	from  Announcement
	until time.Time
}

// Set records the remaining time of an announcement that is known since now. A repeated
// announcement leaves the countdown as it is.
func (c *Countdowns) Set(upstream string, from Announcement, remaining time.Duration, now time.Time) {
	if old, ok := c.upstreams[upstream]; ok && old.from == from {
		return
	}
	if c.upstreams == nil {
		c.upstreams = map[string]countdown{}
	}
	until := now
	if remaining > 0 {
		until = now.Add(remaining + Tolerance)
	}
	c.upstreams[upstream] = countdown{from: from, until: until}
}

// Retain removes the countdowns of the upstreams for which keep returns false.
func (c *Countdowns) Retain(keep func(upstream string) bool) {
	for upstream := range c.upstreams {
		if !keep(upstream) {
			delete(c.upstreams, upstream)
		}
	}
}

// Until returns when an upstream stops being cold. It is in the past, or zero, for one
// that is warm.
func (c *Countdowns) Until(upstream string) time.Time { return c.upstreams[upstream].until }

// IsRise reports whether a remaining time announced at now exceeds the countdown. It is
// true for any remaining time of an upstream or incarnation without a countdown.
func (c *Countdowns) IsRise(upstream string, incarnation int64, remaining time.Duration, now time.Time) bool {
	if remaining <= 0 {
		return false
	}
	old, ok := c.upstreams[upstream]
	return !ok || old.from.Incarnation != incarnation || now.Add(remaining).After(old.until)
}
