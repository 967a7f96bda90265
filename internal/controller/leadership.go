package controller

import (
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/allocator"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/fencer"
	"github.com/shallotstage/shallotstage/pkg/planner"
	"github.com/shallotstage/shallotstage/pkg/promoter"
	"github.com/shallotstage/shallotstage/pkg/registrar"
)

// leaderState is the volatile state of a leader. It is not replicated; a new
// leader starts with an empty one.
type leaderState struct {
	active    bool
	since     time.Time
	granter   fencer.Granter
	allocator allocator.Allocator
	registrar registrar.Registrar
	promoter  promoter.Promoter
	conns     map[string]*hostConn
	// reachability holds the newest reports by group, host and upstream. A
	// report is valid until the host reports a change or its lease expires.
	reachability map[string]map[reportKey]promoter.ReachabilityReport
	// reportedAt is the time of each holder's last report.
	reportedAt  map[string]time.Time
	statuses    map[string]map[string]promoter.UpstreamStatus
	orderSentAt map[orderKey]time.Time
	// pending holds the subjects with a pending proposal.
	pending map[string]bool
	// fencedAt is the configuration version at which each group's term began.
	fencedAt       map[string]uint64
	heldPromotions map[string]heldPromotion
	// announcedAt is the time of each control host's last announcement.
	announcedAt map[string]time.Time
	// lostDirs holds the members that announced another data directory than the
	// registered one.
	lostDirs map[string]bool
	// storedPages is the number of archived pages that each control host stores.
	storedPages map[string]uint64
	// membersCheckedAt is the time of the last check of the membership.
	membersCheckedAt time.Time
	inForce          uint64
	tokensRecovered  bool
	// compressed is the compressed snapshot of compressedVersion.
	compressed        []byte
	compressedVersion uint64
}

// heldPromotion is a group's term that has no primary yet.
type heldPromotion struct {
	term     uint64
	since    time.Time
	recorded bool
}

// tick starts and stops leading, and does the leader's periodic work.
func (c *Controller) tick(now time.Time) {
	leads := c.elector.HasLease(now)
	if leads && !c.leader.active {
		c.startLeading(now)
	}
	if !leads {
		if c.leader.active && c.elector.Role() != elector.RoleLeader {
			c.stopLeading()
		}
		return
	}
	c.proposeSeed()
	c.expireHosts(now)
	c.leader.registrar.ExpireSilent(now)
	c.syncUpstreams()
	c.checkGroups(now)
	c.grantTokens(now)
	c.checkMembers(now)
	c.proposeInForce(now)
}

func (c *Controller) startLeading(now time.Time) {
	c.leader = leaderState{
		active: true, since: now,
		granter: fencer.Granter{TTL: c.Timing.LeaseTTL, MaxClockDrift: c.Timing.Drift},
		registrar: registrar.Registrar{
			SuspectAfter: announceSuspectAfter, GoneAfter: announceRemoveAfter,
		},
		promoter: promoter.Promoter{
			SuspectAfter: c.Timing.SuspectAfter, MaxReportAge: maxReportAge, GroupSize: c.GroupSize,
		},
		conns:          map[string]*hostConn{},
		reachability:   map[string]map[reportKey]promoter.ReachabilityReport{},
		reportedAt:     map[string]time.Time{},
		statuses:       map[string]map[string]promoter.UpstreamStatus{},
		orderSentAt:    map[orderKey]time.Time{},
		pending:        map[string]bool{},
		fencedAt:       map[string]uint64{},
		heldPromotions: map[string]heldPromotion{},
		announcedAt:    map[string]time.Time{},
		storedPages:    map[string]uint64{},
		lostDirs:       map[string]bool{},
		inForce:        0,
	}
	if len(c.stateMachine.State.Hosts) > 0 {
		// Only a registered host can hold a lease of an earlier leader.
		c.leader.granter.Reset(now)
	}
	c.leader.allocator.StartRecovery()
	c.leader.registrar.Restore(c.stateMachine.State.Upstreams, now)
	for _, o := range c.stateMachine.State.Organisations {
		c.leader.allocator.SetOrganisation(o.ID, o.Rate, o.Burst, now)
	}
	c.Log.Info(logger.EventTermStarted, zap.String("control_host", c.ID), zap.Uint64("control_term", c.elector.Term()))
}

func (c *Controller) stopLeading() {
	for _, a := range c.leader.conns {
		a.stop()
	}
	c.leader = leaderState{}
	for index, p := range c.proposals {
		delete(c.proposals, index)
		p.done(nil, ErrNotLeader)
	}
}

// proposeSeed proposes the initial configuration of a new fleet.
func (c *Controller) proposeSeed() {
	if len(c.Seed) == 0 || c.stateMachine.State.Version > 0 || c.leader.pending["seed"] {
		return
	}
	c.leader.pending["seed"] = true
	for _, o := range c.Seed {
		c.propose(o, func(*planner.Plan, error) {})
	}
}
