package server

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/internal/meter"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/pkg/classifier"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/router"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// waitStep bounds a wait of the router, so that a new configuration is seen.
const waitStep = 20 * time.Millisecond

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
	x := &exchange{session: c, conn: b.conn, target: b.target, unit: u, inTransaction: !b.pinned}
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
		if err == nil && x.failed == stateReadOnly && !x.relayed {
			// The upstream refused to write, so nothing ran.
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
	queueCtx, cancel := context.WithTimeout(ctx, c.server.Bounds.QueueTimeout)
	queued := time.Now()
	err := pool.StartStatement(queueCtx, c.organisation)
	cancel()
	if err != nil {
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
		return c.flush()
	}
	if x.reported && x.failed == "" {
		c.raiseFloor(x.position)
	}
	if r := x.confirm(ctx); r != nil {
		x.retract()
		return c.refuse(u, r)
	}
	if x.reported && x.failed == "" && x.target.primary {
		if err := c.emit(&pgproto3.ParameterStatus{Name: settingToken, Value: c.token().String()}); err != nil {
			return err
		}
	}
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
	c.bound.pinned = pins && !open
	if open {
		c.bound.pending = append(c.bound.pending, u.executed...)
	}
}

// release gives the connection back, or closes it when its state is in doubt.
func (c *session) release(x *exchange, pool *pooler.Pool) {
	c.bound = nil
	cancelled := c.clearRunning()
	tainted := x.unit.has(classifier.ClassDiscard) || x.failed != "" && x.unit.has(classifier.ClassSet)
	if cancelled || tainted {
		pool.Discard(x.conn)
		return
	}
	x.conn.SetDeadline(time.Time{})
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
	c.server.Meter.Refused(r)
	if c.bound != nil {
		c.aborted = !c.bound.pinned
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

// attempt is the routing of one unit over its tries.
type attempt struct {
	session     *session
	unit        *unit
	start       time.Time
	needPrimary bool
	floor       tracker.Position
	floorReady  bool
	excluded    map[string]bool
}

// acquire waits for an upstream and takes a connection to it.
func (a *attempt) acquire(ctx context.Context) (*exchange, *pooler.Pool, *refuser.Refusal) {
	c := a.session
	s := c.server
	board := s.Watcher.Board(c.group)
	if r := a.prepareFloor(ctx); r != nil {
		return nil, nil, r
	}
	var endDemand func()
	defer func() {
		if endDemand != nil {
			endDemand()
		}
	}()
	for {
		changed := board.Changed()
		state := s.State()
		g := state.Groups[c.group]
		q := router.Request{NeedPrimary: a.needPrimary, Floor: a.floor, Waited: time.Since(a.start), Excluded: a.excluded}
		choice := s.Router.Choose(q, g, s.candidates(state, g))
		switch choice.Action {
		case router.ActionRefuse:
			return nil, nil, refuser.New(refuser.ReasonNoUpstream, "group "+c.group)
		case router.ActionWait:
			if endDemand == nil {
				endDemand = board.Demand()
			}
			if err := pauseUntil(ctx, changed, min(choice.Wait, waitStep)); err != nil {
				return nil, nil, refuser.Wrap(refuser.ReasonNoUpstream, "group "+c.group, err)
			}
			continue
		}
		x, pool, r := a.take(ctx, g, choice)
		if r != nil || x != nil {
			return x, pool, r
		}
		if err := pauseUntil(ctx, nil, waitStep); err != nil {
			return nil, nil, refuser.Wrap(refuser.ReasonNoUpstream, "group "+c.group, err)
		}
	}
}

// take opens the chosen upstream. It returns nil without a refusal when the
// router must choose again.
func (a *attempt) take(ctx context.Context, g configurer.Group, choice router.Choice) (*exchange, *pooler.Pool, *refuser.Refusal) {
	c := a.session
	primary := choice.Action == router.ActionPrimary
	t := target{group: g.ID, upstream: choice.Upstream, term: g.Term, primary: primary}
	if primary && !c.server.Fence(t.group, t.upstream, t.term) {
		return nil, nil, a.giveUp("lease on the primary")
	}
	pool := c.server.Pools.Pool(choice.Upstream)
	if pool == nil {
		return nil, nil, a.giveUp("pool of the upstream")
	}
	ctx, cancel := context.WithTimeout(ctx, c.server.Bounds.QueueTimeout)
	defer cancel()
	conn, err := pool.Take(ctx, c.organisation)
	if r := refuser.From(err); r != nil && r.Reason == refuser.ReasonPoolFull {
		return nil, nil, r
	}
	if err != nil {
		if !primary {
			a.exclude(choice.Upstream)
		}
		return nil, nil, a.giveUp("connection to the upstream")
	}
	if !primary && !g.Lineage.Holds(c.server.Watcher.Board(g.ID).Position(choice.Upstream), a.floor) {
		pool.Return(conn)
		return nil, nil, nil
	}
	return &exchange{session: c, conn: conn, target: t, unit: a.unit}, pool, nil
}

// giveUp returns a refusal when the unit has waited for too long.
func (a *attempt) giveUp(what string) *refuser.Refusal {
	if time.Since(a.start) < a.session.server.Router.PrimaryWait {
		return nil
	}
	return refuser.New(refuser.ReasonNoUpstream, "group "+a.session.group+": no "+what)
}

func (a *attempt) exclude(upstream string) {
	if a.excluded == nil {
		a.excluded = map[string]bool{}
	}
	a.excluded[upstream] = true
}

// retryReadOnly prepares a retry after an upstream refused to write.
func (a *attempt) retryReadOnly(x *exchange) bool {
	if time.Since(a.start) >= a.session.server.Router.PrimaryWait {
		return false
	}
	if x.target.primary {
		// A primary that refuses was replaced a moment ago. Wait for the
		// next one.
		_ = pauseUntil(context.Background(), nil, waitStep)
	}
	a.needPrimary = true
	return a.spend()
}

// retryFailed prepares a retry after a failure that ran nothing.
func (a *attempt) retryFailed(x *exchange) bool {
	if !x.target.primary {
		a.exclude(x.target.upstream)
	}
	return time.Since(a.start) < a.session.server.Router.PrimaryWait && a.spend()
}

func (a *attempt) spend() bool {
	if !a.session.server.Retries.Spend() {
		return false
	}
	a.session.server.Meter.Retried()
	return true
}

// prepareFloor finds the position that a read must hold. A session whose
// writes are unknown asks the primary once, unless it accepts data of a stated
// age.
func (a *attempt) prepareFloor(ctx context.Context) *refuser.Refusal {
	if a.needPrimary || a.floorReady {
		return nil
	}
	a.floorReady = true
	c := a.session
	board := c.server.Watcher.Board(c.group)
	if c.maxAge > 0 {
		p, ok := board.AgeFloor(time.Now(), c.maxAge)
		if !ok {
			return c.askFloor(ctx, a, board.FloorSince)
		}
		a.floor = p
	} else if !c.floorKnown {
		if r := c.askFloor(ctx, a, board.FloorSince); r != nil {
			return r
		}
		c.raiseFloor(a.floor)
	}
	if a.floor.Less(c.floor) {
		a.floor = c.floor
	}
	return nil
}

// askFloor waits for the primary's position as of now.
func (c *session) askFloor(ctx context.Context, a *attempt, ask func(context.Context, time.Time) (tracker.Position, error)) *refuser.Refusal {
	ctx, cancel := context.WithTimeout(ctx, c.server.Bounds.FloorTimeout)
	defer cancel()
	p, err := ask(ctx, time.Now())
	if err != nil {
		return refuser.Wrap(refuser.ReasonNoFloor, "group "+c.group, err)
	}
	a.floor = p
	if p.Less(c.floor) {
		a.floor = c.floor
	}
	return nil
}

// candidates describes the upstreams of a group to the router.
func (s *Server) candidates(state *configurer.State, g configurer.Group) []router.Candidate {
	sights := s.Watcher.Board(g.ID).Sights()
	candidates := make([]router.Candidate, 0, len(g.Members))
	for _, id := range g.Members {
		u, ok := state.Upstreams[id]
		pool := s.Pools.Pool(id)
		if !ok || pool == nil {
			continue
		}
		sight := sights[id]
		used, limit := pool.Load()
		candidates = append(candidates, router.Candidate{
			ID: id, Region: u.Region, DataCentre: u.DataCentre, Serving: u.TakesWork() && sight.Reachable,
			Position: sight.Position, InFlight: used, Limit: limit, Latency: sight.Latency,
		})
	}
	return candidates
}

// pauseUntil waits for a change or for d.
func pauseUntil(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
