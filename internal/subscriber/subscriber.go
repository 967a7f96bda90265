// Package subscriber is an entry host's client of the control hosts: it reports
// to the leader and receives leases, tokens and configuration from it.
//
// # Usage
//
//	s := &subscriber.Subscriber{Host: host, Controls: addresses, Linker: l, Limiter: lim, ReachabilityReports: reports}
//	go s.Run(ctx)
//	state := s.State()
//	if s.HasLease() { ... }
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
	// minReportGap is the minimum time since the previous report for reports
	// that are triggered by TriggerReport.
	minReportGap = 10 * time.Millisecond
	// answerTimeout is the time without an order after which the connection is
	// closed and another one is opened.
	answerTimeout = 1500 * time.Millisecond
	// reconnectDelay is the delay before the next control host is tried.
	reconnectDelay = 50 * time.Millisecond
	// maxQueuedAnnouncements is the maximum number of announcements that wait
	// for the next report.
	maxQueuedAnnouncements = 1024
)

// notLeaderError means that the control host is not the leader. leader is the
// leader's ID, if known.
type notLeaderError struct{ leader string }

// Error implements error.
func (e *notLeaderError) Error() string { return "subscriber: control host is not the leader" }

// errAnswerTimeout means that the control host did not answer in time.
var errAnswerTimeout = errors.New("subscriber: control host did not answer in time")

// Subscriber keeps a stream to the leading control host. Exported fields are set
// before Run.
type Subscriber struct {
	Host configurer.Host
	// Incarnation is a number that differs after each start of the host.
	Incarnation uint64
	// Controls are the configured addresses of control hosts.
	Controls []string
	Linker   linker.Linker
	Limiter  *limiter.Limiter
	// ReachabilityReports returns the host's reachability reports on upstreams.
	ReachabilityReports func() []*messenger.Sight
	// OnStateChange is called with each new configuration before its version is
	// reported as in force.
	OnStateChange func(*configurer.State)
	// Interval is the time between reports; the default is 500 ms.
	Interval time.Duration
	Log      *logger.Logger

	epoch      time.Time
	leaseEnd   atomic.Int64
	state      atomic.Pointer[configurer.State]
	hostCount  atomic.Uint32
	reportSoon chan struct{}

	mu            sync.Mutex
	announcements map[string][]byte

	holder   fencer.Holder
	sequence uint64
	// sentReports and sentTokens hold what was sent over the current connection;
	// only changes are sent again.
	sentReports map[string]sentReport
	sentTokens  map[string]allocator.Report
	// loggedLease is whether the last logged event was that the lease was
	// gained.
	loggedLease bool
}

// Prepare initialises the subscriber. It must be called before any other method.
func (s *Subscriber) Prepare() {
	s.epoch = time.Now()
	s.reportSoon = make(chan struct{}, 1)
	s.state.Store(&configurer.State{})
	if s.Interval <= 0 {
		s.Interval = defaultInterval
	}
}

// State returns the configuration in force.
func (s *Subscriber) State() *configurer.State { return s.state.Load() }

// HasLease reports whether the host's lease is valid now.
func (s *Subscriber) HasLease() bool { return int64(time.Since(s.epoch)) < s.leaseEnd.Load() }

// MayAcknowledge reports whether an acknowledgement from the upstream, as
// primary of the group in the given term, may be passed on to the caller now.
func (s *Subscriber) MayAcknowledge(group, upstream string, term uint64) bool {
	g, ok := s.State().Groups[group]
	return ok && g.Phase == configurer.PhaseServing && g.Term == term && g.Primary == upstream && s.HasLease()
}

// IsPrimary reports whether the upstream is the group's primary and the lease is
// valid.
func (s *Subscriber) IsPrimary(group, upstream string) bool {
	return s.MayAcknowledge(group, upstream, s.State().Groups[group].Term)
}

// HostCount returns the number of hosts that hold a lease, as last received
// from the leader, but at least 1.
func (s *Subscriber) HostCount() int { return max(1, int(s.hostCount.Load())) }

// TriggerReport triggers a report before the next interval.
func (s *Subscriber) TriggerReport() {
	select {
	case s.reportSoon <- struct{}{}:
	default:
	}
}

// QueueAnnouncement queues an upstream's announcement for the next report. An
// unknown upstream triggers that report.
func (s *Subscriber) QueueAnnouncement(upstream string, body []byte) {
	s.mu.Lock()
	if s.announcements == nil {
		s.announcements = map[string][]byte{}
	}
	_, known := s.State().Upstreams[upstream]
	if len(s.announcements) < maxQueuedAnnouncements {
		s.announcements[upstream] = body
	}
	s.mu.Unlock()
	if !known {
		s.TriggerReport()
	}
}

func (s *Subscriber) drainAnnouncements() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var bodies [][]byte
	for _, b := range s.announcements {
		bodies = append(bodies, b)
	}
	s.announcements = nil
	return bodies
}

// Run connects to one control host after another until ctx ends. If a host is
// not the leader but knows it, the leader is tried next.
func (s *Subscriber) Run(ctx context.Context) {
	leaderAddress := ""
	for i := 0; ctx.Err() == nil && len(s.Controls) > 0; i++ {
		addresses := s.controlAddresses()
		address := addresses[i%len(addresses)]
		if leaderAddress != "" {
			address = leaderAddress
		}
		err := s.subscribe(ctx, address)
		s.logLease()
		var notLeader *notLeaderError
		leaderAddress = ""
		if errors.As(err, &notLeader) {
			leaderAddress = s.State().ControlHosts[notLeader.leader].Address
		} else if ctx.Err() == nil {
			s.Log.Warn(logger.EventControlLost, zap.String("address", address), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// controlAddresses returns the addresses of the registered control hosts,
// followed by the configured ones that are not among them.
func (s *Subscriber) controlAddresses() []string {
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

// logLease logs when the lease was gained or lost since the last call.
func (s *Subscriber) logLease() {
	has := s.HasLease()
	if has == s.loggedLease {
		return
	}
	s.loggedLease = has
	if has {
		s.Log.Info(logger.EventAuthorityGained, zap.Uint64("version", s.State().Version))
		return
	}
	s.Log.Warn(logger.EventAuthorityLost, zap.Uint64("version", s.State().Version))
}

// subscribe reports to one control host until the connection fails.
func (s *Subscriber) subscribe(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := s.Linker.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	s.sentReports, s.sentTokens = map[string]sentReport{}, map[string]allocator.Report{}
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
	return s.exchangeMessages(ctx, stream, orders, failed)
}

// exchangeMessages sends reports and applies orders over one stream.
func (s *Subscriber) exchangeMessages(ctx context.Context, stream messenger.DRPCControl_AttendClient, orders <-chan *messenger.ControlOrder, failed <-chan error) error {
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
			if s.applyOrder(o) {
				if err := report(); err != nil {
					return err
				}
			}
		case <-s.reportSoon:
			delayed = time.After(max(0, minReportGap-time.Since(lastReport)))
		case <-delayed:
			delayed = nil
			if err := report(); err != nil {
				return err
			}
		case <-ticker.C:
			if time.Since(lastOrder) > answerTimeout {
				return errAnswerTimeout
			}
			if err := report(); err != nil {
				return err
			}
		}
	}
}

// applyOrder applies an order and reports whether the configuration changed.
func (s *Subscriber) applyOrder(o *messenger.ControlOrder) bool {
	changed := s.applyChanges(o)
	if o.GetLeaseMs() > 0 {
		s.holder.Renew(o.GetSequence(), time.Duration(o.GetLeaseMs())*time.Millisecond)
		s.leaseEnd.Store(int64(s.holder.ExpiresAt().Sub(s.epoch)))
		s.logLease()
	}
	if o.GetHosts() > 0 {
		s.hostCount.Store(o.GetHosts())
	}
	for _, g := range o.GetGrants() {
		s.Limiter.Grant(g.GetOrganisation(), g.GetGrantedTotal())
	}
	return changed
}

// applyChanges puts the changes or the snapshot of an order in force and reports
// whether the configuration changed.
func (s *Subscriber) applyChanges(o *messenger.ControlOrder) bool {
	old := s.State()
	next, err := nextState(old, o)
	if err != nil {
		s.Log.Error(logger.EventConfigurationRefused, zap.Error(err))
		return false
	}
	if next.Version <= old.Version {
		return false
	}
	s.state.Store(next)
	if s.OnStateChange != nil {
		s.OnStateChange(next)
	}
	s.Log.Info(logger.EventConfigurationApplied, zap.Uint64("version", next.Version))
	return true
}

// nextState returns the configuration that results from applying an order.
func nextState(old *configurer.State, o *messenger.ControlOrder) (*configurer.State, error) {
	base, sent := *old, o.GetChanges()
	if compressed := o.GetSnapshot(); len(compressed) > 0 {
		snapshot, err := messenger.DecodeSnapshot(compressed)
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
