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
	// membersCheckInterval is the time between two checks of the membership.
	membersCheckInterval = time.Second
	// membersSubject is the subject of the records on membership changes.
	membersSubject = "control_hosts"
)

// DataDirMismatchError means that this control host is registered with another
// data directory. The lost directory may contain a vote that this host has no
// record of.
type DataDirMismatchError struct {
	ID, Agreed, Found string
}

// Error implements error.
func (e *DataDirMismatchError) Error() string {
	return fmt.Sprintf("controller: the fleet knows %s by data folder %s, but this folder is %s; a vote may be lost: start with a new id and --spare, and the fleet replaces %s",
		e.ID, e.Agreed, e.Found, e.ID)
}

// DataDirID returns the ID of the open data directory.
func (c *Controller) DataDirID() string { return c.store.InstanceID() }

// DataDirIsNew reports whether Open created the data directory.
func (c *Controller) DataDirIsNew() bool { return c.store.IsNew() }

// ControlHosts returns the registered control hosts. The map must not be
// modified.
func (c *Controller) ControlHosts() map[string]configurer.ControlHost {
	hosts := c.controlHosts.Load()
	if hosts == nil {
		return nil
	}
	return *hosts
}

// publishMembers publishes the registered control hosts to other goroutines.
func (c *Controller) publishMembers() {
	hosts := c.stateMachine.State.ControlHosts
	c.controlHosts.Store(&hosts)
	if c.OnControlHostsChanged != nil {
		c.OnControlHostsChanged(hosts)
	}
}

// HandleControlHost processes the announcement of a control host that stores
// the given number of archived pages.
func (c *Controller) HandleControlHost(h configurer.ControlHost, pages uint64) {
	c.Enqueue(func() { c.handleControlHost(h, pages, time.Now()) })
}

// handleControlHost records that a control host is live and proposes its entry if
// it changed. A member with another data directory than the registered one has
// lost its vote and the log entries that it acknowledged: it counts as lost until
// it is removed from the membership.
func (c *Controller) handleControlHost(h configurer.ControlHost, pages uint64, now time.Time) {
	if !c.leader.active || !c.elector.HasLease(now) {
		return
	}
	old, known := c.stateMachine.State.ControlHosts[h.ID]
	h.Leaving, h.Successor = old.Leaving, old.Successor
	if known && h.Instance != old.Instance && slices.Contains(c.elector.Membership().All(), h.ID) {
		c.leader.lostDirs[h.ID] = true
		c.Log.Error(logger.EventControlHostRefused, zap.String("control_host", h.ID))
		return
	}
	delete(c.leader.lostDirs, h.ID)
	c.leader.announcedAt[h.ID] = now
	c.leader.storedPages[h.ID] = pages
	if known && h == old {
		return
	}
	c.proposeFleetChange("control_host/"+h.ID, configurer.KindControlHost, h.ID, h, fmt.Sprintf("control host %s announced itself at %s", h.ID, h.Address))
}

// checkMembers executes the next step of replacing a lost control host.
func (c *Controller) checkMembers(now time.Time) {
	if now.Sub(c.leader.membersCheckedAt) < membersCheckInterval {
		return
	}
	c.leader.membersCheckedAt = now
	// The leader gets no announcement of itself.
	c.handleControlHost(c.Self, c.ArchivedPageCount(), now)
	a := replacer.Replacer{ReplaceAfter: c.Timing.ReplaceAfter}.Decide(c.membersView(now))
	if a.Kind == replacer.ActionNone {
		return
	}
	err := c.elector.ChangeMembership(a.Membership)
	if errors.Is(err, elector.ErrMembershipPending) {
		return
	}
	if err != nil {
		c.Log.Warn(logger.EventConfigurationRefused, zap.Error(err))
		return
	}
	c.Log.Warn(logger.EventControlMembersChanged, zap.String("step", string(a.Kind)), zap.String("control_host", a.Host), zap.String("why", a.Reason))
	c.propose(planner.Operation{
		Kind: planner.OperationFleetChange, Subject: membersSubject, Actor: c.ID, Text: fmt.Sprintf("%s %s: %s", a.Kind, a.Host, a.Reason),
	}, func(*planner.Plan, error) {})
}

func (c *Controller) membersView(now time.Time) replacer.View {
	v := replacer.View{
		Now: now, Self: c.ID, Membership: c.elector.Membership(), CommitIndex: c.elector.CommitIndex(),
		LastAckSentAt: map[string]time.Time{}, MatchIndex: map[string]uint64{},
		Hosts: c.stateMachine.State.ControlHosts, LastAnnouncement: maps.Clone(c.leader.announcedAt),
		ArchivedPages: c.stateMachine.PageCount(), ArchivedPagesByHost: c.leader.storedPages,
	}
	for _, id := range v.Membership.All() {
		v.LastAckSentAt[id], v.MatchIndex[id] = c.elector.LastAckSentAt(id), c.elector.MatchIndex(id)
		if v.LastAckSentAt[id].IsZero() {
			// A member that has not answered yet gets the full timeout from the
			// start of the leadership.
			v.LastAckSentAt[id] = c.leader.since
		}
		if c.leader.lostDirs[id] {
			v.LastAckSentAt[id] = time.Time{}
			delete(v.LastAnnouncement, id)
		}
	}
	return v
}
