package transactor

import (
	"context"
	"errors"
	"time"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// noFloor accepts any position.
var noFloor = tracker.Position{}

// choosePrimary returns the upstream to use as the primary of the route's
// service, or false if none is available. The candidate of a running promotion
// is tried if the known primary refused or does not answer. If the known
// primary refused and there is no candidate, it returns one of the other
// upstreams: one that is not the primary refuses too, and nothing is executed.
func (r *request) choosePrimary(view *keeper.View, refusedBy map[string]bool) (keeper.Upstream, bool) {
	server := r.session.server
	if candidate := view.PromotionCandidate(r.route.Service); candidate != "" && server.Gate.holds(r.route.Service) {
		u := view.Upstreams[candidate]
		return u, !refusedBy[candidate] && !r.isUnusable(u)
	}
	u, ok := view.Upstreams[server.Upstreams.Primary(r.route.Service, view)]
	if ok && !refusedBy[u.ID] && !r.isUnusable(u) {
		return u, true
	}
	if candidate := view.PromotionCandidate(r.route.Service); candidate != "" && !refusedBy[candidate] {
		u = view.Upstreams[candidate]
		return u, !r.isUnusable(u)
	}
	if !ok || !refusedBy[u.ID] || server.Gate.isExclusive() {
		return u, false
	}
	for _, other := range view.ByService(r.route.Service) {
		if !refusedBy[other.ID] && !r.isUnusable(other) && r.mayRunAt(other) {
			return other, true
		}
	}
	return u, false
}

// withPrimary calls f with a lease of a connection to the primary until the
// outcome is not retryable or the statement's time is over.
func (r *request) withPrimary(ctx context.Context, f func(l *connector.Lease) outcome) outcome {
	server := r.session.server
	var last error
	refusedBy := map[string]bool{}
	defer func(settled bool) { r.settled = settled }(r.settled)
	r.settled = true
	for r.remaining() > 0 {
		view, changed := server.View()
		u, ok := r.choosePrimary(view, refusedBy)
		if !ok {
			if refusal := r.primaryEvacuated(view); refusal != nil {
				return outcome{refusal: refusal, primary: true}
			}
			last = errors.New("the primary does not answer")
			clear(refusedBy)
			if !r.canWait() || !r.pause(ctx, changed, primaryPause) {
				break
			}
			continue
		}
		if !r.mayRunAt(u) {
			return outcome{refusal: r.primaryRegionRefusal(u), upstream: u.ID, primary: true}
		}
		if refusal := r.refusedEarly(u.ID); refusal != nil {
			refusal.RetryAfter = server.retryAfter(refusal)
			return outcome{refusal: refusal, upstream: u.ID, primary: true}
		}
		l, use, ok := server.Gate.guard(r.route.Service, r.lease(u))
		if !ok {
			last = errors.New("this host may not act at the primary: no lease, or a change of primary is under way")
			if !r.canWait() || !r.pause(ctx, changed, primaryPause) {
				break
			}
			continue
		}
		r.attempts++
		r.use, r.session.lease = use, l
		out := f(l)
		if out.refusal == nil && !use.mayAcknowledge() {
			out = r.unacknowledged(u.ID)
		}
		out.upstream, out.primary = u.ID, true
		if !out.keepLease {
			l.Release()
		}
		if out.refusal == nil {
			server.Upstreams.ConfirmPrimary(r.route.Service, u.ID, view)
		}
		if !out.retryable {
			return out
		}
		last = out.refusal
		switch out.refusal.Reason {
		case refuser.ReasonRegionForbidden, refuser.ReasonUpstreamCold:
			out.retryable = false
			return out
		case refuser.ReasonPoolFull:
			out.refusal.RetryAfter = server.retryAfter(out.refusal)
			out.retryable = false
			return out
		case refuser.ReasonPrimaryReplaced, refuser.ReasonEvacuated:
			refusedBy[u.ID] = true
		}
		server.Log.Info(logger.EventRequestRetried, r.fields(out)...)
		if !r.pause(ctx, changed, retryPause) {
			break
		}
	}
	refusal := refuser.Wrap(refuser.ReasonNoUpstream, "service "+r.route.Service, last)
	refusal.RetryAfter = server.jitter(r.route.TargetLatency / 2)
	return outcome{refusal: refusal, primary: true}
}

// unacknowledged returns the outcome of a statement that an upstream completed when
// it may have been replaced as the primary. A read is repeated; a write may have
// been lost.
func (r *request) unacknowledged(upstream string) outcome {
	verdict := refuser.MayHaveRun
	if !r.writes || r.session.tx != nil {
		// A transaction that was opened with this statement is rolled back.
		verdict = refuser.NotRun
	}
	refusal := refuser.New(refuser.ReasonPrimaryReplaced, "upstream "+upstream+" may have been replaced when its answer came").WithVerdict(verdict)
	return outcome{refusal: refusal, upstream: upstream, retryable: verdict == refuser.NotRun}
}

// defaultRetryAfter is the retry delay for a request that found a queue full
// whose owner does not tell when there is room.
const defaultRetryAfter = 250 * time.Millisecond

// retryAfter returns the retry delay for a request that found a queue full: the
// time until there is room. The owner tells its callers different times, so that
// they do not return together.
func (s *Server) retryAfter(refusal *refuser.Refusal) time.Duration {
	return s.jitter(roomIn(refusal))
}

// roomIn returns the time until there is room in the queue that refused a request.
func roomIn(refusal *refuser.Refusal) time.Duration {
	var queueErr *connector.QueueError
	if errors.As(refusal, &queueErr) && queueErr.RoomIn > 0 {
		return queueErr.RoomIn
	}
	return defaultRetryAfter
}

// jitter lengthens a retry delay by a random part, so that callers that were
// refused together do not return together.
func (s *Server) jitter(d time.Duration) time.Duration {
	return queuer.Jitter(d, s.random())
}

// write runs a single write outside a transaction.
func (r *request) write(ctx context.Context) outcome {
	return r.withPrimary(ctx, func(l *connector.Lease) outcome {
		sentAt := r.session.server.Now()
		a, failed := r.run(ctx, l, r.deadline, r.forwardRequest(noFloor))
		if failed != nil {
			return *failed
		}
		r.recordCommit(sentAt, a)
		return outcome{answer: a}
	})
}

// recordCommit stores the position of a commit of the session.
func (r *request) recordCommit(sentAt time.Time, a connector.Answer) {
	if a.Position.IsZero() || !r.use.mayAcknowledge() {
		r.session.addUnplacedCommit(r.route.Service)
		return
	}
	r.session.addCommit(r.route.Service, a.Position)
	r.session.server.Upstreams.AddSample(r.route.Service, sentAt, a.Position)
}

// readPrimary runs a single read that must see every acknowledged commit. A
// replaced primary would still answer a plain read from its old log, so the
// read runs in a read-write transaction, which only the current primary
// accepts.
func (r *request) readPrimary(ctx context.Context) outcome {
	return r.withPrimary(ctx, func(l *connector.Lease) outcome {
		a, failed := r.run(ctx, l, r.attemptDeadline(), connector.Request{Verb: connector.VerbBegin}, r.forwardRequest(noFloor), connector.Request{Verb: connector.VerbRollback})
		if failed != nil {
			return *failed
		}
		return outcome{answer: a}
	})
}

// SamplePrimary queries the position of a service's primary and records it on the
// upstream tracker.
func (s *Server) SamplePrimary(ctx context.Context, service string) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	r := &request{
		session: &session{server: s}, route: keeper.Route{Service: service}, arrived: s.Now(), startedAt: time.Now(), deadline: deadline.Add(answerReserve),
	}
	if out := r.samplePrimary(ctx); out.refusal != nil {
		return out.refusal
	}
	return nil
}

// samplePrimary queries the primary's position, which the answer carries.
func (r *request) samplePrimary(ctx context.Context) outcome {
	probe := *r
	probe.isProbe = true
	return probe.queryPosition(ctx)
}

func (r *request) queryPosition(ctx context.Context) outcome {
	return r.withPrimary(ctx, func(l *connector.Lease) outcome {
		a, failed := r.run(ctx, l, r.deadline, connector.Request{Verb: connector.VerbBegin}, connector.Request{Verb: connector.VerbRollback})
		if failed != nil {
			return *failed
		}
		return outcome{answer: a}
	})
}
