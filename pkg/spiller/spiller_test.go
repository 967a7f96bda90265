package spiller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	roundTripFar = 60 * time.Millisecond
	price        = 90 * time.Millisecond
)

// run lets a spiller decide each 20 ms for a time and returns the last fraction.
func run(s *Spiller, now *time.Time, d time.Duration, sites Sites) float64 {
	share := 0.0
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(20 * time.Millisecond)
		share = s.Share("s", *now, sites)
	}
	return share
}

func TestReadsLeaveOnlyWhileTheQueueIsLonger(t *testing.T) {
	var s Spiller
	now := time.Unix(1000, 0)
	sites := Sites{NearWait: 20 * time.Millisecond, FarWait: 10 * time.Millisecond, RoundTrip: roundTripFar, Price: price, FarRoom: 0.8, FarKnown: true}
	qt.Assert(t, run(&s, &now, time.Second, sites), qt.Equals, 0.0)
	sites.NearWait = 150 * time.Millisecond
	qt.Assert(t, run(&s, &now, time.Second, sites), qt.Equals, 0.0, qt.Commentf("the queue is no longer than the way"))
	sites.NearWait = 400 * time.Millisecond
	first := run(&s, &now, 100*time.Millisecond, sites)
	qt.Assert(t, first > 0 && first < 0.3, qt.IsTrue, qt.Commentf("%.2f after 100 ms", first))
	qt.Assert(t, run(&s, &now, time.Second, sites), qt.Equals, 0.8, qt.Commentf("no more than there is room"))
	sites.NearWait = 20 * time.Millisecond
	qt.Assert(t, run(&s, &now, time.Second, sites), qt.Equals, 0.0)
}

// The reads that leave shorten the queue at home. If they all returned at once, the
// queue would grow again, and so on.
func TestReadsDoNotOscillate(t *testing.T) {
	var s Spiller
	now := time.Unix(1000, 0)
	// The queue of the region is in proportion to the fraction that stays.
	wait := func(share float64) time.Duration { return time.Duration(float64(500*time.Millisecond) * (1 - share)) }
	share, turns, rising := 0.0, 0, true
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		next := s.Share("s", now, Sites{NearWait: wait(share), FarWait: 10 * time.Millisecond, RoundTrip: roundTripFar, Price: price, FarRoom: 1, FarKnown: true})
		if next != share && (next > share) != rising {
			turns++
			rising = !rising
		}
		share = next
	}
	qt.Assert(t, turns <= 1, qt.IsTrue, qt.Commentf("%d turns", turns))
	qt.Assert(t, share > 0.4 && share < 0.9, qt.IsTrue, qt.Commentf("%.2f", share))
}

// Without reports the upstreams elsewhere may be as busy as those of the region.
func TestFewReadsLeaveForTheUnknown(t *testing.T) {
	var s Spiller
	now := time.Unix(1000, 0)
	sites := Sites{NearWait: time.Second, RoundTrip: roundTripFar, Price: price}
	qt.Assert(t, run(&s, &now, time.Second, sites), qt.Equals, unknownShare)
	sites.FarKnown, sites.FarRoom = true, 0.5
	qt.Assert(t, run(&s, &now, time.Second, sites), qt.Equals, 0.5)
	sites.FarRoom = 0
	qt.Assert(t, run(&s, &now, time.Second, sites), qt.Equals, 0.0, qt.Commentf("full elsewhere"))
	s.Retain(func(string) bool { return false })
	qt.Assert(t, s.services, qt.HasLen, 0)
}

// A pause must not count as time in which the queue was long.
func TestPauseChangesLittle(t *testing.T) {
	var s Spiller
	now := time.Unix(1000, 0)
	sites := Sites{NearWait: time.Second, RoundTrip: roundTripFar, Price: price, FarRoom: 1, FarKnown: true}
	s.Share("s", now, sites)
	qt.Assert(t, s.Share("s", now.Add(time.Hour), sites) <= 0.2, qt.IsTrue)
}

// A round trip that includes the opening of a link must not make a data centre look
// far, and one that has become longer must be noticed.
func TestRoundTrips(t *testing.T) {
	var r RoundTrips
	now := time.Unix(1000, 0)
	_, ok := r.Of("b1")
	qt.Assert(t, ok, qt.IsFalse)
	for _, d := range []time.Duration{180, 61, 75} {
		r.Record("b1", now, d*time.Millisecond)
	}
	got, _ := r.Of("b1")
	qt.Assert(t, got, qt.Equals, 61*time.Millisecond)
	for range 30 {
		now = now.Add(time.Second)
		r.Record("b1", now, 90*time.Millisecond)
	}
	got, _ = r.Of("b1")
	qt.Assert(t, got, qt.Equals, 90*time.Millisecond)
}
