package transactor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// retryPause follows a refusal by an upstream that had no place.
	retryPause = 10 * time.Millisecond
	// primaryPause is how long a request waits for news of the primary before
	// it asks again.
	primaryPause = 40 * time.Millisecond
	// maxAttempts bounds the upstreams that one read tries.
	maxAttempts = 12
	// answerReserve is the time kept for the answer's way to the caller.
	answerReserve = 20 * time.Millisecond
	// queuePart is the part of the latency objective that an operation may spend
	// in an upstream's queue.
	queuePart = 3
	// publicOrganisation is told to upstreams on routes that are open to all.
	publicOrganisation = "public"
)

// request is one statement on its way.
type request struct {
	session      *session
	statement    Statement
	route        keeper.Route
	organisation string
	// arrived is when the statement was read, by the clock that counts
	// suspensions.
	arrived  time.Time
	deadline time.Time
	// begun is when the request began, by the process's clock.
	begun   time.Time
	version uint64
	reads   bool
	writes  bool
	// probes is true for a question for the primary's position.
	probes bool
	// shape is set for VerbExecute.
	shape    statementShape
	attempts int
}

// outcome is what became of a request, or of one attempt at it.
type outcome struct {
	answer   connector.Answer
	refusal  *refuser.Refusal
	upstream string
	floor    tracker.Position
	primary  bool
	// again is true when another attempt may be made: nothing has run, or only
	// a read.
	again bool
	// kept is true when the lease stays with a transaction.
	kept bool
}

// resolve finds out whether the statement reads or writes.
func (r *request) resolve() *refuser.Refusal {
	switch r.statement.Verb {
	case VerbRead:
		r.reads = true
	case VerbWrite:
		r.writes = true
	case VerbExecute:
		shape, ok := r.session.prepared[r.statement.Name]
		if !ok {
			return refuser.New(refuser.ReasonStatementUnknown, r.statement.Name)
		}
		r.shape = shape
		r.reads, r.writes = shape.readOnly, !shape.readOnly
	case VerbMalformed:
		return refuser.New(refuser.ReasonProtocolViolation, "statement cannot be understood")
	}
	return nil
}

// forward returns the request that passes the statement on.
func (r *request) forward(floor tracker.Position) connector.Request {
	text := r.statement.Text
	if r.statement.Verb == VerbExecute {
		text = r.session.server.Codec.RenameExecute(r.statement, r.shape.name)
	}
	return connector.Request{Verb: connector.VerbForward, ID: r.statement.ID, Text: text, Floor: floor}
}

// endsLease reports whether the statement is the last on its connection.
func (r *request) endsLease() bool {
	return r.statement.Verb == VerbCommit && r.session.tx.lease != nil || r.session.tx == nil
}

// lease returns a lease of a connection to an upstream.
func (r *request) lease(u keeper.Upstream) *connector.Lease {
	organisation := r.organisation
	if organisation == "" {
		organisation = publicOrganisation
	}
	return r.session.server.Lease(u, organisation)
}

// run does requests on a lease with the session's values and the statement's
// shape. It returns the last answer; failed is set unless all succeeded.
func (r *request) run(ctx context.Context, l *connector.Lease, deadline time.Time, requests ...connector.Request) (last connector.Answer, failed *outcome) {
	server := r.session.server
	b := connector.Batch{Values: r.session.values, Requests: requests, Last: r.endsLease(), Reads: r.reads && r.session.tx == nil, Probe: r.probes}
	if r.statement.Verb == VerbExecute {
		b.Prepare = connector.Preparation{Name: r.shape.name, Text: server.Codec.PrepareText(r.shape.name, r.shape.value)}
	}
	asked := server.Now()
	begin := time.Now()
	server.Board.Asked(l.Upstream)
	answers, err := l.Run(ctx, r.limits(l, deadline), b)
	r.heard(ctx, l, answers, err, time.Since(begin))
	for i, a := range answers {
		if a.Failure != connector.FailureNone {
			return a, r.failed(a, requests[i], l.Upstream)
		}
		r.sampled(asked, requests[i], a)
		last = a
		if requests[i].Verb == connector.VerbForward {
			// What follows only cleans up.
			return a, nil
		}
	}
	if err != nil {
		return last, r.unanswered(err, l.Upstream)
	}
	return last, nil
}

// limits bound a run. An operation that would spend too much of its objective
// in a queue is refused at once: the caller may come back, and those who wait
// are served in time.
func (r *request) limits(l *connector.Lease, deadline time.Time) connector.Limits {
	objective := r.route.TargetLatency
	if objective <= 0 {
		objective = defaultTimeout
	}
	maxWait := min(objective/queuePart, time.Until(deadline)/2)
	return connector.Limits{
		Deadline: deadline, Reserve: r.session.server.Board.Service(l.Upstream), MaxWait: max(maxWait, time.Millisecond), Priority: r.route.Priority,
	}
}

// heard keeps the board after a run.
func (r *request) heard(ctx context.Context, l *connector.Lease, answers []connector.Answer, err error, took time.Duration) {
	board := r.session.server.Board
	var position tracker.Position
	for _, a := range answers {
		position = a.Position
		if a.Failure != connector.FailureNone {
			took = 0
		}
	}
	board.Heard(l.Upstream, len(answers) > 0, took, position)
	if err == nil {
		return
	}
	var full *connector.QueueError
	var connect *connector.ConnectError
	if !errors.As(err, &full) && (!errors.As(err, &connect) || connect.Failure == connector.FailureNone) {
		board.Doubt(context.WithoutCancel(ctx), l.Upstream)
	}
	r.session.server.Log.Info(logger.EventUpstreamConnectionLost, zap.String("request", r.statement.ID), zap.String("upstream", l.Upstream), zap.Error(err))
}

// sampled keeps positions that prove that the primary led.
func (r *request) sampled(asked time.Time, q connector.Request, a connector.Answer) {
	if q.Verb == connector.VerbBegin && !q.ReadOnly {
		r.session.server.Board.Sampled(r.route.Service, asked, a.Position)
	}
}

// unanswered turns the error of a run into an outcome.
func (r *request) unanswered(err error, upstream string) *outcome {
	var run *connector.RunError
	if errors.As(err, &run) && run.Sent {
		return &outcome{refusal: refuser.Wrap(refuser.ReasonUpstreamLost, "upstream "+upstream, err), upstream: upstream, again: r.reads}
	}
	var full *connector.QueueError
	if errors.As(err, &full) {
		return &outcome{refusal: refuser.Wrap(refuser.ReasonPoolFull, "upstream "+upstream, err), upstream: upstream, again: true}
	}
	return &outcome{refusal: refuser.Wrap(refuser.ReasonNoUpstream, "statement was not sent", err), upstream: upstream, again: true}
}

// failed turns an upstream's failure into an outcome.
func (r *request) failed(a connector.Answer, q connector.Request, upstream string) *outcome {
	detail := "upstream " + upstream + ": " + a.Detail
	out := &outcome{upstream: upstream, again: a.Failure.NotRun() || r.reads || q.Verb != connector.VerbForward}
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

// remaining is the time left for the statement.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) - answerReserve }

// attemptDeadline leaves time for a second attempt at a read whose answer may
// be lost.
func (r *request) attemptDeadline() time.Time {
	if r.attempts > 1 {
		return r.deadline
	}
	return time.Now().Add(time.Until(r.deadline) / 2)
}

const (
	// holdPart is the part of the latency objective for which a request waits for
	// an upstream while none can be asked: longer than most promotions take.
	holdPart = 2
	// cutOffHoldPart is that part on a host that no news would reach. Another host
	// may serve the caller.
	cutOffHoldPart = 10
)

// canHold reports whether the request may go on waiting for an upstream that can
// be asked.
func (r *request) canHold() bool {
	objective, part := r.route.TargetLatency, time.Duration(holdPart)
	if objective <= 0 {
		objective = defaultTimeout
	}
	if connected := r.session.server.Connected; connected != nil && !connected() {
		part = cutOffHoldPart
	}
	return time.Since(r.begun) < objective/part
}

// pause waits for news of the view, at most for a time. It returns false when
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

// candidates describes the upstreams of the route's service for a read.
func (r *request) candidates(view *keeper.View, excluded map[string]bool) []balancer.Candidate {
	server := r.session.server
	upstreams := view.ByService(r.route.Service)
	candidates := make([]balancer.Candidate, 0, len(upstreams))
	for _, u := range upstreams {
		if u.Life != keeper.LifeReady || excluded[u.ID] {
			continue
		}
		c := balancer.Candidate{
			ID: u.ID, Distance: server.Place.DistanceTo(u.DataCentre), Primary: view.Primaries[r.route.Service] == u.ID, Slots: u.Slots,
		}
		server.Board.Describe(&c)
		c.Suspect = server.isSuspect(u)
		candidates = append(candidates, c)
	}
	return candidates
}

// fields describes the decision for the log.
func (r *request) fields(out outcome) []zap.Field {
	fields := []zap.Field{
		zap.String("request", r.statement.ID), zap.String("route", r.route.Name), zap.String("kind", string(r.route.Kind)),
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
