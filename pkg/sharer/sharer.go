// Package sharer divides the lent part of organisations' rates between hosts,
// on the leading control host. Package spender is its other end.
//
// What a host may spend is counted until the host has told that it took a
// smaller grant, or until the grant's lease has certainly ended. Until a new
// leader has heard all hosts that were lent anything, or for the time of a lease,
// it lends only what hosts gave up that it has heard.
//
// # Usage
//
//	s := sharer.Sharer{Begun: now, Lease: 8 * time.Second}
//	s.Take("entry-1", report, now)
//	number, extras := s.Grant("entry-1", now)
//
// A Sharer is plain state: its user serialises the calls.
package sharer

import (
	"math"
	"time"

	"github.com/shallotstage/shallotstage/pkg/spender"
)

const (
	// lentPart is what the bases of all hosts leave.
	lentPart = 1 - spender.BasePart
	// leaseReserve is added to a lease before what it lent is lent again: the
	// time a grant may be under way, and the drift of two clocks.
	leaseReserve = 2 * time.Second
	// step is the smallest change of a part that is worth a grant.
	step = 0.01
)

// Sharer divides rates. Begun and Lease must be set.
type Sharer struct {
	// Begun is when the leader began to lead.
	Begun time.Time
	// Lease is the time for which extras are lent.
	Lease time.Duration
	// Awaited are the hosts that may hold what an earlier leader lent and were
	// not heard yet.
	Awaited map[string]bool

	hosts  map[string]*host
	totals map[string]*total
	number uint64
	// released are the parts that hosts gave up while others were awaited.
	released map[string]float64
}

// total sums one organisation over all hosts.
type total struct {
	demand, bound float64
}

// totalOf returns an organisation's sums.
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

// setDemands replaces a host's demands.
func (s *Sharer) setDemands(h *host, demands map[string]float64) {
	for name, d := range h.demands {
		s.totalOf(name).demand -= d
	}
	for name, d := range demands {
		s.totalOf(name).demand += d
	}
	h.demands = demands
}

// setBound replaces what a host may hold.
func (s *Sharer) setBound(h *host, bound map[string]float64) {
	for name, part := range h.bound {
		s.move(name, -part)
	}
	for name, part := range bound {
		s.move(name, part)
	}
	h.bound = bound
}

// move changes what hosts may hold of one organisation.
func (s *Sharer) move(name string, part float64) {
	s.totalOf(name).bound += part
	if s.released == nil {
		s.released = map[string]float64{}
	}
	s.released[name] -= part
}

// host is what is known of one incarnation of an entry host.
type host struct {
	demands map[string]float64
	// granted are the extras last granted, bound what the host may hold.
	granted map[string]float64
	bound   map[string]float64
	number  uint64
	// until is when the newest lease has certainly ended.
	until time.Time
}

// Take takes a host's report.
func (s *Sharer) Take(id string, r spender.Report, now time.Time) {
	if s.hosts == nil {
		s.hosts = map[string]*host{}
	}
	delete(s.Awaited, id)
	h := s.hosts[id]
	if h == nil {
		h = &host{granted: copyOf(r.Extras), until: now.Add(s.Lease + leaseReserve)}
		s.setBound(h, copyOf(r.Extras))
		for name, part := range r.Extras {
			// The host held it before it was heard.
			s.released[name] += part
		}
		s.hosts[id] = h
	}
	s.setDemands(h, r.Demands)
	if r.Grant == h.number {
		s.setBound(h, copyOf(h.granted))
	}
}

// Forget drops a host that has certainly ended.
func (s *Sharer) Forget(id string) {
	if h := s.hosts[id]; h != nil {
		s.setDemands(h, nil)
		s.setBound(h, nil)
		delete(s.hosts, id)
	}
}

// Holds reports whether a host may hold a part of an organisation's lent part.
func (s *Sharer) Holds(id, organisation string) bool {
	h := s.hosts[id]
	return h != nil && h.bound[organisation] > 0
}

// shrinkPart is the part of a grant below which a host should learn of its
// smaller one at once.
const shrinkPart = 0.8

// Holding returns the hosts that hold clearly more than they are due of what a
// host asks for and cannot get. They are to be granted anew at once.
func (s *Sharer) Holding(id string, now time.Time) []string {
	asker := s.hosts[id]
	if asker == nil {
		return nil
	}
	var lacking []string
	for name, demand := range asker.demands {
		if s.part(asker, name, demand, now) < shrinkPart*s.due(name, demand) {
			lacking = append(lacking, name)
		}
	}
	var holding []string
	for other, h := range s.hosts {
		for _, name := range lacking {
			if due := s.due(name, h.demands[name]); other != id && h.granted[name] >= step && due < shrinkPart*h.granted[name] {
				holding = append(holding, other)
				break
			}
		}
	}
	return holding
}

// due is the part that a demand is due.
func (s *Sharer) due(name string, demand float64) float64 {
	all := s.totalOf(name).demand
	if all <= 0 {
		return 0
	}
	return lentPart * demand / all
}

// Grant returns a host's new extras, to be told at once. They hold for Lease.
func (s *Sharer) Grant(id string, now time.Time) (number uint64, extras map[string]float64) {
	h := s.hosts[id]
	if h == nil {
		return 0, nil
	}
	s.expire(now)
	next := map[string]float64{}
	for name, demand := range h.demands {
		if part := s.part(h, name, demand, now); part >= step {
			next[name] = part
		}
	}
	s.number++
	h.granted, h.number, h.until = next, s.number, now.Add(s.Lease+leaseReserve)
	bound := copyOf(h.bound)
	for name, part := range next {
		bound[name] = math.Max(bound[name], part)
	}
	s.setBound(h, bound)
	return s.number, copyOf(next)
}

// part returns what a host gets of one organisation's lent part.
func (s *Sharer) part(h *host, name string, demand float64, now time.Time) float64 {
	free := math.Max(0, lentPart-s.totalOf(name).bound)
	if len(s.Awaited) > 0 && now.Sub(s.Begun) < s.Lease+leaseReserve {
		// Hosts that were not heard yet may hold the rest of what seems free.
		free = math.Min(free, math.Max(0, s.released[name]))
	}
	return math.Min(s.due(name, demand), h.bound[name]+free)
}

// expire forgets what hosts held whose lease has ended.
func (s *Sharer) expire(now time.Time) {
	for id, h := range s.hosts {
		if now.After(h.until) {
			s.Forget(id)
		}
	}
}

func copyOf(m map[string]float64) map[string]float64 {
	c := make(map[string]float64, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
