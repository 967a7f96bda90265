package coordinator

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/controlclient"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/fencer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/sharer"
	"github.com/shallotstage/shallotstage/pkg/warmer"
)

// shareLease is how long the granted extra shares of rates are valid. A host that
// is cut off for longer falls back to its base share.
const shareLease = 15 * time.Second

// leaderState is the state that a control host keeps while it leads. It is not
// replicated: a new leader collects it again.
type leaderState struct {
	leading   bool
	term      uint64
	startedAt time.Time
	// hosts are the streams of the connected entry hosts, by host name.
	hosts map[string]*hostStream
	// hostsSeen is when each entry host last reported.
	hostsSeen map[string]time.Time
	// unreportedHosts are the entry hosts known at the election that have not reported
	// since.
	unreportedHosts map[string]bool
	// pendingHosts are the entry hosts with a proposal in progress.
	pendingHosts map[string]bool
	// reportedHosts is the largest host count from an earlier leader that an
	// entry host reported.
	reportedHosts int
	// peers are the entry hosts that may lend connections, and publishedPeers
	// those last published to all hosts.
	peers          map[string]peerStatus
	publishedPeers map[string]keeper.Peer
	// peersPublishedAt is when publishedPeers was last replaced.
	peersPublishedAt time.Time
	// lastAnnounced is when each upstream last announced itself.
	lastAnnounced map[string]time.Time
	// membersSeen is when each control host last announced itself, and members
	// holds its announcement.
	membersSeen map[string]time.Time
	members     map[string]keeper.Member
	shares      sharer.Sharer
	// leases are the entry hosts' leases to act at primaries. Their version is the
	// log index that a host follows.
	leases fencer.Granter
	// warmupGrants are the grants to send to cold upstreams, and warmups the countdowns
	// of the announcements that were replicated.
	warmupGrants warmer.Granter
	warmups      warmer.Countdowns
	// knowsEarlierHolders is true once the hosts that may hold a lease or shares of an
	// earlier leader are known.
	knowsEarlierHolders bool
	services            map[string]*serviceState
	// decidedAt is when the leader last evaluated its decisions.
	decidedAt time.Time
	// evacuatedAt is when the orders of this leadership were applied, by data centre.
	evacuatedAt map[string]time.Time
	// published holds the versions of the state last published to the hosts, at
	// publishedAt. topology is its topology, which must not be modified, and
	// topologyChange the change from the one published before.
	published      published
	publishedAt    time.Time
	topology       controlclient.Topology
	topologyChange controlclient.TopologyChange
	// configuration is the one last published, and configurationChange the change
	// from the one before.
	configuration       keeper.Configuration
	configurationChange controlclient.ConfigurationChange
}

type published struct {
	revision, version, peersVersion uint64
	hosts                           int
}

// peerStatus is the last reported state of an entry host that may lend
// connections.
type peerStatus struct {
	keeper.Peer
	lastReport   time.Time
	shuttingDown bool
}

const (
	// peerCollectionTime is how long a new leader waits for reports from all
	// hosts before it publishes the peers that lend connections.
	peerCollectionTime = 2500 * time.Millisecond
	// peerTTL is how long after its last report a host is published as a peer:
	// more than two report intervals.
	peerTTL = 2600 * time.Millisecond
	// publishInterval is the minimum time between two publications that change no
	// primary and no evacuation. Many upstreams and hosts announce themselves together, and each
	// publication goes to every host.
	publishInterval = 150 * time.Millisecond
	// peersPublishInterval is the minimum time between two publications of the
	// peers, so that several hosts that start or stop in turn cause one
	// publication.
	peersPublishInterval = 250 * time.Millisecond
)

// livePeers returns the hosts that lend connections, and removes hosts that have
// been silent for longer than hostTTL.
func (s *leaderState) livePeers(now time.Time) map[string]keeper.Peer {
	live := map[string]keeper.Peer{}
	for name, p := range s.peers {
		switch {
		case now.Sub(p.lastReport) > hostTTL:
			delete(s.peers, name)
		case p.Address != "" && !p.shuttingDown && now.Sub(p.lastReport) <= peerTTL:
			live[name] = p.Peer
		}
	}
	return live
}

// decisionInterval is the time between evaluations of primaries and members.
const decisionInterval = 100 * time.Millisecond

// updateLeadership resets the leader state when this host gains or loses the
// leadership.
func (c *Coordinator) updateLeadership() {
	leads := c.elector.Role() == elector.RoleLeader
	if leads == c.leadership.leading && (!leads || c.leadership.term == c.elector.Term()) {
		return
	}
	for index, p := range c.pending {
		delete(c.pending, index)
		p.done(keeper.Outcome{}, ErrNotLeader)
	}
	for _, h := range c.leadership.hosts {
		h.close()
	}
	c.leadership = leaderState{leading: leads, term: c.elector.Term()}
	c.updateCache = updateCache{}
	c.Log.Info(logger.EventTermStarted, zap.Bool("leads", leads), zap.Uint64("term", c.elector.Term()))
	if !leads {
		return
	}
	now := c.Now()
	c.leadership.startedAt = now
	c.leadership.hosts = map[string]*hostStream{}
	c.leadership.hostsSeen = map[string]time.Time{}
	c.leadership.peers = map[string]peerStatus{}
	c.leadership.unreportedHosts = maps.Clone(c.state.Hosts)
	c.leadership.pendingHosts = map[string]bool{}
	c.leadership.lastAnnounced = map[string]time.Time{}
	c.leadership.membersSeen = map[string]time.Time{}
	c.leadership.members = map[string]keeper.Member{}
	c.leadership.services = map[string]*serviceState{}
	c.leadership.evacuatedAt = map[string]time.Time{}
	c.leadership.leases = fencer.Granter{TTL: primaryLease, MaxClockDrift: maxClockDrift}
	c.leadership.leases.Reset(now)
	c.leadership.warmupGrants = warmer.Granter{TTL: warmupGrant, MaxClockDrift: maxClockDrift}
	c.leadership.warmupGrants.Reset(now)
	c.leadership.shares = sharer.Sharer{StartedAt: now, LeaseDuration: shareLease}
}

// recallEarlierHolders takes over the hosts to which an earlier leader may have granted
// leases and shares. It must be called as soon as the log of the earlier leaders is
// applied, before anything is granted: at the election itself the state of a host that
// has just restarted is its last snapshot.
func (c *Coordinator) recallEarlierHolders() {
	if !c.leadership.leading || c.leadership.knowsEarlierHolders || c.leadership.term != c.elector.Term() || !c.elector.HasAppliedOwnTerm() {
		return
	}
	c.leadership.knowsEarlierHolders = true
	c.leadership.leases.SetKnownHolders(slices.Collect(maps.Keys(c.state.Hosts)))
	c.leadership.shares.AwaitHosts(c.state.Hosts)
}

// tick evaluates the leader's periodic decisions.
func (c *Coordinator) tick(now time.Time) {
	if !c.leadership.leading || now.Sub(c.leadership.decidedAt) < decisionInterval || !c.elector.HasLease(now) {
		return
	}
	c.leadership.decidedAt = now
	c.updateMembership(now)
	c.checkPrimaries(now)
	c.removeSilentHosts(now)
	c.leadership.publish(c)
}

// removeSilentHosts proposes to remove the entry hosts that have not reported for
// hostTTL.
func (c *Coordinator) removeSilentHosts(now time.Time) {
	if now.Sub(c.leadership.startedAt) < hostTTL {
		return
	}
	for name := range c.state.Hosts {
		if _, known := c.leadership.hostsSeen[name]; !known && !c.leadership.pendingHosts[name] {
			c.proposeHostChange(keeper.Command{Kind: keeper.CommandHostLeft, Host: name})
		}
	}
}

// proposeHostChange proposes that an entry host joined or left.
func (c *Coordinator) proposeHostChange(command keeper.Command) {
	name := command.Host
	if c.leadership.pendingHosts[name] {
		return
	}
	c.leadership.pendingHosts[name] = true
	c.propose(command, func(keeper.Outcome, error) {
		delete(c.leadership.pendingHosts, name)
		if h := c.leadership.hosts[name]; h != nil {
			// The host gets its shares and its lease only now.
			h.answerDue = true
			h.notify()
		}
	})
}

// publish notifies the host streams when the published state has changed.
func (s *leaderState) publish(c *Coordinator) {
	at := c.Now()
	if !s.leading || !c.elector.HasLease(at) {
		// Without the lease, the state of this host may be outdated.
		return
	}
	urgent := !maps.Equal(s.topology.Promotions, c.state.Promotions) || !maps.Equal(s.topology.Primaries, c.state.Primaries) ||
		!maps.Equal(s.topology.Evacuations, c.state.Evacuations)
	if !urgent && at.Sub(s.publishedAt) < publishInterval {
		// A later tick publishes this change together with others.
		return
	}
	next := published{revision: c.revision(), version: c.state.Configuration().Version, hosts: c.countHosts(at), peersVersion: s.published.peersVersion}
	if at.Sub(s.startedAt) > peerCollectionTime || len(s.unreportedHosts) == 0 {
		if live := s.livePeers(at); s.publishedPeers == nil || at.Sub(s.peersPublishedAt) >= peersPublishInterval && !maps.Equal(live, s.publishedPeers) {
			s.publishedPeers, s.peersPublishedAt = live, at
			next.peersVersion++
		}
	}
	if next == s.published {
		return
	}
	if next.version != s.published.version {
		configuration := c.state.Configuration()
		s.configurationChange = controlclient.ConfigurationChangeOf(s.configuration, configuration)
		s.configuration = configuration
	}
	if next.revision != s.published.revision {
		topology := c.topology()
		s.topologyChange = controlclient.ChangeOf(s.topology, topology)
		s.topology = topology
	}
	s.published, s.publishedAt = next, at
	for _, h := range s.hosts {
		h.notify()
	}
}

// hostTTL is how long an entry host is counted after its last report: it may keep
// serving while it is cut off.
const hostTTL = 60 * time.Second

// countHosts returns the number of entry hosts that may be serving, or zero if it is not
// known yet. A new leader also counts the agreed hosts and those that an earlier leader had
// counted: hosts that restarted with it do not know how many there are.
func (c *Coordinator) countHosts(now time.Time) int {
	s := &c.leadership
	if !s.knowsEarlierHolders {
		return 0
	}
	n := 0
	for name, at := range s.hostsSeen {
		if now.Sub(at) > hostTTL {
			delete(s.hostsSeen, name)
			continue
		}
		n++
	}
	if now.Sub(s.startedAt) < hostTTL {
		return max(n, s.reportedHosts, len(c.state.Hosts))
	}
	return n
}
