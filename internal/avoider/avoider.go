// Package avoider remembers hosts that did not answer, so that others are asked in
// their place for a while.
//
// # Usage
//
//	a := avoider.Avoider{First: 300 * time.Millisecond, Most: 6 * time.Second}
//	if !a.Avoids("entry-3") { ... }
//	news := a.Avoid("entry-3")   // it did not answer
//	a.Answered("entry-3")
//
// An Avoider is safe for concurrent use.
package avoider

import (
	"sync"
	"time"
)

// Avoider holds what is avoided. First must be set.
type Avoider struct {
	// First is the time for which a host is avoided at first. It doubles while the
	// host goes on not to answer, up to Most; zero means that it does not.
	First, Most time.Duration

	mu      sync.Mutex
	avoided map[string]avoided
}

// avoided is one host that did not answer.
type avoided struct {
	until time.Time
	last  time.Duration
}

// Avoid avoids a host, and reports whether it was not avoided yet.
func (a *Avoider) Avoid(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	old := a.avoided[name]
	if now.Before(old.until) {
		return false
	}
	if a.avoided == nil {
		a.avoided = map[string]avoided{}
	}
	next := max(a.First, min(2*old.last, a.Most))
	a.avoided[name] = avoided{until: now.Add(next), last: next}
	return true
}

// Avoids reports whether a host is avoided.
func (a *Avoider) Avoids(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.avoided[name].until)
}

// Answered ends the memory of a host that answers again.
func (a *Avoider) Answered(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.avoided, name)
}
