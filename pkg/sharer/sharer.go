// Package sharer allocates organisations' rates to hosts, beyond their bases,
// on the leading control host. Package spender enforces the allocations on the
// hosts.
//
// A grant counts as allocated until the host has reported a smaller one as
// applied, or until its lease has certainly expired. A new leader does not know
// the grants of its predecessor. Until all hosts that may hold one have
// reported, or a lease has passed, it keeps a reserve for each that has not, beside
// the fractions that reporting hosts gave up.
//
// # Usage
//
//	s := sharer.Sharer{StartedAt: now, LeaseDuration: 8 * time.Second}
//	s.HandleReport("entry-1", report, now)
//	number, extras := s.Grant("entry-1", now)
//
// A Sharer is not safe for concurrent use: callers must serialise the calls.
package sharer

import (
	"math"
	"time"

	"github.com/shallotstage/shallotstage/pkg/spender"
)

const (
	// grantableFraction is the fraction of a rate that is not in the bases of
	// the hosts.
	grantableFraction = 1 - spender.BaseFraction
	// leaseMargin is how long after the end of a lease its fractions may be
	// granted again: it covers the delivery time of a grant and the drift
	// between two clocks.
	leaseMargin = 2 * time.Second
	// minGrant is the smallest fraction that is granted.
	minGrant = 0.01
	// pendingReserveFactor is how many times an equal share is kept for a pending host,
	// and minPendingReserve the least fraction.
	pendingReserveFactor = 3
	minPendingReserve    = 0.1
)

// Sharer allocates rates to hosts. StartedAt and LeaseDuration must be set.
type Sharer struct {
	// StartedAt is when this host became leader.
	StartedAt time.Time
	// LeaseDuration is the duration for which extras are granted.
	LeaseDuration time.Duration
	// PendingHosts are the hosts that may hold grants of a previous leader and
	// have not reported yet.
	PendingHosts map[string]bool

	hosts  map[string]*host
	totals map[string]*total
	number uint64
	// released are the fractions that hosts gave up while others were awaited.
	released map[string]float64
}

// total is the sum of one organisation's demand and allocations over all hosts.
type total struct {
	demand, allocated float64
}

// totalOf returns an organisation's totals.
func (s *Sharer) totalOf(name string) *total {
	t := s.totals[name]
	if t == nil {
		if s.totals == nil {
			s.totals = map[string]*total{}
		}
		t = &total{}
		s.totals[name] = t
	}
	return t
}

// setDemands replaces a host's demands and updates the totals.
func (s *Sharer) setDemands(h *host, demands map[string]float64) {
	for name, d := range h.demands {
		s.totalOf(name).demand -= d
	}
	for name, d := range demands {
		s.totalOf(name).demand += d
	}
	h.demands = demands
}

// setAllocated replaces the fractions that a host may hold and updates the
// totals.
func (s *Sharer) setAllocated(h *host, allocated map[string]float64) {
	for name, fraction := range h.allocated {
		s.addAllocated(name, -fraction)
	}
	for name, fraction := range allocated {
		s.addAllocated(name, fraction)
	}
	h.allocated = allocated
}

// addAllocated adds to the fraction of one organisation's rate that hosts may
// hold.
func (s *Sharer) addAllocated(name string, fraction float64) {
	s.totalOf(name).allocated += fraction
	if s.released == nil {
		s.released = map[string]float64{}
	}
	s.released[name] -= fraction
}

// host is the state of one incarnation of an entry host.
type host struct {
	demands map[string]float64
	// granted are the extras last granted. allocated are the upper bounds of
	// what the host may hold.
	granted   map[string]float64
	allocated map[string]float64
	number    uint64
	// expiry is when the newest lease has certainly expired.
	expiry time.Time
}

// HandleReport processes a host's report.
func (s *Sharer) HandleReport(id string, r spender.Report, now time.Time) {
	if s.hosts == nil {
		s.hosts = map[string]*host{}
	}
	delete(s.PendingHosts, id)
	h := s.hosts[id]
	if h == nil {
		h = &host{granted: clone(r.Extras), expiry: now.Add(s.LeaseDuration + leaseMargin)}
		s.setAllocated(h, clone(r.Extras))
		for name, fraction := range r.Extras {
			// The host held this fraction before its first report.
			s.released[name] += fraction
		}
		s.hosts[id] = h
	}
	s.setDemands(h, r.Demands)
	if r.GrantNumber == h.number {
		s.setAllocated(h, clone(h.granted))
	}
}

// AwaitHosts makes hosts pending that have not reported yet. It must be called before the
// first grant.
func (s *Sharer) AwaitHosts(hosts map[string]bool) {
	s.PendingHosts = map[string]bool{}
	for id := range hosts {
		if s.hosts[id] == nil {
			s.PendingHosts[id] = true
		}
	}
}

// RemoveHost removes a host that has certainly stopped.
func (s *Sharer) RemoveHost(id string) {
	if h := s.hosts[id]; h != nil {
		s.setDemands(h, nil)
		s.setAllocated(h, nil)
		delete(s.hosts, id)
	}
}

// HasGrant reports whether a host may hold an extra of an organisation.
func (s *Sharer) HasGrant(id, organisation string) bool {
	h := s.hosts[id]
	return h != nil && h.allocated[organisation] > 0
}

// reductionFraction is the fraction of a grant below which a host should
// receive its smaller one at once.
const reductionFraction = 0.8

// OverAllocated returns the hosts that hold clearly more than their fair share
// of an organisation's rate while the given host cannot get its own. They
// should be granted their smaller extras at once.
func (s *Sharer) OverAllocated(id string, now time.Time) []string {
	requester := s.hosts[id]
	if requester == nil {
		return nil
	}
	var lacking []string
	for name, demand := range requester.demands {
		if s.grantable(requester, name, demand, now) < reductionFraction*s.fairShare(name, demand) {
			lacking = append(lacking, name)
		}
	}
	var holders []string
	for other, h := range s.hosts {
		for _, name := range lacking {
			if fairShare := s.fairShare(name, h.demands[name]); other != id && h.granted[name] >= minGrant && fairShare < reductionFraction*h.granted[name] {
				holders = append(holders, other)
				break
			}
		}
	}
	return holders
}

// fairShare returns the fraction to which a demand is entitled.
func (s *Sharer) fairShare(name string, demand float64) float64 {
	all := s.totalOf(name).demand
	if all <= 0 {
		return 0
	}
	return grantableFraction * demand / all
}

// Grant returns a host's new extras, to be sent at once. They are valid for
// LeaseDuration.
func (s *Sharer) Grant(id string, now time.Time) (number uint64, extras map[string]float64) {
	h := s.hosts[id]
	if h == nil {
		return 0, nil
	}
	s.expire(now)
	next := map[string]float64{}
	for name, demand := range h.demands {
		if fraction := s.grantable(h, name, demand, now); fraction >= minGrant {
			next[name] = fraction
		}
	}
	s.number++
	h.granted, h.number, h.expiry = next, s.number, now.Add(s.LeaseDuration+leaseMargin)
	allocated := clone(h.allocated)
	for name, fraction := range next {
		allocated[name] = math.Max(allocated[name], fraction)
	}
	s.setAllocated(h, allocated)
	return s.number, clone(next)
}

// grantable returns the fraction of one organisation's rate that a host can get
// now.
func (s *Sharer) grantable(h *host, name string, demand float64, now time.Time) float64 {
	free := math.Max(0, grantableFraction-s.totalOf(name).allocated)
	if len(s.PendingHosts) > 0 && now.Sub(s.StartedAt) < s.LeaseDuration+leaseMargin {
		// Hosts that have not reported yet may hold a part of what seems free.
		free = math.Min(free, math.Max(free-s.pendingReserve(), s.released[name]))
		free = math.Max(0, free)
	}
	return math.Min(s.fairShare(name, demand), h.allocated[name]+free)
}

// pendingReserve returns the fraction of a rate that the pending hosts may hold together.
// When all hosts have restarted and a few stay away, the others must not wait for the end
// of a lease with their bases alone.
func (s *Sharer) pendingReserve() float64 {
	hosts := len(s.PendingHosts) + len(s.hosts)
	return float64(len(s.PendingHosts)) * math.Max(minPendingReserve, pendingReserveFactor/float64(hosts))
}

// expire removes the hosts whose lease has ended.
func (s *Sharer) expire(now time.Time) {
	for id, h := range s.hosts {
		if now.After(h.expiry) {
			s.RemoveHost(id)
		}
	}
}

func clone(m map[string]float64) map[string]float64 {
	c := make(map[string]float64, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
