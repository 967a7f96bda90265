package coordinator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/appointer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// sightLife is how long a host's sights count after its last report.
	sightLife = 2500 * time.Millisecond
	// askTimeout bounds the question for an upstream's position.
	askTimeout = 300 * time.Millisecond
	// orderTimeout bounds one call to the platform, and orderPause the time to
	// the next of the same order.
	orderTimeout = 700 * time.Millisecond
	orderPause   = 300 * time.Millisecond
)

// group is what the leader keeps of one service's primary. It belongs to the
// control goroutine.
type group struct {
	// orphaned is when the service lost its primary; zero while it has one.
	orphaned time.Time
	// order is the promotion under way, or nil.
	order *order
	// asking is true while candidates are asked for their positions.
	asking bool
}

// order is one decision on its way to the platform.
type order struct {
	candidate string
	token     uint64
	begun     time.Time
	answered  time.Time
	refused   bool
}

// appointPrimaries looks at all services.
func (c *Coordinator) appointPrimaries(now time.Time) {
	services := map[string]map[string]appointer.Seen{}
	for id, u := range c.state.Upstreams {
		if services[u.Service] == nil {
			services[u.Service] = map[string]appointer.Seen{}
		}
		services[u.Service][id] = c.seen(u, now)
	}
	for service, upstreams := range services {
		c.appoint(service, upstreams, now)
	}
}

// seen gathers what hosts tell of an upstream.
func (c *Coordinator) seen(u keeper.Upstream, now time.Time) appointer.Seen {
	s := appointer.Seen{Upstream: u, Announced: now.Sub(c.announcedAt(u.ID))}
	for _, h := range c.lead.hosts {
		sight, ok := h.sights[u.ID]
		if !ok || now.Sub(h.seen) > sightLife {
			continue
		}
		if s.Position.Less(sight.Position) {
			s.Position = sight.Position
		}
		switch {
		case !sight.Reachable:
			s.Missing++
		case sight.Heard:
			s.Reaching++
		}
	}
	return s
}

// announcedAt is when an upstream last announced itself to this leader. What
// was announced to an earlier leader counts from the beginning of this one.
func (c *Coordinator) announcedAt(id string) time.Time {
	if at, ok := c.lead.announced[id]; ok {
		return at
	}
	return c.lead.begun
}

func (c *Coordinator) appoint(service string, upstreams map[string]appointer.Seen, now time.Time) {
	g := c.lead.groups[service]
	if g == nil {
		g = &group{}
		c.lead.groups[service] = g
	}
	primary := c.state.Primaries[service]
	if primary != "" {
		g.orphaned = time.Time{}
	} else if g.orphaned.IsZero() {
		g.orphaned = now
	}
	if g.order != nil && g.order.candidate == primary {
		c.Log.Info(logger.EventPromotionDone, zap.String("service", service), zap.String("primary", primary), zap.Uint64("token", g.order.token), zap.Duration("took", now.Sub(g.order.begun)))
		g.order = nil
	}
	if g.asking {
		return
	}
	e := appointer.Evidence{Service: service, Primary: primary, Upstreams: upstreams, Led: now.Sub(c.lead.begun), Order: g.order.evidence(now)}
	if !g.orphaned.IsZero() {
		e.Orphaned = now.Sub(g.orphaned)
	}
	if d := appointer.Decide(e); d.Candidate != "" {
		g.asking = true
		term := c.lead.term
		go c.ask(term, e, d.Reason)
	}
}

// evidence describes the order for the decision.
func (o *order) evidence(now time.Time) *appointer.Order {
	if o == nil {
		return nil
	}
	out := &appointer.Order{Candidate: o.candidate, Age: now.Sub(o.begun), Refused: o.refused}
	if !o.answered.IsZero() {
		out.Answered = max(1, now.Sub(o.answered))
	}
	return out
}

// ask asks the upstreams for their positions and decides with the answers.
func (c *Coordinator) ask(term uint64, e appointer.Evidence, reason string) {
	ctx, cancel := context.WithTimeout(c.run, askTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	standings := map[string]connector.Standing{}
	for id, s := range e.Upstreams {
		if id == e.Primary || s.Upstream.Life != keeper.LifeReady {
			continue
		}
		wait.Go(func() {
			standing, err := c.Ask(ctx, s.Upstream)
			if err != nil {
				c.Log.Info(logger.EventStandingUnknown, zap.String("upstream", id), zap.Error(err))
				return
			}
			mu.Lock()
			standings[id] = standing
			mu.Unlock()
		})
	}
	wait.Wait()
	c.do(func() { c.decide(term, e, standings, reason) })
}

// decide records the decision in the log and then gives the order.
func (c *Coordinator) decide(term uint64, e appointer.Evidence, standings map[string]connector.Standing, reason string) {
	if !c.lead.leading || c.lead.term != term {
		return
	}
	g := c.lead.groups[e.Service]
	for id, standing := range standings {
		s := e.Upstreams[id]
		s.Position = standing.Received
		// An upstream that answers now is there, whatever hosts saw before.
		s.Announced = 0
		e.Upstreams[id] = s
	}
	for id, s := range e.Upstreams {
		if _, ok := standings[id]; !ok && len(standings) > 0 && id != e.Primary {
			// Positions that hosts saw may be old: one that answers goes first.
			s.Position = tracker.Position{}
			e.Upstreams[id] = s
		}
	}
	d := appointer.Decide(e)
	if d.Candidate == "" {
		g.asking = false
		return
	}
	fields := []zap.Field{zap.String("service", e.Service), zap.String("candidate", d.Candidate), zap.String("primary", e.Primary), zap.String("reason", reason)}
	for id, s := range e.Upstreams {
		fields = append(fields, zap.Stringer("position_"+id, s.Position))
	}
	c.Log.Info(logger.EventPromotionOrdered, fields...)
	command := keeper.Command{Kind: keeper.CommandPromote, Service: e.Service, Candidate: d.Candidate, Holder: c.Node, Reason: reason}
	c.propose(command, func(out keeper.Outcome, err error) {
		g.asking = false
		if err != nil {
			return
		}
		g.order = &order{candidate: d.Candidate, token: out.Token, begun: c.Now()}
		go c.carry(term, g, *g.order, e.Service)
	})
}

// carry takes an order to the platform until it is answered. The same decision
// always carries the same token; a later one has a higher token.
func (c *Coordinator) carry(term uint64, g *group, o order, service string) {
	for c.run.Err() == nil && c.isCurrent(term, g, o.token) {
		ctx, cancel := context.WithTimeout(c.run, orderTimeout)
		result, err := c.Promote(ctx, Order{Service: service, Candidate: o.candidate, Holder: c.Node, Token: o.token})
		cancel()
		c.Log.Info(logger.EventPromotionAnswered, zap.String("service", service), zap.String("candidate", o.candidate), zap.Uint64("token", o.token), zap.String("result", string(result)), zap.Error(err))
		if result != OrderUnanswered {
			c.do(func() {
				if g.order == nil || g.order.token != o.token {
					return
				}
				g.order.answered = c.Now()
				g.order.refused = result == OrderRefused
			})
			return
		}
		select {
		case <-c.run.Done():
		case <-time.After(orderPause):
		}
	}
}

// isCurrent reports whether this host certainly leads and the order is its
// newest for the service.
func (c *Coordinator) isCurrent(term uint64, g *group, token uint64) bool {
	current := make(chan bool, 1)
	if !c.do(func() {
		current <- c.lead.leading && c.lead.term == term && c.elector.HasLease(c.Now()) && g.order != nil && g.order.token == token
	}) {
		return false
	}
	select {
	case ok := <-current:
		return ok
	case <-c.run.Done():
		return false
	}
}
