package controller

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/planner"
	"github.com/shallotstage/shallotstage/pkg/replacer"
)

const (
	// membersInterval is the time between two looks at the members.
	membersInterval = time.Second
	// membersSubject is the subject of the record about the agreement's
	// members.
	membersSubject = "control_hosts"
)

// LostFolderError means that the fleet knows this control host by another data
// folder. The host may have voted with it and has forgotten its vote.
type LostFolderError struct {
	ID, Agreed, Found string
}

// Error implements error.
func (e *LostFolderError) Error() string {
	return fmt.Sprintf("controller: the fleet knows %s by data folder %s, but this folder is %s; a vote may be lost: start with a new id and --spare, and the fleet replaces %s",
		e.ID, e.Agreed, e.Found, e.ID)
}

// Instance returns the identity of the open data folder.
func (c *Controller) Instance() string { return c.store.Instance() }

// IsNew reports whether the data folder was made by Open.
func (c *Controller) IsNew() bool { return c.store.IsNew() }

// ControlHosts returns the agreed control hosts. The map is never changed.
func (c *Controller) ControlHosts() map[string]configurer.ControlHost {
	hosts := c.controlHosts.Load()
	if hosts == nil {
		return nil
	}
	return *hosts
}

// publishMembers makes the agreed control hosts known outside the control
// goroutine.
func (c *Controller) publishMembers() {
	hosts := c.book.State.ControlHosts
	c.controlHosts.Store(&hosts)
	if c.MembersChanged != nil {
		c.MembersChanged(hosts)
	}
}

// AnnounceControlHost takes the announcement of a control host that holds the
// given number of pages of the old record.
func (c *Controller) AnnounceControlHost(h configurer.ControlHost, pages uint64) {
	c.Do(func() { c.takeControlHost(h, pages, time.Now()) })
}

// takeControlHost notes that a control host is live and proposes what is new
// about it. A member with another data folder than the agreed one has forgotten
// its vote and what it acknowledged: it counts as lost until it is no member.
func (c *Controller) takeControlHost(h configurer.ControlHost, pages uint64, now time.Time) {
	if !c.lead.active || !c.elector.HasLease(now) {
		return
	}
	old, known := c.book.State.ControlHosts[h.ID]
	h.Leaving, h.Successor = old.Leaving, old.Successor
	if known && h.Instance != old.Instance && slices.Contains(c.elector.Membership().All(), h.ID) {
		c.lead.emptied[h.ID] = true
		c.Log.Error(logger.EventControlHostRefused, zap.String("control_host", h.ID))
		return
	}
	delete(c.lead.emptied, h.ID)
	c.lead.heard[h.ID] = now
	c.lead.heldPages[h.ID] = pages
	if known && h == old {
		return
	}
	c.proposeFleet("control_host/"+h.ID, configurer.KindControlHost, h.ID, h, fmt.Sprintf("control host %s announced itself at %s", h.ID, h.Address))
}

// decideMembers carries on the replacement of a lost control host.
func (c *Controller) decideMembers(now time.Time) {
	if now.Sub(c.lead.membersLooked) < membersInterval {
		return
	}
	c.lead.membersLooked = now
	// Others announce themselves to the leader; it knows itself.
	c.takeControlHost(c.Self, c.ArchivedPages(), now)
	a := replacer.Replacer{After: c.Timing.ReplaceAfter}.Decide(c.membersView(now))
	if a.Kind == replacer.ActionNone {
		return
	}
	err := c.elector.ChangeMembership(a.Next)
	if errors.Is(err, elector.ErrMembershipPending) {
		return
	}
	if err != nil {
		c.Log.Warn(logger.EventConfigurationBad, zap.Error(err))
		return
	}
	c.Log.Warn(logger.EventMembersChanged, zap.String("step", string(a.Kind)), zap.String("control_host", a.Host), zap.String("why", a.Why))
	c.propose(planner.Operation{
		Kind: planner.OperationFleet, Subject: membersSubject, Actor: c.ID, Text: fmt.Sprintf("%s %s: %s", a.Kind, a.Host, a.Why),
	}, func(*planner.Plan, error) {})
}

func (c *Controller) membersView(now time.Time) replacer.View {
	v := replacer.View{
		Now: now, Self: c.ID, Membership: c.elector.Membership(), Committed: c.elector.Committed(),
		Contact: map[string]time.Time{}, Match: map[string]uint64{},
		Hosts: c.book.State.ControlHosts, Heard: maps.Clone(c.lead.heard),
		Pages: c.book.Pages(), HeldPages: c.lead.heldPages,
	}
	for _, id := range v.Membership.All() {
		v.Contact[id], v.Match[id] = c.elector.Contact(id), c.elector.Match(id)
		if v.Contact[id].IsZero() {
			// A new learner has time to answer from the leader's start on.
			v.Contact[id] = c.lead.since
		}
		if c.lead.emptied[id] {
			v.Contact[id] = time.Time{}
			delete(v.Heard, id)
		}
	}
	return v
}
