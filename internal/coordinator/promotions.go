package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/failoverplanner"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/permitter"
)

const (
	// statusTTL is how long the upstream statuses that a host reported are used
	// after its last report.
	statusTTL = 2500 * time.Millisecond
	// statusQueryTimeout bounds the queries for the positions of upstreams.
	statusQueryTimeout = 300 * time.Millisecond
	// requeryInterval is the wait before candidates are queried again.
	requeryInterval = 400 * time.Millisecond
	// platformCallTimeout bounds one call to the platform, and platformRetryDelay
	// is the wait before the next call for the same promotion.
	platformCallTimeout = 700 * time.Millisecond
	platformRetryDelay  = 300 * time.Millisecond
)

// serviceState is the leader's state for one service's primary. Only the control
// goroutine accesses it.
type serviceState struct {
	// primaryLostAt is when the service lost its primary; zero while it has one.
	primaryLostAt time.Time
	// drainingSince is when the primary was first seen draining, or in an evacuated
	// data centre; zero while it is neither.
	drainingSince time.Time
	// promotion is the one in progress, or nil.
	promotion *promotion
	// querying is true while the positions of candidates are queried, and
	// nextQueryAt is when they are queried again if that gave no decision.
	querying    bool
	nextQueryAt time.Time
	// undecidedLoggedAt is when a query without a decision was last logged.
	undecidedLoggedAt time.Time
	// demoting is true while a replaced primary is being told, and nextDemotionAt is
	// when one is told again.
	demoting       bool
	nextDemotionAt time.Time
}

// promotion is a decision for which the platform has been asked, or will be.
type promotion struct {
	candidate string
	// former is the primary that is replaced, or empty.
	former  string
	token   uint64
	planned bool
	// keepsFormer is true if the former primary goes on unless it is replaced.
	keepsFormer bool
	startedAt   time.Time
	// releasedAt is when no host acted at the former primary any more, and
	// requestedAt when the platform was first asked; both are zero before.
	releasedAt  time.Time
	requestedAt time.Time
	answeredAt  time.Time
	// rejected is true when the platform rejected the promotion, or when it was given
	// up before the platform was asked.
	rejected bool
	// blockLoggedAt is when a wait for hosts was last logged.
	blockLoggedAt time.Time
}

// checkPrimaries checks the primaries of all services.
func (c *Coordinator) checkPrimaries(now time.Time) {
	services := map[string]map[string]failoverplanner.UpstreamHealth{}
	for id, u := range c.state.Upstreams {
		if services[u.Service] == nil {
			services[u.Service] = map[string]failoverplanner.UpstreamHealth{}
		}
		services[u.Service][id] = c.upstreamHealth(u, now)
	}
	for service, upstreams := range services {
		c.checkPrimary(service, upstreams, now)
	}
}

// replicationEvidence returns what is known of the upstreams of a service with the given
// primary, and how many of them receive a commit before it is acknowledged.
func (c *Coordinator) replicationEvidence(service, primary string, now time.Time) failoverplanner.Evidence {
	upstreams := map[string]failoverplanner.UpstreamHealth{}
	for id, u := range c.state.Upstreams {
		if u.Service == service {
			upstreams[id] = c.upstreamHealth(u, now)
		}
	}
	return failoverplanner.Evidence{Service: service, Primary: primary, SyncReplicas: c.state.Configuration().Services[service].SyncReplicas, Upstreams: upstreams}
}

// upstreamHealth combines the statuses of an upstream that hosts reported.
func (c *Coordinator) upstreamHealth(u keeper.Upstream, now time.Time) failoverplanner.UpstreamHealth {
	s := failoverplanner.UpstreamHealth{Upstream: u, SinceAnnouncement: now.Sub(c.announcementTime(u.ID)), ExcludedRoutes: c.excludedRoutes(u)}
	if c.PrimaryLease {
		_, s.Superseded = c.state.Superseded[u.ID]
	}
	for _, h := range c.leadership.hosts {
		status, ok := h.statuses[u.ID]
		if !ok || now.Sub(h.reportedAt) > statusTTL {
			continue
		}
		if s.Position.Less(status.Position) {
			s.Position = status.Position
		}
		switch {
		case !status.Reachable:
			s.UnreachableHosts++
		case status.Answered:
			s.ReachableHosts++
		}
	}
	return s
}

// excludedRoutes returns the number of the service's routes that do not permit the
// region of an upstream.
func (c *Coordinator) excludedRoutes(u keeper.Upstream) int {
	n := 0
	for _, route := range c.state.Configuration().Routes {
		if route.Service == u.Service && !permitter.Effective(route.PermittedRegions).Permits(c.regionOf(u.DataCentre)) {
			n++
		}
	}
	return n
}

// regionOf returns the region of a data centre, or an empty string if it is unknown.
func (c *Coordinator) regionOf(dataCentre string) string {
	if dataCentre == c.DataCentre {
		return c.Region
	}
	return c.Regions[dataCentre]
}

// announcementTime returns when an upstream last announced itself to this leader.
// Without an announcement it is the start of the leadership.
func (c *Coordinator) announcementTime(id string) time.Time {
	if at, ok := c.leadership.lastAnnounced[id]; ok {
		return at
	}
	return c.leadership.startedAt
}

func (c *Coordinator) checkPrimary(service string, upstreams map[string]failoverplanner.UpstreamHealth, now time.Time) {
	g := c.leadership.services[service]
	if g == nil {
		g = &serviceState{}
		c.leadership.services[service] = g
	}
	primary := c.state.Primaries[service]
	if primary != "" {
		g.primaryLostAt = time.Time{}
	} else if g.primaryLostAt.IsZero() {
		g.primaryLostAt = now
	}
	g.updateDraining(c.state.Upstreams[primary].Lifecycle == keeper.LifecycleDraining || c.isEvacuated(c.state.Upstreams[primary]), now)
	if g.promotion != nil && g.promotion.candidate == primary {
		c.Log.Info(logger.EventPromotionDone, zap.String("service", service), zap.String("primary", primary), zap.Uint64("token", g.promotion.token), zap.Duration("took", now.Sub(g.promotion.startedAt)))
		g.promotion = nil
	}
	c.advance(service, g, now)
	c.demoteReplaced(service, g, upstreams[primary].Position.Term, now)
	if g.querying || now.Before(g.nextQueryAt) {
		return
	}
	e := failoverplanner.Evidence{
		Service: service, Primary: primary, SyncReplicas: c.state.Configuration().Services[service].SyncReplicas, Upstreams: upstreams,
		LeaderFor: now.Sub(c.leadership.startedAt), Promotion: g.promotion.evidence(now), Evacuated: c.evacuated(),
	}
	if c.PrimaryLease {
		e.Unfinished, e.SilentHolders = c.unfinishedPromotion(service), c.silentHolders(now)
	}
	if !g.drainingSince.IsZero() {
		e.DrainingFor = now.Sub(g.drainingSince)
	}
	if !g.primaryLostAt.IsZero() {
		e.WithoutPrimaryFor = now.Sub(g.primaryLostAt)
	}
	d := failoverplanner.Decide(e)
	if d.Candidate != "" {
		g.querying = true
		term := c.leadership.term
		go c.queryCandidates(term, e, d.Reason)
	} else if d.Undecided != "" {
		c.postponeDecision(g, e, d.Undecided)
	}
}

// unfinishedPromotion returns the candidate of the latest agreed promotion of a
// service if that has not come into effect, or an empty string.
func (c *Coordinator) unfinishedPromotion(service string) string {
	view := keeper.View{Upstreams: c.state.Upstreams, Primaries: c.state.Primaries, Promotions: c.state.Promotions}
	return view.PromotionCandidate(service)
}

// hostSilence is the time without a report after which a host's evidence is missing:
// more than a report interval.
const hostSilence = 1500 * time.Millisecond

// silentHolders returns the number of hosts that may hold a lease and have not reported
// lately.
func (c *Coordinator) silentHolders(now time.Time) int {
	n := 0
	for _, name := range c.leadership.leases.Holders(now) {
		if h := c.leadership.hosts[name]; h == nil || now.Sub(h.reportedAt) > hostSilence {
			n++
		}
	}
	return n
}

func (g *serviceState) updateDraining(draining bool, now time.Time) {
	if !draining {
		g.drainingSince = time.Time{}
	} else if g.drainingSince.IsZero() {
		g.drainingSince = now
	}
}

// evidence describes the promotion for package failoverplanner.
func (o *promotion) evidence(now time.Time) *failoverplanner.Promotion {
	if o == nil {
		return nil
	}
	out := &failoverplanner.Promotion{Candidate: o.candidate, Age: now.Sub(o.startedAt), Rejected: o.rejected, Requested: !o.requestedAt.IsZero()}
	if !o.answeredAt.IsZero() {
		out.SinceAccepted = max(1, now.Sub(o.answeredAt))
	}
	return out
}

// queryCandidates queries the positions of the upstreams and then decides with
// the answers.
func (c *Coordinator) queryCandidates(term uint64, e failoverplanner.Evidence, reason string) {
	ctx, cancel := context.WithTimeout(c.run, statusQueryTimeout)
	defer cancel()
	c.queryPositions(ctx, &e)
	c.queue.Do(func() { c.decidePromotion(term, e, reason) })
}

// decidePromotion commits the decision to the log and then requests the
// promotion.
func (c *Coordinator) decidePromotion(term uint64, e failoverplanner.Evidence, reason string) {
	if !c.leadership.leading || c.leadership.term != term {
		return
	}
	g := c.leadership.services[e.Service]
	// A data centre may have been evacuated while the upstreams were queried.
	e.Evacuated = c.evacuated()
	d := failoverplanner.Decide(e)
	if d.Candidate == "" {
		if d.Undecided != "" {
			reason = d.Undecided
		}
		c.postponeDecision(g, e, reason)
		return
	}
	reason = d.Reason
	fields := []zap.Field{zap.String("service", e.Service), zap.String("candidate", d.Candidate), zap.String("primary", e.Primary), zap.String("reason", reason), zap.Bool("planned", d.Planned), zap.Int("excluded_routes", e.Upstreams[d.Candidate].ExcludedRoutes)}
	for id, s := range e.Upstreams {
		fields = append(fields, zap.Stringer("position_"+id, s.Position), zap.String("response_"+id, string(s.Response)))
	}
	c.Log.Info(logger.EventPromotionOrdered, fields...)
	command := keeper.Command{Kind: keeper.CommandPromote, Service: e.Service, Candidate: d.Candidate, Requester: c.Node, Reason: reason, Planned: d.Planned}
	c.propose(command, func(out keeper.Outcome, err error) {
		g.querying = false
		if err != nil {
			return
		}
		g.promotion = &promotion{candidate: d.Candidate, former: e.Primary, token: out.Token, planned: d.Planned, keepsFormer: d.Planned && e.KeepsPrimary(), startedAt: c.Now()}
		c.advance(e.Service, g, c.Now())
	})
}

// postponeDecision lets a service's upstreams be queried again, soon if one of them was
// only too busy to tell its position.
func (c *Coordinator) postponeDecision(g *serviceState, e failoverplanner.Evidence, reason string) {
	now := c.Now()
	g.querying, g.nextQueryAt = false, now.Add(requeryInterval)
	fields := []zap.Field{zap.String("service", e.Service), zap.String("primary", e.Primary), zap.String("reason", reason), zap.Int("sync_replicas", e.SyncReplicas)}
	for id, s := range e.Upstreams {
		if s.Response == failoverplanner.ResponseBusy && e.SyncReplicas > 0 {
			g.nextQueryAt = now
		}
		fields = append(fields, zap.Stringer("position_"+id, s.Position), zap.String("response_"+id, string(s.Response)))
	}
	if now.Sub(g.undecidedLoggedAt) > blockLogInterval {
		g.undecidedLoggedAt = now
		c.Log.Warn(logger.EventPromotionUndecided, fields...)
	}
}

// requestPromotion asks the platform for a promotion until it answers. A decision
// always carries the same fencing token; a later one has a higher token.
func (c *Coordinator) requestPromotion(term uint64, g *serviceState, o promotion, service string) {
	for c.run.Err() == nil && c.isCurrent(term, g, o.token) {
		ctx, cancel := context.WithTimeout(c.run, platformCallTimeout)
		result, err := c.Promote(ctx, PromotionRequest{
			Service: service, Candidate: o.candidate, Holder: c.Node, Token: o.token,
			IsCurrent: func() bool { return c.isCurrent(term, g, o.token) },
		})
		cancel()
		c.Log.Info(logger.EventPromotionAnswered, zap.String("service", service), zap.String("candidate", o.candidate), zap.Uint64("token", o.token), zap.String("result", string(result)), zap.Error(err))
		if result != PromotionOutcomeUnknown {
			c.queue.Do(func() {
				if g.promotion == nil || g.promotion.token != o.token {
					return
				}
				g.promotion.answeredAt = c.Now()
				g.promotion.rejected = result == PromotionRejected
			})
			return
		}
		select {
		case <-c.run.Done():
		case <-time.After(platformRetryDelay):
		}
	}
}

// isCurrent reports whether this host leads with a valid lease and the promotion
// is the latest of the service.
func (c *Coordinator) isCurrent(term uint64, g *serviceState, token uint64) bool {
	current := make(chan bool, 1)
	if !c.queue.Do(func() {
		current <- c.leadership.leading && c.leadership.term == term && c.elector.HasLease(c.Now()) && g.promotion != nil && g.promotion.token == token
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
