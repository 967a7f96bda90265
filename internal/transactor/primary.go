package transactor

import (
	"context"
	"errors"
	"time"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// noFloor accepts any position.
var noFloor = tracker.Position{}

// primary returns the upstream to ask as the primary of the route's service, or
// false when none answers. An upstream that is being promoted is asked when the
// one that led refused or does not answer. When the one that led was replaced and
// the host was not told by which, it asks the others: one that does not lead
// refuses too, and nothing runs.
func (r *request) primary(view *keeper.View, refusedBy map[string]bool) (keeper.Upstream, bool) {
	server := r.session.server
	u, ok := view.Upstreams[server.Board.Leader(r.route.Service, view)]
	if ok && !refusedBy[u.ID] && !server.isSuspect(u) {
		return u, true
	}
	if candidate := view.Candidate(r.route.Service); candidate != "" && !refusedBy[candidate] {
		u = view.Upstreams[candidate]
		return u, !server.isSuspect(u)
	}
	if !ok || !refusedBy[u.ID] {
		return u, false
	}
	for _, other := range view.ByService(r.route.Service) {
		if !refusedBy[other.ID] && !server.isSuspect(other) {
			return other, true
		}
	}
	return u, false
}

// withPrimary runs f with a lease of a connection to the primary until it need
// not be tried again, or the statement's time is over.
func (r *request) withPrimary(ctx context.Context, f func(l *connector.Lease) outcome) outcome {
	server := r.session.server
	var last error
	refusedBy := map[string]bool{}
	for r.remaining() > 0 {
		view, changed := server.View()
		u, ok := r.primary(view, refusedBy)
		if !ok {
			last = errors.New("the primary does not answer")
			clear(refusedBy)
			if !r.canHold() || !r.pause(ctx, changed, primaryPause) {
				break
			}
			continue
		}
		r.attempts++
		l := r.lease(u)
		out := f(l)
		out.upstream, out.primary = u.ID, true
		if !out.kept {
			l.End()
		}
		if out.refusal == nil {
			server.Board.Led(r.route.Service, u.ID, view)
		}
		if !out.again {
			return out
		}
		last = out.refusal
		switch out.refusal.Reason {
		case refuser.ReasonPoolFull:
			out.refusal.RetryAfter = retryAfter(out.refusal)
			out.again = false
			return out
		case refuser.ReasonPrimaryReplaced:
			refusedBy[u.ID] = true
		}
		server.Log.Info(logger.EventRequestRetried, r.fields(out)...)
		if !r.pause(ctx, changed, retryPause) {
			break
		}
	}
	refusal := refuser.Wrap(refuser.ReasonNoUpstream, "service "+r.route.Service, last)
	refusal.RetryAfter = r.route.TargetLatency / 2
	return outcome{refusal: refusal, primary: true}
}

// minRetryAfter is when a request that found an upstream's queue full may come
// back at the earliest: several statements later.
const minRetryAfter = 250 * time.Millisecond

// retryAfter returns when a request that found a queue full may come back: when
// those who wait have been served.
func retryAfter(refusal *refuser.Refusal) time.Duration {
	var full *connector.QueueError
	if errors.As(refusal.Err, &full) {
		return max(minRetryAfter, full.Expected)
	}
	return minRetryAfter
}

// write runs a single statement that writes.
func (r *request) write(ctx context.Context) outcome {
	return r.withPrimary(ctx, func(l *connector.Lease) outcome {
		asked := r.session.server.Now()
		a, failed := r.run(ctx, l, r.deadline, r.forward(noFloor))
		if failed != nil {
			return *failed
		}
		r.committed(asked, a)
		return outcome{answer: a}
	})
}

// committed keeps the position of a commit of the session.
func (r *request) committed(asked time.Time, a connector.Answer) {
	if a.Position.IsZero() {
		return
	}
	r.session.own = a.Position
	r.session.server.Board.Sampled(r.route.Service, asked, a.Position)
}

// readPrimary runs a single read that must show every acknowledged commit. A
// replaced primary would still answer a plain read from its old log, so the
// read is put into a transaction that only the leading primary takes.
func (r *request) readPrimary(ctx context.Context) outcome {
	return r.withPrimary(ctx, func(l *connector.Lease) outcome {
		a, failed := r.run(ctx, l, r.attemptDeadline(), connector.Request{Verb: connector.VerbBegin}, r.forward(noFloor), connector.Request{Verb: connector.VerbRollback})
		if failed != nil {
			return *failed
		}
		return outcome{answer: a}
	})
}

// Sample asks a service's primary for its position, which the board keeps.
func (s *Server) Sample(ctx context.Context, service string) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	r := &request{
		session: &session{server: s}, route: keeper.Route{Service: service}, arrived: s.Now(), begun: time.Now(), deadline: deadline.Add(answerReserve),
	}
	if out := r.sample(ctx); out.refusal != nil {
		return out.refusal
	}
	return nil
}

// sample asks the primary for its position.
func (r *request) sample(ctx context.Context) outcome {
	probe := *r
	probe.probes = true
	return probe.askPosition(ctx)
}

func (r *request) askPosition(ctx context.Context) outcome {
	return r.withPrimary(ctx, func(l *connector.Lease) outcome {
		_, failed := r.run(ctx, l, r.deadline, connector.Request{Verb: connector.VerbBegin}, connector.Request{Verb: connector.VerbRollback})
		if failed != nil {
			return *failed
		}
		return outcome{}
	})
}
