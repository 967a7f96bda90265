package transactor

import (
	"context"
	"time"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// rollbackTimeout bounds the wait for the answer to a rollback. Without it the
// connection is closed, which rolls back too.
const rollbackTimeout = 500 * time.Millisecond

// transaction is a caller's open transaction. Its upstream is chosen with its
// first statement and stays the same to its end.
type transaction struct {
	readOnly bool
	// arrived is when the transaction began, by the clock that counts
	// suspensions.
	arrived time.Time
	conn    *connector.Conn
	// upstream is the upstream's ID once it is chosen.
	upstream string
	primary  bool
	// ran is true once a statement was answered, wrote once a write was sent.
	ran   bool
	wrote bool
	// stale is true when a session value changed since the connection was
	// equipped.
	stale bool
	// failed is why the transaction cannot go on.
	failed *refuser.Refusal
}

func newTransaction(r *request) *transaction {
	return &transaction{readOnly: r.statement.ReadOnly, arrived: r.arrived}
}

// needsPrimary reports whether the transaction runs on the primary.
func (t *transaction) needsPrimary(r *request) bool {
	return !t.readOnly || r.route.Kind == keeper.RoutePrimary
}

// run carries one statement of the transaction out.
func (t *transaction) run(ctx context.Context, r *request) outcome {
	if t.conn == nil {
		return t.first(ctx, r)
	}
	if err := t.equip(r); err != nil {
		t.abandon(r.session.server)
		return lost(t.upstream, err)
	}
	out, _ := t.forward(ctx, r)
	if out.refusal != nil {
		t.abandon(r.session.server)
	}
	return out
}

func (t *transaction) equip(r *request) error {
	if !t.stale {
		return r.prepare(t.conn)
	}
	t.stale = false
	return r.equip(t.conn)
}

// first opens the transaction on an upstream and runs its first statement. As
// nothing was answered yet, it may begin anew elsewhere.
func (t *transaction) first(ctx context.Context, r *request) outcome {
	r.arrived = t.arrived
	if t.needsPrimary(r) {
		return r.withPrimary(ctx, func(c *connector.Conn) (outcome, bool) {
			return t.open(ctx, r, c, connector.Request{Verb: connector.VerbBegin})
		})
	}
	return r.withReplica(ctx, func(c *connector.Conn, floor tracker.Position, _ time.Time) (outcome, bool) {
		return t.open(ctx, r, c, connector.Request{Verb: connector.VerbBegin, ReadOnly: true, Floor: floor})
	})
}

func (t *transaction) open(ctx context.Context, r *request, c *connector.Conn, begin connector.Request) (outcome, bool) {
	if err := r.equip(c); err != nil {
		return notRun(err), false
	}
	if out, ok := r.begin(ctx, c, begin); !ok {
		return out, false
	}
	t.conn, t.upstream, t.primary, t.stale = c, c.Upstream, !begin.ReadOnly, false
	if r.statement.Verb == VerbCommit {
		return outcome{kept: true}, true
	}
	out, again := t.forward(ctx, r)
	if out.refusal == nil {
		out.kept = true
		return out, true
	}
	t.conn = nil
	t.wrote = false
	endOn(c)
	return out, !again
}

// forward passes a statement on. again is true when the transaction may begin
// anew on another connection, if this was its first statement.
func (t *transaction) forward(ctx context.Context, r *request) (out outcome, again bool) {
	if r.writes {
		t.wrote = true
	}
	a, err := r.exchange(ctx, t.conn, r.deadline, r.forward(noFloor))
	if err != nil {
		// Nothing was committed: the upstream rolls back what a lost
		// connection leaves.
		return lost(t.upstream, err), true
	}
	if a.Failure != connector.FailureNone {
		out, done := r.failed(a, t.conn)
		if !t.keepsReason(out.refusal) {
			out.refusal = refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+t.upstream, out.refusal)
		}
		return out, !done
	}
	t.ran = true
	return outcome{answer: a, upstream: t.upstream, primary: t.primary}, false
}

// keepsReason reports whether a refusal says all that the caller needs: that
// the transaction was rolled back, and why.
func (t *transaction) keepsReason(refusal *refuser.Refusal) bool {
	return refusal.Reason == refuser.ReasonTransactionLost
}

// lost is the outcome of a transaction whose connection was lost before its
// commit.
func lost(upstream string, err error) outcome {
	return outcome{refusal: refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+upstream, err), upstream: upstream}
}

// commit ends the transaction.
func (t *transaction) commit(ctx context.Context, r *request) outcome {
	if t.conn == nil {
		if out := t.first(ctx, r); out.refusal != nil {
			return out
		}
	}
	c := t.conn
	defer t.abandon(r.session.server)
	asked := r.session.server.Now()
	for {
		a, err := r.exchange(ctx, c, r.deadline, r.forward(noFloor))
		if err != nil {
			if !t.wrote {
				return lost(t.upstream, err)
			}
			return outcome{refusal: refuser.Wrap(refuser.ReasonUpstreamLost, "upstream "+t.upstream, err), upstream: t.upstream}
		}
		if a.Failure == connector.FailureBusy && a.State == connector.StateTransaction && r.pause(ctx, nil, retryPause) {
			r.attempts++
			continue
		}
		return t.committed(r, a, asked)
	}
}

// committed turns the answer to a commit into an outcome.
func (t *transaction) committed(r *request, a connector.Answer, asked time.Time) outcome {
	out := outcome{answer: a, upstream: t.upstream, primary: t.primary}
	if a.Failure == connector.FailureNone {
		if a.State != connector.StateIdle {
			t.conn.MarkBroken()
		}
		if t.primary && t.wrote {
			r.committed(asked, a)
		}
		return out
	}
	refused, _ := r.failed(a, t.conn)
	out.refusal = refused.refusal
	if a.Failure.NotRun() || !t.wrote {
		out.refusal = refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+t.upstream, refused.refusal)
	}
	return out
}

// abandon rolls the transaction back and gives its connection up.
func (t *transaction) abandon(server *Server) {
	if t.conn == nil {
		return
	}
	c := t.conn
	t.conn = nil
	endOn(c)
	server.release(c)
}

// endOn makes sure that no transaction is open on a connection.
func endOn(c *connector.Conn) {
	if c.Ended() {
		return
	}
	a, err := c.Do(time.Now().Add(rollbackTimeout), connector.Request{Verb: connector.VerbRollback})
	if err != nil || a.State != connector.StateIdle {
		c.MarkBroken()
	}
}
