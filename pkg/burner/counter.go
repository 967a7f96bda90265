// Package burner measures how much of the error budget of each service-level
// objective is consumed, and by which causes.
//
// Each entry host counts statements in slots of wall-clock time. A report merges
// the counts of all hosts, applies the configured objectives, and gives the burn
// rates over several windows with their causes.
//
// # Usage
//
//	c := &burner.Counter{Now: time.Now}
//	c.Add(burner.Labels{Organisation: "prairie_1", Route: "ledger_1", Outcome: burner.OutcomeServed}, 1)
//	report := burner.BuildReport(burner.Input{Now: now, Pages: pages, State: state})
//
// At a burn rate of 1 the error budget is consumed exactly. The pairs of windows
// and their thresholds follow the multiwindow, multi-burn-rate method of "The
// Site Reliability Workbook", chapter 5.
package burner

import (
	"sort"
	"sync"
	"time"
)

const (
	// DefaultSlot is the default length of a slot.
	DefaultSlot = time.Minute
	// maxLabelSets is the maximum number of label sets in one slot. Statements
	// of further label sets are counted under otherID, one set per outcome and
	// reason.
	maxLabelSets = 4096
	otherID      = "other"
)

// Counter counts the statements of one host. It is safe for concurrent use, and
// its zero value is ready to use.
type Counter struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Slot is the length of a slot in whole seconds; zero means DefaultSlot.
	Slot time.Duration

	mu    sync.Mutex
	slots []slot
}

type slot struct {
	start    int64
	byLabels map[Labels]int
}

func (c *Counter) slotSeconds() int64 {
	if c.Slot < time.Second {
		return int64(DefaultSlot / time.Second)
	}
	return int64(c.Slot / time.Second)
}

// Add counts n statements under a set of labels. It does nothing on a nil
// Counter.
func (c *Counter) Add(labels Labels, n int) {
	if c == nil || n == 0 {
		return
	}
	now := time.Now
	if c.Now != nil {
		now = c.Now
	}
	seconds := c.slotSeconds()
	start := now().Unix() / seconds * seconds
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slotAt(start)
	if _, ok := s.byLabels[labels]; !ok && len(s.byLabels) >= maxLabelSets {
		labels = Labels{Organisation: otherID, Route: otherID, Outcome: labels.Outcome, Reason: labels.Reason}
	}
	s.byLabels[labels] += n
}

// slotAt returns the slot that begins at start and drops expired slots. If the
// clock has stepped back, it returns the newest slot.
func (c *Counter) slotAt(start int64) *slot {
	if n := len(c.slots); n > 0 && c.slots[n-1].start >= start {
		return &c.slots[n-1]
	}
	c.slots = append(c.slots, slot{start: start, byLabels: map[Labels]int{}})
	oldest := start - int64(longestWindow/time.Second)
	for c.slots[0].start < oldest {
		c.slots = c.slots[1:]
	}
	return &c.slots[len(c.slots)-1]
}

// HostCounts returns all counts within the longest window.
func (c *Counter) HostCounts(host string) HostCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := HostCounts{Host: host, SlotSeconds: c.slotSeconds(), Slots: []Slot{}}
	for _, s := range c.slots {
		p.Slots = append(p.Slots, Slot{Start: s.start, Counts: sortedCounts(s.byLabels)})
	}
	return p
}

func sortedCounts(byLabels map[Labels]int) []Count {
	counts := make([]Count, 0, len(byLabels))
	for labels, n := range byLabels {
		counts = append(counts, Count{Labels: labels, Statements: n})
	}
	sort.Slice(counts, func(i, j int) bool { return isBefore(counts[i].Labels, counts[j].Labels) })
	return counts
}

func isBefore(a, b Labels) bool {
	switch {
	case a.Organisation != b.Organisation:
		return a.Organisation < b.Organisation
	case a.Route != b.Route:
		return a.Route < b.Route
	case a.Outcome != b.Outcome:
		return a.Outcome < b.Outcome
	case a.Reason != b.Reason:
		return a.Reason < b.Reason
	case a.Upstream != b.Upstream:
		return a.Upstream < b.Upstream
	}
	return a.Term < b.Term
}
