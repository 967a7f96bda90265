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

// laggingPause is the wait after all upstreams refused a read.
const laggingPause = 25 * time.Millisecond

// refreshPart is the part of a route's greatest age that a new sample may have,
// so that it serves the reads that follow.
const refreshPart = 4

// floor returns the position that the session's reads must find. It asks for a
// sample, or the primary itself, when none is recent enough.
func (r *request) floor(ctx context.Context) (tracker.Position, *refuser.Refusal) {
	board := r.session.server.Board
	if p, ok := board.Floor(r.route.Service, r.arrived, r.route.MaxAge, r.session.own); ok {
		return p, nil
	}
	if refresh := r.session.server.Refresh; refresh != nil {
		// Without a sample the primary is asked next, and says why it has none.
		if refresh(ctx, r.route.Service, r.route.MaxAge/refreshPart) == nil {
			if p, ok := board.Floor(r.route.Service, r.arrived, r.route.MaxAge, r.session.own); ok {
				return p, nil
			}
		}
	}
	if out := r.sample(ctx); out.refusal != nil {
		return noFloor, refuser.Wrap(refuser.ReasonNoFloor, "service "+r.route.Service, out.refusal)
	}
	p, ok := board.Floor(r.route.Service, r.arrived, r.route.MaxAge, r.session.own)
	if !ok {
		return noFloor, refuser.New(refuser.ReasonNoFloor, "service "+r.route.Service)
	}
	return p, nil
}

// withReplica runs f with leases of connections to upstreams that may hold the
// floor, one after the other, until it need not be tried again, or the
// statement's time is over.
func (r *request) withReplica(ctx context.Context, f func(l *connector.Lease, floor tracker.Position, deadline time.Time) outcome) outcome {
	server := r.session.server
	floor, refusal := r.floor(ctx)
	if refusal != nil {
		return outcome{refusal: refusal}
	}
	excluded := map[string]bool{}
	last := outcome{refusal: refuser.Wrap(refuser.ReasonNoUpstream, "service "+r.route.Service, errors.New("no upstream answers"))}
	for r.remaining() > 0 && r.attempts < maxAttempts {
		view, changed := server.View()
		candidates := r.candidates(view, excluded)
		i := balancer.Choose(floor, server.Now(), candidates)
		if i < 0 && last.refusal.Reason == refuser.ReasonPoolFull {
			// All that hold the floor are full: what cannot be served in time is
			// refused at once.
			break
		}
		if i < 0 {
			clear(excluded)
			if !r.canHold() || !r.pause(ctx, changed, laggingPause) {
				break
			}
			continue
		}
		id := candidates[i].ID
		r.attempts++
		l := r.lease(view.Upstreams[id])
		out := f(l, floor, r.attemptDeadline())
		out.upstream, out.floor, out.primary = id, floor, candidates[i].Primary
		if !out.kept {
			l.End()
		}
		if !out.again {
			return out
		}
		last = out
		server.Log.Info(logger.EventRequestRetried, append(r.fields(out), zap.Int("candidates", len(candidates)))...)
		if out.refusal.Reason == refuser.ReasonNoFloor {
			server.Board.Lagged(id, floor)
			if next, ok := r.renewFloor(ctx, floor, candidates[i].Primary); ok {
				floor = next
			}
		}
		excluded[id] = true
	}
	return r.giveUp(last)
}

// giveUp is the outcome of a read that no upstream answered. Nothing is kept of
// a read, whatever became of its attempts.
func (r *request) giveUp(last outcome) outcome {
	reason := last.refusal.Reason
	if reason != refuser.ReasonNoFloor && reason != refuser.ReasonPoolFull {
		reason = refuser.ReasonNoUpstream
	}
	cause := last.refusal
	last.refusal = refuser.Wrap(reason, "service "+r.route.Service, cause)
	last.refusal.RetryAfter = r.route.TargetLatency / 4
	if reason == refuser.ReasonPoolFull {
		last.refusal.RetryAfter = retryAfter(cause)
	}
	last.again = false
	return last
}

// renewFloor replaces a floor of an earlier term: a promotion may have rolled
// it back, and then no upstream ever reaches it.
func (r *request) renewFloor(ctx context.Context, floor tracker.Position, fromPrimary bool) (tracker.Position, bool) {
	board := r.session.server.Board
	if fromPrimary {
		// A primary that lacks the floor has followed another one.
		if out := r.sample(ctx); out.refusal != nil {
			return floor, false
		}
	}
	s, ok := board.Latest(r.route.Service)
	if !ok || s.Position.Term <= floor.Term {
		return floor, false
	}
	return board.Floor(r.route.Service, r.arrived, r.route.MaxAge, r.session.own)
}

// readReplica runs a single read on the nearest upstream that holds what it
// must show. A prepared read runs in a transaction whose beginning carries the
// floor.
func (r *request) readReplica(ctx context.Context) outcome {
	return r.withReplica(ctx, func(l *connector.Lease, floor tracker.Position, deadline time.Time) outcome {
		requests := []connector.Request{r.forward(floor)}
		if r.statement.Verb == VerbExecute {
			requests = []connector.Request{
				{Verb: connector.VerbBegin, ReadOnly: true, Floor: floor}, r.forward(noFloor), {Verb: connector.VerbRollback},
			}
		}
		a, failed := r.run(ctx, l, deadline, requests...)
		if failed != nil {
			return *failed
		}
		return outcome{answer: a}
	})
}
