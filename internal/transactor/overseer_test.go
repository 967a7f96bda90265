package transactor

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/budgeter"
	"github.com/shallotstage/shallotstage/internal/logger"
)

// overseen returns a server with sessions that are not served.
func overseen(t *testing.T, maxSessions int64) (s *Server, add func() *session, reasons *[]CloseReason) {
	reasons = &[]CloseReason{}
	s = &Server{MaxSessions: maxSessions, Log: logger.New(zap.NewNop()), open: map[*session]bool{}, OnClose: func(r CloseReason) { *reasons = append(*reasons, r) }}
	return s, func() *session {
		caller, conn := net.Pipe()
		t.Cleanup(func() {
			_ = caller.Close()
			_ = conn.Close()
		})
		ss := &session{server: s, conn: conn}
		ss.holder = ss.newHolder()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open[ss] = true
		s.addUnopened(ss)
		return ss
	}, reasons
}

func (s *Server) openFor(ss *session, organisation string) {
	s.openingEnded(ss)
	s.sessionOpened(ss, organisation)
}

// Strangers that send no startup message must not keep others out, and must not cost an
// opened session its connection.
func TestOldestUnopenedSessionMakesRoom(t *testing.T) {
	s, add, reasons := overseen(t, 3)
	opened, first, second := add(), add(), add()
	s.openFor(opened, "a")
	qt.Assert(t, *reasons, qt.HasLen, 0)
	add()
	qt.Assert(t, *reasons, qt.DeepEquals, []CloseReason{CloseUnopened})
	qt.Assert(t, first.seen.closed, qt.IsTrue)
	qt.Assert(t, second.seen.closed || opened.seen.closed, qt.IsFalse)
}

// The organisation with the most sessions makes room, and not the one that comes; a stuck
// session goes before idle ones, and one that executes a statement stays.
func TestFullServerClosesTheLeastUsedSession(t *testing.T) {
	s, add, reasons := overseen(t, minUnopened+4)
	var sessions []*session
	for range 3 {
		ss := add()
		s.openFor(ss, "busy")
		sessions = append(sessions, ss)
	}
	executing, idle, other := sessions[0], sessions[1], add()
	s.openFor(other, "other")
	executing.enter(phaseExecuting)
	idle.seen.since = idle.seen.since.Add(-time.Minute)
	other.seen.since = other.seen.since.Add(-time.Hour)
	s.openFor(add(), "other")
	qt.Assert(t, *reasons, qt.DeepEquals, []CloseReason{CloseEvicted})
	qt.Assert(t, idle.seen.closed, qt.IsTrue)

	other.enter(phaseReceiving)
	s.overseeOnce(time.Now().Add(-2*stuckTime), 0)
	s.openFor(add(), "third")
	qt.Assert(t, other.seen.closed, qt.IsTrue)
	qt.Assert(t, executing.seen.closed || sessions[2].seen.closed, qt.IsFalse)
}

// A caller that does not read its answer is closed, and one that reads it piece by piece is
// not.
func TestOverseerClosesCallersThatDoNotRead(t *testing.T) {
	s, add, reasons := overseen(t, 0)
	stalled, reading := add(), add()
	stalled.enter(phaseWriting)
	reading.enter(phaseWriting)
	begin := time.Now()
	s.overseeOnce(begin, 0)
	reading.enter(phaseWriting)
	s.overseeOnce(begin.Add(writeTimeout), 0)
	qt.Assert(t, *reasons, qt.HasLen, 0)
	s.overseeOnce(begin.Add(writeTimeout+time.Second), 0)
	qt.Assert(t, *reasons, qt.DeepEquals, []CloseReason{CloseStalled})
	qt.Assert(t, stalled.seen.closed, qt.IsTrue)
}

// A caller without a known key may not take for ever to send a statement. Others may.
func TestOverseerClosesIncompleteMessagesOfStrangers(t *testing.T) {
	s, add, reasons := overseen(t, 0)
	stranger, known := add(), add()
	s.openFor(stranger, "")
	s.openFor(known, "a")
	stranger.enter(phaseReceiving)
	known.enter(phaseReceiving)
	begin := time.Now()
	s.overseeOnce(begin, 0)
	s.overseeOnce(begin.Add(incompleteTimeout+time.Second), 0)
	qt.Assert(t, *reasons, qt.DeepEquals, []CloseReason{CloseIncomplete})
	qt.Assert(t, known.seen.closed, qt.IsFalse)
}

// A session that sets the same values again and again for months must not come to count as
// one that holds much.
func TestKeptValuesAreCountedOnce(t *testing.T) {
	s, add, _ := overseen(t, 0)
	s.Budget = &budgeter.Budget{Bytes: 1 << 20}
	ss := add()
	ss.values, ss.prepared = map[string]string{}, map[string]preparedStatement{}
	for range 1000 {
		ss.handleLocal(Statement{Verb: VerbSet, Name: "n", Value: "value", Text: "SET n value"})
		ss.handleLocal(Statement{Verb: VerbPrepare, Name: "p", Value: "READ x", Text: "PREPARE p READ x"})
	}
	qt.Assert(t, ss.kept, qt.Equals, len("n")+len("value")+len("p")+len("READ x"))
	ss.handleLocal(Statement{Verb: VerbClose, Name: "p"})
	ss.handleLocal(Statement{Verb: VerbClose, Name: "p"})
	qt.Assert(t, ss.kept, qt.Equals, len("n")+len("value"))
	large := make([]byte, 2*keptThreshold)
	ss.handleLocal(Statement{Verb: VerbSet, Name: "n", Value: string(large)})
	qt.Assert(t, s.Budget.Usage(budgeter.KindCaller).Bytes, qt.Equals, int64(len("n")+len(large)))
	ss.handleLocal(Statement{Verb: VerbSet, Name: "n", Value: "value"})
	qt.Assert(t, s.Budget.Usage(budgeter.KindCaller).Bytes, qt.Equals, int64(0))
}
