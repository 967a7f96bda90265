package server

import (
	"context"
	"time"

	"github.com/shallotstage/shallotstage/internal/pauser"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/router"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// pollInterval limits each wait for an upstream, so that a new configuration is
// noticed.
const pollInterval = 20 * time.Millisecond

// attempt routes one request, including its retries.
type attempt struct {
	session       *session
	request       *request
	start         time.Time
	needPrimary   bool
	floor         tracker.Position
	floorResolved bool
	excluded      map[string]bool
}

// acquire waits for an upstream and takes a connection to it.
func (a *attempt) acquire(ctx context.Context) (*exchange, *pooler.Pool, *refuser.Refusal) {
	c := a.session
	s := c.server
	groupStatus := s.Watcher.GroupStatus(c.group)
	if r := a.resolveFloor(ctx); r != nil {
		return nil, nil, r
	}
	var endDemand func()
	defer func() {
		if endDemand != nil {
			endDemand()
		}
	}()
	for {
		changed := groupStatus.Changed()
		state := s.State()
		g := state.Groups[c.group]
		q := router.Request{NeedPrimary: a.needPrimary, Floor: a.floor, Waited: time.Since(a.start), Excluded: a.excluded}
		choice := s.Router.Choose(q, g, s.candidates(state, g))
		switch choice.Action {
		case router.ActionRefuse:
			return nil, nil, refuser.New(refuser.ReasonNoUpstream, "group "+c.group)
		case router.ActionWait:
			if endDemand == nil {
				endDemand = groupStatus.ExpediteProbes()
			}
			if err := pauser.WaitChange(ctx, changed, min(choice.Wait, pollInterval)); err != nil {
				return nil, nil, refuser.Wrap(refuser.ReasonNoUpstream, "group "+c.group, err)
			}
			continue
		}
		x, pool, r := a.connect(ctx, g, choice)
		if r != nil || x != nil {
			return x, pool, r
		}
		if err := pauser.WaitChange(ctx, nil, pollInterval); err != nil {
			return nil, nil, refuser.Wrap(refuser.ReasonNoUpstream, "group "+c.group, err)
		}
	}
}

// connect takes a connection to the chosen upstream. It returns nil without a
// refusal when the router must choose again.
func (a *attempt) connect(ctx context.Context, g configurer.Group, choice router.Choice) (*exchange, *pooler.Pool, *refuser.Refusal) {
	c := a.session
	primary := choice.Action == router.ActionPrimary
	t := target{group: g.ID, upstream: choice.Upstream, term: g.Term, primary: primary}
	if primary && !c.server.MayAcknowledge(t.group, t.upstream, t.term) {
		return nil, nil, a.refuseAfterWait("lease on the primary")
	}
	pool := c.server.Pools.Pool(choice.Upstream)
	if pool == nil {
		return nil, nil, a.refuseAfterWait("pool of the upstream")
	}
	conn, err := pool.Acquire(ctx, c.organisation, c.server.Limits.QueueTimeout)
	if r := refuser.AsRefusal(err); r != nil && r.Reason == refuser.ReasonPoolFull {
		return nil, nil, r
	}
	if err != nil {
		if !primary {
			a.exclude(choice.Upstream)
		}
		return nil, nil, a.refuseAfterWait("connection to the upstream")
	}
	if !primary && !g.Lineage.Includes(c.server.Watcher.GroupStatus(g.ID).Position(choice.Upstream), a.floor) {
		pool.Release(conn)
		return nil, nil, nil
	}
	return &exchange{session: c, conn: conn, target: t, request: a.request}, pool, nil
}

// refuseAfterWait returns a refusal once the request has waited for
// PrimaryWait, and nil before that.
func (a *attempt) refuseAfterWait(what string) *refuser.Refusal {
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

// retryReadOnly prepares a retry after an upstream rejected a write as
// read-only.
func (a *attempt) retryReadOnly(x *exchange) bool {
	if time.Since(a.start) >= a.session.server.Router.PrimaryWait {
		return false
	}
	if x.target.primary {
		// A primary that rejects writes has just been replaced. Wait for its
		// successor.
		_ = pauser.WaitChange(context.Background(), nil, pollInterval)
	}
	a.needPrimary = true
	return a.spendRetry()
}

// retryFailed prepares a retry after a failure before which nothing ran.
func (a *attempt) retryFailed(x *exchange) bool {
	if !x.target.primary {
		a.exclude(x.target.upstream)
	}
	return time.Since(a.start) < a.session.server.Router.PrimaryWait && a.spendRetry()
}

func (a *attempt) spendRetry() bool {
	if !a.session.server.RetryBudget.TryWithdraw() {
		return false
	}
	a.session.server.Meter.AddRetry()
	return true
}

// resolveFloor determines the position that a read must have reached, the
// floor. A session whose last write is unknown queries the primary's position
// once, unless it accepts stale data up to a given age.
func (a *attempt) resolveFloor(ctx context.Context) *refuser.Refusal {
	if a.needPrimary || a.floorResolved {
		return nil
	}
	a.floorResolved = true
	c := a.session
	recent, known := tracker.Position{}, false
	if c.maxAge > 0 {
		recent, known = c.server.Watcher.GroupStatus(c.group).MinReadPosition(time.Now(), c.maxAge)
	}
	if !known && (c.maxAge > 0 || !c.floorKnown) {
		p, r := a.queryPrimaryPosition(ctx)
		if r != nil {
			return r
		}
		recent = p
		if c.maxAge == 0 {
			c.raiseFloor(p)
		}
	}
	a.floor = c.floor
	if a.floor.Less(recent) {
		a.floor = recent
	}
	return nil
}

// queryPrimaryPosition waits until the primary has reported its position as of
// now.
func (a *attempt) queryPrimaryPosition(ctx context.Context) (tracker.Position, *refuser.Refusal) {
	c := a.session
	ctx, cancel := context.WithTimeout(ctx, c.server.Limits.PrimaryPositionTimeout)
	defer cancel()
	p, err := c.server.Watcher.GroupStatus(c.group).WaitPrimaryPosition(ctx, time.Now())
	if err != nil {
		return p, refuser.Wrap(refuser.ReasonNoFloor, "group "+c.group, err)
	}
	return p, nil
}

// candidates returns the upstreams of a group as the router's candidates.
func (s *Server) candidates(state *configurer.State, g configurer.Group) []router.Candidate {
	statuses := s.Watcher.GroupStatus(g.ID).Statuses()
	candidates := make([]router.Candidate, 0, len(g.Members))
	for _, id := range g.Members {
		u, ok := state.Upstreams[id]
		pool := s.Pools.Pool(id)
		if !ok || pool == nil {
			continue
		}
		status := statuses[id]
		used, limit := pool.Load()
		candidates = append(candidates, router.Candidate{
			ID: id, Region: u.Region, DataCentre: u.DataCentre, Serving: u.AcceptsRequests() && status.Reachable,
			Position: status.Position, InFlight: used, Limit: limit, Latency: status.Latency,
		})
	}
	return candidates
}
