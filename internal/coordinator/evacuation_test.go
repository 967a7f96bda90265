package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// newSpreadFleet starts control hosts and a service with the primary p in data centre 1
// and the replicas r1 in 2 and r2, which is behind, in 3.
func newSpreadFleet(t *testing.T, primaryLease bool) *controlFleet {
	f := newControlFleetWith(t, &controlFleet{primaryLease: primaryLease, upstreams: &scriptedUpstreams{statuses: map[string]connector.ReplicationStatus{}}})
	f.configure(1)
	f.upstreams.set("p", true, 3, 100)
	f.upstreams.set("r1", false, 3, 100)
	f.upstreams.set("r2", false, 3, 90)
	f.announceSpread("p", keeper.RolePrimary, 1)
	f.announceSpread("r1", keeper.RoleReplica, 1)
	f.announceSpread("r2", keeper.RoleReplica, 1)
	return f
}

// announceSpread records an announcement of an upstream in its data centre.
func (f *controlFleet) announceSpread(id string, role keeper.Role, sequence uint64) {
	f.onLeader("the announcement of "+id, func(ctx context.Context, h *controlHost) error {
		return h.RecordAnnouncement(ctx, keeper.Upstream{
			ID: id, Service: "s", Address: id + ":1", DataCentre: map[string]string{"p": "1", "r1": "2", "r2": "3"}[id],
			Lifecycle: keeper.LifecycleReady, Role: role, Sequence: sequence,
		})
	})
}

// onLeader repeats a call until the leader has acknowledged it.
func (f *controlFleet) onLeader(what string, call func(ctx context.Context, h *controlHost) error) {
	waitFor(f.t, what, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return call(ctx, f.hosts[f.leader()]) == nil
	})
}

// awaitRequest returns the next promotion request. It announces replicas meanwhile: silent
// ones are no candidates, and a busy machine may take long.
func (f *controlFleet) awaitRequest(replicas ...string) PromotionRequest {
	for sequence := uint64(100); ; sequence++ {
		select {
		case r := <-f.promotionRequests:
			return r
		case <-time.After(time.Second):
			for _, id := range replicas {
				f.announceSpread(id, keeper.RoleReplica, sequence)
			}
		}
	}
}

func (f *controlFleet) evacuate(dataCentre string) {
	f.onLeader("the evacuation of "+dataCentre, func(ctx context.Context, h *controlHost) error { return h.Evacuate(ctx, dataCentre) })
}

func (f *controlFleet) endEvacuation(dataCentre string) {
	f.onLeader("the end of the evacuation of "+dataCentre, func(ctx context.Context, h *controlHost) error { return h.EndEvacuation(ctx, dataCentre) })
}

func TestPrimaryLeavesAnEvacuatedDataCentre(t *testing.T) {
	for _, primaryLease := range []bool{false, true} {
		f := newSpreadFleet(t, primaryLease)
		f.noRequest(2 * decisionInterval)
		f.evacuate("1")
		qt.Assert(t, f.awaitRequest("r1", "r2").Candidate, qt.Equals, "r1")
		f.upstreams.set("r1", true, 4, 100)
		f.announceSpread("r1", keeper.RolePrimary, 2)
		f.evacuate("1")
		f.endEvacuation("1")
		// Primaries stay where they are.
		f.noRequest(5 * decisionInterval)
	}
}

// A candidate of the evacuated data centre would be replaced again, or serve nobody.
func TestSecondEvacuationLeavesTheRemainingCandidates(t *testing.T) {
	f := newSpreadFleet(t, false)
	f.evacuate("2")
	f.noRequest(5 * decisionInterval)
	f.upstreams.set("r2", false, 3, 100)
	f.evacuate("1")
	first := f.awaitRequest("r1", "r2")
	qt.Assert(t, first.Candidate, qt.Equals, "r2")
	f.upstreams.set("r2", true, 4, 100)
	f.announceSpread("r2", keeper.RolePrimary, 2)
	f.endEvacuation("2")
	f.upstreams.set("r1", false, 4, 100)
	f.evacuate("3")
	second := f.awaitRequest("r1")
	qt.Assert(t, second.Candidate, qt.Equals, "r1")
	qt.Assert(t, second.Token > first.Token, qt.IsTrue)
}

// The second data centre is evacuated while hosts still let go of the primary: the platform
// must not be asked for the candidate there.
func TestCandidateEvacuatedDuringAHandOverIsGivenUp(t *testing.T) {
	f := newSpreadFleet(t, true)
	f.upstreams.set("r2", false, 3, 100)
	h := f.startLeaseHolder()
	f.announceSpread("r1", keeper.RoleReplica, 2)
	f.announceSpread("r2", keeper.RoleReplica, 2)
	f.evacuate("1")
	waitFor(t, "the decision", func() bool { view, _ := h.View(); return view.PromotionCandidate("s") == "r1" })
	f.evacuate("2")
	h.mayRelease.Store(true)
	h.ReportNow()
	qt.Assert(t, f.awaitRequest("r1", "r2").Candidate, qt.Equals, "r2")
}

// Without a candidate elsewhere the primary stays, and the leader says why.
func TestPrimaryStaysWithoutACandidateElsewhere(t *testing.T) {
	f := newSpreadFleet(t, false)
	f.evacuate("2")
	f.evacuate("3")
	f.evacuate("1")
	waitFor(t, "a decision without a candidate", f.undecided)
	f.noRequest(5 * decisionInterval)
	f.endEvacuation("3")
	f.upstreams.set("r2", false, 3, 100)
	qt.Assert(t, f.awaitRequest("r1", "r2").Candidate, qt.Equals, "r2")
}

// A candidate that is behind a primary that goes on lacks acknowledged commits: it is
// waited for, however long that takes.
func TestEvacuatedPrimaryIsNotReplacedByACandidateBehindIt(t *testing.T) {
	for _, primaryLease := range []bool{false, true} {
		f := newSpreadFleet(t, primaryLease)
		f.evacuate("2")
		f.evacuate("1")
		for sequence := uint64(2); sequence < 5; sequence++ {
			f.noRequest(time.Second)
			f.announceSpread("r2", keeper.RoleReplica, sequence)
		}
		f.upstreams.set("r2", false, 3, 100)
		qt.Assert(t, f.awaitRequest("r1", "r2").Candidate, qt.Equals, "r2")
	}
}

// The data centre may be lost after its evacuation. Nobody sends work there that would show
// it, and the hand-over must not wait for the former primary.
func TestEvacuatedPrimaryIsLostDuringItsHandOver(t *testing.T) {
	f := newSpreadFleet(t, true)
	f.upstreams.setSilent("p")
	f.evacuate("1")
	qt.Assert(t, f.awaitRequest("r1", "r2").Candidate, qt.Equals, "r1")
}

// The leader changes between the order and the hand-over.
func TestNextLeaderHandsOverOutOfAnEvacuatedDataCentre(t *testing.T) {
	f := newSpreadFleet(t, false)
	f.evacuate("2")
	f.evacuate("3")
	f.evacuate("1")
	waitFor(t, "a decision without a candidate", f.undecided)
	f.stop(f.leader())
	f.endEvacuation("2")
	qt.Assert(t, f.awaitRequest("r1", "r2").Candidate, qt.Equals, "r1")
}

// An order survives a loss of all processes, from the log and from a snapshot.
func TestEvacuationSurvivesALossOfAllProcesses(t *testing.T) {
	for _, configurations := range []uint64{0, compactEntries + 50} {
		f := newControlFleet(t)
		f.evacuate("1")
		for v := range configurations {
			f.configure(v + 1)
		}
		type stoppedHost struct{ node, dir, address string }
		var stoppedHosts []stoppedHost
		for node, h := range f.hosts {
			stoppedHosts = append(stoppedHosts, stoppedHost{node, h.dir, h.address})
		}
		for _, p := range stoppedHosts {
			f.stop(p.node)
		}
		for _, p := range stoppedHosts {
			f.start(p.node, listen(t, p.address), p.dir, true)
		}
		waitFor(t, "the order in the state of the leader", func() bool {
			status, ok := f.hosts[f.leader()].Status(context.Background())
			return ok && status.Evacuations == 1
		})
	}
}

// Hosts learn of an order with its age, and after a change of leader without: they would
// count the limit from then on.
func TestHostsLearnOfEvacuations(t *testing.T) {
	f := newControlFleet(t)
	f.configure(1)
	h := startEntryHostWith(t, "entry-1", f.founders, func(*testEntryHost) {})
	waitFor(t, "the lease", h.HoldsLease)
	begin := time.Now()
	f.evacuate("1")
	waitFor(t, "the order", func() bool { view, _ := h.View(); return view.Evacuations["1"] != 0 })
	view, _ := h.View()
	index := view.Evacuations["1"]
	age, known := view.EvacuationAges["1"]
	qt.Assert(t, known && age >= 0 && age <= time.Since(begin), qt.IsTrue, qt.Commentf("%s", age))
	f.evacuate("1")
	f.evacuate("2")
	waitFor(t, "the second order", func() bool { view, _ := h.View(); return view.Evacuations["2"] != 0 })
	view, _ = h.View()
	qt.Assert(t, view.Evacuations["1"], qt.Equals, index, qt.Commentf("a repeated order changes nothing"))
	f.endEvacuation("2")
	waitFor(t, "the revocation", func() bool { view, _ := h.View(); return len(view.Evacuations) == 1 })

	f.stop(f.leader())
	// A host that was partitioned meanwhile, or starts, learns of it with its first
	// topology.
	late := startEntryHostWith(t, "entry-2", f.founders, func(*testEntryHost) {})
	waitFor(t, "the order on a later host", func() bool { view, _ := late.View(); return view.Evacuations["1"] == index })
	view, _ = late.View()
	_, known = view.EvacuationAges["1"]
	qt.Assert(t, known, qt.IsFalse)
	waitFor(t, "the order after the change of leader", func() bool { view, _ := h.View(); return view.Evacuations["1"] == index })
}
