package demonstrator

import (
	"fmt"
	"sync"
)

// Must names a property that must always hold.
type Must string

// The musts that the demonstration checks from the callers' side.
const (
	MustReadYourWrites Must = "read_your_writes"
	MustNoneLost       Must = "no_acknowledged_write_lost"
	MustAtMostOnce     Must = "non_idempotent_at_most_once"
	MustNotRunTrue     Must = "not_run_is_true"
	MustOwnAnswer      Must = "whole_own_answer"
	MustAtomic         Must = "transactions_never_mix"
	MustWithinRate     Must = "within_rate_and_burst"
	MustKeyStops       Must = "withdrawn_key_stops"
	MustInForce        Must = "configuration_in_force"
)

// Musts lists them in order.
func Musts() []Must {
	return []Must{
		MustReadYourWrites, MustNoneLost, MustAtMostOnce, MustNotRunTrue, MustOwnAnswer, MustAtomic,
		MustWithinRate, MustKeyStops, MustInForce,
	}
}

// Check is the result for one must.
type Check struct {
	Checked    int `json:"checked"`
	Violations int `json:"violations"`
	// First describes the first violation.
	First string `json:"first,omitempty"`
}

// Ledger gathers what all callers saw. It is safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	observations []Observation
	checks       map[Must]*Check
}

// Observe adds an observation.
func (l *Ledger) Observe(o Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observations = append(l.observations, o)
}

// Check counts one check of a must. The text describes a violation.
func (l *Ledger) Check(m Must, ok bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checks == nil {
		l.checks = map[Must]*Check{}
	}
	c := l.checks[m]
	if c == nil {
		c = &Check{}
		l.checks[m] = c
	}
	c.Checked++
	if ok {
		return
	}
	c.Violations++
	if c.First == "" {
		c.First = fmt.Sprintf(format, args...)
	}
}

// Checks returns the results of all musts.
func (l *Ledger) Checks() map[Must]Check {
	l.mu.Lock()
	defer l.mu.Unlock()
	checks := map[Must]Check{}
	for _, m := range Musts() {
		if c := l.checks[m]; c != nil {
			checks[m] = *c
			continue
		}
		checks[m] = Check{}
	}
	return checks
}

// Observations returns all observations.
func (l *Ledger) Observations() []Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Observation(nil), l.observations...)
}

// Count returns the number of observations.
func (l *Ledger) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.observations)
}
