package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	floor := tracker.Position{Term: 2, Offset: 50}
	at := func(offset uint64) tracker.Position { return tracker.Position{Term: 2, Offset: offset} }
	near := Candidate{ID: "near", Distance: DistanceDataCentre, Position: at(60), Slots: 5}
	region := Candidate{ID: "region", Distance: DistanceRegion, Position: at(60), Slots: 5}
	far := Candidate{ID: "far", Distance: DistanceFar, Position: at(60), Slots: 5}
	tests := []struct {
		name   string
		change func(near, region, far *Candidate)
		want   string
	}{
		{"nearest", func(_, _, _ *Candidate) {}, "near"},
		{"nearest is busy", func(n, _, _ *Candidate) { n.InFlight = 10 }, "region"},
		{"nearest is the primary and busy", func(n, _, _ *Candidate) { n.Primary, n.InFlight = true, 3 }, "region"},
		{"nearest does not answer", func(n, _, _ *Candidate) { n.Suspect = true }, "region"},
		{"nearest refused a lower floor", func(n, _, _ *Candidate) {
			n.Position, n.LaggedFloor, n.LaggedUntil = at(40), at(45), now.Add(time.Millisecond)
		}, "region"},
		{"nearest refused a higher floor", func(n, _, _ *Candidate) {
			n.Position, n.LaggedFloor, n.LaggedUntil = at(49), at(55), now.Add(time.Millisecond)
		}, "near"},
		{"the refusal has expired", func(n, _, _ *Candidate) {
			n.Position, n.LaggedFloor, n.LaggedUntil = at(49), at(45), now
		}, "near"},
		{"moderate load is not balanced between regions", func(n, r, _ *Candidate) { n.InFlight, r.InFlight = 8, 8 }, "near"},
		{"another one in the region keeps the connections", func(n, _, _ *Candidate) { n.Affinity = 1 }, "region"},
		{"the one that keeps the connections is slower than an opening", func(n, r, _ *Candidate) { n.Affinity, r.InFlight = 1, 10 }, "near"},
		{"only the far one keeps connections", func(n, r, _ *Candidate) { n.Affinity, r.Affinity = 1, 2 }, "far"},
		{"only the far one keeps connections and is slow", func(n, r, f *Candidate) { n.Affinity, r.Affinity, f.InFlight = 1, 2, 20 }, "near"},
		{"the far one that keeps connections does not answer", func(n, r, f *Candidate) { n.Affinity, r.Affinity, f.Suspect = 1, 2, true }, "near"},
		{"all are equally bad", func(n, r, f *Candidate) { n.Affinity, r.Affinity, f.Affinity = 1, 1, 1 }, "near"},
		{"the owner of the nearest reports a queue", func(n, _, _ *Candidate) { n.Load = queuer.Load{Running: 4, Queued: 4} }, "region"},
		{"the report of a queue is old", func(n, _, _ *Candidate) {
			n.Load, n.LoadAge = queuer.Load{Running: 4, Queued: 4}, 2*freshReportAge
		}, "near"},
		{"the report of an idle upstream is old", func(n, _, _ *Candidate) {
			n.InFlight, n.Load, n.LoadAge = 10, queuer.Load{Slots: 5}, 2*freshReportAge
		}, "region"},
		{"the owner reports long statements", func(n, _, _ *Candidate) { n.Load = queuer.Load{MeanServiceTime: 100 * time.Millisecond} }, "region"},
		{"connections are being opened", func(n, _, _ *Candidate) { n.Load = queuer.Load{Opening: 4} }, "region"},
		{"one that keeps no connections has one", func(n, _, _ *Candidate) { n.Affinity, n.Load = 1, queuer.Load{HasIdle: true} }, "near"},
		{"the region is measured to be far", func(n, r, _ *Candidate) { n.InFlight, r.RoundTrip = 10, 40*time.Millisecond }, "near"},
		{"another region is measured to be near", func(n, r, f *Candidate) {
			n.InFlight, r.InFlight, f.RoundTrip = 40, 40, 20*time.Millisecond
		}, "far"},
		{"the read is held in the region", func(n, r, f *Candidate) {
			n.InFlight, r.InFlight, f.RoundTrip, f.Held = 45, 40, 20*time.Millisecond, true
		}, "region"},
		{"a held read finds no other upstream", func(n, r, f *Candidate) { n.Suspect, r.Suspect, f.Held = true, true, true }, "far"},
		{"a held read whose organisation is placed elsewhere", func(n, r, f *Candidate) { n.Affinity, r.Affinity, f.Held = 1, 2, true }, "far"},
		{"only the far upstream answers", func(n, r, _ *Candidate) { n.Suspect, r.Suspect = true, true }, "far"},
		{"no upstream answers", func(n, r, f *Candidate) { n.Suspect, r.Suspect, f.Suspect = true, true, true }, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n, r, f := near, region, far
			test.change(&n, &r, &f)
			candidates := []Candidate{f, r, n}
			got := ""
			if i := Choose(floor, now, candidates); i >= 0 {
				got = candidates[i].ID
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// All hosts receive a report that one upstream is idle while the others have a
// queue. If all went there, its queue would be the longest at the next report.
func TestHostsSpreadOverTheSameReports(t *testing.T) {
	const hosts = 80
	rnd := rand.New(rand.NewPCG(1, 1))
	chosen := map[string]int{}
	for range hosts {
		candidates := []Candidate{
			{ID: "idle", Distance: DistanceRegion, Load: queuer.Load{Slots: 4, Running: 1, MeanServiceTime: defaultService}, Slots: 4},
			{ID: "busy", Distance: DistanceRegion, Load: queuer.Load{Slots: 4, Running: 4, Queued: 8, MeanServiceTime: defaultService}, Slots: 4},
			{ID: "busier", Distance: DistanceRegion, Load: queuer.Load{Slots: 4, Running: 4, Queued: 16, MeanServiceTime: defaultService}, Slots: 4},
		}
		chosen[candidates[ChooseSpread(tracker.Position{}, time.Time{}, candidates, rnd.Float64())].ID]++
	}
	qt.Assert(t, chosen["idle"] > hosts/2, qt.IsTrue, qt.Commentf("%v", chosen))
	qt.Assert(t, chosen["busy"] > hosts/10, qt.IsTrue, qt.Commentf("%v", chosen))
	qt.Assert(t, chosen["busier"], qt.Equals, 0)
}

// Chance must not send reads away from an upstream that is not busy: to another
// data centre, to another region, or to one that must open a connection.
func TestSpreadingKeepsReadsNear(t *testing.T) {
	idle := queuer.Load{Slots: 4, Running: 1, MeanServiceTime: defaultService}
	near := Candidate{ID: "near", Distance: DistanceDataCentre, Load: idle, Slots: 4}
	for name, other := range map[string]Candidate{
		"far":     {ID: "other", Distance: DistanceFar, Load: idle, Slots: 4},
		"opening": {ID: "other", Distance: DistanceDataCentre, Load: idle, Slots: 4, Affinity: 1},
		"unknown": {ID: "other", Distance: DistanceDataCentre, Slots: 4, InFlight: 1},
	} {
		qt.Assert(t, ChooseSpread(tracker.Position{}, time.Time{}, []Candidate{other, near}, 0), qt.Equals, 1, qt.Commentf("%s", name))
	}
}

// Operators tell by the reason whether reads leave because of placement, load, or
// upstreams that do not answer.
func TestReasonOf(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name       string
		near, far  Candidate
		chosen     int
		wantReason Reason
	}{
		{"near", Candidate{}, Candidate{}, 0, ReasonNear},
		{"near without connections", Candidate{Affinity: 1}, Candidate{}, 1, ReasonPlacement},
		{"near does not answer", Candidate{Suspect: true, Affinity: 1}, Candidate{}, 1, ReasonOnly},
		{"near is busy", Candidate{}, Candidate{}, 1, ReasonLoad},
		{"near is busy and has connections", Candidate{}, Candidate{Affinity: 1}, 1, ReasonLoad},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.near.Distance, test.far.Distance = DistanceDataCentre, DistanceFar
			qt.Assert(t, ReasonOf(tracker.Position{}, now, []Candidate{test.near, test.far}, test.chosen), qt.Equals, test.wantReason)
		})
	}
}

// Reads must not leave for upstreams that no report shows to have room.
func TestSites(t *testing.T) {
	near := Candidate{Distance: DistanceRegion, Slots: 4, InFlight: 3, MeanServiceTime: 20 * time.Millisecond}
	far := Candidate{Distance: DistanceFar, Slots: 4, RoundTrip: 60 * time.Millisecond, MeanServiceTime: 20 * time.Millisecond}
	_, ok := Sites([]Candidate{near})
	qt.Assert(t, ok, qt.IsFalse)
	sites, ok := Sites([]Candidate{near, far})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, sites.FarKnown, qt.IsFalse)
	qt.Assert(t, sites.RoundTrip, qt.Equals, 60*time.Millisecond)
	qt.Assert(t, sites.NearWait, qt.Equals, 20*time.Millisecond+regionCost)
	far.Load = queuer.Load{Slots: 4, Running: 3}
	sites, _ = Sites([]Candidate{near, far})
	qt.Assert(t, sites.FarKnown, qt.IsTrue)
	qt.Assert(t, sites.FarRoom, qt.Equals, 0.25)
}
