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
// first statement and does not change afterwards.
type transaction struct {
	// organisation is the one that began it, or empty on a public route. Its upstream
	// connection acts for that organisation, whoever holds the caller's key later.
	organisation string
	readOnly     bool
	// arrived is when the transaction began, by a clock that keeps running
	// while the machine is suspended.
	arrived time.Time
	// lease is nil until the first statement is executed.
	lease *connector.Lease
	// route is the one of the first statement that was executed. A change of the route
	// applies from the next transaction.
	route   keeper.Route
	primary bool
	// use is the work at the primary; nil for a transaction on a replica.
	use *primaryUse
	// wrote is true once a write was sent.
	wrote bool
	// ranOutside is true once a write may have run outside of the transaction.
	ranOutside bool
	// failure is the reason why the transaction cannot continue, or nil.
	failure *refuser.Refusal
}

func newTransaction(r *request) *transaction {
	return &transaction{organisation: r.organisation, readOnly: r.statement.ReadOnly, arrived: r.arrived}
}

// needsPrimary reports whether the transaction must run on the primary.
func (t *transaction) needsPrimary(r *request) bool {
	return !t.readOnly || r.route.Consistency == keeper.ConsistencyPrimary
}

// run executes one statement of the transaction.
func (t *transaction) run(ctx context.Context, r *request) outcome {
	if t.lease == nil {
		return t.runFirst(ctx, r)
	}
	if out := t.abandonReplaced(r); out != nil {
		return *out
	}
	t.wrote = t.wrote || r.writes
	a, failed := t.runRetryingBusy(ctx, r)
	if failed != nil {
		t.rollBack()
		if failed.outside && r.writes {
			t.ranOutside = true
			return *failed
		}
		if failed.refusal.Reason == refuser.ReasonEvacuated {
			failed.refusal = refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+failed.upstream, failed.refusal)
			return *failed
		}
		return transactionLost(*failed)
	}
	return outcome{answer: a, upstream: t.lease.Upstream, primary: t.primary}
}

// runRetryingBusy runs a statement, and repeats it while the upstream has no
// free slot and the transaction is still open.
func (t *transaction) runRetryingBusy(ctx context.Context, r *request) (connector.Answer, *outcome) {
	for {
		a, failed := r.run(ctx, t.lease, r.deadline, r.forwardRequest(noFloor))
		busy := a.Failure == connector.FailureBusy && a.State == connector.StateInTransaction
		if !busy || !r.pause(ctx, nil, retryPause) {
			return a, failed
		}
		r.attempts++
	}
}

// runFirst opens the transaction on an upstream and runs its first statement.
// Since the caller has no answer yet, it may be retried on another upstream: an
// attempt whose connection is lost is rolled back.
func (t *transaction) runFirst(ctx context.Context, r *request) outcome {
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
		t.lease, t.primary, t.use, t.wrote = nil, false, nil, false
	}
	return out
}

func (t *transaction) open(ctx context.Context, r *request, l *connector.Lease, begin connector.Request, deadline time.Time) outcome {
	requests := []connector.Request{begin}
	if r.statement.Verb != VerbCommit {
		requests = append(requests, r.forwardRequest(noFloor))
	}
	a, failed := r.run(ctx, l, deadline, requests...)
	if failed != nil && failed.outside && r.writes {
		t.ranOutside = true
		return *failed
	}
	if failed != nil {
		out := transactionLost(*failed)
		out.retryable = true
		return out
	}
	t.lease, t.route, t.primary, t.use, t.wrote = l, r.route, !begin.ReadOnly, r.use, r.writes
	return outcome{answer: a, keepLease: true}
}

// transactionLost converts the outcome of a statement whose failure ended its
// transaction before the commit. Refusals that already guarantee that nothing
// took effect are unchanged.
func transactionLost(out outcome) outcome {
	if out.refusal.Verdict == refuser.NotRun && out.retryable {
		return out
	}
	out.refusal = refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+out.upstream, out.refusal)
	return out
}

// commit commits the transaction.
func (t *transaction) commit(ctx context.Context, r *request) outcome {
	if t.lease == nil {
		if out := t.runFirst(ctx, r); out.refusal != nil {
			return out
		}
	}
	defer t.rollBack()
	if out := t.abandonReplaced(r); out != nil {
		return *out
	}
	sentAt := r.session.server.Now()
	a, failed := t.runRetryingBusy(ctx, r)
	if failed == nil && !t.use.mayAcknowledge() {
		return t.unacknowledged(r)
	}
	if failed == nil {
		if t.wrote {
			r.recordCommit(sentAt, a)
		}
		return outcome{answer: a, upstream: t.lease.Upstream, primary: t.primary}
	}
	if failed.refusal.Verdict == refuser.NotRun || !t.wrote {
		return outcome{refusal: refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+t.lease.Upstream, failed.refusal), upstream: t.lease.Upstream}
	}
	return *failed
}

// abandonReplaced rolls the transaction back and returns the outcome if its primary
// may have been replaced. It returns nil otherwise.
func (t *transaction) abandonReplaced(r *request) *outcome {
	r.use = t.use
	if t.use.mayAcknowledge() {
		return nil
	}
	upstream := t.lease.Upstream
	t.rollBack()
	return &outcome{refusal: refuser.New(refuser.ReasonTransactionLost, "upstream "+upstream+" is no longer the primary"), upstream: upstream}
}

// unacknowledged returns the outcome of a commit that the upstream completed when it
// may have been replaced as the primary.
func (t *transaction) unacknowledged(r *request) outcome {
	out := r.unacknowledged(t.lease.Upstream)
	out.retryable = false
	if t.wrote {
		out.refusal = out.refusal.WithVerdict(refuser.MayHaveRun)
		return out
	}
	out.refusal = refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+t.lease.Upstream, out.refusal)
	return out
}

// rollBack rolls the transaction back and releases its connection.
func (t *transaction) rollBack() {
	if t.lease != nil {
		t.lease.Release()
		t.lease = nil
	}
}
