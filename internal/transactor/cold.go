package transactor

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// minColdRetryAfter is the shortest retry delay for a request that an upstream refused as
// cold. Many callers wait for the same rate.
const minColdRetryAfter = 250 * time.Millisecond

// coldUpstreams remembers the upstreams that refused statements as cold, so that reads do
// not spend a hop on them while others can serve. The zero value knows none.
type coldUpstreams struct {
	// until is when the latest of the entries ends, in nanoseconds by the process's
	// clock. It spares the other requests the lock.
	until atomic.Int64

	mu      sync.Mutex
	retryAt map[string]time.Time
}

// record records that an upstream takes no statements before retryAfter has passed.
func (c *coldUpstreams) record(upstream string, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for id, at := range c.retryAt {
		if now.After(at) {
			delete(c.retryAt, id)
		}
	}
	if c.retryAt == nil {
		c.retryAt = map[string]time.Time{}
	}
	at := now.Add(retryAfter)
	c.retryAt[upstream] = at
	c.until.Store(max(c.until.Load(), at.UnixNano()))
}

// choose chooses a candidate that has not refused statements as cold or, if there is none
// that can be used, one that has.
func (c *coldUpstreams) choose(floor tracker.Position, at time.Time, candidates []balancer.Candidate, random float64) int {
	if warm, ok := c.withoutCold(candidates); ok {
		if i := balancer.ChooseSpread(floor, at, warm, random); i >= 0 {
			return i
		}
	}
	return balancer.ChooseSpread(floor, at, candidates, random)
}

// withoutCold returns the candidates with those that have refused statements as cold
// marked as suspect. It returns false if none has.
func (c *coldUpstreams) withoutCold(candidates []balancer.Candidate) ([]balancer.Candidate, bool) {
	now := time.Now()
	if now.UnixNano() >= c.until.Load() {
		return candidates, false
	}
	warm := append([]balancer.Candidate(nil), candidates...)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range warm {
		warm[i].Suspect = warm[i].Suspect || now.Before(c.retryAt[warm[i].ID])
	}
	return warm, true
}
