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

// noFloor accepts any position.
var noFloor = tracker.Position{}

// laggingPause is the wait after all upstreams refused a read as lagging.
const laggingPause = 25 * time.Millisecond

// floor returns the position that the session's reads must find. It asks the
// primary when no sample is recent enough.
func (r *request) floor(ctx context.Context) (tracker.Position, *refuser.Refusal) {
	board := r.session.server.Board
	if p, ok := board.Floor(r.route.Service, r.arrived, r.route.MaxAge, r.session.own); ok {
		return p, nil
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

// withReplica runs f with a connection to an upstream that may hold the floor,
// one after the other, until f is done or the statement's time is over.
func (r *request) withReplica(ctx context.Context, f func(c *connector.Conn, floor tracker.Position, deadline time.Time) (outcome, bool)) outcome {
	server := r.session.server
	floor, refusal := r.floor(ctx)
	if refusal != nil {
		return outcome{refusal: refusal}
	}
	excluded := map[string]bool{}
	var last error
	lagging := false
	for r.remaining() > 0 && r.attempts < maxAttempts {
		view, changed := server.View()
		candidates := r.candidates(view, excluded)
		i := balancer.Choose(floor, server.Now(), candidates)
		if i < 0 {
			if len(excluded) == 0 && last == nil {
				last = errors.New("no upstream answers")
			}
			clear(excluded)
			if !r.pause(ctx, changed, laggingPause) {
				break
			}
			continue
		}
		id := candidates[i].ID
		r.attempts++
		deadline := r.attemptDeadline()
		c, err := r.acquire(ctx, id, deadline)
		if err != nil {
			last = err
			excluded[id] = true
			continue
		}
		out, done := f(c, floor, deadline)
		out.upstream, out.floor, out.primary = id, floor, candidates[i].Primary
		r.release(out, c)
		if done {
			return out
		}
		last, lagging = out.refusal, out.refusal.Reason == refuser.ReasonNoFloor
		server.Log.Info(logger.EventRequestRetried, append(r.fields(out), zap.Int("candidates", len(candidates)))...)
		if lagging {
			server.Board.Lagged(id, floor)
			if next, ok := r.renewFloor(ctx, floor, candidates[i].Primary); ok {
				floor = next
			}
		}
		excluded[id] = true
	}
	reason := refuser.ReasonNoUpstream
	if lagging {
		reason = refuser.ReasonNoFloor
	}
	refusal = refuser.Wrap(reason, "service "+r.route.Service, last)
	refusal.RetryAfter = r.route.TargetLatency / 4
	return outcome{refusal: refusal, floor: floor}
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

// attemptDeadline leaves time for a second attempt at a read whose answer may
// be lost.
func (r *request) attemptDeadline() time.Time {
	left := time.Until(r.deadline)
	if r.attempts > 1 {
		return r.deadline
	}
	return time.Now().Add(left / 2)
}

// readReplica runs a single read on the nearest upstream that holds what it
// must show.
func (r *request) readReplica(ctx context.Context) outcome {
	return r.withReplica(ctx, func(c *connector.Conn, floor tracker.Position, deadline time.Time) (outcome, bool) {
		if err := r.equip(c); err != nil {
			return notRun(err), false
		}
		if r.statement.Verb == VerbExecute {
			return r.executeReplica(ctx, c, floor, deadline)
		}
		a, err := r.exchange(ctx, c, deadline, r.forward(floor))
		if err != nil {
			return notRun(err), false
		}
		if a.State != connector.StateIdle {
			c.MarkBroken()
		}
		if a.Failure == connector.FailureNone {
			return outcome{answer: a}, true
		}
		return r.failedRead(a, c)
	})
}

// executeReplica runs a prepared read in a transaction of its own, whose
// beginning carries the floor.
func (r *request) executeReplica(ctx context.Context, c *connector.Conn, floor tracker.Position, deadline time.Time) (outcome, bool) {
	if out, ok := r.begin(ctx, c, connector.Request{Verb: connector.VerbBegin, ReadOnly: true, Floor: floor}); !ok {
		return out, false
	}
	board := r.session.server.Board
	board.Asked(c.Upstream)
	begin := time.Now()
	if err := c.Send(deadline, r.forward(noFloor), connector.Request{Verb: connector.VerbRollback}); err != nil {
		r.heard(ctx, c, connector.Answer{}, err, 0)
		return notRun(err), false
	}
	a, err := c.Receive()
	r.heard(ctx, c, a, err, time.Since(begin))
	if err != nil {
		return notRun(err), false
	}
	if rolled, err := c.Receive(); err != nil || rolled.State != connector.StateIdle {
		c.MarkBroken()
	}
	if a.Failure == connector.FailureNone {
		return outcome{answer: a}, true
	}
	return r.failedRead(a, c)
}

// failedRead turns the failure of a read into an outcome. A read may always be
// tried again.
func (r *request) failedRead(a connector.Answer, c *connector.Conn) (outcome, bool) {
	out, _ := r.failed(a, c)
	return out, false
}
