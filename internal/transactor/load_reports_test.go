package transactor

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

// A report must be known with its age, and an idle connection of one organisation
// must not count for another, nor for longer than it probably stays idle.
func TestLoadReports(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := &UpstreamTracker{Now: func() time.Time { return now }}
	tracker.RecordLoad("u", "a", queuer.Load{Slots: 4})
	load, age := tracker.Load("u", "a")
	qt.Assert(t, load, qt.Equals, queuer.Load{}, qt.Commentf("the upstream is unknown"))
	qt.Assert(t, age, qt.Equals, time.Duration(math.MaxInt64))
	tracker.Update(map[string]keeper.Upstream{"u": {ID: "u"}})
	_, age = tracker.Load("u", "a")
	qt.Assert(t, age, qt.Equals, time.Duration(math.MaxInt64), qt.Commentf("there is no report"))

	tracker.RecordLoad("u", "a", queuer.Load{Slots: 4, Running: 2, HasIdle: true})
	now = now.Add(300 * time.Millisecond)
	tracker.RecordLoad("u", "b", queuer.Load{Slots: 4, Running: 3, Queued: 7})
	now = now.Add(100 * time.Millisecond)
	load, age = tracker.Load("u", "a")
	qt.Assert(t, load, qt.Equals, queuer.Load{Slots: 4, Running: 3, Queued: 7, HasIdle: true})
	qt.Assert(t, age, qt.Equals, 100*time.Millisecond)
	load, _ = tracker.Load("u", "b")
	qt.Assert(t, load.HasIdle, qt.IsFalse)
	now = now.Add(200 * time.Millisecond)
	load, _ = tracker.Load("u", "a")
	qt.Assert(t, load.HasIdle, qt.IsFalse, qt.Commentf("reported too long ago"))

	tracker.Update(map[string]keeper.Upstream{"u": {ID: "u", IncarnationStart: 1}})
	_, age = tracker.Load("u", "a")
	qt.Assert(t, age, qt.Equals, time.Duration(math.MaxInt64), qt.Commentf("the upstream has restarted"))
}
