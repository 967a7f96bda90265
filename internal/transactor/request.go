package transactor

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/permitter"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// retryPause is the delay between attempts, for example after an upstream
	// had no free slot.
	retryPause = 10 * time.Millisecond
	// primaryPause is how long a request waits for a new view while no primary
	// is available, before it tries again.
	primaryPause = 40 * time.Millisecond
	// maxAttempts bounds the attempts of one read.
	maxAttempts = 12
	// answerReserve is the part of the timeout reserved for sending the answer
	// to the caller.
	answerReserve = 20 * time.Millisecond
	// queueWaitDivisor divides the latency objective to get the longest wait in
	// an upstream's queue while another upstream may serve the read sooner.
	queueWaitDivisor = 3
	// wayBackDivisor divides the latency objective to get the part of it that is
	// reserved for the way between the hosts and to the caller.
	wayBackDivisor = 8
	// PublicOrganisation is the organisation name sent to upstreams for public
	// routes.
	PublicOrganisation = "public"
)

// request is a statement being executed.
type request struct {
	session      *session
	statement    Statement
	route        keeper.Route
	organisation string
	// permitted are the regions in which the request may run.
	permitted permitter.Set
	// arrived is when the statement was read, by a clock that keeps running
	// while the machine is suspended.
	arrived  time.Time
	deadline time.Time
	// startedAt is when the request began, by the process's monotonic clock.
	startedAt time.Time
	version   uint64
	reads     bool
	writes    bool
	// isProbe is true if the request only queries the primary's position.
	isProbe bool
	// preparedStmt is set for VerbExecute.
	preparedStmt preparedStatement
	attempts     int
	// settled is true once no other upstream can serve the statement sooner.
	settled bool
	// use is the work at the primary in the current attempt; nil at replicas.
	use *primaryUse
}

// classify determines whether the statement reads or writes.
func (r *request) classify() *refuser.Refusal {
	switch r.statement.Verb {
	case VerbRead:
		r.reads = true
	case VerbWrite:
		r.writes = true
	case VerbExecute:
		preparedStmt, ok := r.session.prepared[r.statement.Name]
		if !ok {
			return refuser.New(refuser.ReasonStatementUnknown, r.statement.Name)
		}
		r.preparedStmt = preparedStmt
		r.reads, r.writes = preparedStmt.readOnly, !preparedStmt.readOnly
	case VerbMalformed:
		return refuser.New(refuser.ReasonProtocolViolation, cmp.Or(r.statement.Problem, "statement cannot be understood"))
	}
	return nil
}

// forwardRequest returns the upstream request that forwards the statement.
func (r *request) forwardRequest(floor tracker.Position) connector.Request {
	text := r.statement.Text
	if r.statement.Verb == VerbExecute {
		text = r.session.server.Codec.RenameExecute(r.statement, r.preparedStmt.name)
	}
	return connector.Request{Verb: connector.VerbForward, ID: r.statement.ID, Text: text, Floor: floor}
}

// endsLease reports whether the statement is the last one on its connection.
func (r *request) endsLease() bool {
	return r.statement.Verb == VerbCommit && r.session.tx.lease != nil || r.session.tx == nil
}

// lease returns a lease of a connection to an upstream.
func (r *request) lease(u keeper.Upstream) *connector.Lease {
	l := r.session.server.Lease(u, r.connectionOrganisation())
	r.session.lease = l
	return l
}

// connectionOrganisation returns the organisation whose connections serve the
// request.
func (r *request) connectionOrganisation() string {
	if r.organisation == "" {
		return PublicOrganisation
	}
	return r.organisation
}

// run executes requests on a lease after applying the session's values and
// preparing the statement if needed. It returns the last answer; failed is set
// unless all requests succeeded.
func (r *request) run(ctx context.Context, l *connector.Lease, deadline time.Time, requests ...connector.Request) (last connector.Answer, failed *outcome) {
	server := r.session.server
	b := connector.Batch{Route: r.session.startup.Route, Requests: requests, EndsLease: r.endsLease(), ReadOnly: r.reads && r.session.tx == nil, PositionOnly: r.isProbe}
	if !r.isProbe {
		// A query of the position may go to a region in which the caller's values and
		// statements must not appear.
		b.Values = r.session.values
	}
	if r.statement.Verb == VerbExecute && !r.isProbe {
		b.Prepare = connector.PreparedStatement{Name: r.preparedStmt.name, Text: server.Codec.PrepareText(r.preparedStmt.name, r.preparedStmt.value)}
	}
	if out := r.refuseEvacuated(l.Upstream); out != nil {
		return last, out
	}
	sentAt := server.Now()
	begin := time.Now()
	server.Upstreams.RequestStarted(l.Upstream)
	answers, err := l.Run(ctx, r.limits(l, deadline), b)
	r.session.holdAnswers(l, answers)
	r.recordRun(ctx, l, answers, err, time.Since(begin))
	for i, a := range answers {
		if r.ranOutside(requests, i, a) {
			return a, r.outsideOutcome(l.Upstream)
		}
		if a.Failure != connector.FailureNone {
			return a, r.failureOutcome(a, requests[i], l.Upstream)
		}
		r.recordSample(sentAt, requests[i], a)
		last = a
		if requests[i].Verb == connector.VerbForward {
			// The remaining requests only clean up.
			return a, nil
		}
	}
	if err != nil {
		return last, r.errorOutcome(err, l.Upstream)
	}
	return last, nil
}

// limits returns the time limits of a run. A read that would spend much of its
// objective in one upstream's queue is refused there at once, and tries the
// others. At the last, or at the primary, it waits for as long as its objective
// allows, or longer while the queue is draining: a refusal would make the caller
// repeat the whole operation.
func (r *request) limits(l *connector.Lease, deadline time.Time) connector.Limits {
	objective := r.route.TargetLatency
	if objective <= 0 {
		objective = defaultTimeout
	}
	limits := connector.Limits{
		Deadline: deadline, TimeReserve: r.session.server.Upstreams.TimeReserve(l.Upstream), Priority: r.route.Priority, Patient: r.settled,
	}
	if !r.settled {
		limits.MaxWait = max(min(objective/queueWaitDivisor, time.Until(deadline)/2), time.Millisecond)
	}
	limits.AnswerWithin = r.answerWithin()
	return limits
}

// answerWithin returns the time within which an upstream's owner must have run the
// statement to meet the latency objective.
func (r *request) answerWithin() time.Duration {
	objective := r.route.TargetLatency
	if objective <= 0 {
		objective = defaultTimeout
	}
	answer := objective - objective/wayBackDivisor - time.Since(r.startedAt)
	if r.session.tx != nil && r.session.tx.lease == nil {
		// The other statements of the transaction need time too.
		answer /= 2
	}
	// A statement that had to wait for a promotion still gets as much time as any
	// other would at first.
	return max(answer, objective/queueWaitDivisor)
}

// remaining returns the time left for the statement, less answerReserve.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) - answerReserve }

// attemptDeadline returns the deadline of the current attempt. The first
// attempt at a read gets half of the remaining time, since its answer may be
// lost and a second attempt needed.
func (r *request) attemptDeadline() time.Time {
	if r.attempts > 1 {
		return r.deadline
	}
	return time.Now().Add(time.Until(r.deadline) / 2)
}

const (
	// waitDivisor divides the latency objective to get how long a request waits
	// while no upstream is available. The result is longer than most promotions
	// take.
	waitDivisor = 2
	// disconnectedWaitDivisor is the divisor on a host that receives no updates
	// of the view. The caller may be served by another host instead.
	disconnectedWaitDivisor = 10
)

// canWait reports whether the request may keep waiting for an available
// upstream.
func (r *request) canWait() bool {
	objective, divisor := r.route.TargetLatency, time.Duration(waitDivisor)
	if objective <= 0 {
		objective = defaultTimeout
	}
	if connected := r.session.server.ReceivesUpdates; connected != nil && !connected() {
		divisor = disconnectedWaitDivisor
	}
	return time.Since(r.startedAt) < objective/divisor
}

// pause waits for a change of the view, for at most d. It returns false when
// the statement's time is over.
func (r *request) pause(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	left := r.remaining()
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(d, left))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return r.remaining() > 0
}

// fields returns the log fields that describe the decision.
func (r *request) fields(out outcome) []zap.Field {
	fields := []zap.Field{
		zap.String("request", r.statement.ID), zap.String("route", r.route.Name), zap.String("kind", string(r.route.Consistency)),
		zap.String("verb", string(r.statement.Verb)), zap.String("organisation", r.organisation),
		zap.Uint64("version", r.version), zap.String("upstream", out.upstream), zap.Int("attempts", r.attempts),
		zap.Duration("took", r.session.server.Now().Sub(r.arrived)),
	}
	if !out.floor.IsZero() {
		fields = append(fields, zap.Stringer("floor", out.floor))
	}
	if out.refusal != nil {
		fields = append(fields, zap.String("reason", string(out.refusal.Reason)), zap.String("verdict", string(out.refusal.Verdict)),
			zap.String("detail", out.refusal.Detail), zap.Duration("retry_after", out.refusal.RetryAfter), zap.NamedError("cause", out.refusal.Err))
	}
	return fields
}
