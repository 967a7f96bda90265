package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/internal/emulator"
	"github.com/shallotstage/shallotstage/internal/meter"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/internal/watcher"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/retrier"
	"github.com/shallotstage/shallotstage/pkg/router"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	testGroup = "ledger"
	testOrg   = "prairie_1"
	testKey   = "secret"
)

// faultInjector injects a fault into the next statement that matches.
type faultInjector struct {
	mu        sync.Mutex
	point     emulator.FaultPoint
	match     string
	action    emulator.FaultAction
	triggered int
	hook      func(point emulator.FaultPoint) emulator.FaultAction
}

func (f *faultInjector) set(point emulator.FaultPoint, match string, action emulator.FaultAction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.point, f.match, f.action, f.triggered = point, match, action, 0
}

// inject returns the configured fault once, or what the hook returns when one
// is set.
func (f *faultInjector) inject(point emulator.FaultPoint, sql string) emulator.FaultAction {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hook != nil {
		return f.hook(point)
	}
	if f.action == emulator.FaultNone || point != f.point || f.match != "" && f.match != sql || f.triggered > 0 {
		return emulator.FaultNone
	}
	f.triggered++
	return f.action
}

// group is a group of a primary and two replicas, and the entry hosts in front
// of it.
type group struct {
	c                 *qt.C
	upstreams         []*emulator.Upstream
	faults            []*faultInjector
	state             atomic.Pointer[configurer.State]
	leaseValid        atomic.Bool
	servers           []*Server
	hostAddresses     []string
	stopHosts         []context.CancelFunc
	upstreamAddresses []string
}

type groupConfig struct {
	hosts  int
	lag    time.Duration
	slots  int
	limits Limits
	// admittedStatements is the number of statements that the limiter admits;
	// zero means all.
	admittedStatements int64
	// serviceTime is the time that a statement takes at an upstream.
	serviceTime time.Duration
	primaryWait time.Duration
	// relay returns the address under which hosts use an upstream; nil means its own.
	relay func(address string) string
}

// startGroup starts the upstreams and entry hosts of a test.
func startGroup(tb testing.TB, cfg groupConfig) *group {
	c := qt.New(tb)
	g := &group{c: c}
	g.leaseValid.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	tb.Cleanup(func() { cancel(); wg.Wait() })
	if cfg.slots == 0 {
		cfg.slots = 8
	}
	state := g.initialState()
	primary := ""
	for i := range 3 {
		sql, platform := listen(c), listen(c)
		f := &faultInjector{}
		u := &emulator.Upstream{
			ID: fmt.Sprintf("ledger-%d", i), Group: testGroup, DataCentre: fmt.Sprintf("dc-%d", i), Region: "sask",
			Role: emulator.RoleReplica, Term: 1, PrimaryAddress: primary, Slots: cfg.slots, Connections: 200, Lag: cfg.lag, ServiceTime: cfg.serviceTime,
			User: "proxy", Password: "pw", PlatformToken: "token", Faults: emulator.FaultInjector{ActionAt: f.inject},
		}
		if i == 0 {
			u.Role = emulator.RolePrimary
			primary = platform.Addr().String()
		}
		g.upstreams, g.faults, g.upstreamAddresses = append(g.upstreams, u), append(g.faults, f), append(g.upstreamAddresses, sql.Addr().String())
		address := sql.Addr().String()
		if cfg.relay != nil {
			address = cfg.relay(address)
		}
		state.Upstreams[u.ID] = configurer.Upstream{
			ID: u.ID, Group: testGroup, Address: address, DataCentre: u.DataCentre, Region: u.Region,
			Slots: cfg.slots, Connections: 200, Lifecycle: configurer.LifecycleServing,
		}
		wg.Add(1)
		go func() { defer wg.Done(); _ = u.Run(ctx, sql, platform) }()
	}
	g.state.Store(state)
	for range max(1, cfg.hosts) {
		g.startHost(ctx, cfg, &wg)
	}
	g.waitReady()
	return g
}

func listen(c *qt.C) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return l
}

func (g *group) initialState() *configurer.State {
	verifier, err := authenticator.NewVerifier(testKey)
	g.c.Assert(err, qt.IsNil)
	return &configurer.State{
		Version:       1,
		Organisations: map[string]configurer.Organisation{testOrg: {ID: testOrg, Rate: 1e6, Burst: 1e6}},
		Keys:          map[string]configurer.Key{"key_1": {ID: "key_1", Organisation: testOrg, Verifier: verifier}},
		Routes: map[string]configurer.Route{
			"audit": {ID: "audit", Group: testGroup}, "board": {ID: "board", Group: testGroup, Open: true},
		},
		Groups: map[string]configurer.Group{testGroup: {
			ID: testGroup, Phase: configurer.PhaseServing, Term: 1, Primary: "ledger-0",
			Members: []string{"ledger-0", "ledger-1", "ledger-2"}, Lineage: tracker.Lineage{{Term: 1}},
		}},
		Upstreams: map[string]configurer.Upstream{},
	}
}

// updateState publishes a modified copy of the state.
func (g *group) updateState(f func(s *configurer.State)) {
	next := *g.state.Load()
	next.Version++
	next.Keys = cloneKeys(next.Keys)
	groups := map[string]configurer.Group{}
	for id, old := range next.Groups {
		groups[id] = old
	}
	next.Groups = groups
	upstreams := map[string]configurer.Upstream{}
	for id, old := range next.Upstreams {
		upstreams[id] = old
	}
	next.Upstreams = upstreams
	f(&next)
	g.state.Store(&next)
	for _, s := range g.servers {
		s.RevokeDisallowedSessions()
	}
}

func cloneKeys(keys map[string]configurer.Key) map[string]configurer.Key {
	next := map[string]configurer.Key{}
	for id, k := range keys {
		next[id] = k
	}
	return next
}

func (g *group) startHost(ctx context.Context, cfg groupConfig, wg *sync.WaitGroup) {
	var s *Server
	connector := pooler.Connector{User: "proxy", Password: "pw"}
	fence := func(id, upstream string, term uint64) bool {
		now := g.state.Load().Groups[id]
		return g.leaseValid.Load() && now.Phase == configurer.PhaseServing && now.Primary == upstream && now.Term == term
	}
	w := &watcher.Watcher{
		Connect: connector.OpenMonitor, Interval: 20 * time.Millisecond, Timeout: time.Second,
		IsPrimary: func(id, upstream string) bool { return fence(id, upstream, g.state.Load().Groups[id].Term) },
	}
	w.OnConnectError = func(upstream string) { s.Pools.Abort(upstream) }
	pools := &pooler.Set{
		Connector: connector, Limits: func(u configurer.Upstream) (int, int) { return 16, u.Slots },
		OnOpen: func(u configurer.Upstream, p tracker.Position) { w.GroupStatus(u.Group).Report(u.ID, p) },
	}
	wait := cfg.primaryWait
	if wait == 0 {
		wait = 2 * time.Second
	}
	s = &Server{
		State: g.state.Load, LeaseValid: g.leaseValid.Load, MayAcknowledge: fence, RateLimit: limitAfter(cfg.admittedStatements), Watcher: w, Pools: pools,
		Router:      router.Router{Region: "sask", DataCentre: "dc-1", CatchUpWait: 300 * time.Millisecond, PrimaryWait: wait},
		RetryBudget: &retrier.Budget{Ratio: 0.1, MaxBalance: 50}, Dial: connector.DialFunc(), Limits: cfg.limits, Meter: meter.New(),
	}
	s.HostNumber.Store(uint32(len(g.servers) + 1))
	w.Update(ctx, g.state.Load())
	pools.Update(ctx, g.state.Load())
	l := listen(g.c)
	serveCtx, stop := context.WithCancel(ctx)
	drainCtx, endDrain := context.WithCancel(context.Background())
	context.AfterFunc(ctx, endDrain)
	g.servers, g.hostAddresses, g.stopHosts = append(g.servers, s), append(g.hostAddresses, l.Addr().String()), append(g.stopHosts, stop)
	wg.Add(1)
	go func() { defer wg.Done(); _ = s.Serve(serveCtx, drainCtx, l) }()
}

// limitAfter refuses everything after n statements, or nothing when n is zero.
func limitAfter(n int64) func(context.Context, string, int, bool) *refuser.Refusal {
	var admitted atomic.Int64
	return func(_ context.Context, organisation string, k int, _ bool) *refuser.Refusal {
		if admitted.Add(int64(k)) <= n || n == 0 {
			return nil
		}
		return refuser.New(refuser.ReasonRateExceeded, "organisation "+organisation)
	}
}

// waitReady waits until every host reaches every upstream.
func (g *group) waitReady() {
	g.waitFor(func() bool {
		for _, s := range g.servers {
			n := 0
			for _, status := range s.Watcher.GroupStatus(testGroup).Statuses() {
				if status.Reachable {
					n++
				}
			}
			if n < len(g.upstreams) {
				return false
			}
		}
		return true
	})
}

// waitFor polls a condition until it holds.
func (g *group) waitFor(ok func() bool) {
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		g.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("condition not met in time"))
		<-time.After(2 * time.Millisecond)
	}
}

func (g *group) connect(host int, extra string) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), g.url(host)+extra)
	g.c.Assert(err, qt.IsNil)
	g.c.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (g *group) url(host int) string {
	return fmt.Sprintf("postgres://key_1:%s@%s/audit?sslmode=disable", testKey, g.hostAddresses[host])
}

func (g *group) exec(conn *pgx.Conn, sql string) {
	_, err := conn.Exec(context.Background(), sql)
	g.c.Assert(err, qt.IsNil, qt.Commentf("%s", sql))
}

// countWrites returns the largest number of times that a statement appears in
// the log of any upstream.
func (g *group) countWrites(sql string) int {
	most := 0
	for _, u := range g.upstreams {
		n := 0
		for _, e := range u.Log() {
			for _, w := range e.Writes {
				if w.SQL == sql {
					n++
				}
			}
		}
		most = max(most, n)
	}
	return most
}

// refusalOf returns the SQLSTATE and the verdict of an error.
func refusalOf(err error) (code string, verdict refuser.Verdict) {
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return "", ""
	}
	for _, v := range []refuser.Verdict{refuser.NotRun, refuser.Ran, refuser.MayHaveRun} {
		if slices.Contains([]string{"verdict=" + string(v)}, beforeSemicolon(pe.Detail)) {
			return pe.Code, v
		}
	}
	return pe.Code, ""
}

func beforeSemicolon(detail string) string {
	for i := range detail {
		if detail[i] == ';' {
			return detail[:i]
		}
	}
	return detail
}
