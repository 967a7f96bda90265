package demonstrator

import (
	"fmt"
	"sync"
)

// Invariant is the name of a property that must always hold.
type Invariant string

// The invariants that the demonstration checks from the callers' side.
const (
	InvariantReadYourWrites Invariant = "read_your_writes"
	InvariantNoLostWrites   Invariant = "no_acknowledged_write_lost"
	InvariantAtMostOnce     Invariant = "non_idempotent_at_most_once"
	InvariantNotRun         Invariant = "not_run_is_true"
	InvariantOwnResult      Invariant = "whole_own_answer"
	InvariantAtomic         Invariant = "transactions_never_mix"
	InvariantWithinRate     Invariant = "within_rate_and_burst"
	InvariantKeyStops       Invariant = "withdrawn_key_stops"
	InvariantInForce        Invariant = "configuration_in_force"
)

// Invariants returns all invariants in order.
func Invariants() []Invariant {
	return []Invariant{
		InvariantReadYourWrites, InvariantNoLostWrites, InvariantAtMostOnce, InvariantNotRun, InvariantOwnResult, InvariantAtomic,
		InvariantWithinRate, InvariantKeyStops, InvariantInForce,
	}
}

// Check is the result for one invariant.
type Check struct {
	Checked    int `json:"checked"`
	Violations int `json:"violations"`
	// First describes the first violation.
	First string `json:"first,omitempty"`
}

// Recorder records the requests of all callers and the results of invariant
// checks. It is safe for concurrent use.
type Recorder struct {
	mu           sync.Mutex
	observations []Observation
	checks       map[Invariant]*Check
}

// Observe adds an observation.
func (r *Recorder) Observe(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations = append(r.observations, o)
}

// Check records one check of an invariant. The message describes the violation.
func (r *Recorder) Check(name Invariant, ok bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checks == nil {
		r.checks = map[Invariant]*Check{}
	}
	c := r.checks[name]
	if c == nil {
		c = &Check{}
		r.checks[name] = c
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

// Checks returns the results for all invariants.
func (r *Recorder) Checks() map[Invariant]Check {
	r.mu.Lock()
	defer r.mu.Unlock()
	checks := map[Invariant]Check{}
	for _, name := range Invariants() {
		if c := r.checks[name]; c != nil {
			checks[name] = *c
			continue
		}
		checks[name] = Check{}
	}
	return checks
}

// Observations returns all observations.
func (r *Recorder) Observations() []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Observation(nil), r.observations...)
}

// Count returns the number of observations.
func (r *Recorder) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.observations)
}
