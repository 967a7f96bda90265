// Package subscriber is the entry host's side of control: it reports to the
// leading control host, and takes its leases, tokens and configuration.
//
// # Usage
//
//	s := &subscriber.Subscriber{Host: host, Controls: addresses, Linker: l, Limiter: lim, Sights: sights}
//	go s.Run(ctx)
//	state := s.State()
//	if s.Authority() { ... }
//
// One goroutine owns the lease and the configuration. Traffic reads both
// through atomic values.
package subscriber

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/allocator"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/fencer"
	"github.com/shallotstage/shallotstage/pkg/limiter"
)

const (
	defaultInterval = 500 * time.Millisecond
	// pokeGap is the least time between reports that do not wait for the
	// interval.
	pokeGap = 10 * time.Millisecond
	// silence is the time without an answer after which the connection is
	// replaced by a new one.
	silence = 1500 * time.Millisecond
	// reconnectPause is the pause before the next control host is tried.
	reconnectPause = 50 * time.Millisecond
	// maxAnnouncements bounds the announcements that wait for a report.
	maxAnnouncements = 1024
)

// notLeaderError means that the control host does not lead. leader is the id of
// the one that does, if it is known.
type notLeaderError struct{ leader string }

// Error implements error.
func (e *notLeaderError) Error() string { return "subscriber: control host does not lead" }

// errSilent means that the control host did not answer in time.
var errSilent = errors.New("subscriber: control host is silent")

// Subscriber attends the leading control host. Exported fields are set before
// Run.
type Subscriber struct {
	Host configurer.Host
	// Incarnation differs after each start.
	Incarnation uint64
	// Controls are the addresses of the control hosts.
	Controls []string
	Linker   linker.Linker
	Limiter  *limiter.Limiter
	// Sights returns what the host sees of the upstreams.
	Sights func() []*messenger.Sight
	// Changed is called with each new configuration, before it is reported as
	// in force.
	Changed func(*configurer.State)
	// Interval is the time between reports; the default is 500 ms.
	Interval time.Duration
	Log      *logger.Logger

	base  time.Time
	until atomic.Int64
	state atomic.Pointer[configurer.State]
	hosts atomic.Uint32
	poke  chan struct{}

	mu            sync.Mutex
	announcements map[string][]byte

	holder   fencer.Holder
	sequence uint64
	// sentSights and sentTokens are what the control host was told over the
	// present connection; only what differs is sent again.
	sentSights map[string]sentSight
	sentTokens map[string]allocator.Report
	// noted is whether the last event said that the lease holds.
	noted bool
}

// Prepare makes the subscriber ready for use. It is called before Run and
// before any other method.
func (s *Subscriber) Prepare() {
	s.base = time.Now()
	s.poke = make(chan struct{}, 1)
	s.state.Store(&configurer.State{})
	if s.Interval <= 0 {
		s.Interval = defaultInterval
	}
}

// State returns the configuration in force.
func (s *Subscriber) State() *configurer.State { return s.state.Load() }

// Authority reports whether the host's lease holds now.
func (s *Subscriber) Authority() bool { return int64(time.Since(s.base)) < s.until.Load() }

// Fence reports whether an acknowledgement of the upstream as primary of the
// group under the term may be passed on now.
func (s *Subscriber) Fence(group, upstream string, term uint64) bool {
	g, ok := s.State().Groups[group]
	return ok && g.Phase == configurer.PhaseServing && g.Term == term && g.Primary == upstream && s.Authority()
}

// IsPrimary reports whether the upstream is, under the lease, the primary.
func (s *Subscriber) IsPrimary(group, upstream string) bool {
	return s.Fence(group, upstream, s.State().Groups[group].Term)
}

// Hosts returns the number of hosts that hold a lease, at least 1.
func (s *Subscriber) Hosts() int { return max(1, int(s.hosts.Load())) }

// Poke makes the next report leave soon.
func (s *Subscriber) Poke() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// Announce passes an announcement on with the next report.
func (s *Subscriber) Announce(upstream string, body []byte) {
	s.mu.Lock()
	if s.announcements == nil {
		s.announcements = map[string][]byte{}
	}
	_, known := s.State().Upstreams[upstream]
	if len(s.announcements) < maxAnnouncements {
		s.announcements[upstream] = body
	}
	s.mu.Unlock()
	if !known {
		s.Poke()
	}
}

func (s *Subscriber) takeAnnouncements() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var bodies [][]byte
	for _, b := range s.announcements {
		bodies = append(bodies, b)
	}
	s.announcements = nil
	return bodies
}

// Run attends one control host after another until ctx ends. A host that does
// not lead names the one that does, which is tried next.
func (s *Subscriber) Run(ctx context.Context) {
	hint := ""
	for i := 0; ctx.Err() == nil && len(s.Controls) > 0; i++ {
		addresses := s.controls()
		address := addresses[i%len(addresses)]
		if hint != "" {
			address = hint
		}
		err := s.attend(ctx, address)
		s.noteAuthority()
		var notLeader *notLeaderError
		hint = ""
		if errors.As(err, &notLeader) {
			hint = s.State().ControlHosts[notLeader.leader].Address
		} else if ctx.Err() == nil {
			s.Log.Warn(logger.EventControlLost, zap.String("address", address), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}

// controls returns the addresses of the agreed control hosts, and of those in
// the settings that are not among them.
func (s *Subscriber) controls() []string {
	var addresses []string
	for _, h := range s.State().ControlHosts {
		if !h.Leaving {
			addresses = append(addresses, h.Address)
		}
	}
	sort.Strings(addresses)
	for _, address := range s.Controls {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// noteAuthority writes an event when the lease has ended or begun.
func (s *Subscriber) noteAuthority() {
	has := s.Authority()
	if has == s.noted {
		return
	}
	s.noted = has
	if has {
		s.Log.Info(logger.EventAuthorityGained, zap.Uint64("version", s.State().Version))
		return
	}
	s.Log.Warn(logger.EventAuthorityLost, zap.Uint64("version", s.State().Version))
}

// attend reports to one control host until the connection fails.
func (s *Subscriber) attend(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := s.Linker.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	s.sentSights, s.sentTokens = map[string]sentSight{}, map[string]allocator.Report{}
	stream, err := messenger.NewDRPCControlClient(conn).Attend(ctx)
	if err != nil {
		return err
	}
	orders := make(chan *messenger.ControlOrder)
	failed := make(chan error, 1)
	go func() {
		for {
			o, err := stream.Recv()
			if err != nil {
				failed <- err
				return
			}
			select {
			case orders <- o:
			case <-ctx.Done():
				return
			}
		}
	}()
	return s.converse(ctx, stream, orders, failed)
}

// converse exchanges reports and orders over one stream.
func (s *Subscriber) converse(ctx context.Context, stream messenger.DRPCControl_AttendClient, orders <-chan *messenger.ControlOrder, failed <-chan error) error {
	ticker := time.NewTicker(s.Interval)
	defer ticker.Stop()
	lastOrder, lastReport := time.Now(), time.Time{}
	report := func() error {
		lastReport = time.Now()
		return stream.Send(s.report(lastReport))
	}
	if err := report(); err != nil {
		return err
	}
	var delayed <-chan time.Time
	connected := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case o := <-orders:
			if o.GetSequence() > 0 && o.GetLeaseMs() == 0 {
				return &notLeaderError{leader: o.GetLeader()}
			}
			lastOrder = time.Now()
			if !connected {
				connected = true
				s.Log.Info(logger.EventControlConnected, zap.String("host", s.Host.ID))
			}
			if s.take(o) {
				if err := report(); err != nil {
					return err
				}
			}
		case <-s.poke:
			delayed = time.After(max(0, pokeGap-time.Since(lastReport)))
		case <-delayed:
			delayed = nil
			if err := report(); err != nil {
				return err
			}
		case <-ticker.C:
			if time.Since(lastOrder) > silence {
				return errSilent
			}
			if err := report(); err != nil {
				return err
			}
		}
	}
}

// take carries out an order. It reports whether the configuration changed.
func (s *Subscriber) take(o *messenger.ControlOrder) bool {
	changed := s.takeChanges(o)
	if o.GetLeaseMs() > 0 {
		s.holder.Renewed(o.GetSequence(), time.Duration(o.GetLeaseMs())*time.Millisecond)
		s.until.Store(int64(s.holder.Until().Sub(s.base)))
		s.noteAuthority()
	}
	if o.GetHosts() > 0 {
		s.hosts.Store(o.GetHosts())
	}
	for _, g := range o.GetGrants() {
		s.Limiter.Grant(g.GetOrganisation(), g.GetGrantedTotal())
	}
	return changed
}

// takeChanges puts the changes or the snapshot of an order in force.
func (s *Subscriber) takeChanges(o *messenger.ControlOrder) bool {
	old := s.State()
	next, err := nextState(old, o)
	if err != nil {
		s.Log.Error(logger.EventConfigurationBad, zap.Error(err))
		return false
	}
	if next.Version <= old.Version {
		return false
	}
	s.state.Store(next)
	if s.Changed != nil {
		s.Changed(next)
	}
	s.Log.Info(logger.EventConfigurationTaken, zap.Uint64("version", next.Version))
	return true
}

// nextState returns the configuration after an order.
func nextState(old *configurer.State, o *messenger.ControlOrder) (*configurer.State, error) {
	base, sent := *old, o.GetChanges()
	if packed := o.GetSnapshot(); len(packed) > 0 {
		snapshot, err := messenger.UnpackSnapshot(packed)
		if err != nil {
			return old, err
		}
		base, sent = configurer.State{}, snapshot.GetChanges()
	}
	var changes []configurer.Change
	for _, c := range sent {
		if c.GetVersion() > base.Version {
			changes = append(changes, configurer.Change{
				Version: c.GetVersion(), Kind: configurer.Kind(c.GetKind()), ID: c.GetId(), Body: c.GetBody(),
			})
		}
	}
	next, err := base.ApplyAll(changes)
	return &next, err
}
