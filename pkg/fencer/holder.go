// Package fencer keeps the leases by which control hosts lend their authority
// to entry hosts.
//
// One lease covers everything a host may do with the configuration it has in
// force: serve keyed routes, spend tokens, and pass on acknowledgements of the
// primaries that the configuration names. A change is in force everywhere when
// every host that may still hold a lease has reported its version.
//
// Holder and granter never compare clocks. The holder counts from before it
// sent its report, the granter from after the report arrived, and the granter
// adds a bound on clock drift.
//
// # Usage
//
//	h.Sent(7, now)                      // the host sends report 7
//	g.Grant("regina-a-1/42", 19, now)   // the leader answers it
//	h.Renewed(7, ttl)                   // the host takes the answer
//	if h.Valid(now) { ... }
//
// All types are plain state: their users serialise the calls.
package fencer

import "time"

// maxPending bounds the reports whose answers are awaited.
const maxPending = 64

// Holder is an entry host's side of its lease. The zero value holds none.
type Holder struct {
	until   time.Time
	pending map[uint64]time.Time
}

// Sent records that a report was about to be sent.
func (h *Holder) Sent(sequence uint64, now time.Time) {
	if h.pending == nil || len(h.pending) >= maxPending {
		h.pending = map[uint64]time.Time{}
	}
	h.pending[sequence] = now
}

// Renewed takes the answer to a report. An answer to an unknown report changes
// nothing.
func (h *Holder) Renewed(sequence uint64, ttl time.Duration) {
	sent, ok := h.pending[sequence]
	if !ok {
		return
	}
	for s := range h.pending {
		if s <= sequence {
			delete(h.pending, s)
		}
	}
	if until := sent.Add(ttl); until.After(h.until) {
		h.until = until
	}
}

// Valid reports whether the lease holds at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.until) }

// Until returns the end of the lease.
func (h *Holder) Until() time.Time { return h.until }
