package pooler

import (
	"context"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/scheduler"
)

// Semaphore limits the number of concurrent holders and grants permits fairly
// between organisations. The zero value grants none until SetLimit is called.
type Semaphore struct {
	mu    sync.Mutex
	limit int
	held  int
	queue scheduler.Queue
}

// SetLimit changes the number of permits. A lower limit revokes no permit that
// is already held.
func (s *Semaphore) SetLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = n
	s.grant()
}

// TryAcquire takes a permit if one is free and no caller is waiting.
func (s *Semaphore) TryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tryAcquire()
}

func (s *Semaphore) tryAcquire() bool {
	if s.held >= s.limit || s.queue.Len() > 0 {
		return false
	}
	s.held++
	return true
}

// Acquire waits for a permit until ctx ends.
func (s *Semaphore) Acquire(ctx context.Context, organisation string) error {
	s.mu.Lock()
	if s.tryAcquire() {
		s.mu.Unlock()
		return nil
	}
	w := scheduler.NewWaiter(organisation)
	s.queue.Push(w)
	s.mu.Unlock()
	select {
	case <-w.Granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.Granted:
		// The permit was granted as ctx ended; grant it to the next waiter.
		s.held--
		s.grant()
	default:
		s.queue.Remove(w)
	}
	return ctx.Err()
}

// Release returns a permit and charges the organisation for the time that it
// was held.
func (s *Semaphore) Release(organisation string, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
	s.queue.Charge(organisation, held.Seconds())
	s.grant()
}

// grant gives free permits to waiters. The caller holds s.mu.
func (s *Semaphore) grant() {
	for s.held < s.limit {
		w := s.queue.Pop()
		if w == nil {
			return
		}
		s.held++
		close(w.Granted)
	}
}

// Load returns the number of holders and waiters, and the limit.
func (s *Semaphore) Load() (used, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held + s.queue.Len(), s.limit
}
