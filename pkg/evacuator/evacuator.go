// Package evacuator decides what a host may still send to the upstreams of data
// centres that operators have evacuated.
//
// Until a limit after the order, work that only such an upstream can run may still
// reach it, so that open transactions end and primaries hand over. After the limit
// nothing may, until the order is revoked.
//
// # Usage
//
//	e := &evacuator.Evacuator{Limit: 5 * time.Second}
//	changes := e.Update(view.Evacuations, view.EvacuationAges, now)
//	if e.Decide("dc-1", now) == evacuator.Refuse { ... }
//
// An Evacuator holds no clock. It is not safe for concurrent use.
package evacuator

import (
	"slices"
	"time"
)

const (
	// DefaultLimit is the limit of hosts whose settings name none.
	DefaultLimit = 5 * time.Second
	// DeliveryMargin is how long before the limit a host stops: the order needs this
	// long at most to reach a host that is in contact with control (control hosts that
	// fall silent are left after 1.8 s), and a statement that was sent needs a part of
	// it to reach its upstream.
	DeliveryMargin = 2 * time.Second
)

// Decision is what may be sent to the upstreams of a data centre.
type Decision string

// The decisions.
const (
	// Send means that the data centre is not evacuated.
	Send Decision = "send"
	// Avoid means that only work may be sent that no upstream elsewhere can run.
	Avoid Decision = "avoid"
	// Refuse means that no caller's statement may be sent.
	Refuse Decision = "refuse"
)

// Evacuator is a host's record of the evacuations that it has learnt of.
type Evacuator struct {
	// Limit is the time from the acknowledgement of an order after which no statement
	// may reach the upstreams; zero means DefaultLimit.
	Limit time.Duration

	orders map[string]order
}

// order is an order that the host has learnt of.
type order struct {
	// index is the log index of the order.
	index uint64
	// refuseFrom is when statements are refused.
	refuseFrom time.Time
}

// Change describes an order that the host has just learnt of, or that has ended.
type Change struct {
	DataCentre string
	// Index is the log index of the order.
	Index uint64
	// Ended is true if the order was revoked.
	Ended bool
	// Remaining is the time until statements are refused.
	Remaining time.Duration
}

// Update replaces the known orders with those of the host's latest topology, which
// are keyed by data centre. ages holds how old orders are. One that the host did not
// know and whose age is unknown may be older than the limit: it is in full effect at
// once. The changes are sorted by data centre.
func (e *Evacuator) Update(evacuations map[string]uint64, ages map[string]time.Duration, now time.Time) []Change {
	var changes []Change
	for dataCentre, o := range e.orders {
		if _, ordered := evacuations[dataCentre]; !ordered {
			changes = append(changes, Change{DataCentre: dataCentre, Index: o.index, Ended: true})
			delete(e.orders, dataCentre)
		}
	}
	for dataCentre, index := range evacuations {
		if old, known := e.orders[dataCentre]; known && old.index == index {
			continue
		}
		remaining := time.Duration(0)
		if age, known := ages[dataCentre]; known {
			remaining = max(0, e.window()-max(0, age))
		}
		if e.orders == nil {
			e.orders = map[string]order{}
		}
		e.orders[dataCentre] = order{index: index, refuseFrom: now.Add(remaining)}
		changes = append(changes, Change{DataCentre: dataCentre, Index: index, Remaining: remaining})
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}
		return 1
	})
	return changes
}

// window is how long after an order work may still be sent.
func (e *Evacuator) window() time.Duration {
	limit := e.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	return max(0, limit-DeliveryMargin)
}

// Decide returns what may be sent to the upstreams of a data centre.
func (e *Evacuator) Decide(dataCentre string, now time.Time) Decision {
	o, ordered := e.orders[dataCentre]
	switch {
	case !ordered:
		return Send
	case now.Before(o.refuseFrom):
		return Avoid
	}
	return Refuse
}

// Remaining returns the time until statements to a data centre are refused, or false if
// it is not evacuated.
func (e *Evacuator) Remaining(dataCentre string, now time.Time) (time.Duration, bool) {
	o, ordered := e.orders[dataCentre]
	if !ordered {
		return 0, false
	}
	return max(0, o.refuseFrom.Sub(now)), true
}

// Count returns the number of evacuated data centres.
func (e *Evacuator) Count() int { return len(e.orders) }
