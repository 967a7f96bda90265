package transactor

import (
	"errors"
	"io"
	"os"
	"time"
)

// receive reads the caller's next statement. A transaction that is idle for too long
// meanwhile is rolled back, and a session that is being closed waits only for a statement
// in transit.
func (s *session) receive() (Statement, error) {
	for {
		st, err := s.nextStatement()
		if errors.Is(err, os.ErrDeadlineExceeded) && s.isEnded() {
			st, err = s.readPending()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && s.tx != nil && !s.isEnded() {
			s.expire()
			continue
		}
		return st, err
	}
}

// nextStatement reads the caller's next statement. In a transaction it waits no
// longer than the configured idle timeout.
func (s *session) nextStatement() (Statement, error) {
	s.mu.Lock()
	ended := s.ended
	if !ended {
		_ = s.conn.SetReadDeadline(s.idleDeadline())
	}
	s.mu.Unlock()
	if ended && s.r.Buffered() == 0 {
		return Statement{}, io.EOF
	}
	return s.readStatement()
}

// idleDeadline returns until when the session waits for its caller. The zero time means
// without limit.
func (s *session) idleDeadline() time.Time {
	view, _ := s.server.View()
	if idle := view.Configuration.TransactionIdleTimeout; idle > 0 && s.tx != nil && s.tx.lease != nil {
		return time.Now().Add(idle)
	}
	return time.Time{}
}

// readPending reads a statement that arrived while the session was being
// closed. An expired read deadline makes reads fail even if data has arrived.
func (s *session) readPending() (Statement, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(pendingReadTimeout)); err != nil {
		return Statement{}, err
	}
	return s.readStatement()
}

// readStatement waits for a statement until the read deadline. Once a part of one has
// arrived, it reads that statement to its end: the rest must not be taken for another one.
func (s *session) readStatement() (Statement, error) {
	if _, err := s.r.Peek(1); err != nil {
		return Statement{}, err
	}
	s.mu.Lock()
	s.idleSince = time.Time{}
	s.mu.Unlock()
	s.receiving, s.received = true, s.r.Buffered()
	s.enter(phaseReceiving)
	defer func() {
		s.receiving = false
		s.enter(phaseExecuting)
	}()
	return s.server.Codec.ReadStatement(s.r)
}

// Read implements io.Reader for the session's buffer. An expired deadline ends a read only
// between statements: within one, an idle transaction is rolled back, and the read goes
// on.
func (s *session) Read(p []byte) (int, error) {
	for {
		n, err := s.conn.Read(p)
		if (s.receiving || s.opening) && n > 0 {
			if err := s.receivedBytes(n); err != nil {
				return 0, err
			}
		}
		if n > 0 || !s.receiving || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if s.tx != nil && s.tx.lease != nil && !s.isEnded() {
			s.expire()
		}
		if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
	}
}
