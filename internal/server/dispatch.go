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

// serve answers one unit. The error is not nil when the session must end.
func (c *session) serve(ctx context.Context, u *unit) error {
	if u.failure != nil {
		return c.refuseWith(u, u.failure)
	}
	if c.aborted {
		return c.serveAborted(u)
	}
	if u.isEmpty() && c.bound == nil {
		return c.finish(txIdle)
	}
	if r := c.admit(ctx, u); r != nil {
		return c.refuse(u, r)
	}
	if c.bound != nil {
		return c.serveBound(ctx, u)
	}
	return c.serveRouted(ctx, u)
}

// admit checks everything that can refuse a unit before it is routed.
func (c *session) admit(ctx context.Context, u *unit) *refuser.Refusal {
	s := c.server
	if r := u.check(); r != nil {
		return r
	}
	if !c.open && !s.Authority() {
		return refuser.New(refuser.ReasonNoAuthority, "")
	}
	if r := c.standing(s.State()); r != nil {
		return r
	}
	for _, st := range u.executed {
		if st.Class != classifier.ClassSet {
			continue
		}
		if err := c.checkSetting(st.Setting, st.Value); err != nil {
			return refuser.Wrap(refuser.ReasonUnsupported, err.Error(), err)
		}
	}
	s.Retries.Earn()
	if n := len(u.executed); n > 0 {
		return s.Limit(ctx, c.organisation, n, c.bound != nil)
	}
	return nil
}

// serveBound runs a unit on the connection that the session holds.
func (c *session) serveBound(ctx context.Context, u *unit) error {
	b := c.bound
	x := &exchange{session: c, conn: b.conn, target: b.target, unit: u, inTransaction: b.open && !b.implicit}
	if err := c.runExchange(ctx, x, b.pool); err != nil {
		return c.breakOff(u, x, err)
	}
	return c.conclude(ctx, u, x, b.pool)
}

// serveRouted chooses an upstream for a unit and runs it there. A unit that
// certainly did not run is tried again within the retry budget.
func (c *session) serveRouted(ctx context.Context, u *unit) error {
	attempt := &attempt{session: c, unit: u, start: time.Now(), needPrimary: u.needsPrimary()}
	for {
		x, pool, r := attempt.acquire(ctx)
		if r != nil {
			return c.refuse(u, r)
		}
		err := c.runExchange(ctx, x, pool)
		if err == nil && x.failed == stateReadOnly && !x.relayed && !x.reported {
			// The upstream refused to write and has committed nothing.
			if attempt.retryReadOnly(x) {
				x.retract()
				c.release(x, pool)
				continue
			}
		}
		if err == nil {
			return c.conclude(ctx, u, x, pool)
		}
		if r := refuser.From(err); r != nil && !x.sent {
			pool.Return(x.conn)
			return c.refuse(u, r)
		}
		pool.Discard(x.conn)
		c.clearRunning()
		if x.verdict() == refuser.NotRun && c.revocation() == nil && !isCallerError(err) && attempt.retryFailed(x) {
			x.retract()
			continue
		}
		return c.breakOff(u, x, err)
	}
}

// runExchange runs an exchange while it holds a slot of the upstream.
func (c *session) runExchange(ctx context.Context, x *exchange, pool *pooler.Pool) error {
	queued := time.Now()
	if err := pool.StartStatement(ctx, c.organisation, c.server.Bounds.QueueTimeout); err != nil {
		return err
	}
	start := time.Now()
	c.server.Meter.Queued(start.Sub(queued))
	defer func() { pool.EndStatement(c.organisation, time.Since(start)) }()
	c.setRunning(x.conn)
	return x.run(ctx)
}

// conclude ends a unit whose exchange is complete.
func (c *session) conclude(ctx context.Context, u *unit, x *exchange, pool *pooler.Pool) error {
	c.server.Meter.Served(c.organisation, targetOf(x), len(u.executed))
	if x.failed == "" {
		c.takeSettings(u, x)
	}
	c.rebind(u, x, pool)
	if u.end == endFlush {
		c.skipping = x.failed != ""
		c.countServed(u)
		return c.flush()
	}
	if x.reported {
		c.raiseFloor(x.position)
	}
	if r := x.confirm(ctx); r != nil {
		x.retract()
		return c.refuse(u, r)
	}
	if x.reported && x.target.primary {
		if err := c.emit(&pgproto3.ParameterStatus{Name: settingToken, Value: c.token().String()}); err != nil {
			return err
		}
	}
	c.countServed(u)
	return c.finish(x.status)
}

func targetOf(x *exchange) meter.Target {
	if x.target.primary {
		return meter.TargetPrimary
	}
	return meter.TargetReplica
}

func (c *session) token() tracker.Token { return tracker.Token{Group: c.group, Position: c.floor} }

// takeSettings takes over settings that the unit made. Inside a transaction
// they count only when it commits.
func (c *session) takeSettings(u *unit, x *exchange) {
	if x.status == txIdle {
		var pending []classifier.Statement
		if c.bound != nil && !u.has(classifier.ClassRollback) {
			pending = c.bound.pending
		}
		c.settleSettings(x.conn.Settings, append(pending, u.executed...))
	}
	for _, st := range u.executed {
		if st.Class == classifier.ClassDiscard && st.Setting == "all" {
			clear(c.statements)
			c.resetSetting("all")
		}
	}
}

// rebind keeps, binds or releases the connection after a unit.
func (c *session) rebind(u *unit, x *exchange, pool *pooler.Pool) {
	pins := u.has(classifier.ClassPin) || c.bound != nil && c.bound.pinned
	open := x.status != txIdle || u.end == endFlush
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
	c.bound.implicit = u.end == endFlush && !x.inTransaction && !u.begins()
	if open {
		c.bound.pending = append(c.bound.pending, u.executed...)
	} else {
		c.bound.pending = nil
	}
}

// release gives the connection back, or closes it when its state is in doubt.
func (c *session) release(x *exchange, pool *pooler.Pool) {
	c.bound = nil
	cancelled := c.clearRunning()
	tainted := x.unit.has(classifier.ClassDiscard) || x.failed != "" && x.unit.has(classifier.ClassSet)
	if cancelled || tainted || x.status != txIdle {
		pool.Discard(x.conn)
		return
	}
	pool.Return(x.conn)
}

// breakOff ends a unit whose exchange failed.
func (c *session) breakOff(u *unit, x *exchange, err error) error {
	inTransaction := x.inTransaction
	if c.bound != nil {
		c.dropBinding()
	}
	if isCallerError(err) {
		return err
	}
	x.retract()
	r := refuser.From(err)
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
	return c.refuse(u, r)
}

func isCallerError(err error) bool {
	var ce *callerError
	return errors.As(err, &ce)
}

// refuse answers a unit with a refusal. A transaction that is open is ended.
func (c *session) refuse(u *unit, r *refuser.Refusal) error {
	c.countRefused(u, r)
	if c.bound != nil {
		c.aborted = c.bound.open
		c.dropBinding()
	}
	if err := c.refuseWith(u, r.Response()); err != nil {
		return err
	}
	if r.Reason.Fatal() {
		return r
	}
	return nil
}

// refuseWith answers a unit with an error.
func (c *session) refuseWith(u *unit, e *pgproto3.ErrorResponse) error {
	if err := c.emit(e); err != nil {
		return err
	}
	if u.end == endFlush {
		c.skipping = true
		return c.flush()
	}
	return c.finish(c.txStatus())
}

// finish ends an answer with ReadyForQuery.
func (c *session) finish(status byte) error {
	if err := c.emit(&pgproto3.ReadyForQuery{TxStatus: status}); err != nil {
		return err
	}
	return c.flush()
}
