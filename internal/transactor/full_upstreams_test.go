package transactor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// sentBatch is a batch that reached an upstream's owner.
type sentBatch struct {
	upstream string
	limits   connector.Limits
}

// fullService returns a request for a service whose upstreams "p", the primary, and
// "r" refuse as refuse says, and the batches that are sent.
func fullService(load func(upstream, organisation string) (queuer.Load, time.Duration), refuse func(upstream string, limits connector.Limits) *connector.QueueError) (*request, *[]sentBatch) {
	upstreams := map[string]keeper.Upstream{}
	for _, id := range []string{"p", "r"} {
		upstreams[id] = keeper.Upstream{ID: id, Service: "s", Lifecycle: keeper.LifecycleReady, Slots: 4}
	}
	route := keeper.Route{Name: "main", Service: "s", Consistency: keeper.ConsistencyBounded, Timeout: 8 * time.Second, TargetLatency: 1200 * time.Millisecond, MaxStaleness: time.Minute}
	view := &keeper.View{Primaries: map[string]string{"s": "p"}, Upstreams: upstreams}
	view.BuildServiceIndex()
	changed := make(chan struct{})
	sent := &[]sentBatch{}
	now := time.Now()
	tracked := &UpstreamTracker{Now: time.Now}
	tracked.Update(upstreams)
	tracked.AddSample("s", now, tracker.Position{Term: 1, Offset: 1})
	server := &Server{
		Upstreams: tracked, Now: time.Now, Load: load, Random: func() float64 { return 0 },
		View: func() (*keeper.View, <-chan struct{}) { return view, changed },
		Lease: func(u keeper.Upstream, _ string) *connector.Lease {
			run := func(_ context.Context, limits connector.Limits, _ connector.Batch) ([]connector.Answer, error) {
				*sent = append(*sent, sentBatch{u.ID, limits})
				if e := refuse(u.ID, limits); e != nil {
					return nil, &connector.RunError{Err: e}
				}
				return []connector.Answer{{Position: tracker.Position{Term: 1, Offset: 1}}}, nil
			}
			return &connector.Lease{Upstream: u.ID, Run: run, Release: func() {}}
		},
	}
	r := &request{
		session: &session{server: server}, statement: Statement{Verb: VerbRead, ID: "1", Text: "READ x"}, route: route, organisation: "o",
		arrived: now, startedAt: now, deadline: now.Add(route.Timeout), reads: true,
	}
	return r, sent
}

// A read that both upstreams would keep waiting was refused, and its caller repeated
// the whole operation although it had time left.
func TestReadSettlesForTheShortestQueue(t *testing.T) {
	wait := map[string]time.Duration{"p": 600 * time.Millisecond, "r": 500 * time.Millisecond}
	r, sent := fullService(nil, func(upstream string, limits connector.Limits) *connector.QueueError {
		if limits.Patient {
			return nil
		}
		return &connector.QueueError{Upstream: upstream, ExpectedWait: wait[upstream], MayWait: true}
	})
	out := r.readReplica(t.Context())
	qt.Assert(t, out.refusal == nil, qt.IsTrue)
	qt.Assert(t, *sent, qt.HasLen, 3)
	for _, batch := range (*sent)[:2] {
		qt.Assert(t, batch.limits.MaxWait, qt.Equals, 400*time.Millisecond)
	}
	last := (*sent)[2]
	qt.Assert(t, last.upstream, qt.Equals, "r")
	qt.Assert(t, last.limits.MaxWait, qt.Equals, time.Duration(0))
	qt.Assert(t, last.limits.AnswerWithin > 900*time.Millisecond && last.limits.AnswerWithin <= 1050*time.Millisecond, qt.IsTrue, qt.Commentf("%s", last.limits.AnswerWithin))
}

// A read that may wait nowhere must not be sent again.
func TestReadIsRefusedWhenAllQueuesAreTooLong(t *testing.T) {
	r, sent := fullService(nil, func(upstream string, _ connector.Limits) *connector.QueueError {
		return &connector.QueueError{Upstream: upstream, ExpectedWait: 5 * time.Second, RoomIn: 180 * time.Millisecond}
	})
	out := r.readReplica(t.Context())
	qt.Assert(t, out.refusal.Reason, qt.Equals, refuser.ReasonPoolFull)
	qt.Assert(t, out.refusal.Verdict, qt.Equals, refuser.NotRun)
	qt.Assert(t, out.refusal.RetryAfter, qt.Equals, 180*time.Millisecond)
	qt.Assert(t, *sent, qt.HasLen, 2)
}

// A write waits at the primary, the only upstream that can run it.
func TestWriteWaitsAtThePrimary(t *testing.T) {
	r, sent := fullService(nil, func(string, connector.Limits) *connector.QueueError { return nil })
	r.reads, r.writes, r.statement.Verb = false, true, VerbWrite
	qt.Assert(t, r.write(t.Context()).refusal == nil, qt.IsTrue)
	qt.Assert(t, *sent, qt.HasLen, 1)
	qt.Assert(t, (*sent)[0].limits.Patient, qt.IsTrue)
	qt.Assert(t, (*sent)[0].limits.MaxWait, qt.Equals, time.Duration(0))
}

// A host asked the next upstream after a refusal although it knew that it was full too.
func TestLoadReportsSpareTheWayToFullQueues(t *testing.T) {
	long := queuer.Load{Slots: 4, Queued: 2000, MeanServiceTime: 20 * time.Millisecond}
	for _, test := range []struct {
		name  string
		loads map[string]queuer.Load
		age   time.Duration
		write bool
		sent  []string
	}{
		{"all full", map[string]queuer.Load{"p": long, "r": long}, 0, false, nil},
		{"primary full", map[string]queuer.Load{"p": long, "r": long}, 0, true, nil},
		{"one full", map[string]queuer.Load{"r": long}, 0, false, []string{"p"}},
		{"old reports", map[string]queuer.Load{"p": long, "r": long}, time.Second, true, []string{"p"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			load := func(upstream, organisation string) (queuer.Load, time.Duration) {
				qt.Check(t, organisation, qt.Equals, "o")
				return test.loads[upstream], test.age
			}
			r, sent := fullService(load, func(string, connector.Limits) *connector.QueueError { return nil })
			run := r.readReplica
			if test.write {
				r.reads, r.writes, r.statement.Verb = false, true, VerbWrite
				run = r.write
			}
			out := run(t.Context())
			var to []string
			for _, batch := range *sent {
				to = append(to, batch.upstream)
			}
			qt.Assert(t, to, qt.DeepEquals, test.sent)
			if test.sent != nil {
				qt.Assert(t, out.refusal == nil, qt.IsTrue)
				return
			}
			qt.Assert(t, out.refusal.Reason, qt.Equals, refuser.ReasonPoolFull)
			qt.Assert(t, out.refusal.Verdict, qt.Equals, refuser.NotRun)
			qt.Assert(t, out.refusal.RetryAfter > 0, qt.IsTrue)
		})
	}
}
