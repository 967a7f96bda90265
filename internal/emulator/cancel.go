package emulator

import (
	"context"
	"sync"
)

// cancelTable maps the process id of a cancel request to its session.
type cancelTable struct {
	mu       sync.Mutex
	nextPID  uint32
	sessions map[uint32]*sqlSession
}

func (t *cancelTable) add(s *sqlSession) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions == nil {
		t.sessions = map[uint32]*sqlSession{}
	}
	t.nextPID++
	t.sessions[t.nextPID] = s
	return t.nextPID
}

func (t *cancelTable) remove(pid uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, pid)
}

// cancel cancels the statement that the session is running, if any.
func (t *cancelTable) cancel(pid uint32) {
	t.mu.Lock()
	s := t.sessions[pid]
	t.mu.Unlock()
	if s != nil {
		s.cancelStatement()
	}
}

// statementContext returns a context for the session's next statement, which
// cancelStatement cancels, and a function that releases it.
func (s *sqlSession) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancelFunc = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancelFunc = nil
		s.mu.Unlock()
		cancel()
	}
}

func (s *sqlSession) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelFunc != nil {
		s.cancelFunc()
	}
}
