package transactor

import (
	"container/list"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
)

// CloseReason says why a session was closed.
type CloseReason string

// The values of CloseReason.
const (
	// CloseStalled is for a caller that does not read its answer.
	CloseStalled CloseReason = "stalled"
	// CloseIncomplete is for a caller without a known key whose message stays incomplete.
	CloseIncomplete CloseReason = "incomplete"
	// CloseUnopened is for the oldest of too many sessions whose startup message is
	// incomplete.
	CloseUnopened CloseReason = "unopened"
	// CloseEvicted is for a session that makes room for another one.
	CloseEvicted CloseReason = "evicted"
)

// CloseReasons returns all reasons.
func CloseReasons() []CloseReason {
	return []CloseReason{CloseStalled, CloseIncomplete, CloseUnopened, CloseEvicted}
}

const (
	// overseeInterval is how often the sessions are looked at.
	overseeInterval = 250 * time.Millisecond
	// writeTimeout is how long a caller may take to read a piece of an answer.
	writeTimeout = 10 * time.Second
	// incompleteTimeout is how long a caller without a known key may take to send a
	// statement. Its startup message is bounded by startupTimeout.
	incompleteTimeout = 30 * time.Second
	// stuckTime is how long a session must have been within a message or an answer to be
	// closed before others.
	stuckTime = time.Second
	// unopenedDivisor divides the maximum number of sessions to get how many are kept for
	// unopened ones, with minUnopened as the least.
	unopenedDivisor = 8
	minUnopened     = 16
)

// sighting is what the overseer knows of a session. The server's lock guards it.
type sighting struct {
	// unopened is the session's place among the unopened ones, or nil.
	unopened     *list.Element
	opened       bool
	organisation string
	// phase is the one last seen, since when.
	phase   uint32
	since   time.Time
	stalled bool
	closed  bool
}

// unopenedReserve returns how many sessions are kept for unopened ones.
func (s *Server) unopenedReserve() int64 { return max(minUnopened, s.MaxSessions/unopenedDivisor) }

// addUnopened adds a new session. If there are too many sessions, it costs the oldest
// unopened one its connection. The caller must hold the lock.
func (s *Server) addUnopened(ss *session) {
	ss.seen.since = time.Now()
	ss.seen.unopened = s.unopened.PushBack(ss)
	if s.MaxSessions <= 0 || int64(len(s.open)-s.closing) <= s.MaxSessions {
		return
	}
	if oldest, ok := s.unopened.Front().Value.(*session); ok {
		s.endOpening(oldest)
		s.close(oldest, CloseUnopened)
	}
}

// endOpening removes a session from the unopened ones. The caller must hold the lock.
func (s *Server) endOpening(ss *session) {
	if ss.seen.unopened != nil {
		s.unopened.Remove(ss.seen.unopened)
		ss.seen.unopened = nil
	}
}

// openingEnded records that a session's startup message is complete, or never will be.
func (s *Server) openingEnded(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endOpening(ss)
}

// sessionOpened counts an opened session. If there are too many, one is closed.
func (s *Server) sessionOpened(ss *session, organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opened == nil {
		s.opened = map[string]int{}
	}
	ss.seen.opened, ss.seen.organisation = true, organisation
	s.opened[organisation]++
	s.openedCount++
	if s.MaxSessions <= 0 || int64(s.openedCount) <= max(1, s.MaxSessions-s.unopenedReserve()) {
		return
	}
	if v := s.evictionCandidate(); v != nil {
		s.close(v, CloseEvicted)
	}
}

// remove removes a session that has ended. The caller must hold the lock.
func (s *Server) remove(ss *session) {
	delete(s.open, ss)
	if ss.seen.closed {
		s.closing--
	}
	s.endOpening(ss)
	s.uncount(ss)
}

// uncount removes a session from the opened ones. The caller must hold the lock.
func (s *Server) uncount(ss *session) {
	if !ss.seen.opened {
		return
	}
	ss.seen.opened = false
	s.openedCount--
	if s.opened[ss.seen.organisation]--; s.opened[ss.seen.organisation] <= 0 {
		delete(s.opened, ss.seen.organisation)
	}
}

// evictionCandidate returns the session to close for another one: one that is stuck within a
// message or an answer, or else one of the organisation with the most sessions, outside a
// transaction if possible, and in each case the one for which nothing has happened for the longest. A
// session that executes a statement is not closed. The caller must hold the lock.
func (s *Server) evictionCandidate() *session {
	most := ""
	for organisation, n := range s.opened {
		if n > s.opened[most] {
			most = organisation
		}
	}
	const outsideTransaction, stuck = 1, 2
	var best *session
	bestClass := -1
	now := time.Now()
	for ss := range s.open {
		if !ss.seen.opened {
			continue
		}
		phase := ss.observePhase(now)
		class := 0
		switch {
		case phase == phaseExecuting:
			continue
		case phase != phaseIdle && now.Sub(ss.seen.since) >= stuckTime:
			class = stuck
		case ss.seen.organisation != most:
			continue
		case !ss.isInTransaction():
			class = outsideTransaction
		}
		if class > bestClass || (class == bestClass && ss.seen.since.Before(best.seen.since)) {
			best, bestClass = ss, class
		}
	}
	return best
}

// observePhase records the session's phase and returns it. The server's lock must be held.
func (s *session) observePhase(now time.Time) uint32 {
	if p := s.phase.Load(); p != s.seen.phase {
		s.seen.phase, s.seen.since = p, now
	}
	return s.seen.phase & phaseMask
}

func (s *session) isInTransaction() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inTransaction
}

// close closes a session. The caller must hold the lock.
func (s *Server) close(ss *session, reason CloseReason) {
	if ss.seen.closed {
		return
	}
	ss.seen.closed = true
	s.closing++
	s.uncount(ss)
	ss.tooSlow.Store(true)
	_ = ss.conn.Close()
	if s.OnClose != nil {
		s.OnClose(reason)
	}
	s.Log.Warn(logger.EventSessionClosed, zap.String("reason", string(reason)), zap.String("organisation", ss.seen.organisation), zap.Stringer("from", ss.conn.RemoteAddr()))
}

// oversee looks at the sessions until none is left after ended is closed.
func (s *Server) oversee(ended <-chan struct{}) {
	ticker := time.NewTicker(overseeInterval)
	defer ticker.Stop()
	for range ticker.C {
		select {
		case <-ended:
			if s.sessions.Load() == 0 {
				return
			}
		default:
		}
		view, _ := s.View()
		s.overseeOnce(time.Now(), view.Configuration.TransactionIdleTimeout)
	}
}

// overseeOnce ends what callers hold up: answers that they do not read, and messages that
// they do not complete.
func (s *Server) overseeOnce(now time.Time, transactionIdleTimeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.open {
		phase := ss.observePhase(now)
		age := now.Sub(ss.seen.since)
		if stalled := (phase == phaseWriting || phase == phaseReceiving) && age >= stuckTime; stalled != ss.seen.stalled {
			ss.seen.stalled = stalled
			ss.holder.SetStalled(stalled)
		}
		switch {
		case phase == phaseWriting && age > writeTimeout:
			s.close(ss, CloseStalled)
		case phase == phaseWriting && transactionIdleTimeout > 0 && age > transactionIdleTimeout && ss.isInTransaction():
			ss.interrupted.Store(ss.seen.phase)
			_ = ss.conn.SetWriteDeadline(time.Unix(1, 0))
		case phase == phaseReceiving && age > incompleteTimeout && ss.seen.opened && ss.seen.organisation == "":
			s.close(ss, CloseIncomplete)
		}
	}
}
