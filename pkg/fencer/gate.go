package fencer

import "time"

// Gate is an entry host's record of its work at the primaries of services. The zero
// value lets work pass to any upstream.
type Gate struct {
	// Exclusive is true if nothing but leases keeps a replaced primary from
	// committing. Work then passes only to the upstream that the host's topology
	// names, and answers of others are not acknowledged.
	Exclusive bool
	// HandOverTimeout is how long work that began at a primary before a planned
	// hand-over may go on.
	HandOverTimeout time.Duration
	// HoldTimeout is how long new work is kept from a primary that hands over or is
	// abandoned, if the gate is not exclusive.
	HoldTimeout time.Duration

	services map[string]*gateService
	// period counts the times at which the host's lease had ended.
	period int
}

// Use is work in progress at an upstream as the primary of a service.
type Use struct {
	Service, Upstream string
	// generation and period are those of the gate when the work began.
	generation, period int
}

// gateService is the state of one service.
type gateService struct {
	// primary is the upstream to which new work passes.
	primary string
	// generation counts the changes of primary.
	generation int
	// handOver is the latest change of primary, until it has come into effect.
	handOver *handOver
	// uses counts the work in progress by upstream.
	uses map[string]int
	// abandoned is the former primary of the latest hand-over with AbandonsFormer, and
	// abandonedBefore the generation before which work at it is not acknowledged.
	abandoned       string
	abandonedBefore int
}

// handOver is a change of primary that has not come into effect.
type handOver struct {
	HandOver
	// releaseAt is when the host lets go of the former primary at the latest, and
	// holdUntil when new work may pass to it again.
	releaseAt, holdUntil time.Time
	released             bool
}

// HandOver describes a change of primary that has been agreed.
type HandOver struct {
	// Token is the log index of the decision.
	Token uint64
	// Former is the primary that is replaced, or empty.
	Former string
	// Planned is true if the former primary still serves.
	Planned bool
	// Timeout is how long work that began at the former primary may go on, if that is
	// longer than HandOverTimeout of the gate.
	Timeout time.Duration
	// AbandonsFormer is true if what the former primary commits from now on may be lost
	// and must not be acknowledged.
	AbandonsFormer bool
}

func (g *Gate) service(name string) *gateService {
	if g.services == nil {
		g.services = map[string]*gateService{}
	}
	s := g.services[name]
	if s == nil {
		s = &gateService{uses: map[string]int{}}
		g.services[name] = s
	}
	return s
}

// SetPrimary records the primary of a service by the host's topology. During a
// change of primary, h is set and primary is the candidate. It returns how long
// work in progress may go on; zero means that the host lets go at once.
func (g *Gate) SetPrimary(service, primary string, h *HandOver, now time.Time) time.Duration {
	s := g.service(service)
	if s.primary != primary {
		s.primary = primary
		s.generation++
	}
	if h == nil {
		s.handOver = nil
		return 0
	}
	last := s.handOver
	if last != nil && last.Token == h.Token {
		return 0
	}
	wait := time.Duration(0)
	if h.Planned {
		wait = max(g.HandOverTimeout, h.Timeout)
	}
	s.handOver = &handOver{HandOver: *h, releaseAt: now.Add(wait), holdUntil: now}
	// Another candidate does not give back a primary that was released.
	s.handOver.released = last != nil && last.released && last.Former == h.Former
	if h.Planned || h.AbandonsFormer || g.Exclusive {
		s.handOver.holdUntil = now.Add(g.HoldTimeout + max(0, wait-g.HandOverTimeout))
	}
	if h.AbandonsFormer {
		s.generation++
		s.abandoned, s.abandonedBefore = h.Former, s.generation
	}
	return wait
}

// LeaseEnded records that the host's lease has ended since the last call: what began
// before is acknowledged no more. It must be called before another lease is used.
func (g *Gate) LeaseEnded() { g.period++ }

// Begin returns a use of an upstream as the primary, which lasts until End, or false if
// no work may pass to it.
func (g *Gate) Begin(service, upstream string, now time.Time) (Use, bool) {
	s := g.service(service)
	if upstream != s.primary && (g.Exclusive || g.holds(s, now)) {
		return Use{}, false
	}
	s.uses[upstream]++
	return Use{Service: service, Upstream: upstream, generation: s.generation, period: g.period}, true
}

// holds reports whether new work is kept from all upstreams but the candidate.
func (g *Gate) holds(s *gateService, now time.Time) bool {
	return s.handOver != nil && (g.Exclusive || now.Before(s.handOver.holdUntil))
}

// Holds reports whether new work waits for a change of primary of a service.
func (g *Gate) Holds(service string, now time.Time) bool { return g.holds(g.service(service), now) }

// End ends a use. It returns true if it was the last one that a hand-over waited for.
func (g *Gate) End(u Use) bool {
	s := g.service(u.Service)
	s.uses[u.Upstream]--
	if s.uses[u.Upstream] <= 0 {
		delete(s.uses, u.Upstream)
	}
	return s.handOver != nil && !s.handOver.released && !s.isUsed()
}

// isUsed reports whether work is in progress at the primary that hands over.
func (s *gateService) isUsed() bool { return s.uses[s.handOver.Former] > 0 }

// MayAcknowledge reports whether an answer that has just arrived may be passed on as
// that of the primary.
func (g *Gate) MayAcknowledge(u Use) bool {
	s := g.service(u.Service)
	switch {
	case !g.Exclusive:
		return u.Upstream != s.abandoned || u.generation >= s.abandonedBefore
	case u.period != g.period:
		return false
	case u.Upstream == s.primary:
		return u.generation == s.generation
	}
	h := s.handOver
	return h != nil && !h.released && h.Former == u.Upstream && u.generation == s.generation-1
}

// Release returns the log index up to which the host has followed its topology,
// given the topology's own index: it is below the token of each hand-over for which
// work at the former primary is still in progress. No answer of a former primary may
// be acknowledged after a release.
func (g *Gate) Release(index uint64, now time.Time) uint64 {
	for _, s := range g.services {
		h := s.handOver
		if h == nil || h.released {
			continue
		}
		if s.isUsed() && now.Before(h.releaseAt) {
			index = min(index, h.Token-1)
			continue
		}
		h.released = true
	}
	return index
}
