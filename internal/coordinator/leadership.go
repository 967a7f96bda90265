package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/sharer"
)

// shareLease is the time for which extras of rates are lent. A host that is cut
// off for longer falls back to its base.
const shareLease = 10 * time.Second

// leadership is what a control host keeps while it leads. None of it is agreed
// on: a new leader gathers it anew.
type leadership struct {
	leading bool
	term    uint64
	begun   time.Time
	// hosts are the entry hosts that attend, by name.
	hosts map[string]*attendance
	// known is when each entry host was last heard.
	known map[string]time.Time
	// announced is when each upstream last announced itself.
	announced map[string]time.Time
	// heard is when each control host last announced itself, and members what
	// it told.
	heard   map[string]time.Time
	members map[string]keeper.Member
	shares  sharer.Sharer
	groups  map[string]*group
	// decided is when decisions were last taken.
	decided time.Time
	// published is the revision and version that hosts were last told of.
	published published
}

type published struct {
	revision, version uint64
	hosts             int
}

// decideInterval is the time between looks at primaries and members.
const decideInterval = 100 * time.Millisecond

// noteLeadership begins or ends the time in which this host leads.
func (c *Coordinator) noteLeadership() {
	leads := c.elector.Role() == elector.RoleLeader
	if leads == c.lead.leading && (!leads || c.lead.term == c.elector.Term()) {
		return
	}
	for index, p := range c.waiting {
		delete(c.waiting, index)
		p.done(keeper.Outcome{}, ErrNotLeading)
	}
	for _, h := range c.lead.hosts {
		h.close()
	}
	c.lead = leadership{leading: leads, term: c.elector.Term()}
	c.Log.Info(logger.EventTermStarted, zap.Bool("leads", leads), zap.Uint64("term", c.elector.Term()))
	if !leads {
		return
	}
	now := c.Now()
	c.lead.begun = now
	c.lead.hosts = map[string]*attendance{}
	c.lead.known = map[string]time.Time{}
	c.lead.announced = map[string]time.Time{}
	c.lead.heard = map[string]time.Time{}
	c.lead.members = map[string]keeper.Member{}
	c.lead.groups = map[string]*group{}
	c.lead.shares = sharer.Sharer{Begun: now, Lease: shareLease, First: c.state.Configuration().Version == 0}
}

// tick takes the leader's decisions.
func (c *Coordinator) tick(now time.Time) {
	if !c.lead.leading || now.Sub(c.lead.decided) < decideInterval || !c.elector.HasLease(now) {
		return
	}
	c.lead.decided = now
	c.replaceMembers(now)
	c.appointPrimaries(now)
	c.lead.publish(c)
}

// publish wakes the attendances when there is news for them.
func (l *leadership) publish(c *Coordinator) {
	if !l.leading {
		return
	}
	now := published{revision: c.state.Revision(), version: c.state.Configuration().Version, hosts: l.countHosts(c.Now())}
	if now == l.published {
		return
	}
	l.published = now
	for _, h := range l.hosts {
		h.wake()
	}
}

// forgetHostAfter is how long an entry host is counted after it was last heard:
// it may serve on while it is cut off.
const forgetHostAfter = 60 * time.Second

// countHosts returns the number of entry hosts that may be serving.
func (l *leadership) countHosts(now time.Time) int {
	n := 0
	for name, at := range l.known {
		if now.Sub(at) > forgetHostAfter {
			delete(l.known, name)
			continue
		}
		n++
	}
	return n
}
