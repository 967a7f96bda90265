package sharer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

const lease = 10 * time.Second

func TestGrantsFollowDemandWithinTheRate(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Sharer{StartedAt: now, LeaseDuration: lease}
	s.HandleReport("h1", spender.Report{Demands: map[string]float64{"a": 10}}, now)
	n1, extras := s.Grant("h1", now)
	qt.Assert(t, math.Abs(extras["a"]-grantableFraction) < 1e-9, qt.IsTrue)

	// Nothing is free for a second host before the first has applied a smaller
	// grant.
	s.HandleReport("h2", spender.Report{Demands: map[string]float64{"a": 10}}, now)
	_, extras = s.Grant("h2", now)
	qt.Assert(t, extras, qt.HasLen, 0)

	s.HandleReport("h1", spender.Report{GrantNumber: n1, Demands: map[string]float64{"a": 10}}, now)
	n1, extras = s.Grant("h1", now)
	qt.Assert(t, math.Abs(extras["a"]-grantableFraction/2) < 1e-9, qt.IsTrue)
	_, extras = s.Grant("h2", now)
	qt.Assert(t, extras, qt.HasLen, 0, qt.Commentf("the first host may not have applied the smaller grant yet"))
	s.HandleReport("h1", spender.Report{GrantNumber: n1, Demands: map[string]float64{"a": 10}}, now)
	_, extras = s.Grant("h2", now)
	qt.Assert(t, math.Abs(extras["a"]-grantableFraction/2) < 1e-9, qt.IsTrue)
}

func TestHoldersOfWhatAnotherLacksAreTold(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Sharer{StartedAt: now, LeaseDuration: lease}
	s.HandleReport("h1", spender.Report{Demands: map[string]float64{"a": 10, "b": 1}}, now)
	s.Grant("h1", now)
	qt.Assert(t, s.OverAllocated("h1", now), qt.HasLen, 0)
	s.HandleReport("h2", spender.Report{Demands: map[string]float64{"a": 10}}, now)
	qt.Assert(t, s.OverAllocated("h2", now), qt.DeepEquals, []string{"h1"})
	n, _ := s.Grant("h1", now)
	qt.Assert(t, s.OverAllocated("h2", now), qt.HasLen, 0)
	s.HandleReport("h1", spender.Report{GrantNumber: n, Demands: map[string]float64{"a": 10}}, now)
	_, extras := s.Grant("h2", now)
	qt.Assert(t, math.Abs(extras["a"]-grantableFraction/2) < 1e-9, qt.IsTrue)
}

func TestGrantOfSilentHostIsFreeAfterItsLease(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Sharer{StartedAt: now, LeaseDuration: lease}
	s.HandleReport("h1", spender.Report{Demands: map[string]float64{"a": 10}}, now)
	s.Grant("h1", now)
	later := now.Add(lease + leaseMargin)
	s.HandleReport("h2", spender.Report{Demands: map[string]float64{"a": 10}}, later)
	_, extras := s.Grant("h2", later)
	qt.Assert(t, extras, qt.HasLen, 0)
	_, extras = s.Grant("h2", later.Add(time.Millisecond))
	qt.Assert(t, math.Abs(extras["a"]-grantableFraction) < 1e-9, qt.IsTrue)
}

func TestNewLeaderOnlyRenewsUntilAllHostsReported(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Sharer{StartedAt: now, LeaseDuration: lease, PendingHosts: map[string]bool{"h1": true, "h2": true}}
	s.HandleReport("h1", spender.Report{Demands: map[string]float64{"a": 10}, Extras: map[string]float64{"a": 0.2}}, now)
	_, extras := s.Grant("h1", now)
	qt.Assert(t, extras["a"], qt.Equals, 0.2)
	s.HandleReport("h2", spender.Report{}, now)
	_, extras = s.Grant("h1", now)
	qt.Assert(t, math.Abs(extras["a"]-grantableFraction) < 1e-9, qt.IsTrue)
}

// While a host is awaited, fractions move between the hosts that have reported,
// and no more than these held is granted.
func TestFractionsMoveWhileAHostIsAwaited(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Sharer{StartedAt: now, LeaseDuration: lease, PendingHosts: map[string]bool{"h1": true, "h2": true, "h3": true}}
	s.HandleReport("h1", spender.Report{Demands: map[string]float64{"a": 0.1}, Extras: map[string]float64{"a": 0.4}}, now)
	s.HandleReport("h2", spender.Report{Demands: map[string]float64{"a": 10}, Extras: map[string]float64{"a": 0.1}}, now)
	n, extras := s.Grant("h1", now)
	qt.Assert(t, extras["a"] < minGrant, qt.IsTrue)
	_, extras = s.Grant("h2", now)
	qt.Assert(t, math.Abs(extras["a"]-0.1) < 1e-9, qt.IsTrue, qt.Commentf("the first host may not have applied its grant yet"))
	s.HandleReport("h1", spender.Report{GrantNumber: n, Demands: map[string]float64{"a": 0.1}}, now)
	_, extras = s.Grant("h2", now)
	qt.Assert(t, math.Abs(extras["a"]-0.5) < 1e-9, qt.IsTrue, qt.Commentf("%v", extras))
	s.RemoveHost("h2")
	s.HandleReport("h2", spender.Report{Demands: map[string]float64{"a": 10}}, now)
	_, extras = s.Grant("h2", now)
	qt.Assert(t, math.Abs(extras["a"]-0.5) < 1e-9, qt.IsTrue, qt.Commentf("a restarted host gets what it held, %v", extras))
	s.HandleReport("h3", spender.Report{Extras: map[string]float64{"a": grantableFraction - 0.5}}, now)
	_, extras = s.Grant("h2", now)
	qt.Assert(t, math.Abs(extras["a"]-0.5) < 1e-9, qt.IsTrue, qt.Commentf("the third host holds the rest"))
}

// link delivers or drops a host's reports and grants.
type link struct {
	host        *spender.Spender
	partitioned bool
}

// TestNoWindowExceedsTheBound simulates hosts with changing demand, partitions
// and restarts under changing leaders. Together they must never admit more than
// the rate and the burst in any window, apart from what restarts add.
func TestNoWindowExceedsTheBound(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulateHosts(t, seed) })
	}
}

func simulateHosts(t *testing.T, seed uint64) {
	const (
		hosts  = 6
		step   = 20 * time.Millisecond
		window = 5 * time.Second
		rate   = 120.0
	)
	rnd := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	o := keeper.Organisation{Name: "a", Rate: rate, Burst: rate}
	all := map[string]bool{}
	links := make([]*link, hosts)
	for i := range links {
		links[i] = &link{host: &spender.Spender{Now: clock}}
		links[i].host.SetHostCount(hosts)
		all[fmt.Sprint(i)] = true
	}
	leader := Sharer{StartedAt: now, LeaseDuration: lease}
	var times []time.Time
	for tick := range int(60 * time.Second / step) {
		now = now.Add(step)
		if rnd.IntN(800) == 0 {
			awaited := map[string]bool{}
			for name := range all {
				awaited[name] = true
			}
			leader = Sharer{StartedAt: now, LeaseDuration: lease, PendingHosts: awaited}
		}
		for i, l := range links {
			if rnd.IntN(600) == 0 {
				l.partitioned = !l.partitioned
			}
			if tick%25 == i && !l.partitioned {
				leader.HandleReport(fmt.Sprint(i), l.host.Report(), now)
				sent := now
				n, extras := leader.Grant(fmt.Sprint(i), now)
				if rnd.IntN(5) > 0 {
					l.host.ApplyGrant(n, extras, sent.Add(lease))
				}
			}
			maxOperations := 2
			if int(now.Unix()/7)%hosts == i {
				maxOperations = 12
			}
			for range rnd.IntN(maxOperations + 1) {
				if l.host.Admit(o, 0).Admitted {
					times = append(times, now)
				}
			}
		}
	}
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		bound := (rate*window.Seconds()+rate)*1.1 + 20
		if got := float64(i - first + 1); got > bound {
			t.Fatalf("%v operations in %s up to %s, bound %v", got, window, at, bound)
		}
	}
}

// After a restart of all hosts one that stayed away left the others with their bases until
// a lease had passed: longer than a fleet may take to recover.
func TestOneHostThatStaysAwayDoesNotStopAFleet(t *testing.T) {
	for _, test := range []struct {
		hosts, away int
		min, max    float64
	}{{87, 1, 0.84, 0.86}, {87, 5, 0.44, 0.46}, {87, 20, 0, 0}, {6, 1, 0.44, 0.46}, {6, 2, 0, 0}, {6, 5, 0, 0}} {
		now := time.Unix(1000, 0)
		s := Sharer{StartedAt: now, LeaseDuration: lease}
		known := map[string]bool{}
		for i := range test.hosts {
			known[fmt.Sprint(i)] = true
		}
		s.AwaitHosts(known)
		sum := 0.0
		for i := range test.hosts - test.away {
			s.HandleReport(fmt.Sprint(i), spender.Report{Demands: map[string]float64{"a": 1}}, now)
		}
		for i := range test.hosts - test.away {
			_, extras := s.Grant(fmt.Sprint(i), now)
			sum += extras["a"]
		}
		qt.Check(t, sum >= test.min && sum <= test.max, qt.IsTrue, qt.Commentf("%d of %d hosts stay away: %v granted", test.away, test.hosts, sum))
	}
}
