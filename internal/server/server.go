// Package server is the callers' side of an entry host: it speaks the
// PostgreSQL protocol, authenticates keys, and carries each request through
// the limiter and the router to an upstream and back through the fence.
//
// # Usage
//
//	s := &server.Server{State: state, Authority: lease.Valid, Watcher: w, Pools: pools, Router: r, ...}
//	err := s.Serve(ctx, listener)
//
// A request is a simple query, or the extended messages up to a Sync. Each is
// routed as a whole. Refusals carry a verdict; see package refuser.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/meter"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/internal/watcher"
	"github.com/shallotstage/shallotstage/pkg/burner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/retrier"
	"github.com/shallotstage/shallotstage/pkg/router"
)

// Bounds are the limits of the callers' side. A zero field means its default.
type Bounds struct {
	// MessageBytes bounds one message of a caller.
	MessageBytes int
	// BatchBytes bounds the messages up to a Sync.
	BatchBytes int
	// StatementTimeout bounds the time until an upstream's answer is complete.
	StatementTimeout time.Duration
	// QueueTimeout bounds the wait for a connection and a slot.
	QueueTimeout time.Duration
	// SafeTimeout bounds the wait until a commit is held by a quorum.
	SafeTimeout time.Duration
	// FloorTimeout bounds the wait for the primary's position at arrival.
	FloorTimeout time.Duration
	// StartupTimeout bounds a caller's login.
	StartupTimeout time.Duration
	// WriteTimeout bounds a write to a caller that does not read.
	WriteTimeout time.Duration
}

// withDefaults returns b with zero fields replaced.
func (b Bounds) withDefaults() Bounds {
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
	setInt(&b.MessageBytes, 16<<20)
	setInt(&b.BatchBytes, 32<<20)
	setDuration(&b.StatementTimeout, 30*time.Second)
	setDuration(&b.QueueTimeout, 2*time.Second)
	setDuration(&b.SafeTimeout, 3*time.Second)
	setDuration(&b.FloorTimeout, 2*time.Second)
	setDuration(&b.StartupTimeout, 10*time.Second)
	setDuration(&b.WriteTimeout, 30*time.Second)
	return b
}

// Server accepts callers. Exported fields are set before Serve.
type Server struct {
	// HostNumber makes cancel keys unique in the fleet.
	HostNumber atomic.Uint32
	// State returns the configuration in force.
	State func() *configurer.State
	// Authority reports whether the host may serve keyed routes now.
	Authority func() bool
	// Fence reports whether an acknowledgement of the upstream as primary of
	// the group under the term may be passed on now.
	Fence func(group, upstream string, term uint64) bool
	// Limit takes n statements from the organisation's share, or refuses. An
	// urgent request belongs to an open transaction.
	Limit func(ctx context.Context, organisation string, n int, urgent bool) *refuser.Refusal
	// ForwardCancel passes on a cancel request that belongs to another host;
	// nil drops it.
	ForwardCancel func(ctx context.Context, pid uint32, secret []byte)
	// HandOff gives sessions to the owners of their groups; nil serves all.
	HandOff HandOff
	// Leave is called when a drain begins and tells the owners to end the
	// sessions that this host handed off.
	Leave   func()
	Watcher *watcher.Watcher
	Pools   *pooler.Set
	Router  router.Router
	Retries *retrier.Budget
	Dial    pgconn.DialFunc
	// TLS is nil when callers connect in clear.
	TLS    *tls.Config
	Bounds Bounds
	Meter  *meter.Meter
	Burn   *burner.Counter
	Log    *logger.Logger

	sessions sessionSet
	draining atomic.Bool
	// drainMu orders the taking of handed-off sessions before the drain.
	drainMu sync.Mutex
	// relays is the number of sessions that other hosts serve, and handed
	// waits for those that other hosts handed to this one.
	relays atomic.Int64
	handed sync.WaitGroup
}

// Serve accepts callers until ctx ends, then drains: idle callers are told to
// reconnect at once, others after their request or transaction. Sessions that
// remain when drainCtx ends are closed.
func (s *Server) Serve(ctx, drainCtx context.Context, l net.Listener) error {
	s.Bounds = s.Bounds.withDefaults()
	stop := context.AfterFunc(ctx, func() {
		s.drainMu.Lock()
		s.draining.Store(true)
		s.drainMu.Unlock()
		_ = l.Close()
	})
	defer stop()
	sessionCtx, cancel := context.WithCancel(drainCtx)
	defer cancel()
	var wg sync.WaitGroup
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			s.Log.Warn(logger.EventAcceptFailed, zap.Error(err))
			time.Sleep(acceptRetry)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.serveConn(sessionCtx, conn)
		}()
	}
	s.sessions.each(func(c *session) { c.revoke(refuser.New(refuser.ReasonShuttingDown, ""), revokeAfterWork) })
	if s.Leave != nil {
		s.Leave()
	}
	done := make(chan struct{})
	go func() { wg.Wait(); s.handed.Wait(); close(done) }()
	select {
	case <-done:
	case <-drainCtx.Done():
		s.sessions.each(func(c *session) { c.revoke(refuser.New(refuser.ReasonShuttingDown, ""), revokeNow) })
		<-done
	}
	return nil
}

// acceptRetry is the pause after a failed accept.
const acceptRetry = 10 * time.Millisecond

// Sessions returns the number of sessions that this host serves.
func (s *Server) Sessions() int { return s.sessions.count() }

// Relays returns the number of callers whose sessions other hosts serve.
func (s *Server) Relays() int { return int(s.relays.Load()) }

// Reconsider ends the sessions whose key or route the state no longer admits.
// It is called after every change of the state.
func (s *Server) Reconsider() {
	state := s.State()
	s.sessions.each(func(c *session) {
		if r := c.standing(state); r != nil {
			c.revoke(r, revokeNow)
		}
	})
}
