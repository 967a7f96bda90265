// Package backoffer remembers hosts that did not answer, so that callers use
// other hosts for a while.
//
// # Usage
//
//	b := backoffer.Backoffer{Initial: 300 * time.Millisecond, Max: 6 * time.Second}
//	if !b.InBackoff("entry-3") { ... }
//	added := b.RecordFailure("entry-3")   // it did not answer
//	b.RecordSuccess("entry-3")
//
// A Backoffer is safe for concurrent use.
package backoffer

import (
	"sync"
	"time"
)

// Backoffer tracks the hosts in backoff. Initial must be set.
type Backoffer struct {
	// Initial is the initial backoff of a host. It doubles with each further
	// failure, up to Max; if Max is zero, it stays the same.
	Initial, Max time.Duration

	mu       sync.Mutex
	backoffs map[string]backoff
}

// backoff is the state of one host that did not answer.
type backoff struct {
	until    time.Time
	duration time.Duration
}

// RecordFailure records that a host did not answer. It returns false if the
// host is in backoff already.
func (b *Backoffer) RecordFailure(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	previous := b.backoffs[name]
	if now.Before(previous.until) {
		return false
	}
	if b.backoffs == nil {
		b.backoffs = map[string]backoff{}
	}
	next := max(b.Initial, min(2*previous.duration, b.Max))
	b.backoffs[name] = backoff{until: now.Add(next), duration: next}
	return true
}

// InBackoff reports whether a host is in backoff now.
func (b *Backoffer) InBackoff(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.backoffs[name].until)
}

// RecordSuccess resets the backoff of a host that answered.
func (b *Backoffer) RecordSuccess(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.backoffs, name)
}
