package transactor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/budgeter"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/recoverer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// maxValues and maxPrepared bound the session values and prepared
	// statements of one session.
	maxValues   = 64
	maxPrepared = 256
	// firstViewWait is how long a session's startup waits for the first
	// configuration. Callers wait for two seconds.
	firstViewWait = 1500 * time.Millisecond
	// pendingReadTimeout is how long a session that is being closed waits for a
	// statement in transit.
	pendingReadTimeout = 10 * time.Millisecond
	// defaultTimeout is the timeout of statements on routes without a timeout.
	defaultTimeout = time.Second
)

// preparedStatement is a statement that the caller prepared.
type preparedStatement struct {
	// value is the access and the shape as the caller sent them.
	value string
	// name is the name used on upstreams, a hash of value.
	name     string
	readOnly bool
}

// session is one caller's connection, served by one goroutine.
type session struct {
	server *Server
	conn   net.Conn
	r      *bufio.Reader
	out    []byte

	startup  Startup
	values   map[string]string
	prepared map[string]preparedStatement
	// lastCommits are the positions of the session's newest commits, by service: the
	// route may move to another service, whose log has positions of its own.
	lastCommits map[string]tracker.Position
	// unplacedCommits holds the services whose newest commit of the session has no known
	// position.
	unplacedCommits map[string]bool
	// tx is the open transaction, or nil.
	tx *transaction
	// refused is the latest transaction that was refused at its begin.
	refused refusedBegin
	// lease is the latest one of an upstream connection.
	lease *connector.Lease

	// receiving is true while a statement is read of which a part has arrived. Only the
	// session's goroutine uses it.
	receiving bool
	// opening is true while the startup message is read. Only the session's goroutine
	// uses it.
	opening bool

	// holder reports to the process's budget what the session holds: held bytes, of
	// which keptHeld are for values and prepared statements.
	holder         *budgeter.Holder
	held, keptHeld int64
	// received is the size of the message that is being received so far, and kept that of the
	// values and prepared statements.
	received, kept int
	// phase is read by the overseer, see enter.
	phase atomic.Uint32
	// interrupted is the phase in which the overseer made a write fail, because the caller
	// stopped reading within a transaction.
	interrupted atomic.Uint32
	// tooSlow is true once the overseer closes the session.
	tooSlow atomic.Bool
	// seen is the overseer's own record of the session.
	seen sighting

	mu sync.Mutex
	// idleSince is when the last reply was sent; zero while a statement is
	// being received or executed.
	idleSince time.Time
	// inTransaction mirrors tx for the drain, which runs in another goroutine.
	inTransaction bool
	ended         bool
}

func (s *session) serve(ctx context.Context) {
	defer s.holder.End()
	if !s.open() {
		return
	}
	for {
		st, err := s.receive()
		if err != nil || st.Verb == VerbQuit {
			s.end(err)
			return
		}
		begin := time.Now()
		s.setBusy(true)
		reply, intact := s.handleRecovering(ctx, st)
		s.setBusy(false)
		s.refused.sentAhead = s.r.Buffered() > 0
		ok := s.answer(reply) && intact
		s.observe(st, reply, time.Since(begin))
		if !ok || s.endsAfterReply() {
			s.end(nil)
			return
		}
	}
}

// handleRecovering executes one statement. After a panic it is answered as one that may
// have run, its connection is closed, and the session must end.
func (s *session) handleRecovering(ctx context.Context, st Statement) (reply Reply, intact bool) {
	defer recoverer.Recover(s.server.Log, "statement "+st.ID, func() {
		if s.lease != nil {
			s.lease.Release()
		}
		s.tx = nil
		reply = Reply{Refusal: refuser.New(refuser.ReasonInternalError, ""), State: connector.StateIdle}
	})
	return s.handle(ctx, st), true
}

// open reads the startup message and replies to it.
func (s *session) open() bool {
	if err := s.conn.SetReadDeadline(time.Now().Add(startupTimeout)); err != nil {
		return false
	}
	s.opening = true
	s.holder.SetUnknown(true)
	startup, err := s.server.Codec.ReadStartup(s.r)
	s.opening = false
	s.server.openingEnded(s)
	if err != nil {
		return false
	}
	s.startup = startup
	view := s.server.firstView()
	_, organisation, refusal := s.authorise(view)
	if refusal != nil {
		s.server.Log.Warn(logger.EventSessionRefused, zap.String("route", startup.Route), zap.Uint64("version", view.Configuration.Version), zap.String("reason", string(refusal.Reason)))
	}
	if !s.answer(Reply{Startup: true, Refusal: refusal, State: connector.StateIdle}) || refusal != nil {
		return false
	}
	if organisation.Name != "" {
		s.holder.SetUnknown(false)
	}
	s.server.sessionOpened(s, organisation.Name)
	return true
}

// firstView returns the current view. On a host that has just started, it waits
// for the first configuration.
func (s *Server) firstView() *keeper.View {
	timer := time.NewTimer(firstViewWait)
	defer timer.Stop()
	for {
		view, changed := s.View()
		if view.Configuration.Version > 0 {
			return view
		}
		select {
		case <-changed:
		case <-timer.C:
			return view
		}
	}
}

// authorise returns the session's route and organisation under a view.
func (s *session) authorise(view *keeper.View) (keeper.Route, keeper.Organisation, *refuser.Refusal) {
	c := &view.Configuration
	if c.Version == 0 {
		return keeper.Route{}, keeper.Organisation{}, refuser.New(refuser.ReasonNoAuthority, "no configuration yet")
	}
	route, ok := c.Routes[s.startup.Route]
	if !ok {
		return route, keeper.Organisation{}, refuser.New(refuser.ReasonRouteUnknown, s.startup.Route)
	}
	name, known := c.Keys[s.startup.Key]
	if !known && !route.Public {
		return route, keeper.Organisation{}, refuser.New(refuser.ReasonKeyRejected, "")
	}
	return route, c.Organisations[name], nil
}

// addCommit records the position of the session's newest commit on a service.
func (s *session) addCommit(service string, p tracker.Position) {
	if s.lastCommits == nil {
		s.lastCommits = map[string]tracker.Position{}
	}
	s.lastCommits[service] = p
	delete(s.unplacedCommits, service)
}

// addUnplacedCommit records a commit on a service that the upstream acknowledged without
// its position.
func (s *session) addUnplacedCommit(service string) {
	if s.unplacedCommits == nil {
		s.unplacedCommits = map[string]bool{}
	}
	s.unplacedCommits[service] = true
}

// answer sends a reply.
func (s *session) answer(r Reply) bool {
	large := len(r.Body) > answerThreshold && r.Refusal == nil
	err := error(nil)
	if large {
		// The statement is answered and no longer needed.
		s.holder.HoldsAnswers = true
		if !s.hold(int64(cap(r.Body))) {
			return false
		}
		err = s.write(r.Body)
		s.out = s.server.Codec.AppendReplyEnd(s.out[:0], r)
	} else {
		s.out = s.server.Codec.AppendReply(s.out[:0], r)
	}
	if err == nil {
		err = s.write(s.out)
	}
	s.received, s.holder.HoldsAnswers = 0, false
	s.hold(0)
	s.enter(phaseIdle)
	s.markIdle()
	return err == nil
}

// markIdle records that the session waits for its caller.
func (s *session) markIdle() {
	s.mu.Lock()
	s.idleSince = time.Now()
	s.inTransaction = s.tx != nil
	s.mu.Unlock()
}

// endsAfterReply reports whether the session ends with this reply: the host is
// about to stop, and a further statement might not finish in time.
func (s *session) endsAfterReply() bool {
	return s.server.endAfterReply.Load() && s.r.Buffered() == 0
}

func (s *session) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// closeIfIdle ends a session that waits for its caller. Sessions in a
// transaction, or idle for less than minIdleBeforeClose, are kept unless all is
// true.
func (s *session) closeIfIdle(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.idleSince.IsZero() || (!all && (s.inTransaction || time.Since(s.idleSince) < minIdleBeforeClose)) {
		return
	}
	s.ended = true
	// This wakes the session's goroutine, which then finds ended set.
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// expire ends a transaction that was idle for too long. The caller is told in
// the reply to its next statement.
func (s *session) expire() {
	s.server.Log.Warn(logger.EventTransactionExpired, zap.String("route", s.startup.Route), zap.String("upstream", s.tx.lease.Upstream))
	s.tx.rollBack()
	s.tx.failure = refuser.New(refuser.ReasonTransactionLost, "transaction stayed idle too long")
}

// end rolls back an open transaction and logs the error that ended the session,
// if any.
func (s *session) end(err error) {
	if s.tx != nil {
		s.tx.rollBack()
		s.tx = nil
	}
	if err != nil && !errors.Is(err, io.EOF) && !s.isEnded() {
		s.server.Log.Info(logger.EventSessionBroken, zap.String("route", s.startup.Route), zap.Error(err))
	}
}

func (s *session) observe(st Statement, r Reply, took time.Duration) {
	if s.server.Observe == nil {
		return
	}
	view, _ := s.server.View()
	route := view.Configuration.Routes[s.startup.Route]
	o := Observation{Kind: route.Consistency, Verb: st.Verb, Latency: took, Objective: route.TargetLatency}
	if r.Refusal != nil {
		o.RefusalReason = string(r.Refusal.Reason)
		var queueErr *connector.QueueError
		o.RefusedEarly = errors.As(r.Refusal, &queueErr) && queueErr.Early
	}
	s.server.Observe(o)
}
