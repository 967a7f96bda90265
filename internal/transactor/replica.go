package transactor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// laggingPause is the delay before the next attempt after all upstreams have
// refused a read.
const laggingPause = 25 * time.Millisecond

// refreshDivisor divides a route's maximum age to get the maximum age of a new
// sample, so that the sample also serves later reads.
const refreshDivisor = 4

// placeCommit finds a position that includes the session's newest commit, if the
// commit was acknowledged without one: the primary's present position.
func (r *request) placeCommit(ctx context.Context) *refuser.Refusal {
	if !r.session.unplacedCommits[r.route.Service] {
		return nil
	}
	out := r.samplePrimary(ctx)
	if out.refusal != nil {
		return refuser.Wrap(refuser.ReasonNoFloor, "service "+r.route.Service, out.refusal)
	}
	if out.answer.Position.IsZero() {
		return refuser.New(refuser.ReasonNoFloor, "the primary of service "+r.route.Service+" shows no position")
	}
	r.session.addCommit(r.route.Service, out.answer.Position)
	return nil
}

// floor returns the minimum position that the session's reads must see. If no
// sample is recent enough, it requests one, or else queries the primary itself.
func (r *request) floor(ctx context.Context) (tracker.Position, *refuser.Refusal) {
	if refusal := r.placeCommit(ctx); refusal != nil {
		return noFloor, refusal
	}
	upstreams := r.session.server.Upstreams
	if p, ok := upstreams.Floor(r.route.Service, r.arrived, r.route.MaxStaleness, r.session.lastCommits[r.route.Service]); ok {
		return p, nil
	}
	if refresh := r.session.server.RefreshSample; refresh != nil {
		// If this fails, querying the primary below returns the reason.
		if refresh(ctx, r.route.Service, r.route.MaxStaleness/refreshDivisor) == nil {
			if p, ok := upstreams.Floor(r.route.Service, r.arrived, r.route.MaxStaleness, r.session.lastCommits[r.route.Service]); ok {
				return p, nil
			}
		}
	}
	if out := r.samplePrimary(ctx); out.refusal != nil {
		return noFloor, refuser.Wrap(refuser.ReasonNoFloor, "service "+r.route.Service, out.refusal)
	}
	p, ok := upstreams.Floor(r.route.Service, r.arrived, r.route.MaxStaleness, r.session.lastCommits[r.route.Service])
	if !ok {
		return noFloor, refuser.New(refuser.ReasonNoFloor, "service "+r.route.Service)
	}
	return p, nil
}

// withReplica calls f with leases of connections to upstreams that may have
// reached the floor, one after the other, until the outcome is not retryable or
// the statement's time is over.
func (r *request) withReplica(ctx context.Context, f func(l *connector.Lease, floor tracker.Position, deadline time.Time) outcome) outcome {
	server := r.session.server
	view, _ := server.View()
	if refusal := r.checkRegions(view); refusal != nil {
		return outcome{refusal: refusal}
	}
	if refusal := r.replicasEvacuated(view); refusal != nil {
		return outcome{refusal: refusal}
	}
	floor, refusal := r.floor(ctx)
	if refusal != nil {
		return outcome{refusal: refusal}
	}
	excluded := map[string]bool{}
	var full fullQueues
	defer func() { r.settled = false }()
	last := outcome{refusal: refuser.Wrap(refuser.ReasonNoUpstream, "service "+r.route.Service, errors.New("no upstream answers"))}
	for r.remaining() > 0 && r.attempts < maxAttempts {
		view, changed := server.View()
		if refusal := r.checkRegions(view); refusal != nil {
			return outcome{refusal: refusal}
		}
		candidates := r.candidates(view, excluded)
		server.Upstreams.hold(r.route.Service, candidates, server.random())
		if !r.settled {
			var refusal *refuser.Refusal
			if candidates, refusal = r.withRoom(candidates); refusal != nil {
				last = outcome{refusal: refusal, upstream: last.upstream, retryable: true}
			}
		}
		i := server.coldUpstreams.choose(floor, server.Now(), candidates, server.random())
		if i < 0 && (last.refusal.Reason == refuser.ReasonPoolFull || last.refusal.Reason == refuser.ReasonUpstreamCold) {
			// All upstreams that have reached the floor are full or cold. Wait at the one
			// with the shortest queue if the read can be served there in time, or
			// else refuse now rather than after a wait.
			id, ok := full.shortest()
			if r.settled || !ok {
				break
			}
			r.settled = true
			delete(excluded, id)
			continue
		}
		if i < 0 {
			if refusal := r.replicasEvacuated(view); refusal != nil {
				return outcome{refusal: refusal}
			}
			clear(excluded)
			if !r.canWait() || !r.pause(ctx, changed, laggingPause) {
				break
			}
			continue
		}
		id := candidates[i].ID
		r.attempts++
		if server.ObserveChoice != nil {
			server.ObserveChoice(candidates[i], balancer.ReasonOf(floor, server.Now(), candidates, i))
		}
		l := r.lease(view.Upstreams[id])
		out := f(l, floor, r.attemptDeadline())
		out.upstream, out.floor, out.primary = id, floor, candidates[i].Primary
		if !out.keepLease {
			l.Release()
		}
		if !out.retryable {
			return out
		}
		last = out
		server.Log.Info(logger.EventRequestRetried, append(r.fields(out), zap.Int("candidates", len(candidates)))...)
		if out.refusal.Reason == refuser.ReasonNoFloor {
			server.Upstreams.RecordLag(id, floor)
			if next, ok := r.renewFloor(ctx, floor, candidates[i].Primary); ok {
				floor = next
			}
		}
		excluded[id] = true
		full.add(id, out.refusal)
	}
	return r.finalReadOutcome(last)
}

// finalReadOutcome returns the outcome of a read that no upstream answered. A
// read has no lasting effect, so failed attempts do not matter.
func (r *request) finalReadOutcome(last outcome) outcome {
	reason := last.refusal.Reason
	if reason == refuser.ReasonRegionForbidden || reason == refuser.ReasonUpstreamCold {
		last.retryable = false
		return last
	}
	if reason != refuser.ReasonNoFloor && reason != refuser.ReasonPoolFull {
		reason = refuser.ReasonNoUpstream
	}
	cause := last.refusal
	last.refusal = refuser.Wrap(reason, "service "+r.route.Service, cause)
	last.refusal.RetryAfter = r.session.server.jitter(r.route.TargetLatency / 4)
	if reason == refuser.ReasonPoolFull {
		last.refusal.RetryAfter = r.session.server.retryAfter(cause)
	}
	last.retryable = false
	return last
}

// renewFloor replaces a floor of an earlier term: a promotion may have rolled
// that position back, in which case no upstream ever reaches it.
func (r *request) renewFloor(ctx context.Context, floor tracker.Position, fromPrimary bool) (tracker.Position, bool) {
	upstreams := r.session.server.Upstreams
	if fromPrimary {
		// A primary that is behind the floor has replaced another one, so its
		// position must be sampled.
		if out := r.samplePrimary(ctx); out.refusal != nil {
			return floor, false
		}
	}
	s, ok := upstreams.Latest(r.route.Service)
	if !ok || s.Position.Term <= floor.Term {
		return floor, false
	}
	return upstreams.Floor(r.route.Service, r.arrived, r.route.MaxStaleness, r.session.lastCommits[r.route.Service])
}

// readReplica runs a single read on the nearest upstream that has reached the
// floor. A prepared read runs in a transaction whose begin carries the floor.
func (r *request) readReplica(ctx context.Context) outcome {
	return r.withReplica(ctx, func(l *connector.Lease, floor tracker.Position, deadline time.Time) outcome {
		requests := []connector.Request{r.forwardRequest(floor)}
		if r.statement.Verb == VerbExecute {
			requests = []connector.Request{
				{Verb: connector.VerbBegin, ReadOnly: true, Floor: floor}, r.forwardRequest(noFloor), {Verb: connector.VerbRollback},
			}
		}
		a, failed := r.run(ctx, l, deadline, requests...)
		if failed != nil {
			return *failed
		}
		return outcome{answer: a}
	})
}
