package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/allocator"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
	"github.com/shallotstage/shallotstage/pkg/promoter"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// orderQueue bounds the orders that wait for one host's connection.
	orderQueue = 256
	// announceSuspect and announceGone are the silences after which an
	// upstream is suspected and gone.
	announceSuspect = 4 * time.Second
	announceGone    = 10 * time.Minute
	// sightFresh is the age up to which a host's report of upstreams counts.
	sightFresh = 3 * time.Second
)

type sightKey struct{ holder, upstream string }

// Attend serves the reports of one entry host until its stream ends.
func (c *Controller) Attend(stream messenger.DRPCControl_AttendStream) error {
	out := make(chan *messenger.ControlOrder, orderQueue)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case o, ok := <-out:
				if !ok || stream.Send(o) != nil {
					return
				}
			case <-stream.Context().Done():
				return
			}
		}
	}()
	a := &attendee{out: out, stop: func() { _ = stream.Close() }}
	defer c.Do(func() { c.dropAttendee(a) })
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil
		}
		if !c.Do(func() { c.takeReport(a, r, time.Now()) }) {
			return ErrStopped
		}
		select {
		case <-done:
			return nil
		default:
		}
	}
}

func (c *Controller) dropAttendee(a *attendee) {
	if c.lead.active && c.lead.attendees[a.host] == a {
		delete(c.lead.attendees, a.host)
	}
}

// takeReport handles one report of an entry host.
func (c *Controller) takeReport(a *attendee, r *messenger.HostReport, now time.Time) {
	if !c.lead.active || !c.elector.HasLease(now) {
		a.send(&messenger.ControlOrder{Sequence: r.GetSequence(), Leader: c.elector.Leader()})
		return
	}
	if !c.admitHost(a, r) {
		return
	}
	for _, body := range r.GetAnnouncements() {
		c.takeAnnouncement(body, now)
	}
	c.takeSights(r, now)
	c.takeTokens(r, now)
	c.lead.granter.Grant(holderName(a.host, a.incarnation), r.GetConfigVersion(), now)
	o := &messenger.ControlOrder{
		Sequence: r.GetSequence(), LeaseMs: uint32(c.Timing.LeaseTTL / time.Millisecond),
		Hosts: uint32(c.lead.granter.Count(now)),
	}
	if r.GetConfigVersion() > a.sentVersion {
		a.sentVersion = r.GetConfigVersion()
	}
	c.addChanges(a, o)
	o.Grants = c.grantsFor(r, now)
	a.send(o)
}

// admitHost registers the host and its connection. A host that the fleet does
// not know yet is proposed first and gets no lease until that is agreed.
func (c *Controller) admitHost(a *attendee, r *messenger.HostReport) bool {
	id := r.GetHostId()
	known, ok := c.book.State.Hosts[id]
	if !ok || known != hostOf(r, known.Number) {
		c.registerHost(r, known)
		return false
	}
	if c.lead.attendees[id] == a {
		return true
	}
	a.host, a.incarnation, a.sentVersion = id, r.GetIncarnation(), r.GetConfigVersion()
	if old := c.lead.attendees[id]; old != nil {
		old.stop()
	}
	c.lead.attendees[id] = a
	c.Log.Info(logger.EventHostJoined, zap.String("host", id), zap.Uint64("incarnation", a.incarnation))
	return true
}

func hostOf(r *messenger.HostReport, number uint32) configurer.Host {
	return configurer.Host{
		ID: r.GetHostId(), DataCentre: r.GetDataCentre(), Region: r.GetRegion(),
		PeerAddress: r.GetPeerAddress(), Number: number,
	}
}

func (c *Controller) registerHost(r *messenger.HostReport, known configurer.Host) {
	subject := "host/" + r.GetHostId()
	h := hostOf(r, known.Number)
	if h.Number == 0 {
		h.Number = c.freeHostNumber()
	}
	if err := h.Validate(); err != nil {
		c.Log.Warn(logger.EventConfigurationBad, zap.Error(err))
		return
	}
	c.proposeFleet(subject, configurer.KindHost, h.ID, h, "host "+h.ID+" joined from "+h.DataCentre)
}

// freeHostNumber returns the lowest number that no host has, passing over
// numbers that proposals under way may take.
func (c *Controller) freeHostNumber() uint32 {
	used := map[uint32]bool{}
	for _, h := range c.book.State.Hosts {
		used[h.Number] = true
	}
	n := uint32(1)
	for skip := len(c.lead.pending); used[n] || skip > 0; n++ {
		if !used[n] {
			skip--
		}
	}
	return n
}

// proposeFleet proposes one entry on the fleet's own account. A subject has at
// most one proposal under way.
func (c *Controller) proposeFleet(subject string, kind configurer.Kind, id string, entry any, why string) {
	if c.lead.pending[subject] {
		return
	}
	change, err := configurer.Put(kind, id, entry)
	if err != nil {
		return
	}
	c.lead.pending[subject] = true
	c.propose(planner.Operation{
		Kind: planner.OperationFleet, Subject: id, Actor: c.ID, Text: why, Changes: []configurer.Change{change},
	}, func(*planner.Plan, error) { delete(c.lead.pending, subject) })
}

func (c *Controller) takeAnnouncement(body []byte, now time.Time) {
	var ann configurer.Announcement
	err := json.Unmarshal(body, &ann)
	if err == nil {
		err = c.lead.registrar.Announce(ann, now)
	}
	if err != nil {
		c.Log.Warn(logger.EventAnnouncementBad, zap.Error(err))
	}
}

func (c *Controller) takeSights(r *messenger.HostReport, now time.Time) {
	c.lead.reported[holderName(r.GetHostId(), r.GetIncarnation())] = now
	for _, s := range r.GetSights() {
		u, ok := c.book.State.Upstreams[s.GetUpstream()]
		if !ok {
			continue
		}
		group := c.lead.sights[u.Group]
		if group == nil {
			group = map[sightKey]promoter.Sight{}
			c.lead.sights[u.Group] = group
		}
		group[sightKey{holderName(r.GetHostId(), r.GetIncarnation()), u.ID}] = promoter.Sight{
			Host: r.GetHostId(), Upstream: u.ID, Reachable: s.GetReachable(),
			Position: tracker.Position{Term: s.GetTerm(), Offset: s.GetOffset()},
			Since:    now.Add(-time.Duration(s.GetForMs()) * time.Millisecond),
		}
	}
}

// holderName names one incarnation of a host, which holds leases and tokens.
func holderName(host string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", host, incarnation)
}

func (c *Controller) takeTokens(r *messenger.HostReport, now time.Time) {
	for _, t := range r.GetTokens() {
		c.lead.allocator.Report(allocator.Report{
			Host: holderName(r.GetHostId(), r.GetIncarnation()), Organisation: t.GetOrganisation(),
			SpentTotal: t.GetSpentTotal(), ReturnedTotal: t.GetReturnedTotal(),
			ReceivedTotal: t.GetReceivedTotal(), Wanted: t.GetWanted(),
		}, now)
	}
}

// grantsFor allots the organisations of a report, sends other hosts their
// part, and returns this host's.
func (c *Controller) grantsFor(r *messenger.HostReport, now time.Time) []*messenger.TokenGrant {
	own := holderName(r.GetHostId(), r.GetIncarnation())
	var mine []*messenger.TokenGrant
	for _, t := range r.GetTokens() {
		for _, g := range c.lead.allocator.AllotTo(t.GetOrganisation(), now) {
			if g.Host == own {
				mine = append(mine, tokenGrant(g))
			} else {
				c.sendGrants(g.Host, []*messenger.TokenGrant{tokenGrant(g)})
			}
		}
	}
	return mine
}

func tokenGrant(g allocator.Grant) *messenger.TokenGrant {
	return &messenger.TokenGrant{Organisation: g.Organisation, GrantedTotal: g.GrantedTotal}
}

// sendGrants sends grants to a holder, if that incarnation of the host still
// attends.
func (c *Controller) sendGrants(holder string, grants []*messenger.TokenGrant) {
	host := holder[:strings.LastIndexByte(holder, '/')]
	a := c.lead.attendees[host]
	if a != nil && holderName(a.host, a.incarnation) == holder {
		a.send(&messenger.ControlOrder{Grants: grants})
	}
}

// allot hands out refilled tokens, in one order for each host.
func (c *Controller) allot(now time.Time) {
	c.settleTokens(now)
	byHost := map[string][]*messenger.TokenGrant{}
	for _, g := range c.lead.allocator.Allot(now) {
		byHost[g.Host] = append(byHost[g.Host], tokenGrant(g))
	}
	for host, grants := range byHost {
		c.sendGrants(host, grants)
	}
}

// settleTokens ends a new leader's wait for hosts that may hold tokens: all
// known hosts have reported, or their leases have ended.
func (c *Controller) settleTokens(now time.Time) {
	if c.lead.settled {
		return
	}
	all := len(c.book.State.Hosts) > 0
	for id := range c.book.State.Hosts {
		all = all && c.lead.attendees[id] != nil
	}
	if all || now.Sub(c.lead.since) > time.Duration(float64(c.Timing.LeaseTTL)*(1+c.Timing.Drift)) {
		c.lead.settled = true
		c.lead.allocator.Settle(now)
	}
}

// addChanges puts into an order what the host lacks.
func (c *Controller) addChanges(a *attendee, o *messenger.ControlOrder) {
	version := c.book.State.Version
	if a.sentVersion >= version {
		return
	}
	changes, ok := c.book.Since(a.sentVersion)
	if ok && a.sentVersion > 0 {
		o.Changes = encodeChanges(changes)
		a.sentVersion = version
		return
	}
	packed, err := c.packedSnapshot()
	if err != nil {
		c.Log.Error(logger.EventConfigurationBad, zap.Error(err))
		return
	}
	o.Snapshot = packed
	a.sentVersion = version
}

// packedSnapshot returns the present configuration as hosts take it. It is made
// once for each version, however many hosts start together.
func (c *Controller) packedSnapshot() ([]byte, error) {
	version := c.book.State.Version
	if c.lead.packedVersion == version {
		return c.lead.packed, nil
	}
	changes, err := c.book.State.Snapshot()
	if err != nil {
		return nil, err
	}
	packed, err := messenger.PackSnapshot(&messenger.Snapshot{Changes: encodeChanges(changes)})
	if err != nil {
		return nil, err
	}
	c.lead.packed, c.lead.packedVersion = packed, version
	return packed, nil
}

// pushChanges sends new changes to all attending hosts.
func (c *Controller) pushChanges() {
	if !c.lead.active {
		return
	}
	for _, a := range c.lead.attendees {
		o := &messenger.ControlOrder{}
		sent := a.sentVersion
		c.addChanges(a, o)
		if a.sentVersion != sent && !a.send(o) {
			a.sentVersion = sent
		}
	}
}

func (c *Controller) expireHosts(now time.Time) {
	for _, holder := range c.lead.granter.Expire(now) {
		c.Log.Warn(logger.EventHostLeft, zap.String("holder", holder))
		c.lead.allocator.Expire(holder)
		delete(c.lead.reported, holder)
		for _, group := range c.lead.sights {
			for k := range group {
				if k.holder == holder {
					delete(group, k)
				}
			}
		}
		for id, a := range c.lead.attendees {
			if holderName(id, a.incarnation) == holder {
				a.stop()
				delete(c.lead.attendees, id)
			}
		}
	}
}

// noteInForce records the version that every host has in force.
func (c *Controller) noteInForce(now time.Time) {
	version := c.book.State.Version
	if c.lead.inForce >= version || !c.lead.granter.InForce(version, now) {
		return
	}
	c.lead.inForce = version
	for _, p := range c.book.Plans {
		if p.Status == planner.StatusConfirmed && p.Version <= version && !c.lead.pending["in_force"] {
			c.lead.pending["in_force"] = true
			c.propose(planner.Operation{Kind: planner.OperationInForce, Version: version, Actor: c.ID},
				func(*planner.Plan, error) { delete(c.lead.pending, "in_force") })
			c.Log.Info(logger.EventInForce, zap.Uint64("version", version))
		}
	}
}
