// Package transactor serves callers' sessions on an entry host, independently of
// the wire protocol, which a Codec implements.
//
// A session has values, prepared statements and at most one transaction. Each
// statement or transaction leases one upstream connection, on which the session's
// values and prepared statements are restored first. Reads go to an upstream that
// has reached the position they must see, writes to the primary. Statements that
// certainly were not executed are retried until their timeout.
//
// # Usage
//
//	s := &transactor.Server{Codec: codec, Lease: lease, Upstreams: upstreams, View: view, ...}
//	err := s.Serve(ctx, listener)
//	s.Drain(ctx, 3*time.Second)
package transactor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/acceptor"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/recoverer"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

const (
	// readBufferSize is the size of the read buffer of one caller's connection.
	readBufferSize = 2 << 10
	// startupTimeout bounds the wait for a session's startup message.
	startupTimeout = 10 * time.Second
	// minIdleBeforeClose is how long a session must have been idle before a
	// drain closes it, so that a request in transit is not lost.
	minIdleBeforeClose = 300 * time.Millisecond
	// closeInterval is how often a drain checks for idle sessions.
	closeInterval = 50 * time.Millisecond
	// drainReserve is the part of the drain time reserved for sending the last
	// replies.
	drainReserve = 150 * time.Millisecond
)

// Server serves callers' sessions. Exported fields must be set before Serve.
type Server struct {
	Codec *Codec
	// Lease returns a lease of a connection to an upstream on behalf of an
	// organisation.
	Lease func(u keeper.Upstream, organisation string) *connector.Lease
	// ReachableViaPeer reports whether another host lends connections to an
	// upstream; nil means that none does.
	ReachableViaPeer func(u keeper.Upstream) bool
	Upstreams        *UpstreamTracker
	// Affinity returns the rank of an upstream for an organisation: zero if it
	// keeps connections for it; nil means that each upstream does.
	Affinity func(u keeper.Upstream, organisation string) int
	// Gate keeps work from primaries that are being replaced; nil lets all pass.
	Gate *PrimaryGate
	// Evacuations keeps work from upstreams of evacuated data centres; nil lets all
	// pass.
	Evacuations *Evacuations
	// View returns the current view, and a channel that is closed when there is
	// a newer one.
	View func() (*keeper.View, <-chan struct{})
	// ReceivesUpdates reports whether this host would receive updates of the
	// view; nil means that it would.
	ReceivesUpdates func() bool
	// Admit takes a token from an organisation's rate limit. The operation may
	// wait up to maxWait for it.
	Admit func(o keeper.Organisation, maxWait time.Duration) spender.Admission
	// RefreshSample ensures that the tracker has a sample of a service's
	// primary no older than maxAge; nil means that each request queries the
	// primary itself.
	RefreshSample func(ctx context.Context, service string, maxAge time.Duration) error
	// Now returns the time of a clock that keeps running while the machine is
	// suspended.
	Now func() time.Time
	// Load returns the last load report of the owner of an upstream's connections
	// and its age; nil means that there are none.
	Load func(upstream, organisation string) (queuer.Load, time.Duration)
	// Location is the location of this host, from which the distance to upstreams
	// is determined.
	Location Location
	// MaxSessions is the maximum number of open sessions; zero means no limit.
	MaxSessions int64
	Log         *logger.Logger
	// Observe is called for each answered statement; nil disables it.
	Observe func(Observation)
	// ObserveChoice is called with the upstream chosen for each attempt at a read,
	// and why; nil disables it.
	ObserveChoice func(balancer.Candidate, balancer.Reason)
	// Random returns a number in [0, 1), with which reads are spread over equally
	// good upstreams, and callers over the time after which they return; nil means
	// a random source of the process. It must be safe for concurrent use.
	Random func() float64

	// coldUpstreams are those that have recently refused statements as cold.
	coldUpstreams coldUpstreams

	sessions atomic.Int64
	draining atomic.Bool
	// replyDeadline is when all statements must be answered once a drain with a
	// deadline has begun.
	replyDeadline atomic.Pointer[time.Time]
	// endAfterReply is true once sessions end after their next reply.
	endAfterReply atomic.Bool

	mu            sync.Mutex
	open          map[*session]bool
	stopAccepting context.CancelFunc
	// acceptingEnded is closed once no more sessions are accepted.
	acceptingEnded <-chan struct{}
	wait           sync.WaitGroup
}

// Observation describes one answered statement.
type Observation struct {
	Kind    keeper.ReadConsistency
	Verb    Verb
	Latency time.Duration
	// Objective is the route's latency objective; zero means none.
	Objective time.Duration
	// RefusedEarly is true if the statement was refused because of a load report,
	// without being sent to another host.
	RefusedEarly bool
	// RefusalReason is the reason of a refusal, or empty.
	RefusalReason string
}

func (s *Server) random() float64 {
	if s.Random != nil {
		return s.Random()
	}
	return rand.Float64()
}

// Serve accepts sessions until ctx is done or the listener is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	s.mu.Lock()
	s.stopAccepting, s.acceptingEnded = cancel, ended
	s.mu.Unlock()
	failed := func(err error) { s.Log.Warn(logger.EventAcceptFailed, zap.Error(err)) }
	err := acceptor.Serve(ctx, listener, failed, func(conn net.Conn) {
		if s.MaxSessions > 0 && s.sessions.Load() >= s.MaxSessions {
			failed(fmt.Errorf("transactor: session limit of %d reached", s.MaxSessions))
			_ = conn.Close()
			return
		}
		s.start(context.WithoutCancel(ctx), conn)
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) start(ctx context.Context, conn net.Conn) {
	ss := &session{server: s, conn: conn, values: map[string]string{}, prepared: map[string]preparedStatement{}}
	ss.r = bufio.NewReaderSize(ss, readBufferSize)
	ss.markIdle()
	s.mu.Lock()
	if s.open == nil {
		s.open = map[*session]bool{}
	}
	s.open[ss] = true
	s.mu.Unlock()
	s.sessions.Add(1)
	s.wait.Go(func() {
		defer func() {
			_ = conn.Close()
			s.sessions.Add(-1)
			s.mu.Lock()
			delete(s.open, ss)
			s.mu.Unlock()
		}()
		defer recoverer.Recover(s.Log, "session", nil)
		ss.serve(ctx)
	})
}

// isSuspect reports whether an upstream accepts no connections from this host
// and no other host lends any.
func (s *Server) isSuspect(u keeper.Upstream) bool {
	return s.Upstreams.IsSuspect(u.ID) && (s.ReachableViaPeer == nil || !s.ReachableViaPeer(u))
}

// deadline returns when a statement with a timeout must be answered. While
// draining, it is early enough for the reply, even a refusal, to be sent before
// the host stops.
func (s *Server) deadline(timeout time.Duration) time.Time {
	deadline := time.Now().Add(timeout)
	if end := s.replyDeadline.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int64 { return s.sessions.Load() }

// BeginDrain marks the host as draining until end; zero means that there is no
// time limit. Statements received from now on are answered before end.
func (s *Server) BeginDrain(end time.Time) {
	if !end.IsZero() {
		end = end.Add(-drainReserve)
		s.replyDeadline.Store(&end)
	}
	s.draining.Store(true)
}

// IsDraining reports whether the host is draining.
func (s *Server) IsDraining() bool { return s.draining.Load() }

// Drain closes sessions outside transactions once they are idle, and the others
// when transactionGrace has passed. After that time, or when no session is
// left, no more sessions are accepted. Drain returns when the sessions accepted
// until then have ended too, or ctx is done.
func (s *Server) Drain(ctx context.Context, transactionGrace time.Duration) {
	end, _ := ctx.Deadline()
	s.BeginDrain(end)
	begin := time.Now()
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for !s.isDrained() {
		graceOver := time.Since(begin) > transactionGrace
		if graceOver {
			// A session accepted from now on could be cut off by the end of the
			// process.
			s.stopListening()
			s.endAfterReply.Store(true)
		}
		s.closeIdle(graceOver)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isDrained reports whether no session is left and no more are accepted.
func (s *Server) isDrained() bool {
	if s.sessions.Load() > 0 {
		return false
	}
	s.stopListening()
	s.mu.Lock()
	ended := s.acceptingEnded
	s.mu.Unlock()
	if ended != nil {
		<-ended
	}
	// A session may have been accepted since the first check.
	return s.sessions.Load() == 0
}

// stopListening stops accepting sessions.
func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopAccepting != nil {
		s.stopAccepting()
		s.stopAccepting = nil
	}
}

func (s *Server) closeIdle(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.open {
		ss.closeIfIdle(all)
	}
}

// Wait blocks until all sessions have ended.
func (s *Server) Wait() { s.wait.Wait() }
