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

// waitStep bounds a wait of the router, so that a new configuration is seen.
const waitStep = 20 * time.Millisecond

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
			if err := pauser.Until(ctx, changed, min(choice.Wait, waitStep)); err != nil {
				return nil, nil, refuser.Wrap(refuser.ReasonNoUpstream, "group "+c.group, err)
			}
			continue
		}
		x, pool, r := a.take(ctx, g, choice)
		if r != nil || x != nil {
			return x, pool, r
		}
		if err := pauser.Until(ctx, nil, waitStep); err != nil {
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
	conn, err := pool.Take(ctx, c.organisation, c.server.Bounds.QueueTimeout)
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
		_ = pauser.Until(context.Background(), nil, waitStep)
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
	recent, known := tracker.Position{}, false
	if c.maxAge > 0 {
		recent, known = c.server.Watcher.Board(c.group).AgeFloor(time.Now(), c.maxAge)
	}
	if !known && (c.maxAge > 0 || !c.floorKnown) {
		p, r := a.askPrimary(ctx)
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

// askPrimary waits for the primary's position as of now.
func (a *attempt) askPrimary(ctx context.Context) (tracker.Position, *refuser.Refusal) {
	c := a.session
	ctx, cancel := context.WithTimeout(ctx, c.server.Bounds.FloorTimeout)
	defer cancel()
	p, err := c.server.Watcher.Board(c.group).FloorSince(ctx, time.Now())
	if err != nil {
		return p, refuser.Wrap(refuser.ReasonNoFloor, "group "+c.group, err)
	}
	return p, nil
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
