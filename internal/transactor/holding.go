package transactor

import (
	"errors"
	"os"
	"time"

	"github.com/shallotstage/shallotstage/internal/budgeter"
	"github.com/shallotstage/shallotstage/internal/connector"
)

const (
	// messageThreshold is the size from which a message counts in the process's budget.
	// Smaller ones fit into the session's read buffer.
	messageThreshold = readBufferSize
	// messageCost is the memory of a message by its size: its buffer, the statement, and
	// the copy that is sent.
	messageCost = 3
	// holdStep is the least change of a growing message that is reported, so that the
	// budget's lock is taken only now and then.
	holdStep = 32 << 10
	// keptThreshold is the size from which the values and prepared statements of a
	// session count.
	keptThreshold = 8 << 10
	// answerThreshold is the size from which an answer counts, and is sent in pieces of
	// answerPiece without being copied.
	answerThreshold = 16 << 10
	answerPiece     = 64 << 10
)

// The phases of a session. Each change of the phase also changes the number of changes in
// the higher bits, so that the overseer sees whether a session makes progress.
const (
	phaseIdle uint32 = iota
	phaseReceiving
	phaseExecuting
	phaseWriting
	phaseBits = 2
	phaseMask = 1<<phaseBits - 1
)

// enter records the phase of the session. Only the session's goroutine calls it.
func (s *session) enter(phase uint32) {
	s.phase.Store((s.phase.Load()>>phaseBits+1)<<phaseBits | phase)
}

// newHolder returns the holder of the session's memory.
func (s *session) newHolder() *budgeter.Holder {
	return &budgeter.Holder{Budget: s.server.Budget, Kind: budgeter.KindCaller, Close: func() { _ = s.conn.Close() }}
}

// hold reports what the session holds besides its values. It returns false if the session
// was closed for it.
func (s *session) hold(bytes int64) bool {
	if total := bytes + s.keptHeld; total != s.held {
		s.held = total
		return s.holder.SetHeld(total)
	}
	return true
}

// receivedBytes counts n bytes of a message that is being received.
func (s *session) receivedBytes(n int) error {
	s.received += n
	if s.received <= messageThreshold {
		return nil
	}
	if messageCost*int64(s.received) <= s.held-s.keptHeld || s.hold(messageCost*int64(s.received+holdStep)) {
		return nil
	}
	return budgeter.ErrUsedUp
}

// holdAnswers counts the answers of a lease. If the session is closed for them, its caller
// gets none.
func (s *session) holdAnswers(l *connector.Lease, answers []connector.Answer) {
	size := 0
	for _, a := range answers {
		size += cap(a.Body)
	}
	if size > answerThreshold {
		s.holder.HoldsAnswers = true
		s.hold(messageCost*int64(s.received) + int64(size))
	}
	if l.AnswersTaken != nil {
		l.AnswersTaken()
	}
}

// keptChange returns the change of size when a statement stores its value under its name.
func keptChange(st Statement, old string, known bool) int {
	if known {
		return len(st.Value) - len(old)
	}
	return len(st.Name) + len(st.Value)
}

// changeKept counts a change of the size of the session's values and prepared statements.
// It returns false if the session was closed for it.
func (s *session) changeKept(change int) bool {
	s.kept += change
	held := int64(0)
	if s.kept > keptThreshold {
		held = int64(s.kept)
	}
	if held == s.keptHeld {
		return true
	}
	message := s.held - s.keptHeld
	s.keptHeld = held
	// Nothing runs at an upstream.
	s.holder.SetBusy(false)
	return s.hold(message)
}

// setBusy keeps a session with a large statement from being closed while the statement is
// executed.
func (s *session) setBusy(busy bool) {
	if s.held > 0 {
		s.holder.SetBusy(busy)
	}
}

// write sends b in pieces. Each must be taken by the caller within the server's write
// timeout, which the overseer enforces: it makes the write fail.
func (s *session) write(b []byte) error {
	for len(b) > 0 {
		s.enter(phaseWriting)
		n, err := s.conn.Write(b[:min(len(b), answerPiece)])
		b = b[n:]
		if errors.Is(err, os.ErrDeadlineExceeded) && !s.tooSlow.Load() {
			// The overseer set the deadline.
			if s.interrupted.Load() == s.phase.Load() && s.tx != nil && s.tx.lease != nil {
				s.expire()
			}
			err = s.conn.SetWriteDeadline(time.Time{})
		}
		if err != nil {
			return err
		}
	}
	return nil
}
