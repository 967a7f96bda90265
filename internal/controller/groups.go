package controller

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
	"github.com/shallotstage/shallotstage/pkg/promoter"
)

// afterApply updates the leader's components after an operation was applied.
func (c *Controller) afterApply(o planner.Operation, index uint64, err error) {
	if err != nil {
		c.Log.Warn(logger.EventConfigurationRefused, zap.Error(err))
	}
	if err == nil && c.stateMachine.State.Version == index {
		c.publishMembers()
	}
	if !c.leader.active || err != nil || c.stateMachine.State.Version != index {
		return
	}
	now := time.Now()
	changes, _ := c.stateMachine.ChangesSince(index - 1)
	for _, ch := range changes {
		switch ch.Kind {
		case configurer.KindOrganisation:
			org, ok := c.stateMachine.State.Organisations[ch.ID]
			if !ok {
				c.leader.allocator.RemoveOrganisation(ch.ID)
				continue
			}
			c.leader.allocator.SetOrganisation(org.ID, org.Rate, org.Burst, now)
		case configurer.KindUpstream:
			u := c.stateMachine.State.Upstreams[ch.ID]
			c.leader.registrar.SetLifecycle(u)
			c.discardStatuses(u)
		case configurer.KindGroup:
			c.groupChanged(c.stateMachine.State.Groups[ch.ID], index, o.Text)
		}
	}
}

// discardStatuses discards the statuses of a serving group's members when one of
// them has a new instance, that is, has lost its data.
func (c *Controller) discardStatuses(u configurer.Upstream) {
	g := c.stateMachine.State.Groups[u.Group]
	if slices.Contains(g.Members, u.ID) && g.Instances[u.ID] != u.Instance && g.Phase == configurer.PhaseServing {
		delete(c.leader.statuses, u.Group)
	}
}

func (c *Controller) groupChanged(g configurer.Group, index uint64, reason string) {
	if g.Phase == configurer.PhaseFenced {
		c.leader.fencedAt[g.ID] = index
		c.leader.statuses[g.ID] = nil
	}
	event := logger.EventTermStarted
	if g.Phase == configurer.PhaseServing {
		event = logger.EventPromotionDone
	}
	c.Log.Info(event, zap.String("group", g.ID), zap.Uint64("term", g.Term), zap.String("primary", g.Primary), zap.String("why", reason))
}

// syncUpstreams proposes the upstreams and groups of the registrar that differ
// from the replicated state.
func (c *Controller) syncUpstreams() {
	for _, u := range c.leader.registrar.Upstreams() {
		g := c.stateMachine.State.Groups[u.Group]
		if u.Lifecycle == configurer.LifecycleAnnounced && slices.Contains(g.Members, u.ID) {
			if c.leader.registrar.Accept(u.ID) == nil {
				u.Lifecycle = configurer.LifecycleServing
			}
		}
		if g.ID == "" {
			c.proposeFleetChange("group/"+u.Group, configurer.KindGroup, u.Group,
				configurer.Group{ID: u.Group, Phase: configurer.PhaseForming}, "group "+u.Group+" was announced by "+u.ID)
		}
		if old, ok := c.stateMachine.State.Upstreams[u.ID]; !ok || old != u {
			reason := fmt.Sprintf("upstream %s is %s", u.ID, u.Lifecycle)
			if !c.leader.pending["upstream/"+u.ID] {
				c.logUpstream(u, ok)
			}
			c.proposeFleetChange("upstream/"+u.ID, configurer.KindUpstream, u.ID, u, reason)
		}
	}
}

func (c *Controller) logUpstream(u configurer.Upstream, known bool) {
	event := logger.EventUpstreamAnnounced
	if known {
		event = logger.EventUpstreamLifecycleChanged
	}
	c.Log.Info(event, zap.String("upstream", u.ID), zap.String("group", u.Group), zap.String("lifecycle", string(u.Lifecycle)))
}

// heldRecordDelay is the time after which a promotion that cannot complete is
// written to the record.
const heldRecordDelay = 2 * time.Second

// recordHeldPromotion writes to the record, once per term, that a promotion is
// held and why.
func (c *Controller) recordHeldPromotion(g configurer.Group, now time.Time) {
	if g.Phase != configurer.PhaseFenced {
		delete(c.leader.heldPromotions, g.ID)
		return
	}
	h, ok := c.leader.heldPromotions[g.ID]
	if !ok || h.term != g.Term {
		c.leader.heldPromotions[g.ID] = heldPromotion{term: g.Term, since: now}
		return
	}
	if h.recorded || now.Sub(h.since) < heldRecordDelay {
		return
	}
	h.recorded = true
	c.leader.heldPromotions[g.ID] = h
	reason := fmt.Sprintf("promotion of term %d is held: %d of %d members answered, %d are needed", g.Term, len(c.leader.statuses[g.ID]), len(g.Members), g.Quorum())
	version := c.leader.fencedAt[g.ID]
	if behind := c.leader.granter.OutdatedHolders(version, now); len(behind) > 0 {
		reason += fmt.Sprintf("; these hosts may still act on the earlier term: %v", behind)
	} else if !c.leader.granter.InForce(version, now) {
		reason += "; leases of an earlier control leader may still hold"
	}
	c.Log.Warn(logger.EventPromotionBlocked, zap.String("group", g.ID), zap.String("why", reason))
	c.propose(planner.Operation{Kind: planner.OperationFleetChange, Subject: g.ID, Actor: c.ID, Text: reason}, func(*planner.Plan, error) {})
}

// checkGroups executes the promoter's decisions for every group.
func (c *Controller) checkGroups(now time.Time) {
	for id, g := range c.stateMachine.State.Groups {
		c.recordHeldPromotion(g, now)
		if c.leader.pending["group/"+id] {
			continue
		}
		for _, a := range c.leader.promoter.Decide(g, c.evidence(g, now)) {
			c.execute(g, a, now)
		}
	}
}

func (c *Controller) evidence(g configurer.Group, now time.Time) promoter.Evidence {
	e := promoter.Evidence{Now: now, Statuses: c.leader.statuses[g.ID], Draining: map[string]bool{}, Instances: map[string]string{}}
	for key, s := range c.leader.reachability[g.ID] {
		s.ReceivedAt = c.leader.reportedAt[key.holder]
		e.Reports = append(e.Reports, s)
	}
	for _, id := range g.Members {
		e.Instances[id] = c.stateMachine.State.Upstreams[id].Instance
		if c.stateMachine.State.Upstreams[id].Lifecycle == configurer.LifecycleDraining {
			e.Draining[id] = true
		}
	}
	if g.Phase == configurer.PhaseForming {
		e.Announcements = c.leader.registrar.Announcements(g.ID)
	}
	if g.Phase == configurer.PhaseFenced {
		fencedAt, ok := c.leader.fencedAt[g.ID]
		if !ok {
			// A new leader does not know the version at which the term began:
			// it waits until the current one is in force.
			fencedAt = c.stateMachine.State.Version
			c.leader.fencedAt[g.ID] = fencedAt
		}
		e.EarlierTermReleased = c.leader.granter.InForce(fencedAt, now)
	}
	return e
}
