package pooler

import (
	"context"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/scheduler"
)

// Gate admits a bounded number of holders and shares the places fairly
// between organisations. The zero value admits nobody until SetLimit.
type Gate struct {
	mu    sync.Mutex
	limit int
	held  int
	queue scheduler.Queue
}

// SetLimit changes the number of places. Holders above a lower limit stay.
func (g *Gate) SetLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = n
	g.admit()
}

// TryEnter takes a place if one is free and nobody waits.
func (g *Gate) TryEnter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tryEnter()
}

func (g *Gate) tryEnter() bool {
	if g.held >= g.limit || g.queue.Len() > 0 {
		return false
	}
	g.held++
	return true
}

// Enter waits for a place until ctx ends.
func (g *Gate) Enter(ctx context.Context, organisation string) error {
	g.mu.Lock()
	if g.tryEnter() {
		g.mu.Unlock()
		return nil
	}
	w := scheduler.NewWaiter(organisation)
	g.queue.Push(w)
	g.mu.Unlock()
	select {
	case <-w.Granted:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.Granted:
		// The place came with the end of ctx; pass it on.
		g.held--
		g.admit()
	default:
		g.queue.Remove(w)
	}
	return ctx.Err()
}

// Leave frees a place that an organisation held for the given time.
func (g *Gate) Leave(organisation string, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held--
	g.queue.Charge(organisation, held.Seconds())
	g.admit()
}

// admit hands free places to waiters. The caller holds g.mu.
func (g *Gate) admit() {
	for g.held < g.limit {
		w := g.queue.Pop()
		if w == nil {
			return
		}
		g.held++
		close(w.Granted)
	}
}

// Load returns the held places plus waiters, and the limit.
func (g *Gate) Load() (used, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held + g.queue.Len(), g.limit
}
