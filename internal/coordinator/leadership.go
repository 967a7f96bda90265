package coordinator

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/sharer"
)

// shareLease is the time for which extras of rates are lent. A host that is cut
// off for longer falls back to its base.
const shareLease = 15 * time.Second

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
	// joining are entry hosts about whom an agreement is under way.
	joining map[string]bool
	// toldHosts is the largest number of hosts that an earlier leader told.
	toldHosts int
	// peers are the entry hosts that lend connections, publishedPeers those
	// that hosts are told of.
	peers          map[string]peer
	publishedPeers map[string]keeper.Peer
	// peersAt is when publishedPeers was made.
	peersAt time.Time
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
	revision, version, peers uint64
	hosts                    int
}

// peer is an entry host that lends connections.
type peer struct {
	keeper.Peer
	seen    time.Time
	leaving bool
}

const (
	// gatherTime is how long a new leader waits for all hosts to attend before
	// it tells who lends.
	gatherTime = 2500 * time.Millisecond
	// peerLife is the silence after which a host is no longer told to lend:
	// more than two reports.
	peerLife = 2600 * time.Millisecond
	// peersInterval is the least time between two publications of who lends.
	// Hosts that start or stop in turn then cost one for several of them.
	peersInterval = 250 * time.Millisecond
)

// livePeers returns the hosts that lend connections.
func (l *leadership) livePeers(now time.Time) map[string]keeper.Peer {
	live := map[string]keeper.Peer{}
	for name, p := range l.peers {
		switch {
		case now.Sub(p.seen) > forgetHostAfter:
			delete(l.peers, name)
		case p.Address != "" && !p.leaving && now.Sub(p.seen) <= peerLife:
			live[name] = p.Peer
		}
	}
	return live
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
	c.packed = packed{}
	c.Log.Info(logger.EventTermStarted, zap.Bool("leads", leads), zap.Uint64("term", c.elector.Term()))
	if !leads {
		return
	}
	now := c.Now()
	c.lead.begun = now
	c.lead.hosts = map[string]*attendance{}
	c.lead.known = map[string]time.Time{}
	c.lead.peers = map[string]peer{}
	c.lead.joining = map[string]bool{}
	c.lead.announced = map[string]time.Time{}
	c.lead.heard = map[string]time.Time{}
	c.lead.members = map[string]keeper.Member{}
	c.lead.groups = map[string]*group{}
	c.lead.shares = sharer.Sharer{Begun: now, Lease: shareLease, Awaited: maps.Clone(c.state.Hosts)}
}

// tick takes the leader's decisions.
func (c *Coordinator) tick(now time.Time) {
	if !c.lead.leading || now.Sub(c.lead.decided) < decideInterval || !c.elector.HasLease(now) {
		return
	}
	c.lead.decided = now
	c.replaceMembers(now)
	c.appointPrimaries(now)
	c.forgetHosts(now)
	c.lead.publish(c)
}

// forgetHosts lets the fleet forget entry hosts that were not heard for long.
func (c *Coordinator) forgetHosts(now time.Time) {
	if now.Sub(c.lead.begun) < forgetHostAfter {
		return
	}
	for name := range c.state.Hosts {
		if _, known := c.lead.known[name]; !known && !c.lead.joining[name] {
			c.agreeHost(keeper.Command{Kind: keeper.CommandHostLeft, Host: name})
		}
	}
}

// agreeHost lets the fleet agree that an entry host joined or left.
func (c *Coordinator) agreeHost(command keeper.Command) {
	name := command.Host
	if c.lead.joining[name] {
		return
	}
	c.lead.joining[name] = true
	c.propose(command, func(keeper.Outcome, error) { delete(c.lead.joining, name) })
}

// publish wakes the attendances when there is news for them.
func (l *leadership) publish(c *Coordinator) {
	if !l.leading {
		return
	}
	at := c.Now()
	next := published{revision: c.state.Revision(), version: c.state.Configuration().Version, hosts: l.countHosts(at), peers: l.published.peers}
	if at.Sub(l.begun) > gatherTime || len(l.shares.Awaited) == 0 {
		if live := l.livePeers(at); l.publishedPeers == nil || at.Sub(l.peersAt) >= peersInterval && !maps.Equal(live, l.publishedPeers) {
			l.publishedPeers, l.peersAt = live, at
			next.peers++
		}
	}
	if next == l.published {
		return
	}
	l.published = next
	for _, h := range l.hosts {
		h.wake()
	}
}

// forgetHostAfter is how long an entry host is counted after it was last heard:
// it may serve on while it is cut off.
const forgetHostAfter = 60 * time.Second

// countHosts returns the number of entry hosts that may be serving. A new
// leader also counts those of whom an earlier one told.
func (l *leadership) countHosts(now time.Time) int {
	n := 0
	for name, at := range l.known {
		if now.Sub(at) > forgetHostAfter {
			delete(l.known, name)
			continue
		}
		n++
	}
	if now.Sub(l.begun) < forgetHostAfter {
		return max(n, l.toldHosts)
	}
	return n
}
