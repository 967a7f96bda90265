package transactor

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/balancer"
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

// Reads must stay in the region until its queue has been longer than the way out, and
// only a fraction of them may leave at first.
func TestReadsAreHeldInTheRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	core, logs := observer.New(zap.InfoLevel)
	tracker := &UpstreamTracker{Now: func() time.Time { return now }, Log: logger.New(zap.New(core))}
	held := func(queued int, random float64) bool {
		now = now.Add(50 * time.Millisecond)
		candidates := []balancer.Candidate{
			{ID: "near", Distance: balancer.DistanceRegion, Slots: 4, Load: queuer.Load{Slots: 4, Running: 4, Queued: queued, MeanServiceTime: 20 * time.Millisecond}},
			{ID: "far", Distance: balancer.DistanceFar, Slots: 4, Load: queuer.Load{Slots: 4, Running: 1, MeanServiceTime: 20 * time.Millisecond}},
		}
		tracker.hold("s", candidates, random)
		qt.Assert(t, candidates[0].Held, qt.IsFalse)
		return candidates[1].Held
	}
	for range 20 {
		qt.Assert(t, held(2, 0), qt.IsTrue)
	}
	held(100, 0)
	qt.Assert(t, held(100, 0), qt.IsFalse)
	qt.Assert(t, held(100, 0.9), qt.IsTrue)
	for range 20 {
		held(100, 0)
	}
	qt.Assert(t, held(100, 0.7), qt.IsFalse)
	qt.Assert(t, held(100, 0.8), qt.IsTrue, qt.Commentf("a quarter of the slots elsewhere is taken"))
	qt.Assert(t, tracker.leavingShare("s"), qt.Equals, 0.75)
	// Operators see when reads begin and cease to leave, and not each read.
	for range 20 {
		held(0, 0)
	}
	qt.Assert(t, tracker.leavingShare("s"), qt.Equals, 0.0)
	lines := logs.FilterMessage(logger.EventReadsLeaveRegion.Name).All()
	qt.Assert(t, lines, qt.HasLen, 2)
	qt.Assert(t, lines[0].ContextMap()["leave"], qt.Equals, true)
	qt.Assert(t, lines[1].ContextMap()["leave"], qt.Equals, false)
	one := []balancer.Candidate{{ID: "far", Distance: balancer.DistanceFar}}
	tracker.hold("s", one, 1)
	qt.Assert(t, one[0].Held, qt.IsFalse, qt.Commentf("there is no other"))
}
