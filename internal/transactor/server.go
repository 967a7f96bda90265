// Package transactor serves callers' sessions on an entry host, whatever
// protocol they speak: a Codec says how their messages look.
//
// A session has values, prepared statements and at most one transaction. Each
// statement or transaction borrows one upstream connection; the session's
// values and prepared statements are replayed on it first. Reads go to the
// upstream that holds the position they must see, writes to the primary, and
// what certainly did not run is tried again within the statement's time.
//
// # Usage
//
//	s := &transactor.Server{Codec: codec, Lease: lease, Board: board, View: view, ...}
//	err := s.Serve(ctx, listener)
//	s.Drain(ctx, 3*time.Second)
package transactor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

const (
	// readBuffer holds the statements of one caller that were not read yet.
	readBuffer = 2 << 10
	// startupTimeout bounds the wait for a session's opening.
	startupTimeout = 10 * time.Second
	// acceptPause follows a failed accept, for example for want of descriptors.
	acceptPause = 20 * time.Millisecond
	// quietBeforeClose is how long a session must have been silent before a
	// drain closes it, so that a request under way is not cut.
	quietBeforeClose = 300 * time.Millisecond
	// closeInterval is how often a drain looks for silent sessions.
	closeInterval = 50 * time.Millisecond
	// drainReserve is kept of a drain for the last answers' way.
	drainReserve = 150 * time.Millisecond
)

// Server serves callers' sessions. Exported fields are set before Serve.
type Server struct {
	Codec *Codec
	// Lease returns a lease of a connection to an upstream, for an
	// organisation.
	Lease func(u keeper.Upstream, organisation string) *connector.Lease
	// Reaches reports whether another host lends connections to an upstream;
	// nil means no.
	Reaches func(u keeper.Upstream) bool
	Board   *Board
	// View returns what is agreed on, and a channel that is closed when there
	// is something newer.
	View func() (*keeper.View, <-chan struct{})
	// Connected reports whether news of upstreams would reach this host; nil means
	// that it would.
	Connected func() bool
	// Admit spends a token of an organisation's rate, for which the operation
	// may wait for a time.
	Admit func(o keeper.Organisation, maxWait time.Duration) spender.Admission
	// Refresh makes sure that the board has a sample of a service's primary that
	// is no older than maxAge; nil means that each request asks the primary.
	Refresh func(ctx context.Context, service string, maxAge time.Duration) error
	// Now is a clock that counts suspensions.
	Now func() time.Time
	// DistanceTo classes an upstream's data centre.
	Place Place
	// MaxSessions bounds the sessions; zero means no bound.
	MaxSessions int64
	Log         *logger.Logger
	// Observe is told of each answered statement; nil means nobody.
	Observe func(Observation)

	sessions atomic.Int64
	draining atomic.Bool
	// endBy is when statements must be answered, once the host is about to stop.
	endBy atomic.Pointer[time.Time]
	// late is true once sessions end with their next answer.
	late atomic.Bool

	mu            sync.Mutex
	open          map[*session]bool
	stopAccepting context.CancelFunc
	wait          sync.WaitGroup
}

// Observation is one answered statement.
type Observation struct {
	Kind    keeper.RouteKind
	Verb    Verb
	Latency time.Duration
	// Objective is the route's latency objective; zero means none.
	Objective time.Duration
	// Refused is the reason of a refusal, or empty.
	Refused string
}

// Serve accepts sessions until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	s.mu.Lock()
	s.stopAccepting = cancel
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.Log.Warn(logger.EventAcceptFailed, zap.Error(err))
			select {
			case <-time.After(acceptPause):
			case <-ctx.Done():
			}
			continue
		}
		if s.MaxSessions > 0 && s.sessions.Load() >= s.MaxSessions {
			s.Log.Warn(logger.EventAcceptFailed, zap.Error(fmt.Errorf("transactor: %d sessions are open", s.MaxSessions)))
			_ = conn.Close()
			continue
		}
		s.start(context.WithoutCancel(ctx), conn)
	}
}

func (s *Server) start(ctx context.Context, conn net.Conn) {
	ss := &session{server: s, conn: conn, r: bufio.NewReaderSize(conn, readBuffer), values: map[string]string{}, prepared: map[string]statementShape{}}
	ss.touch()
	s.mu.Lock()
	if s.open == nil {
		s.open = map[*session]bool{}
	}
	s.open[ss] = true
	s.mu.Unlock()
	s.sessions.Add(1)
	s.wait.Go(func() {
		ss.serve(ctx)
		_ = conn.Close()
		s.sessions.Add(-1)
		s.mu.Lock()
		delete(s.open, ss)
		s.mu.Unlock()
	})
}

// isSuspect reports whether an upstream does not accept connections of this
// host and no other host lends any.
func (s *Server) isSuspect(u keeper.Upstream) bool {
	return s.Board.IsSuspect(u.ID) && (s.Reaches == nil || !s.Reaches(u))
}

// deadline returns when a statement with a timeout must be answered. A host that
// is about to stop answers in time, if only that it did not.
func (s *Server) deadline(timeout time.Duration) time.Time {
	deadline := time.Now().Add(timeout)
	if end := s.endBy.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int64 { return s.sessions.Load() }

// BeginDrain notes that the host is about to stop, and when; a zero time means
// that it waits for every answer. Statements that come from now on get theirs
// before.
func (s *Server) BeginDrain(end time.Time) {
	if !end.IsZero() {
		end = end.Add(-drainReserve)
		s.endBy.Store(&end)
	}
	s.draining.Store(true)
}

// IsDraining reports whether the host is about to stop.
func (s *Server) IsDraining() bool { return s.draining.Load() }

// Drain closes sessions outside transactions once they are silent, and the
// others when patience for transactions is over. Then, or when none is left, it
// accepts no more; it returns when those accepted meanwhile have ended too, or ctx ends.
func (s *Server) Drain(ctx context.Context, patience time.Duration) {
	end, _ := ctx.Deadline()
	s.BeginDrain(end)
	begin := time.Now()
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for !s.isEmpty() {
		late := time.Since(begin) > patience
		if late {
			// What is accepted now could be cut by the end of the process.
			s.refuseCallers()
			s.late.Store(true)
		}
		s.closeSilent(late)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isEmpty stops accepting once no session is left, and reports whether none was
// accepted meanwhile.
func (s *Server) isEmpty() bool {
	if s.sessions.Load() > 0 {
		return false
	}
	return !s.refuseCallers()
}

// refuseCallers stops accepting. It returns false when that was done before.
func (s *Server) refuseCallers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopAccepting == nil {
		return false
	}
	s.stopAccepting()
	s.stopAccepting = nil
	return true
}

func (s *Server) closeSilent(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.open {
		ss.closeIfSilent(all)
	}
}

// Wait returns when all sessions have ended.
func (s *Server) Wait() { s.wait.Wait() }
