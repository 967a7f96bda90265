// Package launcher assembles and runs a process: an entry host that serves callers,
// or a control host.
//
// # Usage
//
//	e := &launcher.EntryHost{Settings: settings, CallerCodec: c, UpstreamCodec: u, Log: log}
//	err := e.Run(ctx)   // until ctx ends, then a graceful shutdown
package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/admitter"
	"github.com/shallotstage/shallotstage/internal/backoffer"
	"github.com/shallotstage/shallotstage/internal/broker"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/controlclient"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/recoverer"
	"github.com/shallotstage/shallotstage/internal/sampler"
	"github.com/shallotstage/shallotstage/internal/timer"
	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/evacuator"
	"github.com/shallotstage/shallotstage/pkg/fencer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/permitter"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

const (
	// deregistrationTime is how long load balancers may take to stop sending
	// callers to a host that is not ready: two probes, at one a second.
	deregistrationTime = 2200 * time.Millisecond
	// exitReserve is the part of the grace period kept for the exit of the
	// process.
	exitReserve = 400 * time.Millisecond
	// peerBackoff is how long an owner or sample host that did not answer is
	// skipped. The list of hosts that lend connections is updated within that
	// time.
	peerBackoff = 1500 * time.Millisecond
	// handOverTimeout is how long work that began at a primary may go on after a
	// planned change of primary was agreed; most transactions end within it.
	handOverTimeout = 400 * time.Millisecond
	// holdTimeout is how long new work waits for a planned change of primary while
	// the former primary could still take it: the release by all hosts, the
	// candidate's catching up and a promotion together.
	holdTimeout = 2500 * time.Millisecond
	// maxAnswerAge is the age of an upstream's last answer up to which the
	// upstream is reported as answering.
	maxAnswerAge = 1500 * time.Millisecond
)

// EntryHostSettings are the settings of an entry host.
type EntryHostSettings struct {
	Host           string
	Place          transactor.Location
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// PeerAddress is the address of this host for other entry hosts.
	PeerAddress string
	// Grace is the time limit of a graceful shutdown.
	Grace time.Duration
	// PrimaryLease is true if nothing but the hosts' leases keeps a replaced primary
	// from committing.
	PrimaryLease bool
	// LinkMegabits is the bandwidth of the hosts' network links in Mbit/s; zero means
	// unknown.
	LinkMegabits float64
	// Descriptors is the limit of open files and connections; zero means no
	// limit.
	Descriptors int64
	// EvacuationLimit is the time from the acknowledgement of an order to evacuate a
	// data centre after which no statement may reach its upstreams; zero means that no
	// limit is set, and evacuator.DefaultLimit is used.
	EvacuationLimit time.Duration
	// MemoryBytes is the memory that the process may use; zero means no limit.
	MemoryBytes int64
}

// EntryHost runs an entry host. All exported fields must be set before Run.
type EntryHost struct {
	Settings EntryHostSettings
	// Seeds returns the addresses of control hosts in the current settings.
	Seeds         func() []string
	CallerCodec   *transactor.Codec
	UpstreamCodec *connector.Codec
	// ReadyHandler returns the handler of the readiness probe.
	ReadyHandler func(ready func() bool) http.Handler
	Log          *logger.Logger

	ready         atomic.Bool
	controlClient *controlclient.Client
	upstreams     *transactor.UpstreamTracker
	set           *connector.PoolSet
	assignments   *assignments
	forwarder     *forwarder.Forwarder
	broker        *broker.Broker
	gate          *transactor.PrimaryGate
	evacuations   *transactor.Evacuations
	admitter      *admitter.Admitter
	sampler       *sampler.Sampler
	warmups       *warmupThrottle
	server        *transactor.Server
	entryMetrics  *entryMetrics
	limits        *processLimits
}

// Run serves until ctx ends and then shuts down within the grace period.
func (e *EntryHost) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", e.Settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("launcher: listen for callers: %w", err)
	}
	probes, err := net.Listen("tcp", e.Settings.ReadyAddress)
	if err != nil {
		return fmt.Errorf("launcher: listen for probes: %w", err)
	}
	peers, err := net.Listen("tcp", e.Settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("launcher: listen for entry hosts: %w", err)
	}
	metrics, err := net.Listen("tcp", e.Settings.MetricsAddress)
	if err != nil {
		return fmt.Errorf("launcher: listen for metrics: %w", err)
	}
	e.build()
	peers = e.limits.bound("links", peers, e.limits.descriptors.links)
	probes = e.limits.bound("readiness", probes, e.limits.descriptors.probes)
	metrics = e.limits.bound("metrics", metrics, e.limits.descriptors.probes)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go e.controlClient.Run(work)
	go e.upstreams.ProbeSilent(work)
	go e.set.Sweep(work)
	go e.forwarder.Serve(work, peers, e.streamHandler)
	go e.logFailure("ready probe", func() error { return serveHTTP(work, probes, e.ReadyHandler(e.ready.Load)) })
	go e.logFailure("metrics", func() error { return serveHTTP(work, metrics, e.metricsHandler()) })
	go e.logFailure("callers", func() error { return e.server.Serve(work, callers) })
	e.Log.Info(logger.EventStarted, zap.String("host", e.Settings.Host), zap.Uint64("incarnation", e.controlClient.Incarnation))
	<-ctx.Done()
	e.shutDown()
	return nil
}

// metricsHandler returns the handler of the metrics listener.
func (e *EntryHost) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e.entryMetrics.handler())
	mux.HandleFunc(routeExplanationPath, e.explainRoute)
	return mux
}

// logFailure runs a server and logs its error if it fails.
func (e *EntryHost) logFailure(part string, serve func() error) {
	if err := serve(); err != nil {
		e.Log.Error(logger.EventListenerFailed, zap.String("part", part), zap.Error(err))
	}
}

// build creates the components of the host.
func (e *EntryHost) build() {
	e.entryMetrics = newEntryMetrics()
	e.limits = newProcessLimits(e.Settings.MemoryBytes, e.Settings.Descriptors, entryLinkDivisor, e.Log)
	e.limits.register(e.entryMetrics.registry)
	shares := &spender.Spender{Now: timer.Now}
	e.upstreams = &transactor.UpstreamTracker{Now: timer.Now, Log: e.Log}
	e.evacuations = &transactor.Evacuations{Evacuator: evacuator.Evacuator{Limit: e.Settings.EvacuationLimit}, Now: timer.Now, Log: e.Log}
	e.assignments = &assignments{host: e.Settings.Host, dataCentre: e.Settings.Place.DataCentre, location: e.Settings.Place, linkMegabits: e.Settings.LinkMegabits}
	e.warmups = &warmupThrottle{now: timer.Now, isOwner: e.assignments.isFirstOwner, log: e.Log}
	e.set = &connector.PoolSet{Dialer: &connector.Dialer{Codec: e.UpstreamCodec, Budget: e.limits.budget}, MayForward: e.evacuations.MayForward, Throttle: e.warmups.throttle(), Weight: e.organisationWeight}
	e.set.OnOverload, e.set.Dialer.OnStrayAnswer = e.logOverload, e.recordStrayAnswer
	e.forwarder = &forwarder.Forwarder{Dial: linker.Linker{}.DialStream, Budget: e.limits.budget}
	e.broker = &broker.Broker{LocalConnections: e.set, Forwarder: e.forwarder, Owners: e.assignments.lendersOf, Check: e.checkLentWork, ObserveLoad: e.upstreams.RecordLoad, ObserveRoundTrip: e.recordRoundTrip, ObserveSlowOwner: e.entryMetrics.slowOwners.Inc, Log: e.Log, Backoffer: backoffer.Backoffer{Initial: peerBackoff}}
	e.admitter = &admitter.Admitter{
		AdmitLocal: shares.Admit, PendingGrant: shares.PendingGrant, LookUpOrganisation: e.organisation, Forwarder: e.forwarder, HostCount: e.hosts, TokenHosts: e.assignments.tokenHostsOf, Log: e.Log,
		Backoffer: backoffer.Backoffer{Initial: admitter.InitialBackoff, Max: admitter.MaxBackoff},
	}
	e.controlClient = &controlclient.Client{
		Host: e.Settings.Host, Incarnation: uint64(time.Now().UnixNano()), DataCentre: e.Settings.Place.DataCentre, PeerAddress: e.Settings.PeerAddress,
		Seeds: e.Seeds, Dial: linker.Linker{}.Dial, Now: timer.Now, Shares: shares, Delegates: e.admitter.Delegates, UpstreamStatuses: e.upstreamStatuses, OnViewChange: e.applyView, Log: e.Log,
	}
	e.gate = &transactor.PrimaryGate{
		Gate: fencer.Gate{Exclusive: e.Settings.PrimaryLease, HandOverTimeout: handOverTimeout, HoldTimeout: holdTimeout}, Now: timer.Now, Released: e.controlClient.ReportNow, Evacuations: e.evacuations,
	}
	if e.Settings.PrimaryLease {
		e.gate.HoldsLease = e.controlClient.HoldsLease
	}
	e.controlClient.WarmupWanted, e.controlClient.ApplyWarmupGrants = e.warmups.wanted, e.warmups.apply
	e.controlClient.OnLeaseEnded = e.gate.LeaseEnded
	e.controlClient.ReleasedIndex = e.gate.ReleasedIndex
	e.upstreams.StatusChanged, e.upstreams.ConnectRefused = e.controlClient.ReportNow, e.warmups.connectRefused
	shares.OnExhausted = e.controlClient.ReportNow
	e.server = &transactor.Server{
		Codec: e.CallerCodec, Lease: e.broker.Lease, ReachableViaPeer: e.broker.CanBorrow, Affinity: e.assignments.affinity, Upstreams: e.upstreams, Gate: e.gate, Evacuations: e.evacuations, View: e.controlClient.View, ReceivesUpdates: e.controlClient.IsConnected, Admit: e.admitter.Admit, Now: timer.Now,
		Location: e.Settings.Place, Log: e.Log, Observe: e.entryMetrics.observe, ObserveChoice: e.entryMetrics.observeChoice, Load: e.upstreams.Load, Budget: e.limits.budget, OnClose: e.limits.sessionClosed, MaxSessions: int64(e.limits.descriptors.rest),
	}
	e.sampler = &sampler.Sampler{
		Forwarder: e.forwarder, SampleHosts: e.assignments.sampleHostsOf, Owner: e.primaryOwner, QueryPrimary: e.server.SamplePrimary, Latest: e.upstreams.Latest, StoreSample: e.upstreams.AddSample,
		Now: timer.Now, Log: e.Log, Backoffer: backoffer.Backoffer{Initial: peerBackoff},
	}
	e.server.RefreshSample = e.sampler.Refresh
	e.entryMetrics.registerGauges(e.server, e.set, e.evacuations)
	e.entryMetrics.registerWarmups(e.warmups)
}

// recordStrayAnswer logs and counts an upstream's answer to nothing.
func (e *EntryHost) recordStrayAnswer(a connector.StrayAnswer) {
	e.entryMetrics.strayAnswers.WithLabelValues(string(a.Kind)).Inc()
	logStrayAnswer(e.Log, a)
}

// logStrayAnswer logs an upstream's answer to nothing.
func logStrayAnswer(log *logger.Logger, a connector.StrayAnswer) {
	log.Warn(logger.EventUpstreamAnswerStray, zap.String("upstream", a.Upstream), zap.String("kind", string(a.Kind)), zap.String("outstanding", string(a.Verb)))
}

// logOverload logs that the queue of an upstream has begun or ceased to refuse
// statements.
func (e *EntryHost) logOverload(c connector.OverloadChange) {
	e.Log.Warn(logger.EventUpstreamOverloaded, zap.String("upstream", c.Upstream), zap.Bool("overloaded", c.Overloaded), zap.Int("waiting", c.Waiting),
		zap.Uint64("refused_early", c.RefusedEarly), zap.Uint64("refused_late", c.RefusedLate), zap.Duration("lasted", c.Lasted))
}

// organisation returns an organisation of the current configuration.
func (e *EntryHost) organisation(name string) (keeper.Organisation, bool) {
	view, _ := e.controlClient.View()
	o, ok := view.Configuration.Organisations[name]
	return o, ok
}

// checkLentWork returns why the statements of an organisation on a route must not run at
// an upstream under the present view, or nil.
func (e *EntryHost) checkLentWork(upstream, organisation, route string) error {
	view, _ := e.controlClient.View()
	return checkRegion(view, e.Settings.Place, upstream, organisation, route)
}

// checkRegion returns an error unless the configuration permits the statements of an
// organisation on a route in the region of an upstream.
func checkRegion(view *keeper.View, place transactor.Location, upstream, organisation, route string) error {
	c := &view.Configuration
	permitted := permitter.Effective(c.Routes[route].PermittedRegions, c.Organisations[organisation].PermittedRegions)
	if !permitted.Permits(place.RegionOf(view.Upstreams[upstream].DataCentre)) {
		return &connector.RegionError{Upstream: upstream}
	}
	return nil
}

// organisationWeight returns the weight of an organisation in the queues of
// upstreams: its rate.
func (e *EntryHost) organisationWeight(name string) float64 {
	o, _ := e.organisation(name)
	return o.Rate
}

// recordRoundTrip records a measured round trip to another entry host.
func (e *EntryHost) recordRoundTrip(host string, d time.Duration) {
	view, _ := e.controlClient.View()
	if p, ok := view.Peers[host]; ok {
		e.upstreams.RecordRoundTrip(p.DataCentre, d)
	}
}

// primaryOwner returns the host that owns the connections to a service's primary.
func (e *EntryHost) primaryOwner(service string) sampler.SampleHost {
	view, _ := e.controlClient.View()
	if u, ok := view.Upstreams[view.Primaries[service]]; ok {
		if ranked := e.assignments.ownersOf(u, transactor.PublicOrganisation); len(ranked) > 0 {
			return sampler.SampleHost(ranked[0])
		}
	}
	return sampler.SampleHost{}
}

// hosts returns the number of entry hosts.
func (e *EntryHost) hosts() int {
	view, _ := e.controlClient.View()
	return view.Hosts
}

// streamHandler returns the handler for a stream of another entry host, or nil if the
// header is invalid.
func (e *EntryHost) streamHandler(header []byte) (handler func(ctx context.Context, conn net.Conn)) {
	defer recoverer.Recover(e.Log, "stream header", nil)
	serve := e.selectHandler(header)
	if serve == nil {
		return nil
	}
	return func(ctx context.Context, conn net.Conn) {
		defer recoverer.Recover(e.Log, "stream", func() { _ = conn.Close() })
		serve(ctx, conn)
	}
}

// selectHandler returns the handler for the first byte of a stream's header.
func (e *EntryHost) selectHandler(header []byte) func(ctx context.Context, conn net.Conn) {
	if len(header) == 0 {
		return nil
	}
	switch header[0] {
	case broker.StreamKind:
		return e.broker.Handler(header[1:])
	case admitter.StreamKind:
		return e.admitter.Handler(header[1:])
	case sampler.StreamKind:
		return e.sampler.Handler(header[1:])
	}
	return nil
}

// applyView updates the components for a new view.
func (e *EntryHost) applyView(view *keeper.View) {
	e.warmups.setView(view)
	e.evacuations.SetTopology(view)
	e.gate.SetTopology(view)
	e.upstreams.Update(view.Upstreams)
	e.assignments.update(view)
	e.set.Update(view.Upstreams, func(u keeper.Upstream) connector.PoolLimits { return e.assignments.poolLimits(view, u) })
	if e.warmups.lacksGrant() {
		// The grant comes with the answer to the next report.
		e.controlClient.ReportNow()
	}
	e.setReady(view.Configuration.Version > 0 && len(view.Upstreams) > 0, "configuration and upstreams are known")
}

func (e *EntryHost) setReady(ready bool, reason string) {
	if e.server.IsDraining() {
		ready = false
	}
	if e.ready.Swap(ready) != ready {
		e.Log.Info(logger.EventReadinessChanged, zap.Bool("ready", ready), zap.String("reason", reason))
	}
}

// upstreamStatuses returns the upstream statuses for the reports to control
// hosts.
func (e *EntryHost) upstreamStatuses() []controlclient.UpstreamStatus {
	var upstreamStatuses []controlclient.UpstreamStatus
	for _, s := range e.upstreams.Statuses() {
		upstreamStatuses = append(upstreamStatuses, controlclient.UpstreamStatus{Upstream: s.Upstream, Reachable: s.Reachable, Answered: s.SinceLastAnswer < maxAnswerAge, Position: s.Position})
	}
	return upstreamStatuses
}

// shutDown shuts the host down within the grace period: it stops accepting
// callers, closes idle sessions and waits for transactions to end.
func (e *EntryHost) shutDown() {
	begin := time.Now()
	grace := e.Settings.Grace
	e.Log.Info(logger.EventDraining, zap.String("host", e.Settings.Host), zap.Duration("grace", grace), zap.Int64("sessions", e.server.Sessions()))
	end := begin.Add(grace - exitReserve)
	e.server.BeginDrain(end)
	e.controlClient.AnnounceShutdown()
	e.setReady(false, "shutdown")
	time.Sleep(min(deregistrationTime, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	e.server.Drain(ctx, max(0, grace*3/4-time.Since(begin)))
	e.Log.Info(logger.EventStopped, zap.Int64("sessions", e.server.Sessions()), zap.Duration("took", time.Since(begin)))
}
