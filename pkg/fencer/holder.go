// Package fencer implements the leases that the control leader grants to entry
// hosts.
//
// A lease covers everything that a host may do under its current configuration:
// serve keyed routes, spend tokens, and forward acknowledgements of the primaries
// in the configuration. A change is in force everywhere when every host that may
// still hold a lease has reported its version.
//
// A Gate is a holder's record of its work at primaries. It tells when the host has
// let go of a primary that hands over, and whether an answer may still be
// acknowledged.
//
// Holder and granter never compare clock readings. The holder's lease period
// starts before it sends its report, the granter's after it receives the report,
// and the granter adds a bound on clock drift.
//
// # Usage
//
//	h.RecordReport(7, now)            // the host sends report 7
//	g.Grant("regina-a-1/42", 19, now) // the leader answers it
//	h.Renew(7, ttl)                   // the host receives the answer
//	if h.Valid(now) { ... }
//
//	if use, ok := g.Begin("ledger", "i-1", now); ok { // a statement is sent
//		ok = h.Valid(now) && g.MayAcknowledge(use) // it was answered
//		g.End(use)
//	}
//
// The types are not safe for concurrent use.
package fencer

import "time"

// maxPending limits the unanswered reports that are remembered.
const maxPending = 64

// Holder is an entry host's side of its lease. The zero value has no lease.
type Holder struct {
	expiresAt time.Time
	pending   map[uint64]time.Time
}

// RecordReport records the time of a report. It must be called before the
// report is sent.
func (h *Holder) RecordReport(sequence uint64, now time.Time) {
	if h.pending == nil || len(h.pending) >= maxPending {
		h.pending = map[uint64]time.Time{}
	}
	h.pending[sequence] = now
}

// Renew renews the lease on the answer to a report. It ignores an answer to an
// unknown report.
func (h *Holder) Renew(sequence uint64, ttl time.Duration) {
	sent, ok := h.pending[sequence]
	if !ok {
		return
	}
	for s := range h.pending {
		if s <= sequence {
			delete(h.pending, s)
		}
	}
	if expiresAt := sent.Add(ttl); expiresAt.After(h.expiresAt) {
		h.expiresAt = expiresAt
	}
}

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.expiresAt) }

// ExpiresAt returns the expiry time of the lease.
func (h *Holder) ExpiresAt() time.Time { return h.expiresAt }
