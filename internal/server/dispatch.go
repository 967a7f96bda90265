package server

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/internal/meter"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/pkg/classifier"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// serve answers one request. A non-nil error means that the session must end.
func (c *session) serve(ctx context.Context, req *request) error {
	if req.failure != nil {
		return c.respondError(req, req.failure)
	}
	if c.aborted {
		return c.serveAborted(req)
	}
	if req.isEmpty() && c.bound == nil {
		return c.finishResponse(txIdle)
	}
	if r := c.admit(ctx, req); r != nil {
		return c.refuse(req, r)
	}
	if c.bound != nil {
		return c.serveBound(ctx, req)
	}
	return c.serveRouted(ctx, req)
}

// admit runs all checks that can refuse a request before it is routed.
func (c *session) admit(ctx context.Context, req *request) *refuser.Refusal {
	s := c.server
	if r := req.validate(); r != nil {
		return r
	}
	if !c.openRoute && !s.LeaseValid() {
		return refuser.New(refuser.ReasonNoAuthority, "")
	}
	if r := c.checkAccess(s.State()); r != nil {
		return r
	}
	for _, st := range req.executed {
		if st.Class != classifier.ClassSet {
			continue
		}
		if err := c.checkSetting(st.Setting, st.Value); err != nil {
			return refuser.Wrap(refuser.ReasonUnsupported, err.Error(), err)
		}
	}
	s.RetryBudget.Deposit()
	if n := len(req.executed); n > 0 {
		return s.RateLimit(ctx, c.organisation, n, c.bound != nil)
	}
	return nil
}

// serveBound runs a request on the connection that is bound to the session.
func (c *session) serveBound(ctx context.Context, req *request) error {
	b := c.bound
	x := &exchange{session: c, conn: b.conn, target: b.target, request: req, inTransaction: b.open && !b.implicit}
	if err := c.runExchange(ctx, x, b.pool); err != nil {
		return c.failRequest(req, x, err)
	}
	return c.completeRequest(ctx, req, x, b.pool)
}

// serveRouted chooses an upstream for a request and runs it there. A request
// that certainly did not run is retried within the retry budget.
func (c *session) serveRouted(ctx context.Context, req *request) error {
	a := &attempt{session: c, request: req, start: time.Now(), needPrimary: req.needsPrimary()}
	for {
		x, pool, r := a.acquire(ctx)
		if r != nil {
			return c.refuse(req, r)
		}
		err := c.runExchange(ctx, x, pool)
		if err == nil && x.sqlstate == sqlstateReadOnly && !x.relayed && !x.positionReported {
			// The upstream rejected the write as read-only and has committed
			// nothing.
			if a.retryReadOnly(x) {
				x.truncateResponse()
				c.release(x, pool)
				continue
			}
		}
		if err == nil {
			return c.completeRequest(ctx, req, x, pool)
		}
		if r := refuser.AsRefusal(err); r != nil && !x.sent {
			pool.Release(x.conn)
			return c.refuse(req, r)
		}
		pool.Discard(x.conn)
		c.clearCancelTarget()
		if x.verdict() == refuser.NotRun && c.revocation() == nil && !isClientError(err) && a.retryFailed(x) {
			x.truncateResponse()
			continue
		}
		return c.failRequest(req, x, err)
	}
}

// runExchange runs an exchange while it holds a slot of the upstream.
func (c *session) runExchange(ctx context.Context, x *exchange, pool *pooler.Pool) error {
	queued := time.Now()
	if err := pool.StartStatement(ctx, c.organisation, c.server.Limits.QueueTimeout); err != nil {
		return err
	}
	start := time.Now()
	c.server.Meter.ObserveQueueTime(start.Sub(queued))
	defer func() { pool.EndStatement(c.organisation, time.Since(start)) }()
	c.setCancelTarget(x.conn)
	return x.run(ctx)
}

// completeRequest finishes a request whose exchange is complete.
func (c *session) completeRequest(ctx context.Context, req *request, x *exchange, pool *pooler.Pool) error {
	c.server.Meter.AddServed(c.organisation, meterTarget(x), len(req.executed))
	if x.sqlstate == "" {
		c.recordSettings(req, x)
	}
	c.updateBinding(req, x, pool)
	if req.end == endFlush {
		c.skippingToSync = x.sqlstate != ""
		c.countServed(req)
		return c.flush()
	}
	if x.positionReported {
		c.raiseFloor(x.position)
	}
	if r := x.confirmCommit(ctx); r != nil {
		x.truncateResponse()
		return c.refuse(req, r)
	}
	if x.positionReported && x.target.primary {
		if err := c.emit(&pgproto3.ParameterStatus{Name: settingToken, Value: c.token().String()}); err != nil {
			return err
		}
	}
	c.countServed(req)
	return c.finishResponse(x.status)
}

func meterTarget(x *exchange) meter.Target {
	if x.target.primary {
		return meter.TargetPrimary
	}
	return meter.TargetReplica
}

func (c *session) token() tracker.CausalToken {
	return tracker.CausalToken{Group: c.group, Position: c.floor}
}

// recordSettings stores the settings that the request changed. Inside a
// transaction they take effect only when it commits.
func (c *session) recordSettings(req *request, x *exchange) {
	if x.status == txIdle {
		var pending []classifier.Statement
		if c.bound != nil && !req.has(classifier.ClassRollback) {
			pending = c.bound.pending
		}
		c.applyExecutedSettings(x.conn.Settings, append(pending, req.executed...))
	}
	for _, st := range req.executed {
		if st.Class == classifier.ClassDiscard && st.Setting == "all" {
			clear(c.statements)
			c.resetSetting("all")
		}
	}
}

// updateBinding binds the connection to the session, keeps it bound or releases
// it after a request.
func (c *session) updateBinding(req *request, x *exchange, pool *pooler.Pool) {
	pins := req.has(classifier.ClassPin) || c.bound != nil && c.bound.pinned
	open := x.status != txIdle || req.end == endFlush
	if !open {
		clear(c.portals)
	}
	if !open && !pins {
		c.release(x, pool)
		return
	}
	if c.bound == nil {
		c.bound = &binding{conn: x.conn, pool: pool, target: x.target}
	}
	c.bound.pinned = pins
	c.bound.open = open
	c.bound.implicit = req.end == endFlush && !x.inTransaction && !req.beginsTransaction()
	if open {
		c.bound.pending = append(c.bound.pending, req.executed...)
	} else {
		c.bound.pending = nil
	}
}

// release returns the connection to the pool, or closes it when its state is
// uncertain.
func (c *session) release(x *exchange, pool *pooler.Pool) {
	c.bound = nil
	cancelled := c.clearCancelTarget()
	tainted := x.request.has(classifier.ClassDiscard) || x.sqlstate != "" && x.request.has(classifier.ClassSet)
	if cancelled || tainted || x.status != txIdle {
		pool.Discard(x.conn)
		return
	}
	pool.Release(x.conn)
}

// failRequest ends a request whose exchange failed.
func (c *session) failRequest(req *request, x *exchange, err error) error {
	inTransaction := x.inTransaction
	if c.bound != nil {
		c.closeBinding()
	}
	if isClientError(err) {
		return err
	}
	x.truncateResponse()
	r := refuser.AsRefusal(err)
	if r == nil {
		r = refuser.Wrap(refuser.ReasonUpstreamLost, "upstream "+x.target.upstream, err).WithVerdict(x.verdict())
		if inTransaction && x.verdict() == refuser.NotRun {
			r = refuser.Wrap(refuser.ReasonTransactionLost, "upstream "+x.target.upstream, err)
		}
		r.Upstream = x.target.upstream
	}
	if revoked := c.revocation(); revoked != nil {
		r = revoked.WithVerdict(r.Verdict)
	}
	c.aborted = inTransaction
	return c.refuse(req, r)
}

func isClientError(err error) bool {
	var ce *clientError
	return errors.As(err, &ce)
}

// refuse answers a request with a refusal and aborts an open transaction.
func (c *session) refuse(req *request, r *refuser.Refusal) error {
	c.countRefused(req, r)
	if c.bound != nil {
		c.aborted = c.bound.open
		c.closeBinding()
	}
	if err := c.respondError(req, r.ErrorResponse()); err != nil {
		return err
	}
	if r.Reason.Fatal() {
		return r
	}
	return nil
}

// respondError answers a request with an error.
func (c *session) respondError(req *request, e *pgproto3.ErrorResponse) error {
	if err := c.emit(e); err != nil {
		return err
	}
	if req.end == endFlush {
		c.skippingToSync = true
		return c.flush()
	}
	return c.finishResponse(c.txStatus())
}

// finishResponse ends a response with ReadyForQuery and writes it.
func (c *session) finishResponse(status byte) error {
	if err := c.emit(&pgproto3.ReadyForQuery{TxStatus: status}); err != nil {
		return err
	}
	return c.flush()
}
