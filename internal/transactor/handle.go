package transactor

import (
	"context"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/budgeter"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/permitter"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// handle executes one statement.
func (s *session) handle(ctx context.Context, st Statement) Reply {
	if s.tx != nil && s.tx.failure != nil {
		return s.handleFailed(st)
	}
	if reply, ok := s.refused.refuse(st); ok {
		s.logRefusal(st, reply.Refusal)
		return reply
	}
	switch st.Verb {
	case VerbSet, VerbPrepare, VerbClose:
		return s.handleLocal(st)
	}
	arrived := s.server.Now()
	view, _ := s.server.View()
	route, organisation, refusal := s.authorise(view)
	if refusal != nil {
		return s.refuse(st, view, refusal)
	}
	if s.tx != nil && s.tx.lease != nil {
		route = s.tx.route
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r := &request{
		session: s, statement: st, route: route, organisation: organisation.Name, arrived: arrived,
		permitted: permitter.Effective(route.PermittedRegions, organisation.PermittedRegions),
		deadline:  s.server.deadline(timeout), startedAt: time.Now(), version: view.Configuration.Version,
	}
	if refusal := r.classify(); refusal != nil {
		return s.refuse(st, view, refusal)
	}
	if s.tx == nil {
		return s.handleOutsideTransaction(ctx, view, r, organisation)
	}
	return s.handleInTransaction(ctx, view, r)
}

// handleOutsideTransaction executes a statement that arrives while no
// transaction is open.
func (s *session) handleOutsideTransaction(ctx context.Context, view *keeper.View, r *request, o keeper.Organisation) Reply {
	st := r.statement
	if st.Verb != VerbBegin && !r.reads && !r.writes {
		return s.refuse(st, view, refuser.New(refuser.ReasonProtocolViolation, string(st.Verb)+" outside a transaction"))
	}
	if refusal := s.admit(ctx, r.route, o); refusal != nil {
		return s.refuse(st, view, refusal)
	}
	if st.Verb == VerbBegin {
		s.tx = newTransaction(r)
		return Reply{State: connector.StateInTransaction}
	}
	if r.writes {
		return s.finish(r, r.write(ctx))
	}
	if r.route.Consistency == keeper.ConsistencyPrimary {
		return s.finish(r, r.readPrimary(ctx))
	}
	return s.finish(r, r.readReplica(ctx))
}

const (
	// tokenWaitDivisor divides the latency objective to get the longest wait of
	// an operation for its rate limit token. maxTokenWait bounds that wait.
	tokenWaitDivisor = 3
	maxTokenWait     = 500 * time.Millisecond
)

// admit takes a token from the organisation's rate limit. Public routes have no
// organisation and no limit.
func (s *session) admit(ctx context.Context, route keeper.Route, o keeper.Organisation) *refuser.Refusal {
	if o.Name == "" || s.server.Admit == nil {
		return nil
	}
	maxWait := min(route.TargetLatency/tokenWaitDivisor, maxTokenWait)
	a := s.server.Admit(o, maxWait)
	if !a.Admitted {
		detail := fmt.Sprintf("organisation %s, rate %g, burst %g, share %.3f, tokens %.2f", o.Name, o.Rate, o.Burst, a.Share, a.Tokens)
		refusal := refuser.New(refuser.ReasonRateExceeded, detail)
		refusal.RetryAfter = s.server.jitter(a.RetryAfter)
		return refusal
	}
	if a.Wait <= 0 {
		return nil
	}
	select {
	case <-time.After(a.Wait):
	case <-ctx.Done():
	}
	return nil
}

// handleInTransaction executes a statement of an open transaction.
func (s *session) handleInTransaction(ctx context.Context, view *keeper.View, r *request) Reply {
	st := r.statement
	switch {
	case st.Verb == VerbRollback:
		s.tx.rollBack()
		s.tx = nil
		return Reply{State: connector.StateIdle}
	case s.tx.organisation != r.organisation:
		return s.refuse(st, view, refuser.New(refuser.ReasonTransactionLost, "the caller's key has passed from organisation "+s.tx.organisation+" to "+r.organisation))
	case st.Verb == VerbCommit:
		out := s.tx.commit(ctx, r)
		s.tx = nil
		return s.finish(r, out)
	case r.reads || r.writes:
		out := s.tx.run(ctx, r)
		if out.refusal != nil {
			s.tx.failure = out.refusal
		}
		return s.finish(r, out)
	}
	return Reply{Refusal: refuser.New(refuser.ReasonProtocolViolation, string(st.Verb)+" inside a transaction"), State: connector.StateInTransaction}
}

// handleFailed replies to a statement of a failed transaction: only a rollback
// or commit, which ends it, is accepted.
func (s *session) handleFailed(st Statement) Reply {
	switch st.Verb {
	case VerbRollback:
		s.tx = nil
		return Reply{State: connector.StateIdle}
	case VerbCommit:
		refusal := refuser.New(refuser.ReasonTransactionLost, s.tx.failure.Detail)
		if s.tx.ranOutside {
			refusal = s.tx.failure
		}
		s.tx = nil
		s.logRefusal(st, refusal)
		return Reply{Refusal: refusal, State: connector.StateIdle}
	}
	return Reply{Refusal: refuser.New(refuser.ReasonProtocolViolation, "transaction has failed"), State: connector.StateFailed}
}

// logRefusal logs a statement that was refused because of its transaction.
func (s *session) logRefusal(st Statement, refusal *refuser.Refusal) {
	s.server.Log.Warn(logger.EventRequestRefused, zap.String("request", st.ID), zap.String("reason", string(refusal.Reason)), zap.String("detail", refusal.Detail))
}

// handleLocal stores session values and prepared statements. They are sent to
// an upstream only when a statement needs them.
func (s *session) handleLocal(st Statement) Reply {
	state := connector.StateIdle
	if s.tx != nil {
		state = connector.StateInTransaction
	}
	var refusal *refuser.Refusal
	switch st.Verb {
	case VerbSet:
		if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxValues {
			refusal = refuser.New(refuser.ReasonBatchTooLarge, "session holds too many values")
			break
		}
		if old, ok := s.values[st.Name]; !s.changeKept(keptChange(st, old, ok)) {
			refusal = refuser.New(refuser.ReasonBatchTooLarge, budgeter.ErrUsedUp.Error())
			break
		}
		s.values[st.Name] = st.Value
	case VerbPrepare:
		if _, ok := s.prepared[st.Name]; !ok && len(s.prepared) >= maxPrepared {
			refusal = refuser.New(refuser.ReasonBatchTooLarge, "session holds too many prepared statements")
			break
		}
		if old, ok := s.prepared[st.Name]; !s.changeKept(keptChange(st, old.value, ok)) {
			refusal = refuser.New(refuser.ReasonBatchTooLarge, budgeter.ErrUsedUp.Error())
			break
		}
		s.prepared[st.Name] = preparedStatement{value: st.Value, name: upstreamStatementName(st.Value), readOnly: st.ReadOnly}
	case VerbClose:
		if old, ok := s.prepared[st.Name]; ok {
			s.changeKept(-len(st.Name) - len(old.value))
		}
		delete(s.prepared, st.Name)
	}
	return Reply{Refusal: refusal, State: state}
}

// upstreamStatementName returns the name of a prepared statement on upstreams.
// It depends only on the statement's access and shape, so that all sessions
// share it.
func upstreamStatementName(value string) string {
	h := fnv.New128a()
	_, _ = h.Write([]byte(value))
	return "p" + hex.EncodeToString(h.Sum(nil))
}

// refuse replies to a statement that was not executed. An open transaction is
// rolled back, since it lacks that statement.
func (s *session) refuse(st Statement, view *keeper.View, refusal *refuser.Refusal) Reply {
	s.server.Log.Warn(logger.EventRequestRefused,
		zap.String("request", st.ID), zap.String("route", s.startup.Route), zap.String("verb", string(st.Verb)),
		zap.String("reason", string(refusal.Reason)), zap.String("detail", refusal.Detail),
		zap.Uint64("version", view.Configuration.Version), zap.Duration("retry_after", refusal.RetryAfter))
	if s.tx == nil {
		if st.Verb == VerbBegin {
			s.refused.id = st.ID
		}
		return Reply{Refusal: refusal, State: connector.StateIdle}
	}
	s.tx.rollBack()
	if st.Verb == VerbCommit || st.Verb == VerbRollback {
		s.tx = nil
		return Reply{Refusal: refusal, State: connector.StateIdle}
	}
	s.tx.failure = refusal
	return Reply{Refusal: refusal, State: connector.StateFailed}
}

// finish converts an outcome into a reply and logs the decision.
func (s *session) finish(r *request, out outcome) Reply {
	state := connector.StateIdle
	if s.tx != nil {
		state = connector.StateInTransaction
		if s.tx.failure != nil {
			state = connector.StateFailed
		}
	}
	if out.refusal != nil {
		s.server.Log.Warn(logger.EventRequestRefused, r.fields(out)...)
		return Reply{Refusal: out.refusal, State: state}
	}
	s.server.Log.Debug(logger.EventRequestServed, r.fields(out)...)
	return Reply{Body: out.answer.Body, State: state, Position: out.answer.Position}
}
