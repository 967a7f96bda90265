package transactor

import (
	"errors"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// outcome is the result of a request or of one attempt.
type outcome struct {
	answer   connector.Answer
	refusal  *refuser.Refusal
	upstream string
	floor    tracker.Position
	primary  bool
	// retryable is true if another attempt is safe: nothing was executed, or
	// only a read.
	retryable bool
	// outside is true if the statement of a transaction may have run outside of it.
	outside bool
	// keepLease is true if the lease now belongs to a transaction.
	keepLease bool
}

// errOutside is the cause of an outcome outside of the statement's transaction.
var errOutside = errors.New("the statement was answered outside of its transaction")

// ranOutside reports whether the answer to a request shows that the upstream is in no
// transaction although the request belongs to one. Its begin was then refused, and the answer
// to an earlier request was taken for that to it.
func (r *request) ranOutside(requests []connector.Request, i int, a connector.Answer) bool {
	inTransaction := r.session.tx != nil || requests[0].Verb == connector.VerbBegin
	return inTransaction && requests[i].Verb == connector.VerbForward && r.statement.Verb != VerbCommit && a.State == connector.StateIdle
}

// outsideOutcome returns the outcome of a statement that ran, or may still run, outside of its
// transaction.
func (r *request) outsideOutcome(upstream string) *outcome {
	out := r.errorOutcome(&connector.RunError{MayHaveRun: true, Err: errOutside}, upstream)
	out.outside = true
	return out
}

// errorOutcome converts the error of a run into an outcome.
func (r *request) errorOutcome(err error, upstream string) *outcome {
	var runErr *connector.RunError
	if errors.As(err, &runErr) && runErr.MayHaveRun {
		return &outcome{refusal: refuser.Wrap(refuser.ReasonUpstreamLost, "upstream "+upstream, err), upstream: upstream, retryable: r.reads}
	}
	var warmupErr *connector.WarmupError
	if errors.As(err, &warmupErr) {
		r.session.server.coldUpstreams.record(upstream, warmupErr.RetryAfter)
		refusal := refuser.Wrap(refuser.ReasonUpstreamCold, "upstream "+upstream, err)
		refusal.RetryAfter = r.session.server.jitter(max(minColdRetryAfter, warmupErr.RetryAfter))
		return &outcome{refusal: refusal, upstream: upstream, retryable: true}
	}
	var regionErr *connector.RegionError
	if errors.As(err, &regionErr) {
		return &outcome{refusal: r.regionRefusal(err.Error()), upstream: upstream, retryable: true}
	}
	var queueErr *connector.QueueError
	if errors.As(err, &queueErr) {
		return &outcome{refusal: refuser.Wrap(refuser.ReasonPoolFull, "upstream "+upstream, err), upstream: upstream, retryable: true}
	}
	var evacuatedErr *connector.EvacuatedError
	if errors.As(err, &evacuatedErr) {
		return &outcome{refusal: refuser.Wrap(refuser.ReasonEvacuated, "upstream "+upstream, err), upstream: upstream, retryable: true}
	}
	return &outcome{refusal: refuser.Wrap(refuser.ReasonNoUpstream, "statement was not sent", err), upstream: upstream, retryable: true}
}

// failureOutcome converts a failure reported by an upstream into an outcome.
func (r *request) failureOutcome(a connector.Answer, q connector.Request, upstream string) *outcome {
	detail := "upstream " + upstream + ": " + a.Detail
	out := &outcome{upstream: upstream, retryable: a.Failure.NotRun() || r.reads || q.Verb != connector.VerbForward}
	switch a.Failure {
	case connector.FailureReadOnly:
		out.refusal = refuser.New(refuser.ReasonPrimaryReplaced, detail).WithVerdict(refuser.NotRun)
	case connector.FailureLagging:
		out.refusal = refuser.New(refuser.ReasonNoFloor, detail)
	case connector.FailureTimeout:
		out.refusal = refuser.New(refuser.ReasonStatementTimeout, detail)
	case connector.FailureOther:
		out.refusal = refuser.New(refuser.ReasonUpstreamFailed, detail)
	default:
		out.refusal = refuser.New(refuser.ReasonNoUpstream, detail)
	}
	return out
}
