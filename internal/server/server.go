// Package server handles the client connections of an entry host: it speaks
// the PostgreSQL protocol, authenticates API keys, applies rate limits, routes
// each request to an upstream, and checks MayAcknowledge before it passes on the
// acknowledgement of a write.
//
// # Usage
//
//	s := &server.Server{State: state, LeaseValid: lease.Valid, Watcher: w, Pools: pools, Router: r, ...}
//	err := s.Serve(ctx, listener)
//
// A request is a simple query, or the messages of the extended protocol up to
// a Sync. Each request is routed as a whole. Refusals carry a verdict that says
// whether the request ran; see package refuser.
package server

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/acceptor"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/meter"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/internal/recoverer"
	"github.com/shallotstage/shallotstage/internal/watcher"
	"github.com/shallotstage/shallotstage/pkg/burner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/retrier"
	"github.com/shallotstage/shallotstage/pkg/router"
)

// Limits are the size limits and timeouts of client connections. A zero field
// means its default.
type Limits struct {
	// MaxMessageBytes is the maximum size of a client's message.
	MaxMessageBytes int
	// MaxBatchBytes is the maximum total size of the messages up to a Sync.
	MaxBatchBytes int
	// StatementTimeout limits the time until an upstream's response is
	// complete.
	StatementTimeout time.Duration
	// QueueTimeout limits the wait for a connection and a slot.
	QueueTimeout time.Duration
	// ReplicationTimeout limits the wait until a commit is stored by a quorum.
	ReplicationTimeout time.Duration
	// PrimaryPositionTimeout limits the wait for the primary's position as of a
	// read's arrival.
	PrimaryPositionTimeout time.Duration
	// StartupTimeout limits a client's login.
	StartupTimeout time.Duration
	// WriteTimeout limits a write to a client that does not read.
	WriteTimeout time.Duration
}

// withDefaults returns b with zero fields replaced by their defaults.
func (b Limits) withDefaults() Limits {
	setInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	setDuration := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	setInt(&b.MaxMessageBytes, 16<<20)
	setInt(&b.MaxBatchBytes, 32<<20)
	setDuration(&b.StatementTimeout, 30*time.Second)
	setDuration(&b.QueueTimeout, 2*time.Second)
	setDuration(&b.ReplicationTimeout, 3*time.Second)
	setDuration(&b.PrimaryPositionTimeout, 2*time.Second)
	setDuration(&b.StartupTimeout, 10*time.Second)
	setDuration(&b.WriteTimeout, 30*time.Second)
	return b
}

// Server accepts client connections. Exported fields must be set before Serve.
type Server struct {
	// HostNumber makes cancel keys unique in the fleet.
	HostNumber atomic.Uint32
	// State returns the configuration in force.
	State func() *configurer.State
	// LeaseValid reports whether the host may serve routes that require a key
	// now.
	LeaseValid func() bool
	// MayAcknowledge reports whether an acknowledgement from the upstream, as
	// primary of the group in the term, may be passed on now.
	MayAcknowledge func(group, upstream string, term uint64) bool
	// RateLimit charges n statements to the organisation's rate limit, or
	// refuses. A request in an open transaction is urgent.
	RateLimit func(ctx context.Context, organisation string, n int, urgent bool) *refuser.Refusal
	// ForwardCancel forwards a cancel request whose key another host issued;
	// nil drops it.
	ForwardCancel func(ctx context.Context, pid uint32, secret []byte)
	// OpenHandoff hands sessions off to the owners of their groups; nil serves
	// all sessions here.
	OpenHandoff HandoffFunc
	// OnDrain is called when a drain begins. It tells the owners to end the
	// sessions that this host handed off.
	OnDrain     func()
	Watcher     *watcher.Watcher
	Pools       *pooler.Set
	Router      router.Router
	RetryBudget *retrier.Budget
	Dial        pgconn.DialFunc
	// TLS is nil when clients connect without encryption.
	TLS        *tls.Config
	Limits     Limits
	Meter      *meter.Meter
	SLOCounter *burner.Counter
	Log        *logger.Logger

	sessions sessionSet
	draining atomic.Bool
	// drainMu ensures that no handed-off session is accepted after the drain
	// has begun.
	drainMu sync.Mutex
	// relays is the number of sessions that other hosts serve, and handoffs
	// waits for the sessions that other hosts handed off to this one.
	relays   atomic.Int64
	handoffs sync.WaitGroup
}

// Serve accepts clients until ctx ends, then drains: idle clients are told to
// reconnect immediately, others after their request or transaction. Sessions
// that remain when drainCtx ends are closed.
func (s *Server) Serve(ctx, drainCtx context.Context, l net.Listener) error {
	s.Limits = s.Limits.withDefaults()
	stop := context.AfterFunc(ctx, func() {
		s.drainMu.Lock()
		s.draining.Store(true)
		s.drainMu.Unlock()
	})
	defer stop()
	sessionCtx, cancel := context.WithCancel(drainCtx)
	defer cancel()
	var wg sync.WaitGroup
	failed := func(err error) { s.Log.Warn(logger.EventAcceptFailed, zap.Error(err)) }
	err := acceptor.Serve(ctx, l, failed, func(conn net.Conn) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer recoverer.Recover(s.Log, "session", func() { _ = conn.Close() })
			s.serveConn(sessionCtx, conn)
		}()
	})
	if err != nil {
		return err
	}
	s.sessions.each(func(c *session) { c.revoke(refuser.New(refuser.ReasonShuttingDown, ""), revokeAfterRequest) })
	if s.OnDrain != nil {
		s.OnDrain()
	}
	done := make(chan struct{})
	go func() { wg.Wait(); s.handoffs.Wait(); close(done) }()
	select {
	case <-done:
	case <-drainCtx.Done():
		s.sessions.each(func(c *session) { c.revoke(refuser.New(refuser.ReasonShuttingDown, ""), revokeNow) })
		<-done
	}
	return nil
}

// SessionCount returns the number of sessions that this host serves.
func (s *Server) SessionCount() int { return s.sessions.count() }

// RelayCount returns the number of clients whose sessions other hosts serve.
func (s *Server) RelayCount() int { return int(s.relays.Load()) }

// RevokeDisallowedSessions ends the sessions whose key or route the
// configuration no longer allows. It must be called after every change of the
// configuration.
func (s *Server) RevokeDisallowedSessions() {
	state := s.State()
	s.sessions.each(func(c *session) {
		if r := c.checkAccess(state); r != nil {
			c.revoke(r, revokeNow)
		}
	})
}
