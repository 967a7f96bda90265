package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/failoverplanner"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// primaryLease is how long an entry host may act at primaries after it reported.
	// It outlasts the election of another leader, and bounds the wait for a host that
	// is cut off.
	primaryLease = 10 * time.Second
	// handOverTimeout bounds the wait for hosts to let go of a primary that the
	// platform itself keeps from committing once it is replaced.
	handOverTimeout = time.Second
	// catchUpTimeout bounds the wait for a candidate to receive what its primary has
	// committed, and catchUpInterval is the time between queries.
	catchUpTimeout  = 900 * time.Millisecond
	catchUpInterval = 40 * time.Millisecond
	// blockLogInterval is the time between log lines about one wait for hosts.
	blockLogInterval = time.Second
)

// advancePromotions continues the promotions that wait for entry hosts.
func (c *Coordinator) advancePromotions(now time.Time) {
	for service, g := range c.leadership.services {
		c.advance(service, g, now)
	}
}

// advance asks the platform for an agreed promotion once no entry host acts at the
// former primary any more and, if that still serves, the candidate has caught up.
func (c *Coordinator) advance(service string, g *serviceState, now time.Time) {
	o := g.promotion
	if o == nil || !o.releasedAt.IsZero() || o.rejected {
		return
	}
	if c.isEvacuated(c.state.Upstreams[o.candidate]) {
		// Another candidate is looked for: the platform was not asked yet.
		o.rejected = true
		return
	}
	if c.awaitsHosts(service, o, now) {
		return
	}
	o.releasedAt = now
	if o.planned {
		go c.catchUp(service, g, o, c.state.Upstreams[o.former], c.state.Upstreams[o.candidate], c.replicationEvidence(service, o.former, now))
		return
	}
	c.startRequest(service, g, o)
}

// awaitsHosts reports whether an entry host may still act at the former primary and
// the promotion must wait for that.
func (c *Coordinator) awaitsHosts(service string, o *promotion, now time.Time) bool {
	switch {
	case !c.PrimaryLease && !o.planned, c.leadership.leases.InForce(o.token, now):
		return false
	case !c.PrimaryLease && now.Sub(o.startedAt) > o.handOverTimeout():
		return false
	}
	if now.Sub(o.blockLoggedAt) > blockLogInterval {
		o.blockLoggedAt = now
		c.Log.Info(logger.EventPromotionBlocked, zap.String("service", service), zap.String("candidate", o.candidate), zap.Uint64("token", o.token),
			zap.Strings("hosts", c.leadership.leases.OutdatedHolders(o.token, now)), zap.Duration("waited", now.Sub(o.startedAt)))
	}
	return true
}

// handOverTimeout returns how long the hosts may take to let go of the former primary.
func (o *promotion) handOverTimeout() time.Duration {
	if o.keepsFormer {
		return evacuationHandOverTimeout
	}
	return handOverTimeout
}

// catchUp waits until the candidate has received all that its primary has committed, and
// then asks the platform. Where commits wait for replicas, a promotion whose candidate may
// lack one is given up: another candidate is looked for. So is one whose candidate is
// behind a primary that goes on otherwise.
func (c *Coordinator) catchUp(service string, g *serviceState, o *promotion, former, candidate keeper.Upstream, e failoverplanner.Evidence) {
	err := c.awaitCandidate(former, candidate)
	if err != nil {
		c.Log.Warn(logger.EventPromotionBlocked, zap.String("service", service), zap.String("candidate", o.candidate), zap.Uint64("token", o.token), zap.Error(err))
	}
	mayLackCommits := false
	if err != nil && e.SyncReplicas > 0 {
		ctx, cancel := context.WithTimeout(c.run, statusQueryTimeout)
		c.queryPositions(ctx, &e)
		cancel()
		mayLackCommits = !e.HasAllCommits(o.candidate)
	}
	var behind *candidateBehindError
	if o.keepsFormer && errors.As(err, &behind) {
		mayLackCommits = true
	}
	c.queue.Do(func() {
		if mayLackCommits {
			o.rejected = true
			return
		}
		c.startRequest(service, g, o)
	})
}

// awaitCandidate waits until the candidate has received all that the former primary had
// committed when it was asked. It returns an error if the former primary does not answer
// or the candidate is not known to have caught up within catchUpTimeout.
func (c *Coordinator) awaitCandidate(former, candidate keeper.Upstream) error {
	ctx, cancel := context.WithTimeout(c.run, catchUpTimeout)
	defer cancel()
	last, err := c.receivedPosition(ctx, former)
	if err != nil {
		return err
	}
	for {
		if p, err := c.receivedPosition(ctx, candidate); err == nil && !p.Less(last) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &candidateBehindError{Candidate: candidate.ID, Position: last}
		case <-time.After(catchUpInterval):
		}
	}
}

// candidateBehindError means that a candidate is not known to have received all that the
// former primary, which answered, had committed.
type candidateBehindError struct {
	Candidate string
	Position  tracker.Position
}

// Error implements error.
func (e *candidateBehindError) Error() string {
	return fmt.Sprintf("coordinator: %s is not known to have received %s", e.Candidate, e.Position)
}

// startRequest asks the platform for a promotion unless it is no longer the latest.
func (c *Coordinator) startRequest(service string, g *serviceState, o *promotion) {
	if c.leadership.services[service] != g || g.promotion != o {
		return
	}
	o.requestedAt = c.Now()
	go c.requestPromotion(c.leadership.term, g, *o, service)
}

// demotionInterval is the time between two attempts to demote replaced primaries.
const demotionInterval = 500 * time.Millisecond

// demoteReplaced tells the replaced primaries of a service to become replicas, again
// until they announce themselves as such. The platform itself may leave them in place.
// term is the latest known term of the primary.
func (c *Coordinator) demoteReplaced(service string, g *serviceState, term uint64, now time.Time) {
	primary, ok := c.state.Upstreams[c.state.Primaries[service]]
	if !c.PrimaryLease || !ok || g.demoting || now.Before(g.nextDemotionAt) {
		return
	}
	var replaced []keeper.Upstream
	for id, s := range c.state.Superseded {
		if u, exists := c.state.Upstreams[id]; exists && s == service && id != primary.ID {
			replaced = append(replaced, u)
		}
	}
	if len(replaced) == 0 {
		return
	}
	g.demoting = true
	go func() {
		c.demote(primary, replaced, term)
		c.queue.Do(func() { g.demoting, g.nextDemotionAt = false, c.Now().Add(demotionInterval) })
	}()
}

// demote tells upstreams that a primary of a later term has replaced them.
func (c *Coordinator) demote(primary keeper.Upstream, replaced []keeper.Upstream, term uint64) {
	ctx, cancel := context.WithTimeout(c.run, statusQueryTimeout)
	status, err := c.QueryStatus(ctx, primary)
	cancel()
	if err != nil {
		c.Log.Info(logger.EventReplicationStatusUnknown, zap.String("upstream", primary.ID), zap.Error(err))
	}
	if status.Primary {
		term = max(term, status.Term)
	}
	if term == 0 {
		return
	}
	for _, u := range replaced {
		ctx, cancel := context.WithTimeout(c.run, statusQueryTimeout)
		after, err := c.Demote(ctx, u, term)
		cancel()
		c.Log.Info(logger.EventPrimaryDemoted, zap.String("upstream", u.ID), zap.Uint64("term", term), zap.Bool("still_primary", err == nil && after.Primary), zap.Error(err))
	}
}
