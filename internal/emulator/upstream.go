// Package emulator emulates one database server of a replication group. It
// implements the PostgreSQL protocol, runs SQL in an embedded SQLite database,
// replicates its log asynchronously and executes the platform's requests.
//
// It is intended for tests, demonstrations and load tests only.
//
// # Usage
//
//	u := &emulator.Upstream{ID: "ledger-1-a", Group: "ledger-1", Slots: 5, Connections: 30,
//		User: "proxy", Password: "secret", Role: emulator.RolePrimary}
//	err := u.Run(ctx, sqlListener, platformListener)
//
// The upstream reports its log position in the parameter "upstream_position" at
// login, after every commit and on SHOW upstream_position. The platform API is
// HTTP with JSON: GET /v1/status, POST /v1/inspect, /v1/fence, /v1/promote and
// /v1/follow, and GET /v1/log for replicas.
//
// Replication is statement-based, so statements must be deterministic: random()
// and clock functions are not allowed.
package emulator

import (
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// ParameterPosition is the run-time parameter that holds the log position.
const ParameterPosition = "upstream_position"

// Upstream is one emulated database server. Exported fields are set before Run.
type Upstream struct {
	ID         string
	Group      string
	DataCentre string
	Region     string
	// Role and Term are the initial ones.
	Role Role
	Term uint64
	// PrimaryAddress is the platform address of a replica's initial primary.
	PrimaryAddress string
	// Slots limits the number of concurrent statements.
	Slots int
	// Connections limits the number of open connections.
	Connections int
	// ConnectDelay is added to the time that a new connection takes.
	ConnectDelay time.Duration
	// Lag is the time between an entry's arrival at a replica and its application.
	Lag time.Duration
	// ServiceTime is added to each statement while it holds its slot.
	ServiceTime time.Duration
	// User and Password are the credentials of the proxy.
	User     string
	Password string
	// PlatformToken is the bearer token of the platform API and of announcements.
	PlatformToken string
	// AnnounceAddresses are the base URLs that accept announcements.
	AnnounceAddresses []string
	// AnnounceInterval is the interval of announcements; the default is 500 ms.
	AnnounceInterval time.Duration
	// Client is used for announcements and replication; nil means
	// http.DefaultClient.
	Client *http.Client
	Faults FaultInjector

	mu         sync.Mutex
	engine     *engine
	instance   string
	role       Role
	position   tracker.Position
	fencedTerm uint64
	lineage    tracker.Lineage
	log        []Entry
	logChanged chan struct{}
	sources    chan replicationSource

	slots   chan struct{}
	conns   atomic.Int64
	cancels cancelTable
	// announceIndex, modulo their number, is the index of the address that
	// accepted the last announcement.
	announceIndex int
	isolated      atomic.Bool

	primaryReads atomic.Int64
	replicaReads atomic.Int64

	openConns connSet
}

// Run serves until ctx is done. It closes both listeners.
func (u *Upstream) Run(ctx context.Context, sqlListener, platformListener net.Listener) error {
	verifier, err := authenticator.NewVerifier(u.Password)
	if err != nil {
		return err
	}
	if err := u.start(); err != nil {
		return err
	}
	defer func() { u.engine.close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	run := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	server := &http.Server{Handler: u.platformHandler(ctx)}
	run(func() { _ = server.Serve(platformListener) })
	run(func() { u.replicate(ctx) })
	run(func() { u.announce(ctx, sqlListener.Addr().String(), platformListener.Addr().String()) })
	run(func() { u.acceptAll(ctx, sqlListener, verifier, &wg) })
	<-ctx.Done()
	_ = sqlListener.Close()
	_ = server.Close()
	u.openConns.closeAll()
	wg.Wait()
	return nil
}

func (u *Upstream) start() error {
	if u.Slots < 1 || u.Connections < 1 {
		return fmt.Errorf("emulator: upstream %s: slots and connections must be at least 1", u.ID)
	}
	e, err := newEngine(u.Slots + 2)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.engine = e
	u.instance = rand.Text()
	u.role = u.Role
	u.fencedTerm = u.Term
	u.logChanged = make(chan struct{})
	u.sources = make(chan replicationSource, 1)
	u.slots = make(chan struct{}, u.Slots)
	if u.role == RolePrimary {
		u.position = tracker.Position{Term: u.Term}
		u.lineage = tracker.Lineage{{Term: u.Term, Offset: 0}}
		return nil
	}
	if u.PrimaryAddress != "" {
		u.sources <- replicationSource{address: u.PrimaryAddress, term: u.Term}
	}
	return nil
}

// ReadCount returns the number of reads that the upstream has served in a role.
func (u *Upstream) ReadCount(role Role) int64 {
	if role == RolePrimary {
		return u.primaryReads.Load()
	}
	return u.replicaReads.Load()
}

// Status returns the current state.
func (u *Upstream) Status() Status {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Status{
		ID: u.ID, Group: u.Group, Instance: u.instance, Role: u.role, Position: u.position,
		FencedTerm: u.fencedTerm, Lineage: slices.Clone(u.lineage),
	}
}

// Log returns a copy of the upstream's log.
func (u *Upstream) Log() []Entry {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.log)
}

// SetIsolated simulates a network partition that isolates the upstream: while on
// is true, connections are closed and new ones refused.
func (u *Upstream) SetIsolated(on bool) {
	u.isolated.Store(on)
	if on {
		u.openConns.closeAll()
	}
}

// append adds an entry to the log. The caller holds u.mu.
func (u *Upstream) append(e Entry) {
	u.log = append(u.log, e)
	u.position = e.Position
	close(u.logChanged)
	u.logChanged = make(chan struct{})
}

// LoseData simulates a restart on a new disk: all data is lost, and the upstream
// becomes a replica of the primary at primaryAddress.
func (u *Upstream) LoseData(primaryAddress string) error {
	e, err := newEngine(u.Slots + 2)
	if err != nil {
		return err
	}
	u.mu.Lock()
	old := u.engine
	u.engine, u.log, u.lineage = e, nil, nil
	u.position, u.role, u.instance = tracker.Position{}, RoleReplica, rand.Text()
	u.setSource(replicationSource{address: primaryAddress, term: u.fencedTerm})
	u.mu.Unlock()
	u.openConns.closeAll()
	old.close()
	return nil
}

func (u *Upstream) currentPosition() tracker.Position {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.position
}

func (u *Upstream) isPrimary() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.role == RolePrimary
}

// connSet is a set of open connections.
type connSet struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (s *connSet) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	s.conns[c] = true
}

func (s *connSet) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// announcement returns the upstream's current announcement.
func (u *Upstream) announcement(sqlAddress, platformAddress string) configurer.Announcement {
	s := u.Status()
	return configurer.Announcement{
		Upstream: configurer.Upstream{
			ID: u.ID, Group: u.Group, Address: sqlAddress, PlatformAddress: platformAddress,
			DataCentre: u.DataCentre, Region: u.Region, Slots: u.Slots, Connections: u.Connections,
			Instance: s.Instance,
		},
		Role: string(s.Role), Position: s.Position, Lineage: s.Lineage,
	}
}
