package transactor

import (
	"context"
	"errors"
	"time"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// withPrimary runs f with a connection to the primary until f is done or the
// statement's time is over. f returns done false when nothing has run and the
// next attempt may succeed.
func (r *request) withPrimary(ctx context.Context, f func(c *connector.Conn) (out outcome, done bool)) outcome {
	server := r.session.server
	var last error
	refusedBy := ""
	for r.remaining() > 0 {
		view, changed := server.View()
		id := view.Primaries[r.route.Service]
		if candidate := view.Candidate(r.route.Service); candidate != "" && (id == "" || id == refusedBy || server.Board.IsSuspect(id)) {
			id = candidate
		}
		if id == "" || server.Board.IsSuspect(id) {
			last = errors.New("the primary does not answer")
			if !r.pause(ctx, changed, primaryPause) {
				break
			}
			continue
		}
		r.attempts++
		c, err := r.acquire(ctx, id, r.deadline.Add(-answerReserve))
		if err != nil {
			last = err
			var full *connector.QueueError
			if errors.As(err, &full) {
				refusal := refuser.Wrap(refuser.ReasonPoolFull, "upstream "+id, err)
				refusal.RetryAfter = full.Waited
				return outcome{refusal: refusal, upstream: id, primary: true}
			}
			if !r.pause(ctx, changed, primaryPause) {
				break
			}
			continue
		}
		out, done := f(c)
		out.upstream, out.primary = id, true
		r.release(out, c)
		if done {
			return out
		}
		last = out.refusal
		if out.refusal != nil && out.refusal.Reason == refuser.ReasonPrimaryReplaced {
			refusedBy = id
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

// write runs a single statement that writes.
func (r *request) write(ctx context.Context) outcome {
	return r.withPrimary(ctx, func(c *connector.Conn) (outcome, bool) {
		if err := r.equip(c); err != nil {
			return notRun(err), false
		}
		asked := r.session.server.Now()
		a, err := r.exchange(ctx, c, r.deadline, r.forward(noFloor))
		if err != nil {
			return outcome{refusal: refuser.Wrap(refuser.ReasonUpstreamLost, "upstream "+c.Upstream, err)}, true
		}
		if a.State != connector.StateIdle {
			c.MarkBroken()
		}
		if a.Failure != connector.FailureNone {
			return r.failed(a, c)
		}
		r.committed(asked, a)
		return outcome{answer: a}, true
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

// failed turns an upstream's failure into an outcome. A request that did not
// run may be tried again.
func (r *request) failed(a connector.Answer, c *connector.Conn) (outcome, bool) {
	detail := "upstream " + c.Upstream + ": " + a.Detail
	switch a.Failure {
	case connector.FailureReadOnly:
		return outcome{refusal: refuser.New(refuser.ReasonPrimaryReplaced, detail).WithVerdict(refuser.NotRun)}, false
	case connector.FailureNoStatement:
		c.MarkBroken()
		return outcome{refusal: refuser.New(refuser.ReasonNoUpstream, detail)}, false
	case connector.FailureLagging:
		return outcome{refusal: refuser.New(refuser.ReasonNoFloor, detail)}, false
	case connector.FailureTimeout:
		return outcome{refusal: refuser.New(refuser.ReasonStatementTimeout, detail)}, true
	}
	if a.Failure.NotRun() {
		return outcome{refusal: refuser.New(refuser.ReasonNoUpstream, detail)}, false
	}
	return outcome{refusal: refuser.New(refuser.ReasonUpstreamFailed, detail)}, true
}

// notRun is the outcome of an attempt that ended before the statement was
// sent.
func notRun(err error) outcome {
	return outcome{refusal: refuser.Wrap(refuser.ReasonNoUpstream, "statement was not sent", err)}
}

// readPrimary runs a single read that must show every acknowledged commit. A
// replaced primary would still answer a plain read from its old log, so the
// read is put into a transaction that only the leading primary takes.
func (r *request) readPrimary(ctx context.Context) outcome {
	return r.withPrimary(ctx, func(c *connector.Conn) (outcome, bool) {
		if err := r.equip(c); err != nil {
			return notRun(err), false
		}
		if out, ok := r.begin(ctx, c, connector.Request{Verb: connector.VerbBegin}); !ok {
			return out, false
		}
		board := r.session.server.Board
		board.Asked(c.Upstream)
		begin := time.Now()
		if err := c.Send(r.attemptDeadline(), r.forward(noFloor), connector.Request{Verb: connector.VerbRollback}); err != nil {
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
		return r.failed(a, c)
	})
}

// begin opens a transaction on a connection.
func (r *request) begin(ctx context.Context, c *connector.Conn, q connector.Request) (outcome, bool) {
	asked := r.session.server.Now()
	a, err := r.exchange(ctx, c, r.deadline, q)
	if err != nil {
		return notRun(err), false
	}
	if a.Failure != connector.FailureNone {
		out, _ := r.failed(a, c)
		return out, false
	}
	if a.State != connector.StateTransaction {
		c.MarkBroken()
		return notRun(errors.New("upstream opened no transaction")), false
	}
	if !q.ReadOnly {
		r.session.server.Board.Sampled(r.route.Service, asked, a.Position)
	}
	return outcome{}, true
}

// sample asks the primary for its position.
func (r *request) sample(ctx context.Context) outcome {
	return r.withPrimary(ctx, func(c *connector.Conn) (outcome, bool) {
		if out, ok := r.begin(ctx, c, connector.Request{Verb: connector.VerbBegin}); !ok {
			return out, false
		}
		if a, err := c.Do(r.deadline, connector.Request{Verb: connector.VerbRollback}); err != nil || a.State != connector.StateIdle {
			c.MarkBroken()
		}
		return outcome{}, true
	})
}
