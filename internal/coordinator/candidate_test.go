package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// newSyncFleet starts control hosts and a service whose commits are acknowledged once one
// of the replicas r1 and r2 of its primary p has received them. r2 lacks the last ones.
func newSyncFleet(t *testing.T) *controlFleet {
	f := newControlFleetWith(t, &controlFleet{upstreams: &scriptedUpstreams{statuses: map[string]connector.ReplicationStatus{}, applied: map[string]tracker.Position{}}})
	f.configureDocument(1, "1,1")
	f.upstreams.set("p", true, 3, 100)
	f.upstreams.set("r1", false, 3, 100)
	f.upstreams.set("r2", false, 3, 90)
	f.announce("p", keeper.LifecycleReady, keeper.RolePrimary, 1)
	f.announce("r1", keeper.LifecycleReady, keeper.RoleReplica, 1)
	f.announce("r2", keeper.LifecycleReady, keeper.RoleReplica, 1)
	return f
}

// setBusy makes an upstream too busy to report its status; it shows what it has applied.
func (s *scriptedUpstreams) setBusy(id string, term, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied[id] = tracker.Position{Term: term, Offset: offset}
}

func (s *scriptedUpstreams) setFree(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.applied, id)
}

// setSilent makes an upstream leave queries unanswered.
func (s *scriptedUpstreams) setSilent(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.statuses, id)
}

// endPrimary removes the primary p and keeps the replicas announced.
func (f *controlFleet) endPrimary() {
	f.upstreams.setSilent("p")
	waitFor(f.t, "the sign-off of p", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return f.hosts[f.leader()].RemoveUpstream(ctx, "p", 0) == nil
	})
}

// reannounce announces both replicas again.
func (f *controlFleet) reannounce(sequence uint64) {
	f.announce("r1", keeper.LifecycleReady, keeper.RoleReplica, sequence)
	f.announce("r2", keeper.LifecycleReady, keeper.RoleReplica, sequence)
}

// nextRequest returns the next promotion request, and announces the replicas meanwhile.
func (f *controlFleet) nextRequest() PromotionRequest {
	for sequence := uint64(10); ; sequence++ {
		select {
		case r := <-f.promotionRequests:
			return r
		case <-time.After(time.Second):
			f.reannounce(sequence)
		}
	}
}

// A replica that was once too busy to report its status was taken for an empty one: the
// other was promoted, and acknowledged commits were lost.
func TestBusyReplicaIsNotTakenForAnEmptyOne(t *testing.T) {
	f := newSyncFleet(t)
	f.upstreams.setBusy("r1", 3, 95)
	f.endPrimary()
	qt.Assert(t, f.nextRequest().Candidate, qt.Equals, "r1")
}

// What a busy replica has applied may be less than it has received: neither it nor the
// other is known to have all commits until it tells its position.
func TestPromotionWaitsForTheStatusOfABusyReplica(t *testing.T) {
	f := newSyncFleet(t)
	f.upstreams.setBusy("r1", 3, 85)
	f.endPrimary()
	waitFor(t, "a decision without a candidate", func() bool { return f.undecided() })
	f.noRequest(2 * requeryInterval)
	f.upstreams.setFree("r1")
	qt.Assert(t, f.nextRequest().Candidate, qt.Equals, "r1")
}

// A replica that does not answer at all may hold the commits that the other lacks.
func TestPromotionWaitsForASilentReplica(t *testing.T) {
	f := newSyncFleet(t)
	f.upstreams.setSilent("r1")
	f.endPrimary()
	waitFor(t, "a decision without a candidate", func() bool { return f.undecided() })
	f.noRequest(2 * requeryInterval)
	f.upstreams.set("r1", false, 3, 100)
	qt.Assert(t, f.nextRequest().Candidate, qt.Equals, "r1")
}

// undecided reports whether the leader looked for a candidate of the service s and found
// none.
func (f *controlFleet) undecided() bool {
	leader := f.hosts[f.leader()]
	found := make(chan bool, 1)
	return leader.submit(func() {
		g := leader.leadership.services["s"]
		found <- g != nil && !g.undecidedLoggedAt.IsZero()
	}) && <-found
}

// A candidate that stops receiving while its primary hands over would lose what the
// primary commits meanwhile: the other replica is promoted.
func TestHandOverToADeafReplicaIsGivenUp(t *testing.T) {
	f := newSyncFleet(t)
	f.upstreams.set("r2", false, 3, 100)
	// With equal positions r1 is chosen; only then does the primary commit more.
	f.upstreams.onQuery = func(id string) {
		if id == "p" {
			f.upstreams.statuses["p"] = newStatus(true, 3, 120)
			f.upstreams.statuses["r2"] = newStatus(false, 3, 120)
		}
	}
	f.announce("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	qt.Assert(t, f.nextRequest().Candidate, qt.Equals, "r2")
}

// A primary that is too busy to report its status shows its position nevertheless: its
// candidate is waited for.
func TestPlannedChangeWaitsForTheCandidateOfABusyPrimary(t *testing.T) {
	f := newSyncFleet(t)
	f.configureDocument(2, "2,0")
	f.upstreams.set("r1", false, 3, 95)
	f.upstreams.setBusy("p", 3, 100)
	f.announce("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	f.noRequest(catchUpTimeout / 2)
	f.upstreams.set("r1", false, 3, 100)
	qt.Assert(t, f.nextRequest().Candidate, qt.Equals, "r1")
}
