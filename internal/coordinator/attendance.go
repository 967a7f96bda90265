package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/shallotstage/shallotstage/internal/attender"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// holdLimit is how long an entry host's report is held while no leader is known:
// longer than an election, shorter than entry hosts wait for an answer.
const holdLimit = 900 * time.Millisecond

// regrantInterval is the least time between two grants of which the second only
// takes parts for others: a round trip between regions, and the wait of the host
// that lacks them.
const regrantInterval = 100 * time.Millisecond

// attendance is one entry host's stream to this host while it leads. Its
// fields belong to the control goroutine.
type attendance struct {
	name        string
	incarnation uint64
	cancel      context.CancelFunc
	// news has one element when there is something to tell.
	news chan struct{}
	// version and revision are what the host was last told.
	version  uint64
	revision uint64
	peers    uint64
	// knowsPeers is false while the host was not told who lends connections.
	knowsPeers bool
	// answers is the report to answer, and due is true until it is answered.
	answers uint64
	due     bool
	// granted is when the host was last granted shares.
	granted time.Time
	// sights are the newest by upstream, and seen when they were told.
	sights map[string]attender.Sight
	seen   time.Time
	// held is the newest report while no leader is known.
	held      *attender.Report
	heldSince time.Time
}

func (a *attendance) wake() {
	select {
	case a.news <- struct{}{}:
	default:
	}
}

func (a *attendance) close() { a.cancel() }

// attend serves the stream of one entry host.
func (c *Coordinator) attend(stream drpc.Stream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	a := &attendance{cancel: cancel, news: make(chan struct{}, 1), sights: map[string]attender.Sight{}}
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			var r attender.Report
			if err := stream.MsgRecv(&r, linker.JSON{}); err != nil {
				return
			}
			if !c.do(func() { c.takeReport(a, r) }) {
				return
			}
		}
	}()
	defer c.do(func() { c.drop(a) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.news:
		}
		made := make(chan attender.Update, 1)
		if !c.do(func() { made <- c.update(a) }) {
			return nil
		}
		select {
		case u := <-made:
			if err := stream.MsgSend(&u, linker.JSON{}); err != nil {
				return err
			}
			if u.NotLeading {
				return nil
			}
		case <-ctx.Done():
			return nil
		case <-c.stopped:
			return nil
		}
	}
}

// takeReport takes a host's report.
func (c *Coordinator) takeReport(a *attendance, r attender.Report) {
	if !c.lead.leading {
		c.hold(a, r)
		return
	}
	defer a.wake()
	now := c.Now()
	if a.name == "" {
		a.name, a.incarnation, a.version, a.knowsPeers = r.Host, r.Incarnation, r.Version, r.Version > 0
		if old := c.lead.hosts[a.name]; old != nil {
			old.close()
			if old.incarnation != a.incarnation {
				// One process after the other runs on a host.
				c.lead.shares.Forget(a.name)
			}
		}
		c.lead.hosts[a.name] = a
		c.Log.Info(logger.EventHostJoined, zap.String("host", a.name), zap.Uint64("incarnation", a.incarnation), zap.Uint64("version", r.Version))
	}
	host := keeper.Peer{Address: r.PeerAddress, DataCentre: r.DataCentre}
	if !c.state.Hosts[a.name] || c.state.Peers[a.name] != host {
		c.agreeHost(keeper.Command{Kind: keeper.CommandHostJoined, Host: a.name, Peer: host})
	}
	a.seen, a.due, a.answers = now, true, r.Sequence
	for _, s := range r.Sights {
		a.sights[s.Upstream] = s
	}
	c.lead.known[a.name] = now
	c.lead.toldHosts = max(c.lead.toldHosts, r.Hosts)
	c.lead.shares.Take(a.name, r.Shares, now)
	for _, name := range c.lead.shares.Holding(a.name, now) {
		// What this host lacks is held by others: they are told at once.
		if other := c.lead.hosts[name]; other != nil && now.Sub(other.granted) >= regrantInterval {
			other.due = true
			other.wake()
		}
	}
	c.lead.peers[a.name] = peer{Peer: host, seen: now, leaving: r.Leaving}
}

// hold keeps a report while no leader is known, so that the entry host learns of
// the next one as soon as this host does.
func (c *Coordinator) hold(a *attendance, r attender.Report) {
	if a.held == nil {
		a.heldSince = c.Now()
	}
	a.held = &r
	c.held[a] = true
	if c.knowsLeaderFor(a) {
		a.wake()
	}
}

// knowsLeaderFor reports whether a leader is known that the entry host of a held
// report has not just lost.
func (c *Coordinator) knowsLeaderFor(a *attendance) bool {
	address := c.leaderAddress()
	return address != "" && address != a.held.Lost
}

// releaseHeld answers the entry hosts whose reports are held, once a leader is
// known or they have waited for long.
func (c *Coordinator) releaseHeld(now time.Time) {
	for a := range c.held {
		if !c.lead.leading && !c.knowsLeaderFor(a) && now.Sub(a.heldSince) < holdLimit {
			continue
		}
		delete(c.held, a)
		if c.lead.leading {
			c.takeReport(a, *a.held)
		}
		a.wake()
	}
}

// drop forgets a stream that has ended.
func (c *Coordinator) drop(a *attendance) {
	delete(c.held, a)
	if c.lead.hosts[a.name] == a {
		delete(c.lead.hosts, a.name)
		c.Log.Info(logger.EventHostLeft, zap.String("host", a.name), zap.Uint64("incarnation", a.incarnation))
	}
}

// update makes the next update of a host.
func (c *Coordinator) update(a *attendance) attender.Update {
	now := c.Now()
	if !c.lead.leading || c.lead.hosts[a.name] != a {
		return attender.Update{NotLeading: true, Leader: c.leaderAddress()}
	}
	u := attender.Update{Hosts: c.lead.countHosts(now)}
	if c.lead.publishedPeers != nil && a.peers != c.lead.published.peers {
		if u.Peers = c.packed.peers.of(c.lead.published.peers, c.lead.publishedPeers, c.Log); u.Peers != nil {
			a.peers, a.knowsPeers = c.lead.published.peers, true
		}
	}
	if !a.knowsPeers && c.elector.HasLease(now) {
		// Until all hosts were heard, a host that has just started is told of
		// those that are agreed on: most of them will lend as before.
		if u.Peers = c.packed.agreedPeers.of(c.state.PeersRevision(), c.state.Peers, c.Log); u.Peers != nil {
			a.knowsPeers = true
		}
	}
	if a.due {
		a.due = false
		u.Answers = a.answers
		if c.elector.HasLease(now) && c.state.Hosts[a.name] {
			u.Grant, u.Extras = c.lead.shares.Grant(a.name, now)
			a.granted = now
			u.Lease = shareLease
		}
	}
	if !c.elector.HasLease(now) {
		// What this host holds may not be the newest.
		return u
	}
	configuration := c.state.Configuration()
	if configuration.Version > a.version {
		if u.Configuration = c.packed.configuration.of(configuration.Version, configuration, c.Log); u.Configuration != nil {
			a.version = configuration.Version
		}
	}
	if a.revision != c.revision() {
		if u.Topology = c.packed.topology.of(c.revision(), c.topology(), c.Log); u.Topology != nil {
			a.revision = c.revision()
		}
	}
	return u
}

// revision is never zero, so that zero means that a host knows nothing.
func (c *Coordinator) revision() uint64 { return c.state.Revision() + 1 }

// topology returns what hosts must know.
func (c *Coordinator) topology() attender.Topology {
	return attender.Topology{
		Revision: c.revision(), Upstreams: c.state.Upstreams, Primaries: c.state.Primaries, Promotions: c.state.Promotions, Members: c.state.Members,
	}
}
