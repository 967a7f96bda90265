package failoverplanner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

func newUpstreamHealth(id string, offset uint64, role keeper.Role) UpstreamHealth {
	return UpstreamHealth{
		Upstream: keeper.Upstream{ID: id, Lifecycle: keeper.LifecycleReady, Role: role}, ReachableHosts: 5,
		SinceAnnouncement: time.Second, Position: tracker.Position{Term: 2, Offset: offset},
	}
}

func newEvidence() Evidence {
	return Evidence{
		Service: "s", Primary: "p", LeaderFor: time.Minute,
		Upstreams: map[string]UpstreamHealth{
			"p": newUpstreamHealth("p", 100, keeper.RolePrimary), "a": newUpstreamHealth("a", 90, keeper.RoleReplica), "b": newUpstreamHealth("b", 95, keeper.RoleReplica),
		},
	}
}

// The primary p has failed. A commit is acknowledged once one of the replicas a and b, or
// two of a, b and c, have received it.
func TestDecideLosesNoCommitThatReplicasConfirmed(t *testing.T) {
	none, busy, status := ResponseNone, ResponseBusy, ResponseStatus
	tests := []struct {
		name         string
		syncReplicas int
		// a, b and c are the positions in the log, and the answers to the query.
		offsets   [3]uint64
		responses [3]Response
		want      string
	}{
		{"both told their positions", 1, [3]uint64{90, 95}, [3]Response{status, status}, "b"},
		{"the other has told, the best is busy", 1, [3]uint64{90, 95}, [3]Response{status, busy}, "b"},
		{"busy at the same position", 1, [3]uint64{90, 90}, [3]Response{status, busy}, "b"},
		{"the busy one may have more", 1, [3]uint64{95, 90}, [3]Response{status, busy}, ""},
		{"both are busy", 1, [3]uint64{95, 90}, [3]Response{busy, busy}, ""},
		{"the other is silent", 1, [3]uint64{95, 90}, [3]Response{status, none}, ""},
		{"the best is silent", 1, [3]uint64{90, 95}, [3]Response{status, none}, ""},
		{"both are silent", 1, [3]uint64{90, 95}, [3]Response{none, none}, ""},
		{"one of three is silent", 2, [3]uint64{90, 95, 80}, [3]Response{status, status, none}, "b"},
		{"two of three are silent", 2, [3]uint64{90, 95, 80}, [3]Response{status, none, none}, ""},
		{"nothing is confirmed, one is silent", 0, [3]uint64{90, 95}, [3]Response{status, none}, "a"},
		{"nothing is confirmed, one is busy", 0, [3]uint64{90, 95}, [3]Response{status, busy}, "b"},
		{"nothing is confirmed, both are silent", 0, [3]uint64{90, 95}, [3]Response{none, none}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := Evidence{Service: "s", Primary: "p", LeaderFor: time.Minute, SyncReplicas: test.syncReplicas, Queried: true}
			p := newUpstreamHealth("p", 100, keeper.RolePrimary)
			p.UnreachableHosts, p.ReachableHosts = 5, 0
			e.Upstreams = map[string]UpstreamHealth{"p": p}
			for i, id := range []string{"a", "b", "c"} {
				if test.offsets[i] == 0 {
					continue
				}
				s := newUpstreamHealth(id, test.offsets[i], keeper.RoleReplica)
				s.Response = test.responses[i]
				e.Upstreams[id] = s
			}
			qt.Assert(t, Decide(e).Candidate, qt.Equals, test.want)
		})
	}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		change func(e *Evidence, p, a, b *UpstreamHealth)
		want   string
	}{
		{"healthy", func(*Evidence, *UpstreamHealth, *UpstreamHealth, *UpstreamHealth) {}, ""},
		{"most hosts cannot connect", func(_ *Evidence, p, _, _ *UpstreamHealth) { p.UnreachableHosts, p.ReachableHosts = 3, 2 }, "b"},
		{"some hosts cannot connect", func(_ *Evidence, p, _, _ *UpstreamHealth) { p.UnreachableHosts, p.ReachableHosts = 2, 3 }, ""},
		{"one host cannot connect", func(_ *Evidence, p, _, _ *UpstreamHealth) { p.UnreachableHosts, p.ReachableHosts = 1, 0 }, ""},
		{"one host cannot connect, announcements missing", func(_ *Evidence, p, _, _ *UpstreamHealth) {
			p.UnreachableHosts, p.ReachableHosts, p.SinceAnnouncement = 1, 0, 4*time.Second
		}, "b"},
		{"most hosts cannot connect, others may still act there", func(e *Evidence, p, _, _ *UpstreamHealth) {
			p.UnreachableHosts, p.ReachableHosts, e.SilentHolders = 3, 0, 1
		}, ""},
		{"primary draining, a host is silent", func(e *Evidence, p, _, _ *UpstreamHealth) {
			p.Upstream.Lifecycle, e.SilentHolders, e.DrainingFor = keeper.LifecycleDraining, 1, 2*time.Second
		}, ""},
		{"primary has been draining for long, a host is silent", func(e *Evidence, p, _, _ *UpstreamHealth) {
			p.Upstream.Lifecycle, e.SilentHolders, e.DrainingFor = keeper.LifecycleDraining, 1, 3*time.Second
		}, "b"},
		{"primary draining, candidates are far behind", func(e *Evidence, p, a, b *UpstreamHealth) {
			p.Upstream.Lifecycle, e.DrainingFor, a.Lag, b.Lag = keeper.LifecycleDraining, time.Second, time.Second, time.Second
		}, ""},
		{"primary has been draining for long, candidates are far behind", func(e *Evidence, p, a, b *UpstreamHealth) {
			p.Upstream.Lifecycle, e.DrainingFor, a.Lag, b.Lag = keeper.LifecycleDraining, 3*time.Second, time.Second, time.Second
		}, "b"},
		{"unfinished promotion of an earlier leader", func(e *Evidence, _, _, _ *UpstreamHealth) { e.Unfinished = "a" }, "a"},
		{"unfinished promotion was rejected", func(e *Evidence, _, _, _ *UpstreamHealth) {
			e.Unfinished, e.Promotion = "a", &Promotion{Candidate: "a", Age: time.Second, Requested: true, Rejected: true}
		}, "b"},
		{"unfinished promotion waits for hosts", func(e *Evidence, _, _, _ *UpstreamHealth) {
			e.Unfinished, e.Promotion = "a", &Promotion{Candidate: "a", Age: time.Minute}
		}, ""},
		{"unfinished promotion, no other upstream is left", func(e *Evidence, _, a, b *UpstreamHealth) {
			e.Unfinished = "a"
			a.UnreachableHosts, a.ReachableHosts, b.Superseded = 5, 0, true
		}, "p"},
		{"candidate was replaced as primary and not demoted", func(_ *Evidence, p, _, b *UpstreamHealth) {
			p.UnreachableHosts, p.ReachableHosts, b.Superseded = 5, 0, true
		}, "a"},
		{"announcements missing", func(_ *Evidence, p, _, _ *UpstreamHealth) { p.SinceAnnouncement = time.Minute }, ""},
		{"primary draining", func(_ *Evidence, p, _, _ *UpstreamHealth) { p.Upstream.Lifecycle = keeper.LifecycleDraining }, "b"},
		{"primary draining, best candidate failed", func(_ *Evidence, p, _, b *UpstreamHealth) {
			p.Upstream.Lifecycle = keeper.LifecycleDraining
			b.UnreachableHosts, b.ReachableHosts = 4, 0
		}, "a"},
		{"primary and best candidate draining", func(_ *Evidence, p, _, b *UpstreamHealth) {
			p.Upstream.Lifecycle, b.Upstream.Lifecycle = keeper.LifecycleDraining, keeper.LifecycleDraining
		}, "a"},
		{"best candidate is in a region that a route excludes", func(_ *Evidence, p, _, b *UpstreamHealth) {
			p.Upstream.Lifecycle, b.ExcludedRoutes = keeper.LifecycleDraining, 1
		}, "a"},
		{"best candidate is in the region that fewer routes exclude", func(_ *Evidence, p, a, b *UpstreamHealth) {
			p.Upstream.Lifecycle, a.ExcludedRoutes, b.ExcludedRoutes = keeper.LifecycleDraining, 2, 1
		}, "b"},
		{"all candidates are in regions that a route excludes", func(_ *Evidence, p, a, b *UpstreamHealth) {
			p.Upstream.Lifecycle, a.ExcludedRoutes, b.ExcludedRoutes = keeper.LifecycleDraining, 1, 1
		}, "b"},
		{"candidate in a permitted region has failed", func(_ *Evidence, p, a, b *UpstreamHealth) {
			p.Upstream.Lifecycle, b.ExcludedRoutes = keeper.LifecycleDraining, 1
			a.UnreachableHosts, a.ReachableHosts = 4, 0
		}, "b"},
		{"no primary for a short time", func(e *Evidence, _, _, _ *UpstreamHealth) { e.Primary, e.WithoutPrimaryFor = "", time.Second }, ""},
		{"no primary for a long time", func(e *Evidence, _, _, _ *UpstreamHealth) {
			e.Primary, e.WithoutPrimaryFor = "", 3*time.Second
			delete(e.Upstreams, "p")
		}, "b"},
		{"no primary, new leader", func(e *Evidence, _, _, _ *UpstreamHealth) {
			e.Primary, e.WithoutPrimaryFor, e.LeaderFor = "", 3*time.Second, time.Second
		}, ""},
		{"promotion in progress", func(e *Evidence, p, _, _ *UpstreamHealth) {
			p.UnreachableHosts, p.ReachableHosts = 5, 0
			e.Promotion = &Promotion{Candidate: "b", Age: 5 * time.Second}
		}, ""},
		{"promotion accepted without effect", func(e *Evidence, p, _, _ *UpstreamHealth) {
			p.UnreachableHosts, p.ReachableHosts = 5, 0
			e.Promotion = &Promotion{Candidate: "b", Age: 6 * time.Second, SinceAccepted: 5 * time.Second}
		}, "b"},
		{"promotion rejected", func(e *Evidence, p, _, _ *UpstreamHealth) {
			p.UnreachableHosts, p.ReachableHosts = 5, 0
			e.Promotion = &Promotion{Candidate: "b", Age: time.Second, Rejected: true}
		}, "b"},
		{"candidate of the promotion failed", func(e *Evidence, p, _, b *UpstreamHealth) {
			p.UnreachableHosts, p.ReachableHosts, b.UnreachableHosts, b.ReachableHosts = 5, 0, 5, 0
			e.Promotion = &Promotion{Candidate: "b", Age: time.Second}
		}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEvidence()
			p, a, b := e.Upstreams["p"], e.Upstreams["a"], e.Upstreams["b"]
			e.Upstreams["p"], e.Upstreams["a"], e.Upstreams["b"] = p, a, b
			test.change(&e, &p, &a, &b)
			for id, s := range map[string]UpstreamHealth{"p": p, "a": a, "b": b} {
				if _, ok := e.Upstreams[id]; ok {
					e.Upstreams[id] = s
				}
			}
			qt.Assert(t, Decide(e).Candidate, qt.Equals, test.want)
		})
	}
}

// newSpreadEvidence has the primary p in data centre 1, a in 2 and b, which has received
// more, in 3. All but the given data centres can be used.
func newSpreadEvidence(evacuated ...string) Evidence {
	e := newEvidence()
	for id, dataCentre := range map[string]string{"p": "1", "a": "2", "b": "3"} {
		s := e.Upstreams[id]
		s.Upstream.DataCentre = dataCentre
		e.Upstreams[id] = s
	}
	e.Evacuated = map[string]bool{}
	for _, dataCentre := range evacuated {
		e.Evacuated[dataCentre] = true
	}
	return e
}

// No promotion may select a candidate in an evacuated data centre, for whatever reason it
// is made.
func TestNoCandidateInAnEvacuatedDataCentre(t *testing.T) {
	fail := func(e *Evidence, id string) {
		s := e.Upstreams[id]
		s.UnreachableHosts, s.ReachableHosts = 5, 0
		e.Upstreams[id] = s
	}
	tests := []struct {
		name      string
		evacuated []string
		change    func(e *Evidence)
		want      string
		planned   bool
		undecided bool
	}{
		{"primary's data centre", []string{"1"}, func(*Evidence) {}, "b", true, false},
		{"another data centre", []string{"3"}, func(*Evidence) {}, "", false, false},
		{"primary's and the best candidate's", []string{"1", "3"}, func(*Evidence) {}, "a", true, false},
		{"primary's, the best candidate fails", []string{"1"}, func(e *Evidence) { fail(e, "b") }, "a", true, false},
		{"all", []string{"1", "2", "3"}, func(*Evidence) {}, "", false, true},
		{"primary's, the others fail", []string{"1"}, func(e *Evidence) { fail(e, "a"); fail(e, "b") }, "", false, true},
		{"primary fails, the best candidate's data centre", []string{"3"}, func(e *Evidence) { fail(e, "p") }, "a", false, false},
		{"primary fails in its evacuated data centre", []string{"1"}, func(e *Evidence) { fail(e, "p") }, "b", false, false},
		{"no primary, the best candidate's data centre", []string{"3"}, func(e *Evidence) {
			e.Primary, e.WithoutPrimaryFor = "", 3*time.Second
			delete(e.Upstreams, "p")
		}, "a", false, false},
		{"no primary, all", []string{"1", "2", "3"}, func(e *Evidence) {
			e.Primary, e.WithoutPrimaryFor = "", 3*time.Second
			delete(e.Upstreams, "p")
		}, "", false, true},
		{"unfinished promotion in the evacuated data centre", []string{"3"}, func(e *Evidence) { e.Unfinished = "b" }, "a", false, false},
		{"unfinished promotion in a second evacuated data centre, the platform was not asked", []string{"1", "3"}, func(e *Evidence) {
			e.Unfinished, e.Promotion = "b", &Promotion{Candidate: "b", Age: time.Second}
		}, "a", true, false},
		{"promotion in a second evacuated data centre, the platform was asked", []string{"1", "3"}, func(e *Evidence) {
			e.Promotion = &Promotion{Candidate: "b", Age: time.Second, Requested: true}
		}, "", false, false},
		{"unfinished promotion, only the evacuated primary is left", []string{"1"}, func(e *Evidence) {
			e.Unfinished = "b"
			fail(e, "a")
			fail(e, "b")
		}, "", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newSpreadEvidence(test.evacuated...)
			test.change(&e)
			d := Decide(e)
			qt.Assert(t, d.Candidate, qt.Equals, test.want)
			qt.Assert(t, d.Planned, qt.Equals, test.planned)
			qt.Assert(t, d.Undecided != "", qt.Equals, test.undecided, qt.Commentf("%s", d.Undecided))
		})
	}
}

// The evacuated primary goes on, so that a hand-over need not lose what a candidate that
// is far behind lacks, however long that takes. A primary that ends does not wait so long.
func TestEvacuatedPrimaryWaitsForItsCandidate(t *testing.T) {
	e := newSpreadEvidence("1")
	e.DrainingFor, e.Queried = time.Hour, true
	for _, id := range []string{"a", "b"} {
		s := e.Upstreams[id]
		s.Lag = time.Second
		e.Upstreams[id] = s
	}
	qt.Assert(t, Decide(e).Candidate, qt.Equals, "")
	qt.Assert(t, Decide(e).Undecided, qt.Contains, "behind")
	p := e.Upstreams["p"]
	p.Upstream.Lifecycle = keeper.LifecycleDraining
	e.Upstreams["p"] = p
	qt.Assert(t, Decide(e).Candidate, qt.Equals, "b")
}

// A hand-over that was given up because its candidate fell behind is planned again: an
// unplanned change would not wait for the candidate.
func TestRepeatedHandOverOfAnEvacuatedPrimaryIsPlanned(t *testing.T) {
	e := newSpreadEvidence("1")
	e.Unfinished, e.Promotion = "b", &Promotion{Candidate: "b", Age: time.Second, Rejected: true}
	d := Decide(e)
	qt.Assert(t, d.Candidate, qt.Equals, "b")
	qt.Assert(t, d.Planned, qt.IsTrue)
}

// Where commits wait for replicas, one in the evacuated data centre may hold a commit that
// the candidates lack.
func TestReplicaInTheEvacuatedDataCentreMayHoldCommits(t *testing.T) {
	e := newSpreadEvidence("1")
	e.SyncReplicas, e.Queried = 1, true
	c := newUpstreamHealth("c", 99, keeper.RoleReplica)
	c.Upstream.DataCentre, c.Response = "1", ResponseStatus
	e.Upstreams["c"] = c
	for _, id := range []string{"a", "b"} {
		s := e.Upstreams[id]
		s.Response = ResponseStatus
		e.Upstreams[id] = s
	}
	qt.Assert(t, Decide(e).Candidate, qt.Equals, "")
	s := e.Upstreams["b"]
	s.Position.Offset = 99
	e.Upstreams["b"] = s
	qt.Assert(t, Decide(e).Candidate, qt.Equals, "b")
}
