package coordinator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// scriptedUpstreams answers queries for the status of upstreams.
type scriptedUpstreams struct {
	mu       sync.Mutex
	statuses map[string]connector.ReplicationStatus
	// applied holds the positions that busy upstreams show, by ID.
	applied map[string]tracker.Position
	// lostDemotions is how many more demotions get no answer; demotions counts all.
	lostDemotions, demotions int
	// onQuery is called with the ID of an upstream before it is queried, with mu held.
	onQuery func(id string)
}

func newStatus(primary bool, term, offset uint64) connector.ReplicationStatus {
	return connector.ReplicationStatus{Primary: primary, Term: term, ReceivedPosition: tracker.Position{Term: term, Offset: offset}}
}

func (s *scriptedUpstreams) set(id string, primary bool, term, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[id] = newStatus(primary, term, offset)
}

func (s *scriptedUpstreams) queryStatus(_ context.Context, u keeper.Upstream) (connector.ReplicationStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onQuery != nil {
		s.onQuery(u.ID)
	}
	if applied, ok := s.applied[u.ID]; ok {
		return connector.ReplicationStatus{}, &connector.BusyError{Upstream: u.ID, Applied: applied}
	}
	status, ok := s.statuses[u.ID]
	if !ok {
		return status, errors.New("no answer")
	}
	return status, nil
}

func (s *scriptedUpstreams) demote(_ context.Context, u keeper.Upstream, term uint64) (connector.ReplicationStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demotions++
	if s.lostDemotions > 0 {
		s.lostDemotions--
		return connector.ReplicationStatus{}, errors.New("answer lost")
	}
	status := s.statuses[u.ID]
	if status.Term < term {
		status.Primary, status.Term = false, term
	}
	s.statuses[u.ID] = status
	return status, nil
}

// newLeaseFleet starts control hosts on a platform that leaves replaced primaries in
// place, with a primary p and the replicas r1 and r2.
func newLeaseFleet(t *testing.T) *controlFleet {
	f := newControlFleetWith(t, &controlFleet{primaryLease: true, upstreams: &scriptedUpstreams{statuses: map[string]connector.ReplicationStatus{}}})
	f.configure(1)
	f.upstreams.set("p", true, 3, 100)
	f.upstreams.set("r1", false, 3, 100)
	f.upstreams.set("r2", false, 3, 90)
	f.announce("p", keeper.LifecycleReady, keeper.RolePrimary, 1)
	f.announce("r1", keeper.LifecycleReady, keeper.RoleReplica, 1)
	f.announce("r2", keeper.LifecycleReady, keeper.RoleReplica, 1)
	return f
}

// leaseHolder is an entry host that lets go of primaries only when it is told to.
type leaseHolder struct {
	*testEntryHost
	mayRelease atomic.Bool
}

func (f *controlFleet) startLeaseHolder() *leaseHolder {
	const name = "entry-1"
	h := &leaseHolder{}
	h.testEntryHost = startEntryHostWith(f.t, name, f.founders, func(e *testEntryHost) {
		e.ReleasedIndex = func(index uint64) uint64 {
			if view, _ := e.View(); view.PromotionCandidate("s") != "" && !h.mayRelease.Load() {
				return view.Promotions["s"].Token - 1
			}
			return index
		}
	})
	waitFor(f.t, "the lease of "+name, h.HoldsLease)
	return h
}

// noRequest checks that the platform is not asked within d.
func (f *controlFleet) noRequest(d time.Duration) {
	f.t.Helper()
	select {
	case r := <-f.promotionRequests:
		f.t.Fatalf("the platform was asked to promote %s", r.Candidate)
	case <-time.After(d):
	}
}

func TestPromotionWaitsForTheHostsThatMayActAtThePrimary(t *testing.T) {
	f := newLeaseFleet(t)
	h := f.startLeaseHolder()
	f.announce("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	waitFor(t, "the decision", func() bool { view, _ := h.View(); return view.PromotionCandidate("s") == "r1" })
	f.noRequest(primaryLease / 4)
	h.mayRelease.Store(true)
	h.ReportNow()
	qt.Assert(t, (<-f.promotionRequests).Candidate, qt.Equals, "r1")
	qt.Assert(t, h.HoldsLease(), qt.IsTrue, qt.Commentf("a host that lets go in time keeps its lease"))
}

func TestPromotionWaitsForTheLeaseOfASilentHost(t *testing.T) {
	f := newLeaseFleet(t)
	h := f.startLeaseHolder()
	h.stopRun()
	f.announce("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	// The lease is counted from a report that was sent earlier.
	waitFor(t, "the end of the lease", func() bool {
		select {
		case <-f.promotionRequests:
			t.Fatal("the platform was asked while a host may have acted at the primary")
		default:
		}
		return !h.HoldsLease()
	})
	qt.Assert(t, (<-f.promotionRequests).Candidate, qt.Equals, "r1")
}

// The next leader goes on with the decision, under a token of its own, and does not ask
// before the lease that the earlier one granted has been given back.
func TestLeaderChangesDuringAHandOver(t *testing.T) {
	f := newLeaseFleet(t)
	h := f.startLeaseHolder()
	f.announce("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	waitFor(t, "the decision", func() bool { view, _ := h.View(); return view.PromotionCandidate("s") == "r1" })
	view, _ := h.View()
	first := view.Promotions["s"].Token
	f.stop(f.leader())
	// r2 has overtaken r1 since, but the platform may carry out the first order.
	f.upstreams.set("r2", false, 3, 200)
	f.announce("r1", keeper.LifecycleReady, keeper.RoleReplica, 2)
	f.announce("r2", keeper.LifecycleReady, keeper.RoleReplica, 2)
	waitFor(t, "the next leader's decision", func() bool { view, _ := h.View(); return view.Promotions["s"].Token > first })
	if h.HoldsLease() {
		f.noRequest(0)
	}
	h.mayRelease.Store(true)
	h.ReportNow()
	request := <-f.promotionRequests
	qt.Assert(t, request.Candidate, qt.Equals, "r1")
	qt.Assert(t, request.Token > first, qt.IsTrue)
}

func TestPlannedChangeWaitsForTheCandidate(t *testing.T) {
	f := newLeaseFleet(t)
	f.upstreams.set("r1", false, 3, 95)
	f.announce("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	f.noRequest(catchUpTimeout / 2)
	f.upstreams.set("r1", false, 3, 100)
	qt.Assert(t, (<-f.promotionRequests).Candidate, qt.Equals, "r1")
}

// A demotion is repeated until the upstream announces itself as a replica, also when
// answers are lost. Until then it is no candidate: it would accept work too early.
func TestReplacedPrimaryIsDemotedBeforeItIsACandidate(t *testing.T) {
	f := newLeaseFleet(t)
	f.upstreams.lostDemotions = 2
	f.announce("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	<-f.promotionRequests
	f.upstreams.set("r1", true, 4, 100)
	f.announce("r1", keeper.LifecycleReady, keeper.RolePrimary, 2)
	f.announce("p", keeper.LifecycleReady, keeper.RolePrimary, 3)
	waitFor(t, "a third demotion", func() bool {
		f.upstreams.mu.Lock()
		defer f.upstreams.mu.Unlock()
		return f.upstreams.demotions >= 3 && !f.upstreams.statuses["p"].Primary
	})
	f.upstreams.set("p", false, 4, 300)
	f.announce("r1", keeper.LifecycleDraining, keeper.RolePrimary, 3)
	qt.Assert(t, (<-f.promotionRequests).Candidate, qt.Equals, "r2", qt.Commentf("p has not announced itself as a replica"))
}

// A former primary whose announcements arrive and that control itself cannot reach goes on
// taking itself for the primary. It is neither waited for nor believed.
func TestFormerPrimaryThatControlCannotReach(t *testing.T) {
	f := newLeaseFleet(t)
	f.upstreams.mu.Lock()
	delete(f.upstreams.statuses, "p")
	f.upstreams.lostDemotions = 1000
	f.upstreams.mu.Unlock()
	f.announce("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	qt.Assert(t, (<-f.promotionRequests).Candidate, qt.Equals, "r1")
	f.upstreams.set("r1", true, 4, 100)
	f.announce("r1", keeper.LifecycleReady, keeper.RolePrimary, 2)
	for sequence := uint64(3); sequence < 6; sequence++ {
		f.announce("p", keeper.LifecycleReady, keeper.RolePrimary, sequence)
	}
	waitFor(t, "repeated demotions", func() bool {
		f.upstreams.mu.Lock()
		defer f.upstreams.mu.Unlock()
		return f.upstreams.demotions >= 3
	})
	primary := make(chan string, 1)
	leader := f.hosts[f.leader()]
	qt.Assert(t, leader.submit(func() { primary <- leader.state.Primaries["s"] }), qt.IsTrue)
	qt.Assert(t, <-primary, qt.Equals, "r1")
}

// Two changes in series, the second back to the first primary once it was demoted: each
// waits for the hosts, under a higher token.
func TestHandOversInSeriesWaitForTheHosts(t *testing.T) {
	f := newLeaseFleet(t)
	h := f.startLeaseHolder()
	f.announce("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	waitFor(t, "the first decision", func() bool { view, _ := h.View(); return view.PromotionCandidate("s") == "r1" })
	f.noRequest(100 * time.Millisecond)
	h.mayRelease.Store(true)
	h.ReportNow()
	first := <-f.promotionRequests
	f.upstreams.set("r1", true, 4, 100)
	f.upstreams.set("r2", false, 4, 50)
	f.announce("r1", keeper.LifecycleReady, keeper.RolePrimary, 2)
	waitFor(t, "the demotion", func() bool {
		f.upstreams.mu.Lock()
		defer f.upstreams.mu.Unlock()
		return !f.upstreams.statuses["p"].Primary
	})
	f.upstreams.set("p", false, 4, 100)
	f.announce("p", keeper.LifecycleReady, keeper.RoleReplica, 3)
	h.mayRelease.Store(false)
	f.announce("r1", keeper.LifecycleDraining, keeper.RolePrimary, 3)
	waitFor(t, "the second decision", func() bool { view, _ := h.View(); return view.PromotionCandidate("s") == "p" })
	f.noRequest(100 * time.Millisecond)
	h.mayRelease.Store(true)
	h.ReportNow()
	second := <-f.promotionRequests
	qt.Assert(t, second.Candidate, qt.Equals, "p")
	qt.Assert(t, second.Token > first.Token, qt.IsTrue)
}
