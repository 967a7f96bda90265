package coordinator

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/shallotstage/shallotstage/internal/controlclient"
	"github.com/shallotstage/shallotstage/internal/decoder"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// maxReportHold bounds how long an entry host's report is held while no leader is
// known. It is longer than an election and shorter than entry hosts wait for an
// answer.
const maxReportHold = 900 * time.Millisecond

// regrantInterval is the minimum time between two grants to a host if the second
// only reduces its share in favour of other hosts. It allows for a round trip
// between regions and limits how long those hosts wait.
const regrantInterval = 100 * time.Millisecond

// hostStream is one entry host's stream to this host while this host leads. Only
// the control goroutine accesses its fields.
type hostStream struct {
	name        string
	incarnation uint64
	cancel      context.CancelFunc
	// updateNeeded has one element when an update must be sent.
	updateNeeded chan struct{}
	// version and revision are those last sent to the host.
	version      uint64
	revision     uint64
	peersVersion uint64
	// hasPeers is false until the host has been sent the hosts that lend
	// connections.
	hasPeers bool
	// reportSequence is the report to answer, and answerDue is true until it is
	// answered.
	reportSequence uint64
	answerDue      bool
	// index is the log index that the host follows.
	index uint64
	// acceptsChanges is true if the host understands changes of a topology.
	acceptsChanges bool
	// grantedAt is when the host was last granted shares of rates.
	grantedAt time.Time
	// statuses are the latest by upstream, and reportedAt is when the last report
	// arrived.
	statuses   map[string]controlclient.UpstreamStatus
	reportedAt time.Time
	// warmupWanted are the cold upstreams to which the host wants the grant to send.
	warmupWanted []string
	// heldReport is the latest report received while no leader is known.
	heldReport *controlclient.Report
	heldSince  time.Time
}

func (a *hostStream) notify() {
	select {
	case a.updateNeeded <- struct{}{}:
	default:
	}
}

func (a *hostStream) close() { a.cancel() }

// serveHostStream serves the stream of one entry host.
func (c *Coordinator) serveHostStream(stream drpc.Stream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	a := &hostStream{cancel: cancel, updateNeeded: make(chan struct{}, 1), statuses: map[string]controlclient.UpstreamStatus{}}
	encoding := linker.EntryEncoding{Ignored: func(e *decoder.EntryError) { c.logIgnored("report", e) }}
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			var r controlclient.Report
			if err := stream.MsgRecv(&r, encoding); err != nil {
				return
			}
			if r.Host == "" {
				c.Log.Warn(logger.EventReportRefused, zap.String("data_centre", r.DataCentre), zap.String("address", r.PeerAddress))
				return
			}
			if err := linker.CheckAddress(r.PeerAddress); r.PeerAddress != "" && err != nil {
				// The host serves; others cannot reach it.
				c.Log.Warn(logger.EventEntryIgnored, zap.String("part", "report of "+r.Host), zap.Error(err))
				r.PeerAddress = ""
			}
			if !c.submit(func() { c.handleReport(a, r) }) {
				return
			}
		}
	}()
	defer c.queue.Do(func() { c.removeStream(a) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.updateNeeded:
		}
		built := make(chan controlclient.Update, 1)
		if !c.submit(func() { built <- c.buildUpdate(a) }) {
			return nil
		}
		select {
		case u := <-built:
			if err := stream.MsgSend(&u, linker.JSONEncoding{}); err != nil {
				return err
			}
			if u.NotLeading {
				return nil
			}
		case <-ctx.Done():
			return nil
		case <-c.queue.Stopped():
			return nil
		}
	}
}

// handleReport processes an entry host's report.
func (c *Coordinator) handleReport(a *hostStream, r controlclient.Report) {
	if !c.leadership.leading {
		c.holdReport(a, r)
		return
	}
	defer a.notify()
	now := c.Now()
	if a.name == "" {
		a.name, a.incarnation, a.version, a.hasPeers = r.Host, r.Incarnation, r.Version, r.Version > 0
		if old := c.leadership.hosts[a.name]; old != nil {
			old.close()
			if old.incarnation != a.incarnation {
				// A host runs one process at a time, so the earlier one has
				// ended.
				c.leadership.shares.RemoveHost(a.name)
				c.leadership.warmupGrants.Release(a.name)
			}
		}
		if !r.HoldsLease {
			c.leadership.leases.Release(a.name)
		}
		c.leadership.hosts[a.name] = a
		c.Log.Info(logger.EventHostJoined, zap.String("host", a.name), zap.Uint64("incarnation", a.incarnation), zap.Uint64("version", r.Version))
	}
	host := keeper.Peer{Address: r.PeerAddress, DataCentre: r.DataCentre}
	if !c.state.Hosts[a.name] || c.state.Peers[a.name] != host {
		c.proposeHostChange(keeper.Command{Kind: keeper.CommandHostJoined, Host: a.name, Peer: host})
	}
	a.warmupWanted = r.WarmupWanted
	c.leadership.warmupGrants.HandleReport(a.name, r.WarmupWanted)
	a.index, a.acceptsChanges = r.Index, r.AcceptsChanges
	if a.acceptsChanges {
		c.leadership.leases.RecordVersion(a.name, r.Index)
	} else {
		// A host of an earlier build knows no leases; to wait for it would not help.
		c.leadership.leases.Release(a.name)
	}
	c.advancePromotions(now)
	a.reportedAt, a.answerDue, a.reportSequence = now, true, r.Sequence
	for _, s := range r.UpstreamStatuses {
		a.statuses[s.Upstream] = s
	}
	c.leadership.hostsSeen[a.name] = now
	delete(c.leadership.unreportedHosts, a.name)
	c.leadership.reportedHosts = max(c.leadership.reportedHosts, r.Hosts)
	c.leadership.shares.HandleReport(a.name, r.Shares, now)
	for _, name := range c.leadership.shares.OverAllocated(a.name, now) {
		// Other hosts hold the share that this host lacks, so they get a new
		// grant at once.
		if other := c.leadership.hosts[name]; other != nil && now.Sub(other.grantedAt) >= regrantInterval {
			other.answerDue = true
			other.notify()
		}
	}
	c.leadership.peers[a.name] = peerStatus{Peer: host, lastReport: now, shuttingDown: r.ShuttingDown}
}

// holdReport keeps a report while no leader is known, so that the entry host
// learns of the next leader as soon as this host does.
func (c *Coordinator) holdReport(a *hostStream, r controlclient.Report) {
	if a.heldReport == nil {
		a.heldSince = c.Now()
	}
	a.heldReport = &r
	c.heldStreams[a] = true
	if c.knowsOtherLeader(a) {
		a.notify()
	}
}

// knowsOtherLeader reports whether a leader is known other than the one that the
// entry host of a held report has just lost.
func (c *Coordinator) knowsOtherLeader(a *hostStream) bool {
	address := c.leaderAddress()
	return address != "" && address != a.heldReport.LostLeader
}

// releaseHeldReports answers the held reports once a leader is known, or after
// maxReportHold.
func (c *Coordinator) releaseHeldReports(now time.Time) {
	for a := range c.heldStreams {
		if !c.leadership.leading && !c.knowsOtherLeader(a) && now.Sub(a.heldSince) < maxReportHold {
			continue
		}
		delete(c.heldStreams, a)
		if c.leadership.leading {
			c.handleReport(a, *a.heldReport)
		}
		a.notify()
	}
}

// removeStream removes a stream that has ended.
func (c *Coordinator) removeStream(a *hostStream) {
	delete(c.heldStreams, a)
	if c.leadership.hosts[a.name] == a {
		delete(c.leadership.hosts, a.name)
		c.Log.Info(logger.EventHostLeft, zap.String("host", a.name), zap.Uint64("incarnation", a.incarnation))
	}
}

// buildUpdate builds the next update for a host.
func (c *Coordinator) buildUpdate(a *hostStream) controlclient.Update {
	now := c.Now()
	if !c.leadership.leading || c.leadership.hosts[a.name] != a {
		return controlclient.Update{NotLeading: true, Leader: c.leaderAddress()}
	}
	u := controlclient.Update{Hosts: c.countHosts(now)}
	if c.leadership.publishedPeers != nil && a.peersVersion != c.leadership.published.peersVersion {
		if u.Peers = c.updateCache.peers.compress(c.leadership.published.peersVersion, c.leadership.publishedPeers, c.Log); u.Peers != nil {
			a.peersVersion, a.hasPeers = c.leadership.published.peersVersion, true
		}
	}
	if !a.hasPeers && c.elector.HasLease(now) {
		// Until all hosts have reported, a newly started host gets the last
		// agreed peers: most of them will still lend connections.
		if u.Peers = c.updateCache.agreedPeers.compress(c.state.PeersRevision(), c.state.Peers, c.Log); u.Peers != nil {
			a.hasPeers = true
		}
	}
	answers := a.answerDue
	if a.answerDue {
		a.answerDue = false
		u.ReportSequence = a.reportSequence
		if c.elector.HasLease(now) && c.state.Hosts[a.name] {
			u.GrantNumber, u.Extras = c.leadership.shares.Grant(a.name, now)
			a.grantedAt = now
			u.Lease = shareLease
		}
	}
	if !c.elector.HasLease(now) {
		// Without the lease, the state of this host may be outdated.
		return u
	}
	if answers {
		u.WarmupGrants = c.grantWarmups(a, now)
	}
	if configuration := c.leadership.configuration; configuration.Version > a.version {
		change := c.leadership.configurationChange
		if a.acceptsChanges && a.version != 0 && a.version == change.From {
			u.ConfigurationChange = c.updateCache.configurationChange.compress(configuration.Version, change, c.Log)
		} else {
			u.Configuration = c.updateCache.configuration.compress(configuration.Version, configuration, c.Log)
		}
		if u.Configuration != nil || u.ConfigurationChange != nil {
			a.version = configuration.Version
		}
	}
	if t := c.leadership.topology; a.revision != t.Revision {
		change := c.leadership.topologyChange
		switch {
		case a.acceptsChanges && a.revision != 0 && a.revision == change.From:
			u.TopologyChange = c.updateCache.topologyChange.compress(t.Revision, change, c.Log)
		default:
			u.Topology = c.updateCache.topology.compress(t.Revision, t, c.Log)
		}
		if u.Topology != nil || u.TopologyChange != nil {
			a.revision = t.Revision
			u.EvacuationAges = c.evacuationAges(now)
		}
	}
	if answers && a.revision != 0 && a.revision == c.leadership.topology.Revision && c.mayLease(a) {
		// The host has the latest primaries before it uses the lease.
		c.leadership.leases.Grant(a.name, a.index, now)
		u.PrimaryLease = primaryLease
	}
	return u
}

// mayLease reports whether a host gets or keeps its lease to act at primaries. The
// next leader must know the host, and the host must have followed every change of
// primary under way: it might still act at a former primary.
func (c *Coordinator) mayLease(a *hostStream) bool {
	if !a.acceptsChanges || !c.state.Hosts[a.name] || c.leadership.pendingHosts[a.name] {
		return false
	}
	for service, p := range c.state.Promotions {
		if a.index < p.Token && c.unfinishedPromotion(service) != "" {
			return false
		}
	}
	return true
}

// revision is never zero: zero means that an entry host has no topology yet.
func (c *Coordinator) revision() uint64 { return c.state.Revision() + 1 }

// topology returns the agreed upstreams, promotions and control hosts for entry
// hosts.
func (c *Coordinator) topology() controlclient.Topology {
	return controlclient.Topology{
		Revision: c.revision(), Index: c.applied, Upstreams: maps.Clone(c.state.Upstreams), Primaries: maps.Clone(c.state.Primaries),
		Promotions: maps.Clone(c.state.Promotions), Members: maps.Clone(c.state.Members), Evacuations: maps.Clone(c.state.Evacuations),
	}
}
