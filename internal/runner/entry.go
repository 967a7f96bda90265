// Package runner assembles and runs the components of an entry host or of a
// control host.
//
// # Usage
//
//	h := &runner.EntryHost{Host: host, Controls: addresses, Connector: connector}
//	err := h.Prepare()
//	err := h.Run(ctx, callersListener, httpListener, peerListener)
package runner

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcmux"

	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/internal/meter"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/internal/server"
	"github.com/shallotstage/shallotstage/internal/subscriber"
	"github.com/shallotstage/shallotstage/internal/watcher"
	"github.com/shallotstage/shallotstage/pkg/burner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/limiter"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/retrier"
	"github.com/shallotstage/shallotstage/pkg/router"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	maxAnnouncementBytes = 64 << 10
	// monitorConnections is the number of connections per upstream that are
	// reserved for probes.
	monitorConnections = 1
	// maxTokenWait is the maximum time that a request waits for tokens.
	maxTokenWait = 300 * time.Millisecond
	// maxTokenWaiters is the maximum number of an organisation's requests that
	// wait for tokens.
	maxTokenWaiters = 128
	// retryBudgetRatio and retryBudgetReserve are the parameters of the retry
	// budget.
	retryBudgetRatio   = 0.1
	retryBudgetReserve = 50
)

// EntryHost runs an entry host. Exported fields are set before Run.
type EntryHost struct {
	Host configurer.Host
	// Controls are the addresses of the control hosts.
	Controls  []string
	Connector pooler.Connector
	Linker    linker.Linker
	// AnnounceToken is the bearer token that announcements must carry.
	AnnounceToken string
	// DrainTimeout is the maximum duration of a graceful shutdown.
	DrainTimeout time.Duration
	// ProbeInterval and ProbeTimeout configure the probes of upstreams.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// ReportInterval is the time between reports to the control hosts.
	ReportInterval time.Duration
	// CatchUpWait and PrimaryWait configure the router.
	CatchUpWait time.Duration
	PrimaryWait time.Duration
	// HostsPerUpstream is the number of hosts that share an upstream; zero means
	// all hosts of the fleet.
	HostsPerUpstream int
	// OwnersPerDataCentre is the number of hosts in each data centre that connect
	// to a group's upstreams; the other hosts hand off their sessions to them.
	// Zero means all hosts.
	OwnersPerDataCentre int
	// TLS is the configuration for callers' connections; nil means no TLS.
	TLS    *tls.Config
	Bounds server.Limits
	Log    *logger.Logger

	Meter   *meter.Meter
	Burn    *burner.Counter
	sub     *subscriber.Subscriber
	watcher *watcher.Watcher
	pools   *pooler.Set
	server  *server.Server
	limiter *limiter.Limiter

	forwarder forwarder.Forwarder
	ownership ownership
	// updateMu serialises updateConnections, which always applies the newest
	// configuration.
	updateMu sync.Mutex
}

// Prepare creates and connects the components. It must be called before any other
// method.
func (h *EntryHost) Prepare() error {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("runner: read incarnation: %w", err)
	}
	if h.Meter == nil {
		h.Meter = meter.New()
	}
	if h.Burn == nil {
		h.Burn = &burner.Counter{}
	}
	h.limiter = &limiter.Limiter{Now: time.Now, MaxWait: maxTokenWait, MaxWaiters: maxTokenWaiters}
	h.sub = &subscriber.Subscriber{
		Host: h.Host, Incarnation: binary.BigEndian.Uint64(random[:]) >> 1, Controls: h.Controls, Linker: h.Linker,
		Limiter: h.limiter, Interval: h.ReportInterval, Log: h.Log,
	}
	h.sub.Prepare()
	h.limiter.OnLowTokens = h.sub.TriggerReport
	h.limiter.LimitsOf = func(organisation string) (rate, burst float64) {
		o := h.sub.State().Organisations[organisation]
		return o.Rate, o.Burst
	}
	h.watcher = &watcher.Watcher{
		Connect: h.Connector.OpenMonitor, Interval: h.ProbeInterval, Timeout: h.ProbeTimeout,
		IsPrimary: h.sub.IsPrimary, OnReachabilityChange: h.sub.TriggerReport, OnConnectError: func(upstream string) { h.pools.Abort(upstream) },
	}
	h.pools = &pooler.Set{
		Connector: h.Connector, Limits: h.share,
		OnStrayResponse: func(err *pooler.StrayResponseError) {
			h.Meter.AddStrayResponse()
			h.Log.Warn(logger.EventUpstreamAnswerStray, zap.String("upstream", err.Upstream), zap.String("kind", "unread"), zap.Error(err))
		},
		OnOpen: func(u configurer.Upstream, p tracker.Position) { h.watcher.GroupStatus(u.Group).Report(u.ID, p) },
	}
	h.sub.ReachabilityReports = h.reachabilityReports
	h.forwarder.Dial = h.dialOwner
	h.server = &server.Server{
		State: h.sub.State, LeaseValid: h.sub.HasLease, MayAcknowledge: h.sub.MayAcknowledge, RateLimit: h.limit,
		ForwardCancel: h.forwardCancel, OpenHandoff: h.handOff, OnDrain: h.endHandoffs, Watcher: h.watcher, Pools: h.pools,
		Router: router.Router{
			Region: h.Host.Region, DataCentre: h.Host.DataCentre, CatchUpWait: h.CatchUpWait, PrimaryWait: h.PrimaryWait,
		},
		RetryBudget: &retrier.Budget{Ratio: retryBudgetRatio, MaxBalance: retryBudgetReserve},
		Dial:        h.Connector.DialFunc(), TLS: h.TLS, Limits: h.Bounds, Meter: h.Meter, SLOCounter: h.Burn, Log: h.Log,
	}
	return nil
}

// share returns this host's share of an upstream's connections and slots.
func (h *EntryHost) share(u configurer.Upstream) (connections, slots int) {
	hosts := h.HostsPerUpstream
	if hosts == 0 {
		hosts = max(h.sub.HostCount(), len(h.sub.State().Hosts))
	}
	connections = max(1, u.Connections/hosts-monitorConnections)
	slots = max(1, (u.Slots+hosts-1)/hosts)
	if u.Region != h.Host.Region {
		// A slot is in use for a whole round trip between regions, for most
		// of which the upstream is idle.
		slots = connections
	}
	return connections, min(slots, connections)
}

func (h *EntryHost) limit(ctx context.Context, organisation string, n int, urgent bool) *refuser.Refusal {
	if _, ok := h.sub.State().Organisations[organisation]; !ok {
		// Callers of open routes belong to no organisation and are not limited
		// here.
		return nil
	}
	return h.limiter.Acquire(ctx, organisation, n, urgent)
}

// reachabilityReports returns the monitors' reports on all probed upstreams.
func (h *EntryHost) reachabilityReports() []*messenger.Sight {
	var reports []*messenger.Sight
	now := time.Now()
	for _, g := range h.sub.State().Groups {
		for id, s := range h.watcher.GroupStatus(g.ID).Statuses() {
			if s.Since.IsZero() {
				continue
			}
			reports = append(reports, &messenger.Sight{
				Upstream: id, Reachable: s.Reachable, Term: s.Position.Term, Offset: s.Position.Offset,
				ForMs: uint32(now.Sub(s.Since) / time.Millisecond),
			})
		}
	}
	return reports
}

// Run serves until ctx ends and the graceful shutdown is complete. It closes the
// listeners.
func (h *EntryHost) Run(ctx context.Context, callers, httpListener, peers net.Listener) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	h.sub.OnStateChange = func(state *configurer.State) {
		h.server.HostNumber.Store(state.Hosts[h.Host.ID].Number)
		h.updateOwnership(workCtx)
		h.server.RevokeDisallowedSessions()
	}
	h.Meter.RegisterGauge("shallotstage_sessions", "Callers connected.", func() float64 { return float64(h.server.SessionCount()) })
	h.Meter.RegisterGauge("shallotstage_relays", "Callers whose sessions other hosts serve.", func() float64 { return float64(h.server.RelayCount()) })
	h.Meter.RegisterGauge("shallotstage_config_version", "Configuration version in force.", func() float64 { return float64(h.sub.State().Version) })
	httpServer := &http.Server{Handler: h.httpHandler(), ReadHeaderTimeout: time.Second}
	var wg sync.WaitGroup
	start := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	start(func() { h.sub.Run(workCtx) })
	start(func() { _ = httpServer.Serve(httpListener) })
	start(func() { h.servePeers(workCtx, peers) })
	h.Log.Info(logger.EventStarted, zap.String("host", h.Host.ID), zap.String("callers", callers.Addr().String()))
	drainCtx, stopDrain := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDrain()
	context.AfterFunc(ctx, func() {
		h.Log.Info(logger.EventDraining, zap.Duration("bound", h.DrainTimeout))
		time.AfterFunc(h.DrainTimeout, stopDrain)
	})
	err := h.server.Serve(ctx, drainCtx, callers)
	stopWork()
	h.forwarder.Close()
	_ = httpServer.Close()
	wg.Wait()
	h.Log.Info(logger.EventStopped, zap.String("host", h.Host.ID))
	return err
}

// servePeers serves RPCs and handed-off sessions of other entry hosts, which
// arrive at the same listener.
func (h *EntryHost) servePeers(ctx context.Context, peers net.Listener) {
	mux := drpcmigrate.NewListenMux(h.Linker.WrapListener(peers), len(forwardHeader))
	forwards := mux.Route(forwardHeader)
	calls := mux.Default()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); _ = mux.Run(ctx) }()
	go func() { defer wg.Done(); h.forwarder.Serve(ctx, forwards, h.acceptHandoff) }()
	_ = linker.Linker{}.Serve(ctx, calls, func(mux *drpcmux.Mux) error {
		return messenger.DRPCRegisterHosts(mux, hostsService{server: h.server})
	})
	wg.Wait()
}

// dialOwner opens a connection that carries handed-off sessions to another host.
func (h *EntryHost) dialOwner(ctx context.Context, address string) (net.Conn, error) {
	conn, err := h.Linker.DialStream(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcmigrate.NewHeaderConn(conn, forwardHeader), nil
}

// httpHandler serves announcements, metrics, health and the burn counts.
func (h *EntryHost) httpHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.Meter.Handler())
	mux.HandleFunc("GET /healthz", h.handleHealth)
	mux.HandleFunc("GET /v1/burn", h.handleBurn)
	mux.HandleFunc("POST /v1/announcements", h.handleAnnouncement)
	return mux
}

// handleHealth responds with status 200 while the host can serve keyed routes,
// which needs a valid lease.
func (h *EntryHost) handleHealth(w http.ResponseWriter, _ *http.Request) {
	hasLease := h.sub.HasLease()
	w.Header().Set("Content-Type", "application/json")
	if !hasLease {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(struct {
		Host      string `json:"host"`
		Authority bool   `json:"authority"`
		Version   uint64 `json:"version"`
		Sessions  int    `json:"sessions"`
	}{h.Host.ID, hasLease, h.sub.State().Version, h.server.SessionCount()})
}

// handleBurn responds with this host's counts for the burn report.
func (h *EntryHost) handleBurn(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.Burn.HostCounts(h.Host.ID))
}

func (h *EntryHost) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	want := "Bearer " + h.AnnounceToken
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		http.Error(w, "token is not valid", http.StatusUnauthorized)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var a configurer.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.sub.HasLease() {
		// The upstream tries another host, which may be connected to the
		// leader.
		http.Error(w, "host has lost contact with control", http.StatusServiceUnavailable)
		return
	}
	h.sub.QueueAnnouncement(a.ID, body)
	w.WriteHeader(http.StatusNoContent)
}

// Ready reports whether the host has a valid lease and the given number of groups
// are serving. A group that the host owns counts if at least perGroup of its
// upstreams are reachable.
func (h *EntryHost) Ready(groups, perGroup int) bool {
	return h.Missing(groups, perGroup) == ""
}

// Missing says what a host that is not ready still lacks, or returns an empty string.
func (h *EntryHost) Missing(groups, perGroup int) string {
	if !h.sub.HasLease() {
		return "no lease"
	}
	state := h.sub.State()
	serving, missing := 0, ""
	for _, g := range state.Groups {
		switch reachable := h.reachableUpstreams(state, g.ID); {
		case g.Phase != configurer.PhaseServing:
			missing = fmt.Sprintf("group %s is %s", g.ID, g.Phase)
		case h.owns(state, g.ID) && reachable < perGroup:
			missing = fmt.Sprintf("group %s has %d reachable upstreams of %d", g.ID, reachable, perGroup)
		default:
			serving++
		}
	}
	if serving >= groups {
		return ""
	}
	if missing == "" {
		missing = fmt.Sprintf("%d groups of %d are known", len(state.Groups), groups)
	}
	return missing
}

// reachableUpstreams returns the number of a group's upstreams that are reachable
// and accept requests.
func (h *EntryHost) reachableUpstreams(state *configurer.State, group string) int {
	n := 0
	for id, s := range h.watcher.GroupStatus(group).Statuses() {
		if s.Reachable && state.Upstreams[id].AcceptsRequests() {
			n++
		}
	}
	return n
}

// SessionCount returns the number of sessions that the host serves.
func (h *EntryHost) SessionCount() int { return h.server.SessionCount() }

// RelayCount returns the number of callers whose sessions are handed off to other
// hosts.
func (h *EntryHost) RelayCount() int { return h.server.RelayCount() }

// State returns the configuration that the host has in force.
func (h *EntryHost) State() *configurer.State { return h.sub.State() }
