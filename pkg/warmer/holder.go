package warmer

import (
	"slices"
	"time"
)

const (
	// maxPending limits the unanswered reports that are remembered.
	maxPending = 64
	// urgentFor is how long tokens are kept for an open transaction that found none. Its
	// caller asks again within that time.
	urgentFor = 100 * time.Millisecond
	// noGrantRetry is the wait that Take returns without a grant: the next report and
	// its answer may bring one.
	noGrantRetry = time.Second
)

// Holder is an entry host's side of the grants. The zero value holds none.
type Holder struct {
	// pending holds when each unanswered report was sent.
	pending map[uint64]time.Time
	// wanted are the upstreams in the last report, and returned the last report without
	// an upstream.
	wanted   []string
	returned map[string]uint64
	grants   map[string]*bucket
}

// bucket is the token bucket of one grant.
type bucket struct {
	Grant
	expiresAt   time.Time
	tokens      float64
	filledAt    time.Time
	urgentUntil time.Time
}

// RecordReport records a report with the upstreams that the host wants to hold, and gives
// up all others. It must be called before the report is sent.
func (h *Holder) RecordReport(sequence uint64, wanted []string, now time.Time) {
	if h.pending == nil || len(h.pending) >= maxPending {
		h.pending = map[uint64]time.Time{}
	}
	h.pending[sequence] = now
	if h.returned == nil {
		h.returned = map[string]uint64{}
	}
	for _, upstream := range h.wanted {
		if !slices.Contains(wanted, upstream) {
			delete(h.grants, upstream)
			h.returned[upstream] = sequence
		}
	}
	h.wanted = slices.Clone(wanted)
}

// Apply applies the grants in the answer to a report. It ignores an answer to an unknown
// report, and a grant that the host has returned since that report.
func (h *Holder) Apply(sequence uint64, grants map[string]Grant, now time.Time) {
	sent, ok := h.pending[sequence]
	if !ok {
		return
	}
	for s := range h.pending {
		if s < sequence {
			delete(h.pending, s)
		}
	}
	for upstream, grant := range grants {
		if sequence <= h.returned[upstream] || !slices.Contains(h.wanted, upstream) {
			continue
		}
		b := h.grants[upstream]
		if b == nil || !now.Before(b.expiresAt) {
			// Another host may have held the grant until now.
			b = &bucket{filledAt: now}
			if h.grants == nil {
				h.grants = map[string]*bucket{}
			}
			h.grants[upstream] = b
		}
		b.fill(now)
		b.Grant = grant
		if expiresAt := sent.Add(grant.TTL); expiresAt.After(b.expiresAt) {
			b.expiresAt = expiresAt
		}
	}
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.filledAt); passed > 0 {
		b.tokens = min(b.Burst, b.tokens+b.Rate*passed.Seconds())
		b.filledAt = now
	}
}

// Holds reports whether the host holds a valid grant for an upstream.
func (h *Holder) Holds(upstream string, now time.Time) bool {
	b := h.grants[upstream]
	return b != nil && now.Before(b.expiresAt)
}

// Available reports whether Take would succeed for a new transaction or a statement
// outside one, and the wait before another attempt.
func (h *Holder) Available(upstream string, n int, now time.Time) (ok bool, wait time.Duration) {
	if !h.Holds(upstream, now) {
		return n == 0, noGrantRetry
	}
	b := *h.grants[upstream]
	trial := Holder{grants: map[string]*bucket{upstream: &b}}
	return trial.Take(upstream, n, false, now)
}

// Take takes the tokens for n statements that are sent together. It returns false, and the
// wait before another attempt, if they must not be sent now, or never in one burst. Statements of open transactions come first: what one waits
// for is refused to others.
func (h *Holder) Take(upstream string, n int, open bool, now time.Time) (ok bool, wait time.Duration) {
	if n == 0 {
		return true, 0
	}
	if !h.Holds(upstream, now) {
		return false, noGrantRetry
	}
	b := h.grants[upstream]
	b.fill(now)
	need := float64(n)
	if need > b.Burst || b.Rate <= 0 {
		return false, noGrantRetry
	}
	if b.tokens < need {
		if open {
			b.urgentUntil = now.Add(urgentFor)
		}
		return false, b.timeUntil(need)
	}
	if !open && now.Before(b.urgentUntil) {
		return false, b.timeUntil(b.tokens + need)
	}
	if open {
		b.urgentUntil = time.Time{}
	}
	b.tokens -= need
	return true, 0
}

// timeUntil returns how long it takes until the bucket has received need tokens.
func (b *bucket) timeUntil(need float64) time.Duration {
	return max(time.Millisecond, time.Duration((need-b.tokens)/b.Rate*float64(time.Second)))
}
