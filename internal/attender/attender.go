// Package attender is an entry host's side of control: it attends the leading
// control host, takes configuration, upstreams and shares from it and reports
// demand and what the host sees of upstreams.
//
// Without control hosts the entry host goes on with what it knows.
//
// # Usage
//
//	a := &attender.Attender{Host: "entry-1", Seeds: seeds, Dial: dial, ...}
//	go a.Run(ctx)
//	view, changed := a.View()
//
// The goroutine of Run owns the state. Others read an immutable view.
package attender

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

	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

const (
	// ReportInterval is the time between reports, and so between updates.
	ReportInterval = time.Second
	// silenceLimit is how long a control host may stay silent before another
	// one is tried: two reports without an answer.
	silenceLimit = 1800 * time.Millisecond
	// positionsInterval is the time between reports of positions alone. They
	// serve where an upstream cannot be asked for its own.
	positionsInterval = 4 * time.Second
	// searchPause is the wait after a round of control hosts without a leader.
	searchPause = 100 * time.Millisecond
	// followPause is the wait before the host is asked that was named as
	// leading.
	followPause = 10 * time.Millisecond
	// dialLimit bounds the attempt to reach one control host: two round trips
	// between regions. An opening packet that was lost is sent again after a
	// second only. The limit doubles with each round in which none is reached,
	// up to maxDialLimit, for links that are full.
	dialLimit    = 125 * time.Millisecond
	maxDialLimit = time.Second
	maxMissed    = 3
)

// Attender attends the leading control host. Exported fields are set before
// Run.
type Attender struct {
	Host        string
	Incarnation uint64
	DataCentre  string
	// PeerAddress is where other entry hosts reach this one.
	PeerAddress string
	// Seeds returns addresses of control hosts to begin with.
	Seeds func() []string
	Dial  func(ctx context.Context, address string) (*drpcconn.Conn, error)
	// Now is a clock that counts suspensions.
	Now func() time.Time
	// Shares is the host's spender.
	Shares *spender.Spender
	// Yields reports whether other hosts spend an organisation's tokens once this
	// one is about to end; nil means that none do.
	Yields func(organisation string) bool
	// Sights returns what the host sees of upstreams.
	Sights func() []Sight
	// Taken is called in Run's goroutine with each new view.
	Taken func(*keeper.View)
	Log   *logger.Logger

	state atomic.Pointer[state]
	// heard is when the leading control host was last heard, in nanoseconds.
	heard    atomic.Int64
	poke     chan struct{}
	pokeOnce sync.Once
	leaving  atomic.Bool
	// leader is the control host that was last named as leading.
	leader string
	// named is the control host that led, or was named as leading, when it was
	// last asked.
	named string
	// lost is the control host that led and could not be reached last, or nothing.
	lost string
	// missed counts the rounds since a control host was reached, up to maxMissed.
	missed int
	// told holds the last report's sights.
	told map[string]Sight
	// toldPositions is when all changed positions were told.
	toldPositions time.Time
	// sequence is the last report's, sent when the unanswered reports were
	// sent.
	sequence uint64
	sent     map[uint64]time.Time
}

type state struct {
	view    *keeper.View
	changed chan struct{}
}

// View returns what is agreed on as far as the host knows, and a channel that
// is closed when there is something newer.
func (a *Attender) View() (*keeper.View, <-chan struct{}) {
	s := a.current()
	return s.view, s.changed
}

func (a *Attender) current() *state {
	if s := a.state.Load(); s != nil {
		return s
	}
	empty := &state{view: &keeper.View{}, changed: make(chan struct{})}
	if a.state.CompareAndSwap(nil, empty) {
		return empty
	}
	return a.state.Load()
}

// IsConnected reports whether the leading control host was heard of late, so that
// news would reach this host.
func (a *Attender) IsConnected() bool {
	return a.Now().UnixNano()-a.heard.Load() < int64(silenceLimit)
}

// Poke sends a report at once.
func (a *Attender) Poke() {
	select {
	case a.pokes() <- struct{}{}:
	default:
	}
}

func (a *Attender) pokes() chan struct{} {
	a.pokeOnce.Do(func() { a.poke = make(chan struct{}, 1) })
	return a.poke
}

// Leave tells the control host that the process is about to end.
func (a *Attender) Leave() {
	a.leaving.Store(true)
	a.Poke()
}

// Run attends until ctx ends.
func (a *Attender) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range a.addresses() {
			if ctx.Err() != nil {
				return
			}
			named := a.named == address
			err := a.attend(ctx, address)
			if named && !errors.Is(err, errNotLeading) {
				a.lost = address
			}
			if err != nil && ctx.Err() == nil {
				a.Log.Info(logger.EventControlLost, zap.String("control_host", address), zap.Error(err))
			}
			if a.leader != "" && a.leader != address {
				break
			}
		}
		a.missed = min(a.missed+1, maxMissed)
		pause := searchPause
		if a.leader != "" {
			pause = followPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// addresses returns the control hosts to try, the one that was named as leader
// first.
func (a *Attender) addresses() []string {
	var others []string
	for _, m := range a.current().view.Members {
		others = append(others, m.PeerAddress)
	}
	others = append(others, a.Seeds()...)
	slices.Sort(others)
	others = slices.Compact(others)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if a.leader == "" {
		return others
	}
	first := a.leader
	a.named, a.leader = first, ""
	return append([]string{first}, slices.DeleteFunc(others, func(o string) bool { return o == first })...)
}

// errNotLeading ends the attendance of a control host that does not lead.
var errNotLeading = errors.New("attender: control host does not lead")

// attend attends one control host until it fails.
func (a *Attender) attend(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dialCtx, stop := context.WithTimeout(ctx, min(dialLimit<<a.missed, maxDialLimit))
	conn, err := a.Dial(dialCtx, address)
	stop()
	if err != nil {
		return err
	}
	a.missed = 0
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, RPC, linker.JSON{})
	if err != nil {
		return fmt.Errorf("attender: open stream: %w", err)
	}
	updates := make(chan Update)
	go receive(ctx, cancel, stream, updates)
	a.told, a.sent = nil, map[uint64]time.Time{}
	if err := a.report(stream); err != nil {
		return err
	}
	timer := time.NewTimer(ReportInterval)
	silence := time.NewTimer(silenceLimit)
	defer timer.Stop()
	defer silence.Stop()
	connected := false
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case u := <-updates:
			silence.Reset(silenceLimit)
			if u.NotLeading {
				a.leader = u.Leader
				return errNotLeading
			}
			a.heard.Store(a.Now().UnixNano())
			if !connected {
				connected, a.named, a.lost = true, address, ""
				a.Log.Info(logger.EventControlConnected, zap.String("control_host", address))
			}
			if err := a.take(u); err != nil {
				return err
			}
		case <-silence.C:
			return fmt.Errorf("attender: control host %s is silent", address)
		case <-timer.C:
			if err := a.report(stream); err != nil {
				return err
			}
			timer.Reset(ReportInterval)
		case <-a.pokes():
			if err := a.report(stream); err != nil {
				return err
			}
		}
	}
}

func receive(ctx context.Context, cancel context.CancelCauseFunc, stream drpc.Stream, updates chan<- Update) {
	for {
		var u Update
		if err := stream.MsgRecv(&u, linker.JSON{}); err != nil {
			cancel(fmt.Errorf("attender: receive: %w", err))
			return
		}
		select {
		case updates <- u:
		case <-ctx.Done():
			return
		}
	}
}

// report sends a report.
func (a *Attender) report(stream drpc.Stream) error {
	a.sequence++
	a.sent[a.sequence] = a.Now()
	view := a.current().view
	r := Report{
		Sequence: a.sequence, Host: a.Host, Incarnation: a.Incarnation, DataCentre: a.DataCentre, PeerAddress: a.PeerAddress, Hosts: view.Hosts, Version: view.Configuration.Version, Lost: a.lost,
		Leaving: a.leaving.Load(), Shares: a.Shares.Report(), Sights: a.news(),
	}
	if r.Leaving && a.Yields != nil {
		// Others spend for the callers that this host still has.
		maps.DeleteFunc(r.Shares.Demands, func(organisation string, _ float64) bool { return a.Yields(organisation) })
	}
	if err := stream.MsgSend(&r, linker.JSON{}); err != nil {
		return fmt.Errorf("attender: report: %w", err)
	}
	return nil
}

// news returns the sights that the control host does not know yet.
func (a *Attender) news() []Sight {
	if a.Sights == nil {
		return nil
	}
	now := a.Now()
	positions := now.Sub(a.toldPositions) >= positionsInterval
	if positions {
		a.toldPositions = now
	}
	told := a.told
	a.told = map[string]Sight{}
	var news []Sight
	for _, s := range a.Sights() {
		old, ok := told[s.Upstream]
		if ok && old.Reachable == s.Reachable && old.Heard == s.Heard && (!positions || old.Position == s.Position) {
			a.told[s.Upstream] = old
			continue
		}
		a.told[s.Upstream] = s
		news = append(news, s)
	}
	return news
}

// take takes an update. A host never goes back to an older configuration.
func (a *Attender) take(u Update) error {
	old := a.current()
	next := *old.view
	changed := false
	if u.Configuration != nil {
		var c keeper.Configuration
		if err := u.Configuration.Unpack(&c); err != nil {
			return err
		}
		if c.Version > next.Configuration.Version {
			next.Configuration = c
			changed = true
			a.Log.Info(logger.EventConfigurationTaken, zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)))
		}
	}
	if u.Topology != nil {
		var t Topology
		if err := u.Topology.Unpack(&t); err != nil {
			return err
		}
		next.Upstreams, next.Primaries, next.Promotions, next.Members = t.Upstreams, t.Primaries, t.Promotions, t.Members
		next.Revision = t.Revision
		changed = true
		a.Log.Info(logger.EventTopologyTaken, zap.Uint64("revision", t.Revision), zap.Int("upstreams", len(t.Upstreams)), zap.Any("primaries", t.Primaries))
	}
	if u.Hosts > 0 && u.Hosts != next.Hosts {
		next.Hosts = u.Hosts
		changed = true
	}
	if u.Peers != nil {
		var peers map[string]keeper.Peer
		if err := u.Peers.Unpack(&peers); err != nil {
			return err
		}
		if !maps.Equal(peers, next.Peers) {
			next.Peers = peers
			changed = true
			a.Log.Info(logger.EventPeersTaken, zap.Int("peers", len(peers)))
		}
	}
	if sent, ok := a.sent[u.Answers]; ok && u.Grant > 0 && a.Shares.Grant(u.Grant, maps.Clone(u.Extras), sent.Add(u.Lease)) {
		// Others wait for what this host gave up.
		a.Poke()
	}
	// A later update may answer the same report again.
	maps.DeleteFunc(a.sent, func(n uint64, _ time.Time) bool { return n < u.Answers })
	if !changed {
		return nil
	}
	a.Shares.SetHosts(next.Hosts)
	next.Index()
	if a.Taken != nil {
		a.Taken(&next)
	}
	a.state.Store(&state{view: &next, changed: make(chan struct{})})
	close(old.changed)
	return nil
}
