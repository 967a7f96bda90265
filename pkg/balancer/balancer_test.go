package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
