package emulator

import (
	"context"
	"sync"
)

// cancelTable finds the running statement of a connection by its cancel key.
type cancelTable struct {
	mu      sync.Mutex
	nextPID uint32
	running map[uint32]*sqlSession
}

func (t *cancelTable) add(s *sqlSession) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[uint32]*sqlSession{}
	}
	t.nextPID++
	t.running[t.nextPID] = s
	return t.nextPID
}

func (t *cancelTable) remove(pid uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, pid)
}

// cancel stops the statement that the connection runs now, if any.
func (t *cancelTable) cancel(pid uint32) {
	t.mu.Lock()
	s := t.running[pid]
	t.mu.Unlock()
	if s != nil {
		s.cancelStatement()
	}
}

// statementContext makes the session's next statement cancellable.
func (s *sqlSession) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.stop = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.stop = nil
		s.mu.Unlock()
		cancel()
	}
}

func (s *sqlSession) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		s.stop()
	}
}
