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
	// orderQueueSize is the maximum number of orders queued for one host.
	orderQueueSize = 256
	// announceSuspectAfter and announceRemoveAfter are the times without an
	// announcement after which an upstream is suspected and removed.
	announceSuspectAfter = 4 * time.Second
	announceRemoveAfter  = 10 * time.Minute
	// maxReportAge is the maximum age of a host's reachability reports.
	maxReportAge = 3 * time.Second
)

type reportKey struct{ holder, upstream string }

// Attend receives the reports of one entry host and sends it orders until the
// stream ends.
func (c *Controller) Attend(stream messenger.DRPCControl_AttendStream) error {
	out := make(chan *messenger.ControlOrder, orderQueueSize)
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
	hc := &hostConn{out: out, stop: func() { _ = stream.Close() }}
	defer c.Enqueue(func() { c.removeConn(hc) })
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil
		}
		if !c.Enqueue(func() { c.handleReport(hc, r, time.Now()) }) {
			return ErrStopped
		}
		select {
		case <-done:
			return nil
		default:
		}
	}
}

func (c *Controller) removeConn(hc *hostConn) {
	if c.leader.active && c.leader.conns[hc.host] == hc {
		delete(c.leader.conns, hc.host)
	}
}

// handleReport processes a report of an entry host: it renews the host's lease
// and answers with configuration changes and token grants.
func (c *Controller) handleReport(hc *hostConn, r *messenger.HostReport, now time.Time) {
	if !c.leader.active || !c.elector.HasLease(now) {
		hc.enqueue(&messenger.ControlOrder{Sequence: r.GetSequence(), Leader: c.elector.Leader()})
		return
	}
	if !c.acceptHost(hc, r) {
		return
	}
	for _, body := range r.GetAnnouncements() {
		c.handleAnnouncement(body, now)
	}
	c.recordReachability(r, now)
	c.handleTokenReports(r, now)
	c.leader.granter.Grant(holderName(hc.host, hc.incarnation), r.GetConfigVersion(), now)
	o := &messenger.ControlOrder{
		Sequence: r.GetSequence(), LeaseMs: uint32(c.Timing.LeaseTTL / time.Millisecond),
		Hosts: uint32(c.leader.granter.ValidLeaseCount(now)),
	}
	if r.GetConfigVersion() > hc.sentVersion {
		hc.sentVersion = r.GetConfigVersion()
	}
	c.addChanges(hc, o)
	o.Grants = c.grantsFor(r, now)
	hc.enqueue(o)
}

// acceptHost registers the connection of a host, replacing an earlier one. A new
// or changed host is proposed first and gets no lease until the proposal is
// committed.
func (c *Controller) acceptHost(hc *hostConn, r *messenger.HostReport) bool {
	id := r.GetHostId()
	known, ok := c.stateMachine.State.Hosts[id]
	if !ok || known != hostFromReport(r, known.Number) {
		c.registerHost(r, known)
		return false
	}
	if c.leader.conns[id] == hc {
		return true
	}
	hc.host, hc.incarnation, hc.sentVersion = id, r.GetIncarnation(), r.GetConfigVersion()
	if old := c.leader.conns[id]; old != nil {
		old.stop()
	}
	c.leader.conns[id] = hc
	c.Log.Info(logger.EventHostJoined, zap.String("host", id), zap.Uint64("incarnation", hc.incarnation))
	return true
}

func hostFromReport(r *messenger.HostReport, number uint32) configurer.Host {
	return configurer.Host{
		ID: r.GetHostId(), DataCentre: r.GetDataCentre(), Region: r.GetRegion(),
		PeerAddress: r.GetPeerAddress(), Number: number,
	}
}

func (c *Controller) registerHost(r *messenger.HostReport, known configurer.Host) {
	subject := "host/" + r.GetHostId()
	h := hostFromReport(r, known.Number)
	if h.Number == 0 {
		h.Number = c.freeHostNumber()
	}
	if err := h.Validate(); err != nil {
		c.Log.Warn(logger.EventConfigurationRefused, zap.Error(err))
		return
	}
	c.proposeFleetChange(subject, configurer.KindHost, h.ID, h, "host "+h.ID+" joined from "+h.DataCentre)
}

// freeHostNumber returns the lowest unused host number, skipping as many as
// pending proposals may take.
func (c *Controller) freeHostNumber() uint32 {
	used := map[uint32]bool{}
	for _, h := range c.stateMachine.State.Hosts {
		used[h.Number] = true
	}
	n := uint32(1)
	for skip := len(c.leader.pending); used[n] || skip > 0; n++ {
		if !used[n] {
			skip--
		}
	}
	return n
}

// proposeFleetChange proposes a configuration entry on behalf of the system
// instead of an operator. A subject has at most one pending proposal.
func (c *Controller) proposeFleetChange(subject string, kind configurer.Kind, id string, entry any, reason string) {
	if c.leader.pending[subject] {
		return
	}
	change, err := configurer.Put(kind, id, entry)
	if err != nil {
		return
	}
	c.leader.pending[subject] = true
	c.propose(planner.Operation{
		Kind: planner.OperationFleetChange, Subject: id, Actor: c.ID, Text: reason, Changes: []configurer.Change{change},
	}, func(*planner.Plan, error) { delete(c.leader.pending, subject) })
}

func (c *Controller) handleAnnouncement(body []byte, now time.Time) {
	var ann configurer.Announcement
	err := json.Unmarshal(body, &ann)
	if err == nil {
		err = c.leader.registrar.Announce(ann, now)
	}
	if err != nil {
		c.Log.Warn(logger.EventAnnouncementRefused, zap.Error(err))
	}
}

func (c *Controller) recordReachability(r *messenger.HostReport, now time.Time) {
	c.leader.reportedAt[holderName(r.GetHostId(), r.GetIncarnation())] = now
	for _, s := range r.GetSights() {
		u, ok := c.stateMachine.State.Upstreams[s.GetUpstream()]
		if !ok {
			continue
		}
		group := c.leader.reachability[u.Group]
		if group == nil {
			group = map[reportKey]promoter.ReachabilityReport{}
			c.leader.reachability[u.Group] = group
		}
		group[reportKey{holderName(r.GetHostId(), r.GetIncarnation()), u.ID}] = promoter.ReachabilityReport{
			Host: r.GetHostId(), Upstream: u.ID, Reachable: s.GetReachable(),
			Position:  tracker.Position{Term: s.GetTerm(), Offset: s.GetOffset()},
			ChangedAt: now.Add(-time.Duration(s.GetForMs()) * time.Millisecond),
		}
	}
}

// holderName returns the name under which one incarnation of a host holds leases
// and tokens.
func holderName(host string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", host, incarnation)
}

func (c *Controller) handleTokenReports(r *messenger.HostReport, now time.Time) {
	for _, t := range r.GetTokens() {
		c.leader.allocator.Report(allocator.Report{
			Host: holderName(r.GetHostId(), r.GetIncarnation()), Organisation: t.GetOrganisation(),
			SpentTotal: t.GetSpentTotal(), ReturnedTotal: t.GetReturnedTotal(),
			ReceivedTotal: t.GetReceivedTotal(), Wanted: t.GetWanted(),
		}, now)
	}
}

// grantsFor grants tokens of the organisations in a report. It sends the grants
// of other hosts and returns those of the reporting host.
func (c *Controller) grantsFor(r *messenger.HostReport, now time.Time) []*messenger.TokenGrant {
	own := holderName(r.GetHostId(), r.GetIncarnation())
	var mine []*messenger.TokenGrant
	for _, t := range r.GetTokens() {
		for _, g := range c.leader.allocator.GrantOrganisation(t.GetOrganisation(), now) {
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

// sendGrants sends grants to a holder if that incarnation of the host is still
// connected.
func (c *Controller) sendGrants(holder string, grants []*messenger.TokenGrant) {
	host := holder[:strings.LastIndexByte(holder, '/')]
	hc := c.leader.conns[host]
	if hc != nil && holderName(hc.host, hc.incarnation) == holder {
		hc.enqueue(&messenger.ControlOrder{Grants: grants})
	}
}

// grantTokens grants refilled tokens, with one order per host.
func (c *Controller) grantTokens(now time.Time) {
	c.finishTokenRecovery(now)
	byHost := map[string][]*messenger.TokenGrant{}
	for _, g := range c.leader.allocator.GrantAll(now) {
		byHost[g.Host] = append(byHost[g.Host], tokenGrant(g))
	}
	for host, grants := range byHost {
		c.sendGrants(host, grants)
	}
}

// finishTokenRecovery lets a new leader grant tokens once all known hosts have
// reported the tokens that they hold, or their leases have expired.
func (c *Controller) finishTokenRecovery(now time.Time) {
	if c.leader.tokensRecovered {
		return
	}
	all := len(c.stateMachine.State.Hosts) > 0
	for id := range c.stateMachine.State.Hosts {
		all = all && c.leader.conns[id] != nil
	}
	if all || now.Sub(c.leader.since) > time.Duration(float64(c.Timing.LeaseTTL)*(1+c.Timing.Drift)) {
		c.leader.tokensRecovered = true
		c.leader.allocator.FinishRecovery(now)
	}
}

// addChanges adds to an order the configuration changes that were not sent to
// the host yet, or a snapshot if they are no longer kept.
func (c *Controller) addChanges(hc *hostConn, o *messenger.ControlOrder) {
	version := c.stateMachine.State.Version
	if hc.sentVersion >= version {
		return
	}
	changes, ok := c.stateMachine.ChangesSince(hc.sentVersion)
	if ok && hc.sentVersion > 0 {
		o.Changes = encodeChanges(changes)
		hc.sentVersion = version
		return
	}
	compressed, err := c.compressedSnapshot()
	if err != nil {
		c.Log.Error(logger.EventConfigurationRefused, zap.Error(err))
		return
	}
	o.Snapshot = compressed
	hc.sentVersion = version
}

// compressedSnapshot returns the compressed snapshot of the current
// configuration. It is cached per version, because many hosts may start at the
// same time.
func (c *Controller) compressedSnapshot() ([]byte, error) {
	version := c.stateMachine.State.Version
	if c.leader.compressedVersion == version {
		return c.leader.compressed, nil
	}
	changes, err := c.stateMachine.State.Snapshot()
	if err != nil {
		return nil, err
	}
	compressed, err := messenger.EncodeSnapshot(&messenger.Snapshot{Changes: encodeChanges(changes)})
	if err != nil {
		return nil, err
	}
	c.leader.compressed, c.leader.compressedVersion = compressed, version
	return compressed, nil
}

// pushChanges sends new configuration changes to all connected hosts.
func (c *Controller) pushChanges() {
	if !c.leader.active {
		return
	}
	for _, hc := range c.leader.conns {
		o := &messenger.ControlOrder{}
		sent := hc.sentVersion
		c.addChanges(hc, o)
		if hc.sentVersion != sent && !hc.enqueue(o) {
			hc.sentVersion = sent
		}
	}
}

func (c *Controller) expireHosts(now time.Time) {
	for _, holder := range c.leader.granter.Expire(now) {
		c.Log.Warn(logger.EventHostLeft, zap.String("holder", holder))
		c.leader.allocator.ExpireHost(holder)
		delete(c.leader.reportedAt, holder)
		for _, group := range c.leader.reachability {
			for k := range group {
				if k.holder == holder {
					delete(group, k)
				}
			}
		}
		for id, hc := range c.leader.conns {
			if holderName(id, hc.incarnation) == holder {
				hc.stop()
				delete(c.leader.conns, id)
			}
		}
	}
}

// proposeInForce proposes the version that all hosts have put in force, if a
// confirmed plan waits for it.
func (c *Controller) proposeInForce(now time.Time) {
	version := c.stateMachine.State.Version
	if c.leader.inForce >= version || !c.leader.granter.InForce(version, now) {
		return
	}
	c.leader.inForce = version
	for _, p := range c.stateMachine.Plans {
		if p.Status == planner.StatusConfirmed && p.Version <= version && !c.leader.pending["in_force"] {
			c.leader.pending["in_force"] = true
			c.propose(planner.Operation{Kind: planner.OperationInForce, Version: version, Actor: c.ID},
				func(*planner.Plan, error) { delete(c.leader.pending, "in_force") })
			c.Log.Info(logger.EventConfigurationInForce, zap.Uint64("version", version))
		}
	}
}
