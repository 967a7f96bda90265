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
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/shallotstage/shallotstage/internal/decoder"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/fencer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
	"github.com/shallotstage/shallotstage/pkg/warmer"
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
	// WarmupWanted returns the cold upstreams to which this host wants the grant to send,
	// and gives up the grants of all others. It is called before the report with the
	// sequence number is sent; nil means that there are none.
	WarmupWanted func(sequence uint64) []string
	// ApplyWarmupGrants applies the grants in the answer to a report; nil ignores them.
	ApplyWarmupGrants func(sequence uint64, grants map[string]warmer.Grant)
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
	go c.receiveUpdates(ctx, cancel, stream, updates)
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

func (c *Client) receiveUpdates(ctx context.Context, cancel context.CancelCauseFunc, stream drpc.Stream, updates chan<- Update) {
	encoding := linker.EntryEncoding{Ignored: func(e *decoder.EntryError) { c.logIgnored("update", []*decoder.EntryError{e}) }}
	for {
		var u Update
		if err := stream.MsgRecv(&u, encoding); err != nil {
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
	if c.WarmupWanted != nil {
		r.WarmupWanted = c.WarmupWanted(c.sequence)
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
