package queuer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A host must not refuse a statement that its owner might serve: the report may be
// old or incomplete, or the queue may have become shorter.
func TestEarlyRefusalNeedsAFreshReportOfALongQueue(t *testing.T) {
	full := Load{Slots: 4, Queued: 600, Running: 5, MeanServiceTime: 20 * time.Millisecond}
	with := func(change func(l *Load)) Load {
		l := full
		change(&l)
		return l
	}
	const objective, left = time.Second, 2 * time.Second
	tests := []struct {
		name   string
		load   Load
		age    time.Duration
		within time.Duration
		left   time.Duration
		refuse bool
	}{
		{"fresh and full", full, 0, objective, left, true},
		{"at the greatest age", full, maxLoadAge, objective, left, true},
		{"too old", full, maxLoadAge + 1, objective, left, false},
		{"from the future", full, -time.Second, objective, left, false},
		{"nothing known", Load{}, 0, objective, left, false},
		{"slots unknown", with(func(l *Load) { l.Slots = 0 }), 0, objective, left, false},
		{"service time unknown", with(func(l *Load) { l.MeanServiceTime = 0 }), 0, objective, left, false},
		{"no objective", full, 0, 0, left, false},
		{"short enough for an organisation below its share", with(func(l *Load) { l.Queued = 400 }), 0, objective, left, false},
		{"may have become short enough", with(func(l *Load) { l.Queued = 440 }), 200 * time.Millisecond, objective, left, false},
		{"long objective", full, 0, 3 * time.Second, left, false},
		{"distant deadline", full, 0, objective, 8 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roomIn, refuse := RefuseEarly(test.load, test.age, test.within, test.left)
			qt.Assert(t, refuse, qt.Equals, test.refuse)
			qt.Assert(t, roomIn > 0, qt.Equals, test.refuse)
			qt.Assert(t, roomIn <= objective/maxRoomDivisor, qt.IsTrue)
		})
	}
}
