// Package controlclient connects an entry host to the leading control host: it
// receives the configuration, the upstreams and shares of rates, and reports
// demand and the status of upstreams.
//
// Without control hosts the entry host continues with its last state.
//
// # Usage
//
//	a := &controlclient.Client{Host: "entry-1", Seeds: seeds, Dial: dial, ...}
//	go a.Run(ctx)
//	view, changed := a.View()
//
// The goroutine of Run owns the state. Other goroutines read an immutable view.
package controlclient

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/fencer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

const (
	// ReportInterval is the time between reports, each of which is answered by an
	// update.
	ReportInterval = time.Second
	// silenceTimeout is how long a control host may stay silent before another
	// one is tried: two reports without an answer.
	silenceTimeout = 1800 * time.Millisecond
	// positionsInterval is the time between reports of positions that changed
	// while the rest of the status did not. They are used if an upstream cannot
	// be queried for its position.
	positionsInterval = 4 * time.Second
	// searchDelay is the wait after no control host has proved to be the leader.
	searchDelay = 100 * time.Millisecond
	// redirectDelay is the wait before the host that was named as leader is
	// tried.
	redirectDelay = 10 * time.Millisecond
	// dialTimeout bounds the attempt to connect to one control host: two round
	// trips between regions. A lost SYN is resent only after a second. The
	// timeout doubles with each round in which no host is reached, up to
	// maxDialTimeout, to allow for congested links.
	dialTimeout     = 125 * time.Millisecond
	maxDialTimeout  = time.Second
	maxFailedRounds = 3
)

// Client follows the leading control host. Exported fields must be set before
// Run.
type Client struct {
	Host        string
	Incarnation uint64
	DataCentre  string
	// PeerAddress is the address of this host for other entry hosts.
	PeerAddress string
	// Seeds returns addresses of control hosts to try besides the known members.
	Seeds func() []string
	Dial  func(ctx context.Context, address string) (*drpcconn.Conn, error)
	// Now reads a clock that advances while the machine is suspended.
	Now func() time.Time
	// Shares is the host's token buckets.
	Shares *spender.Spender
	// Delegates reports whether other hosts spend an organisation's tokens once
	// this host is shutting down; nil means that none do.
	Delegates func(organisation string) bool
	// UpstreamStatuses returns the status of the upstreams as seen by this host.
	UpstreamStatuses func() []UpstreamStatus
	// ReleasedIndex returns the log index up to which this host has followed a
	// topology with the given index; nil means all of it.
	ReleasedIndex func(index uint64) uint64
	// OnLeaseEnded is called in Run's goroutine when the lease on primaries has ended
	// and before the next one is used; nil disables it.
	OnLeaseEnded func()
	// OnViewChange is called in Run's goroutine with each new view.
	OnViewChange func(*keeper.View)
	Log          *logger.Logger

	viewState atomic.Pointer[viewState]
	// lastUpdate is when the last update from the leader arrived, in nanoseconds.
	lastUpdate atomic.Int64
	// leaseUntil is when the lease on primaries ends, in nanoseconds.
	leaseUntil        atomic.Int64
	reportRequest     chan struct{}
	reportRequestOnce sync.Once
	shuttingDown      atomic.Bool
	// redirect is the control host that was last named as leader, until it has
	// been tried.
	redirect string
	// expectedLeader is the control host that led, or was named as leader, when
	// it was last tried.
	expectedLeader string
	// lostLeader is the last control host that was expected to lead and could not
	// be reached, or an empty string.
	lostLeader string
	// failedRounds counts the rounds since a control host was last reached, up to
	// maxFailedRounds.
	failedRounds int
	// reported holds the upstream statuses as last reported.
	reported map[string]UpstreamStatus
	// positionsReportedAt is when all changed positions were last reported.
	positionsReportedAt time.Time
	// sequence is the number of the last report, and sentAt holds when each
	// unanswered report was sent.
	sequence uint64
	sentAt   map[uint64]time.Time
	// holder is the lease on primaries.
	holder fencer.Holder
}

type viewState struct {
	view    *keeper.View
	changed chan struct{}
}

// View returns the latest agreed state known to this host, and a channel that is
// closed when it changes.
func (c *Client) View() (*keeper.View, <-chan struct{}) {
	s := c.current()
	return s.view, s.changed
}

func (c *Client) current() *viewState {
	if s := c.viewState.Load(); s != nil {
		return s
	}
	empty := &viewState{view: &keeper.View{}, changed: make(chan struct{})}
	if c.viewState.CompareAndSwap(nil, empty) {
		return empty
	}
	return c.viewState.Load()
}

// IsConnected reports whether the leading control host has answered recently, so
// that changes would reach this host.
func (c *Client) IsConnected() bool {
	return c.Now().UnixNano()-c.lastUpdate.Load() < int64(silenceTimeout)
}

// HoldsLease reports whether this host holds the lease on primaries.
func (c *Client) HoldsLease() bool { return c.Now().UnixNano() < c.leaseUntil.Load() }

// ReportNow triggers a report at once.
func (c *Client) ReportNow() {
	select {
	case c.reportRequests() <- struct{}{}:
	default:
	}
}

func (c *Client) reportRequests() chan struct{} {
	c.reportRequestOnce.Do(func() { c.reportRequest = make(chan struct{}, 1) })
	return c.reportRequest
}

// AnnounceShutdown reports to the control host that this process is shutting down.
func (c *Client) AnnounceShutdown() {
	c.shuttingDown.Store(true)
	c.ReportNow()
}

// Run follows the leading control host until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range c.addresses() {
			if ctx.Err() != nil {
				return
			}
			wasExpected := c.expectedLeader == address
			err := c.follow(ctx, address)
			if wasExpected && !errors.Is(err, errNotLeader) {
				c.lostLeader = address
			}
			if err != nil && ctx.Err() == nil {
				c.Log.Info(logger.EventControlLost, zap.String("control_host", address), zap.Error(err))
			}
			if c.redirect != "" && c.redirect != address {
				break
			}
		}
		c.failedRounds = min(c.failedRounds+1, maxFailedRounds)
		pause := searchDelay
		if c.redirect != "" {
			pause = redirectDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// addresses returns the control hosts to try, starting with the one that was
// named as leader.
func (c *Client) addresses() []string {
	var others []string
	for _, m := range c.current().view.Members {
		others = append(others, m.PeerAddress)
	}
	others = append(others, c.Seeds()...)
	slices.Sort(others)
	others = slices.Compact(others)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if c.redirect == "" {
		return others
	}
	first := c.redirect
	c.expectedLeader, c.redirect = first, ""
	return append([]string{first}, slices.DeleteFunc(others, func(o string) bool { return o == first })...)
}

// errNotLeader means that the control host does not lead.
var errNotLeader = errors.New("controlclient: control host does not lead")

// follow exchanges reports and updates with one control host until that fails.
func (c *Client) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dialCtx, stop := context.WithTimeout(ctx, min(dialTimeout<<c.failedRounds, maxDialTimeout))
	conn, err := c.Dial(dialCtx, address)
	stop()
	if err != nil {
		return err
	}
	c.failedRounds = 0
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, RPCPath, linker.JSONEncoding{})
	if err != nil {
		return fmt.Errorf("controlclient: open stream: %w", err)
	}
	updates := make(chan Update)
	go receiveUpdates(ctx, cancel, stream, updates)
	c.reported, c.sentAt = nil, map[uint64]time.Time{}
	if err := c.sendReport(stream); err != nil {
		return err
	}
	timer := time.NewTimer(ReportInterval)
	silence := time.NewTimer(silenceTimeout)
	defer timer.Stop()
	defer silence.Stop()
	connected := false
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case u := <-updates:
			silence.Reset(silenceTimeout)
			if u.NotLeading {
				c.redirect = u.Leader
				return errNotLeader
			}
			c.lastUpdate.Store(c.Now().UnixNano())
			if !connected {
				connected, c.expectedLeader, c.lostLeader = true, address, ""
				c.Log.Info(logger.EventControlConnected, zap.String("control_host", address))
			}
			if err := c.apply(u); err != nil {
				return err
			}
		case <-silence.C:
			return fmt.Errorf("controlclient: no update from control host %s in time", address)
		case <-timer.C:
			if err := c.sendReport(stream); err != nil {
				return err
			}
			timer.Reset(ReportInterval)
		case <-c.reportRequests():
			if err := c.sendReport(stream); err != nil {
				return err
			}
		}
	}
}

func receiveUpdates(ctx context.Context, cancel context.CancelCauseFunc, stream drpc.Stream, updates chan<- Update) {
	for {
		var u Update
		if err := stream.MsgRecv(&u, linker.JSONEncoding{}); err != nil {
			cancel(fmt.Errorf("controlclient: receive update: %w", err))
			return
		}
		select {
		case updates <- u:
		case <-ctx.Done():
			return
		}
	}
}

// sendReport sends a report.
func (c *Client) sendReport(stream drpc.Stream) error {
	c.sequence++
	now := c.Now()
	c.sentAt[c.sequence] = now
	c.holder.RecordReport(c.sequence, now)
	view := c.current().view
	index := view.Index
	if c.ReleasedIndex != nil {
		index = c.ReleasedIndex(index)
	}
	r := Report{
		Index: index, HoldsLease: c.holder.Valid(now), AcceptsChanges: true,
		Sequence: c.sequence, Host: c.Host, Incarnation: c.Incarnation, DataCentre: c.DataCentre, PeerAddress: c.PeerAddress, Hosts: view.Hosts, Version: view.Configuration.Version, LostLeader: c.lostLeader,
		ShuttingDown: c.shuttingDown.Load(), Shares: c.Shares.Report(), UpstreamStatuses: c.changedStatuses(),
	}
	if r.ShuttingDown && c.Delegates != nil {
		// Other hosts spend the tokens of this host's remaining callers.
		maps.DeleteFunc(r.Shares.Demands, func(organisation string, _ float64) bool { return c.Delegates(organisation) })
	}
	if err := stream.MsgSend(&r, linker.JSONEncoding{}); err != nil {
		return fmt.Errorf("controlclient: send report: %w", err)
	}
	return nil
}

// changedStatuses returns the upstream statuses that have changed since they were
// reported.
func (c *Client) changedStatuses() []UpstreamStatus {
	if c.UpstreamStatuses == nil {
		return nil
	}
	now := c.Now()
	withPositions := now.Sub(c.positionsReportedAt) >= positionsInterval
	if withPositions {
		c.positionsReportedAt = now
	}
	reported := c.reported
	c.reported = map[string]UpstreamStatus{}
	var changed []UpstreamStatus
	for _, s := range c.UpstreamStatuses() {
		old, ok := reported[s.Upstream]
		if ok && old.Reachable == s.Reachable && old.Answered == s.Answered && (!withPositions || old.Position == s.Position) {
			c.reported[s.Upstream] = old
			continue
		}
		c.reported[s.Upstream] = s
		changed = append(changed, s)
	}
	return changed
}

// apply applies an update. A host never returns to an older configuration.
func (c *Client) apply(u Update) error {
	old := c.current()
	next := *old.view
	changed := false
	configuration, err := nextConfiguration(u, old.view)
	if err != nil {
		return err
	}
	if configuration.Version > next.Configuration.Version {
		next.Configuration = configuration
		changed = true
		c.Log.Info(logger.EventConfigurationApplied, zap.Uint64("version", configuration.Version), zap.Int("routes", len(configuration.Routes)))
	}
	t, err := c.nextTopology(u, old.view)
	if err != nil {
		return err
	}
	if t != nil {
		if t.Index == 0 {
			// This leader is of a build that grants no leases.
			c.leaseUntil.Store(math.MaxInt64)
		} else if old.view.Index == 0 {
			c.leaseUntil.Store(0)
		}
		if t.Index != 0 && t.Index < next.Index {
			return fmt.Errorf("controlclient: topology of index %d is older than %d", t.Index, next.Index)
		}
		next.Upstreams, next.Primaries, next.Promotions, next.Members = t.Upstreams, t.Primaries, t.Promotions, t.Members
		next.Revision, next.Index = t.Revision, t.Index
		changed = true
		c.Log.Info(logger.EventTopologyUpdated, zap.Uint64("revision", t.Revision), zap.Int("upstreams", len(t.Upstreams)), zap.Any("primaries", t.Primaries))
	}
	if u.Hosts > 0 && u.Hosts != next.Hosts {
		next.Hosts = u.Hosts
		changed = true
	}
	if u.Peers != nil {
		var peers map[string]keeper.Peer
		if err := u.Peers.Decode(&peers); err != nil {
			return err
		}
		if !maps.Equal(peers, next.Peers) {
			next.Peers = peers
			changed = true
			c.Log.Info(logger.EventPeersUpdated, zap.Int("peers", len(peers)))
		}
	}
	if sent, ok := c.sentAt[u.ReportSequence]; ok && u.GrantNumber > 0 && c.Shares.ApplyGrant(u.GrantNumber, maps.Clone(u.Extras), sent.Add(u.Lease)) {
		// Other hosts wait for the share that this host has released.
		c.ReportNow()
	}
	if u.PrimaryLease > 0 {
		c.holder.Renew(u.ReportSequence, u.PrimaryLease)
	}
	// A later update may answer the same report again.
	maps.DeleteFunc(c.sentAt, func(n uint64, _ time.Time) bool { return n < u.ReportSequence })
	if !changed {
		c.publishLease()
		return nil
	}
	c.Shares.SetHostCount(next.Hosts)
	next.BuildServiceIndex()
	if c.OnViewChange != nil {
		c.OnViewChange(&next)
	}
	c.viewState.Store(&viewState{view: &next, changed: make(chan struct{})})
	close(old.changed)
	if latestPromotion(next.Promotions) > latestPromotion(old.view.Promotions) {
		// The leader waits for this before a primary is replaced.
		c.ReportNow()
	}
	c.publishLease()
	return nil
}

// nextConfiguration returns the configuration in an update, or the present one.
func nextConfiguration(u Update, view *keeper.View) (keeper.Configuration, error) {
	if u.Configuration != nil {
		var configuration keeper.Configuration
		err := u.Configuration.Decode(&configuration)
		return configuration, err
	}
	if u.ConfigurationChange == nil {
		return view.Configuration, nil
	}
	var change ConfigurationChange
	if err := u.ConfigurationChange.Decode(&change); err != nil {
		return keeper.Configuration{}, err
	}
	configuration, ok := change.Apply(view.Configuration)
	if !ok {
		return configuration, fmt.Errorf("controlclient: change of configuration %d, this host has %d", change.From, view.Configuration.Version)
	}
	return configuration, nil
}

// nextTopology returns the topology in an update, or nil if it has none.
func (c *Client) nextTopology(u Update, view *keeper.View) (*Topology, error) {
	if u.Topology != nil {
		var t Topology
		if err := u.Topology.Decode(&t); err != nil {
			return nil, err
		}
		return &t, nil
	}
	if u.TopologyChange == nil {
		return nil, nil
	}
	var change TopologyChange
	if err := u.TopologyChange.Decode(&change); err != nil {
		return nil, err
	}
	t, ok := change.Apply(Topology{
		Revision: view.Revision, Index: view.Index, Upstreams: view.Upstreams, Primaries: view.Primaries, Promotions: view.Promotions, Members: view.Members,
	})
	if !ok {
		return nil, fmt.Errorf("controlclient: change of topology %d, this host has %d", change.From, view.Revision)
	}
	return &t, nil
}

// latestPromotion returns the token of the latest promotion.
func latestPromotion(promotions map[string]keeper.Promotion) uint64 {
	latest := uint64(0)
	for _, p := range promotions {
		latest = max(latest, p.Token)
	}
	return latest
}

// publishLease makes a renewed lease visible. A topology that came with it has been
// applied before.
func (c *Client) publishLease() {
	until, now := c.holder.ExpiresAt(), c.Now()
	if until.IsZero() || !c.holder.Valid(now) {
		return
	}
	without := now.UnixNano() - c.leaseUntil.Load()
	if without > 0 && c.OnLeaseEnded != nil {
		c.OnLeaseEnded()
	}
	c.leaseUntil.Store(until.UnixNano())
	if without > 0 {
		c.Log.Info(logger.EventPrimaryLeaseGained, zap.Duration("without", time.Duration(without)))
	}
}
