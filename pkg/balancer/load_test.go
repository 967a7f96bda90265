package balancer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotstage/shallotstage/pkg/evictor"
	"github.com/shallotstage/shallotstage/pkg/placer"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

// The load of section 4 of the specification: hosts and upstreams of 6 data
// centres in 2 regions.
const (
	dataCentres        = 6
	dataCentresARegion = 3
	services           = 8
	slots              = 4
	// ownerConnections is the owner's part of an upstream's 70 connections, and
	// plannedHomes is the number of organisations placed at an upstream.
	openingTime = 12 * time.Millisecond
	// upstreamLatency is the latency between an owner and its upstream.
	upstreamLatency = 250 * time.Microsecond
	loadDuration    = 48 * time.Second
	burstBegin      = 20 * time.Second
	burstEnd        = 23 * time.Second
	burstFactor     = 1.7
	// queueWaitDivisor divides the objective to get the longest expected wait
	// that an owner accepts, and timeReserve is kept for the statement itself.
	queueWaitDivisor = 3
	timeReserve      = 50 * time.Millisecond
	// atOnce bounds a refusal that counts as immediate: the attempts at three
	// upstreams, one of which is in the other region.
	atOnce = 100 * time.Millisecond
)

var (
	// current are the decisions as launcher makes them.
	current = decisions{placement: true, replicaHomes: 46, primaryHomes: 40, evictByUse: true, ownerConnections: [2]int{54, 8}, reports: true, spill: true}
	// earlier are those without placement.
	earlier = decisions{ownerConnections: [2]int{40, 40}}
)

const (
	noFault fault = "none"
	// ownerLost makes half of the hosts use the second owners.
	ownerLost fault = "owner lost"
	// upstreamLost makes a replica of each service stop answering. Hosts notice
	// after detection and the view no longer names it after removal.
	upstreamLost fault = "upstream lost"
	// upstreamAdded makes a replica of each service known only at faultBegin.
	upstreamAdded fault = "upstream added"
	// upstreamSlow makes a replica of each service slower by slowFactor.
	upstreamSlow fault = "upstream slow"
	// organisationHot makes a large organisation send hotFactor times its rate.
	organisationHot fault = "organisation hot"

	faultBegin = 30 * time.Second
	faultEnd   = 38 * time.Second
	detection  = 400 * time.Millisecond
	removal    = 3 * time.Second
	slowFactor = 6
	hotFactor  = 5
)

// simulation runs a deployment's load against the decisions.
type simulation struct {
	deployment
	decisions
	fault         fault
	rnd           *rand.Rand
	now           time.Duration
	sequence      int
	events        events
	hostList      []*host
	upstreams     []*upstream
	organisations []*organisation
	demands       []placer.Demand
	placements    []placer.Placement
	totalWeight   float64
	starts        map[*queuer.Waiter]func(c *connection)
	// results are by kind of statement and size of the organisation.
	results  map[string]*result
	bySecond map[int]*result
	// far counts the reads sent to the other region.
	far int
}

func simulate(d deployment, x decisions, f fault, seed uint64) *simulation {
	s := &simulation{
		deployment: d, decisions: x, fault: f, rnd: rand.New(rand.NewPCG(seed, 7)), starts: map[*queuer.Waiter]func(*connection){},
		results: map[string]*result{}, bySecond: map[int]*result{}, placements: make([]placer.Placement, services),
	}
	for i := range d.organisations {
		o := &organisation{name: fmt.Sprintf("o-%d", i), weight: 0.5 + s.rnd.Float64(), large: i < 5}
		if o.large {
			o.weight = 10
		}
		s.organisations = append(s.organisations, o)
		s.totalWeight += o.weight
		s.demands = append(s.demands, placer.Demand{Organisation: o.name, Weight: o.weight})
	}
	for service := range services {
		for i, dataCentre := range upstreamDataCentres {
			u := &upstream{
				id: fmt.Sprintf("u-%d-%d", service, i), index: len(s.upstreams), service: service, dataCentre: dataCentre, free: slots,
				primary: service%len(upstreamDataCentres) == i, affected: (service+1)%len(upstreamDataCentres) == i,
			}
			for j, limit := range x.ownerConnections {
				u.pools[j] = &pool{upstream: u, limit: limit, queue: queuer.Queue{Slots: slots}}
			}
			s.upstreams = append(s.upstreams, u)
		}
	}
	for i := range d.hosts {
		s.hostList = append(s.hostList, &host{dataCentre: i % dataCentres, inFlight: make([]int, len(s.upstreams)), latency: make([]time.Duration, len(s.upstreams)), suspect: make([]bool, len(s.upstreams)), reports: make([]loadReport, len(s.upstreams))})
	}
	s.run()
	return s
}

// isFaulty reports whether the fault is present.
func (s *simulation) isFaulty() bool { return s.now >= faultBegin && s.now < faultEnd }

// isKnown reports whether the view names an upstream.
func (s *simulation) isKnown(u *upstream) bool {
	switch {
	case u.affected && s.fault == upstreamAdded:
		return s.now >= faultBegin
	case u.affected && s.fault == upstreamLost:
		return s.now < faultBegin+removal || s.now >= faultEnd
	}
	return true
}

func (s *simulation) ofService(service int) []*upstream {
	return s.upstreams[service*len(upstreamDataCentres):][:len(upstreamDataCentres)]
}

// place computes the placements as launcher does for a new view.
func (s *simulation) place() {
	for service := range services {
		byRegion := map[string][]placer.Capacity{}
		for _, u := range s.ofService(service) {
			homes := s.replicaHomes
			if u.primary {
				homes = s.primaryHomes
			}
			if region := fmt.Sprint(u.dataCentre / dataCentresARegion); s.isKnown(u) {
				byRegion[region] = append(byRegion[region], placer.Capacity{Upstream: u.id, MaxHomes: homes})
			}
		}
		s.placements[service] = placer.Place(fmt.Sprint(service), s.demands, byRegion)
	}
}

func (s *simulation) after(d time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + d, s.sequence, f})
}

func (s *simulation) time() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) run() {
	s.place()
	for _, at := range []time.Duration{faultBegin, faultBegin + removal, faultEnd} {
		s.after(at, s.place)
	}
	for i := range s.kinds {
		s.after(0, func() { s.arrive(&s.kinds[i]) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) arrive(k *kind) {
	if s.now >= loadDuration {
		return
	}
	rate := k.rate
	if s.now >= burstBegin && s.now < burstEnd {
		rate *= burstFactor
	}
	if s.fault == organisationHot && s.isFaulty() {
		rate /= 1 - s.hotShare()
	}
	s.after(time.Duration(s.rnd.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(k) })
	s.attempt(&statement{kind: k, organisation: s.pickOrganisation(), host: s.hostList[s.rnd.IntN(len(s.hostList))], service: s.rnd.IntN(services), arrived: s.now, excluded: map[int]bool{}})
}

// hotShare returns the fraction of the statements that a hot organisation sends in
// addition to its usual ones.
func (s *simulation) hotShare() float64 {
	more := (hotFactor - 1) * s.organisations[0].weight
	return more / (s.totalWeight + more)
}

func (s *simulation) pickOrganisation() *organisation {
	if s.fault == organisationHot && s.isFaulty() && s.rnd.Float64() < s.hotShare() {
		return s.organisations[0]
	}
	x := s.rnd.Float64() * s.totalWeight
	for _, o := range s.organisations {
		if x -= o.weight; x < 0 {
			return o
		}
	}
	return s.organisations[0]
}

func (s *simulation) end(st *statement, count func(r *result)) {
	size := "small"
	if st.organisation.large {
		size = "large"
	}
	key, second := st.kind.name+" "+size, int(st.arrived/time.Second)
	if s.results[key] == nil {
		s.results[key] = &result{}
	}
	if s.bySecond[second] == nil {
		s.bySecond[second] = &result{}
	}
	count(s.results[key])
	count(s.bySecond[second])
}

func (s *simulation) refuse(st *statement) {
	s.end(st, func(r *result) {
		if s.now-st.arrived <= atOnce {
			r.refusedAtOnce++
		} else {
			r.refusedLate++
		}
	})
}

func (s *simulation) attempt(st *statement) {
	u := s.choose(st)
	if u == nil {
		s.refuse(st)
		return
	}
	if u.dataCentre/dataCentresARegion != st.host.dataCentre/dataCentresARegion && !st.kind.primary {
		s.far++
	}
	sent, hop := s.now, oneWay(st.host.dataCentre, u.dataCentre)
	st.host.inFlight[u.index]++
	if s.fault == upstreamLost && u.affected && s.isFaulty() {
		s.after(detection, func() {
			st.host.suspect[u.index] = true
			s.after(max(0, faultEnd-s.now), func() { st.host.suspect[u.index] = false })
			s.retry(st, u)
		})
		return
	}
	p := u.pools[0]
	if s.fault == ownerLost && s.isFaulty() && slices.Index(s.hostList, st.host)%2 == 0 {
		p = u.pools[1]
	}
	s.after(hop, func() { s.enqueue(st, p, hop, sent) })
}

// retry sends a read to another upstream and refuses a write.
func (s *simulation) retry(st *statement, u *upstream) {
	st.host.inFlight[u.index]--
	st.excluded[u.index] = true
	if st.kind.primary {
		s.refuse(st)
		return
	}
	s.attempt(st)
}

func (s *simulation) enqueue(st *statement, p *pool, hop, sent time.Duration) {
	left := st.arrived + st.kind.deadline - s.now
	w := &queuer.Waiter{Organisation: st.organisation.name, EnqueuedAt: s.time()}
	if p.queue.ExpectedWait(w) > min(st.kind.objective/queueWaitDivisor, left/2) {
		s.after(hop, func() { s.retry(st, p.upstream) })
		return
	}
	p.queue.Push(w)
	s.starts[w] = func(c *connection) {
		if c == nil {
			s.after(hop, func() { s.retry(st, p.upstream) })
			return
		}
		s.start(st, p, c, hop, sent)
	}
	s.after(left-timeReserve, func() {
		if p.queue.Remove(w) {
			delete(s.starts, w)
			st.host.inFlight[p.upstream.index]--
			s.refuse(st)
		}
	})
	s.dispatch(p)
}

func (s *simulation) start(st *statement, p *pool, c *connection, hop, sent time.Duration) {
	u, began := p.upstream, s.now
	u.statements++
	s.occupy(u, time.Duration(float64(st.kind.service)*(0.4+1.2*s.rnd.Float64())), func() {
		p.queue.Stop()
		p.queue.ObserveServiceTime(s.now - began)
		c.use = evictor.Use{Last: s.time(), Previous: c.use.Last}
		p.idle = append(p.idle, c)
		s.dispatch(p)
		load := p.queue.Load()
		load.HasIdle = slices.ContainsFunc(p.idle, func(c *connection) bool { return c.organisation == st.organisation.name })
		s.after(hop, func() {
			st.host.reports[u.index] = loadReport{load, s.now, st.organisation.name}
			s.answer(st, u, sent)
		})
	})
}

func (s *simulation) answer(st *statement, u *upstream, sent time.Duration) {
	h, took := st.host, s.now-sent
	h.inFlight[u.index]--
	if h.latency[u.index] == 0 {
		h.latency[u.index] = took
	}
	h.latency[u.index] += (took - h.latency[u.index]) / 10
	s.end(st, func(r *result) {
		if s.now-st.arrived <= st.kind.objective {
			r.served++
		} else {
			r.late++
		}
	})
}
