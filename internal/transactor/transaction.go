package transactor

import (
	"context"
	"time"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// transaction is a caller's open transaction. Its upstream is chosen with its
// first statement and stays the same to its end.
type transaction struct {
	readOnly bool
	// arrived is when the transaction began, by the clock that counts
	// suspensions.
	arrived time.Time
	// lease is nil until the first statement.
	lease   *connector.Lease
	primary bool
	// wrote is true once a write was sent.
	wrote bool
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
	if t.lease == nil {
		return t.first(ctx, r)
	}
	t.wrote = t.wrote || r.writes
	a, failed := t.insist(ctx, r)
	if failed != nil {
		t.abandon()
		return rolledBack(*failed)
	}
	return outcome{answer: a, upstream: t.lease.Upstream, primary: t.primary}
}

// insist runs a statement, again while the upstream has no free place for it
// and the transaction stands.
func (t *transaction) insist(ctx context.Context, r *request) (connector.Answer, *outcome) {
	for {
		a, failed := r.run(ctx, t.lease, r.deadline, r.forward(noFloor))
		busy := a.Failure == connector.FailureBusy && a.State == connector.StateTransaction
		if !busy || !r.pause(ctx, nil, retryPause) {
			return a, failed
		}
		r.attempts++
	}
}

// first opens the transaction on an upstream and runs its first statement. As
// nothing was answered yet, it may begin anew elsewhere: what a lost
// connection leaves is rolled back.
func (t *transaction) first(ctx context.Context, r *request) outcome {
	r.arrived = t.arrived
	var out outcome
	if t.needsPrimary(r) {
		out = r.withPrimary(ctx, func(l *connector.Lease) outcome {
			return t.open(ctx, r, l, connector.Request{Verb: connector.VerbBegin}, r.deadline)
		})
	} else {
		out = r.withReplica(ctx, func(l *connector.Lease, floor tracker.Position, deadline time.Time) outcome {
			return t.open(ctx, r, l, connector.Request{Verb: connector.VerbBegin, ReadOnly: true, Floor: floor}, deadline)
		})
	}
	if out.refusal != nil {
		t.wrote = false
	}
	return out
}

func (t *transaction) open(ctx context.Context, r *request, l *connector.Lease, begin connector.Request, deadline time.Time) outcome {
	requests := []connector.Request{begin}
	if r.statement.Verb != VerbCommit {
		requests = append(requests, r.forward(noFloor))
	}
	a, failed := r.run(ctx, l, deadline, requests...)
	if failed != nil {
		out := rolledBack(*failed)
		out.again = true
		return out
	}
	t.lease, t.primary, t.wrote = l, !begin.ReadOnly, r.writes
	return outcome{answer: a, kept: true}
}

// rolledBack is the outcome of a statement that ended its transaction before
// the commit. Refusals that already say that nothing is kept stay.
func rolledBack(out outcome) outcome {
	if out.refusal.Verdict == refuser.NotRun && out.again {
		return out
	}
	out.refusal = refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+out.upstream, out.refusal)
	return out
}

// commit ends the transaction.
func (t *transaction) commit(ctx context.Context, r *request) outcome {
	if t.lease == nil {
		if out := t.first(ctx, r); out.refusal != nil {
			return out
		}
	}
	defer t.abandon()
	asked := r.session.server.Now()
	a, failed := t.insist(ctx, r)
	if failed == nil {
		if t.wrote {
			r.committed(asked, a)
		}
		return outcome{answer: a, upstream: t.lease.Upstream, primary: t.primary}
	}
	if failed.refusal.Verdict == refuser.NotRun || !t.wrote {
		return outcome{refusal: refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+t.lease.Upstream, failed.refusal), upstream: t.lease.Upstream}
	}
	return *failed
}

// abandon rolls the transaction back and gives its connection up.
func (t *transaction) abandon() {
	if t.lease != nil {
		t.lease.End()
		t.lease = nil
	}
}
