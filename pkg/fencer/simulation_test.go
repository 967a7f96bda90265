package fencer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The simulation plays changes of primary on a platform that leaves a replaced
// primary in place. Control agrees on a change, waits for the leases, and asks the
// platform, which promotes some time later. Hosts write and read at what they take for
// the primary; messages are delayed and lost, hosts freeze, leaders change.

// plantedFault removes one safeguard, which the simulation must then miss.
type plantedFault string

const (
	noFault           plantedFault = ""
	faultNoLeaseWait  plantedFault = "the platform is asked at once"
	faultNoGate       plantedFault = "answers are acknowledged whatever the topology says"
	faultNoLease      plantedFault = "answers are acknowledged without a lease"
	faultForgetLeases plantedFault = "a new leader waits for no earlier lease"
	faultNoCatchUp    plantedFault = "a planned change does not wait for the candidate"
	faultLapse        plantedFault = "a host gets a lease before it has followed a hand-over, and goes on where it was"
	faultNotDemoted   plantedFault = "a replaced primary becomes a candidate before it was demoted"
)

const (
	simHosts = 3
	simTTL   = 300 * time.Millisecond
	simSteps = 1000
)

type simTopology struct {
	index    uint64
	primary  string
	handOver *HandOver
	// candidate is set during a hand-over.
	candidate string
}

type simUpstream struct {
	leads bool
	// promotedAt is when it last became the primary.
	promotedAt time.Duration
	log        []int
}

type simWork struct {
	use       Use
	upstream  string
	write     bool
	startedAt time.Duration
	// done is true once the upstream has carried it out. For a write, id is then its
	// number in the log; for a read, log is what was read.
	done   bool
	doneAt time.Duration
	id     int
	log    []int
}

type simHost struct {
	gate     Gate
	holder   Holder
	topology simTopology
	leader   int
	first    bool
	sequence uint64
	frozen   time.Duration
	work     []*simWork
}

type simMessage struct {
	host, leader int
	sequence     uint64
	// index, first and holdsLease are those of a report, the others of its answer.
	index             uint64
	first, holdsLease bool
	topology          simTopology
	lease             bool
}

type simCall struct {
	candidate string
	at        time.Duration
	log       []int
}

type simulation struct {
	rnd       *rand.Rand
	fault     plantedFault
	now       time.Duration
	upstreams map[string]*simUpstream
	agreed    simTopology
	leader    int
	granter   Granter
	asked     bool
	calls     []simCall
	hosts     []*simHost
	reports   []simMessage
	answers   []simMessage
	nextID    int
	// acknowledged holds the writes that were acknowledged, by ID, and when.
	acknowledged map[int]time.Duration
	lastEffect   time.Duration
	changes      int
	failure      string
}

func newSimulation(seed uint64, fault plantedFault) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 3)), fault: fault, upstreams: map[string]*simUpstream{}, acknowledged: map[int]time.Duration{}}
	for _, id := range []string{"a", "b", "c"} {
		s.upstreams[id] = &simUpstream{leads: id == "a"}
	}
	s.agreed = simTopology{index: 10, primary: "a"}
	s.granter = Granter{TTL: simTTL}
	s.granter.Reset(s.clock())
	for range simHosts {
		s.hosts = append(s.hosts, &simHost{gate: Gate{Exclusive: true, HandOverTimeout: 60 * time.Millisecond}, leader: -1})
	}
	return s
}

func (s *simulation) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) step() {
	s.now += time.Duration(s.rnd.IntN(6)) * time.Millisecond
	for i := 0; i < len(s.calls); i++ {
		if s.calls[i].at <= s.now {
			s.promote(s.calls[i])
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			i--
		}
	}
	i := s.rnd.IntN(simHosts)
	h := s.hosts[i]
	switch s.rnd.IntN(24) {
	case 0:
		s.changeLeader()
	case 1:
		if s.rnd.IntN(6) == 0 {
			h.frozen = s.now + time.Duration(s.rnd.IntN(900))*time.Millisecond
		}
	case 2:
		s.agree()
	case 3:
		s.announce()
	case 4:
		s.drop()
	case 5, 6, 7, 8:
		s.receiveReport()
	case 9, 10, 11, 12:
		s.receiveAnswer()
	case 13, 14, 15:
		s.report(i)
	case 16, 17, 18, 19:
		s.begin(h)
	case 20, 21:
		s.execute(h)
	default:
		s.finish(h)
	}
	s.advance()
}

func (s *simulation) changeLeader() {
	if s.rnd.IntN(8) > 0 {
		return
	}
	s.leader++
	s.asked = false
	s.granter.Reset(s.clock())
	s.granter.SetKnownHolders([]string{"0", "1", "2"})
	if s.fault == faultForgetLeases {
		s.granter = Granter{TTL: simTTL}
	}
	if s.agreed.handOver != nil {
		// The order of the earlier leader is given again under a token of its own.
		s.order(s.agreed.candidate, false)
	}
}

// order agrees on a change of primary.
func (s *simulation) order(candidate string, planned bool) {
	s.agreed.index++
	s.agreed.candidate = candidate
	s.agreed.handOver = &HandOver{Token: s.agreed.index, Former: s.agreed.primary, Planned: planned}
	s.asked = false
}

func (s *simulation) agree() {
	if s.agreed.handOver != nil || len(s.calls) > 0 || s.rnd.IntN(3) > 0 {
		return
	}
	ids := []string{"a", "b", "c"}
	candidate := ids[s.rnd.IntN(3)]
	if candidate != s.agreed.primary && (!s.upstreams[candidate].leads || s.fault == faultNotDemoted) {
		s.order(candidate, s.rnd.IntN(2) == 0)
	}
}

// advance asks the platform once no host may act at the former primary.
func (s *simulation) advance() {
	h := s.agreed.handOver
	if h == nil || s.asked || (s.fault != faultNoLeaseWait && !s.granter.InForce(h.Token, s.clock())) {
		return
	}
	s.asked = true
	former, candidate := s.upstreams[h.Former], s.upstreams[s.agreed.candidate]
	log := append([]int(nil), former.log...)
	if !h.Planned || s.fault == faultNoCatchUp {
		log = log[:s.rnd.IntN(len(log)+1)]
	}
	if candidate.leads && candidate.promotedAt >= former.promotedAt {
		// An earlier call for the same candidate has come into effect.
		log = candidate.log
	}
	s.calls = append(s.calls, simCall{candidate: s.agreed.candidate, at: s.now + time.Duration(20+s.rnd.IntN(150))*time.Millisecond, log: log})
	if h.Planned {
		s.checkPlanned(log)
	}
}

// checkPlanned checks that a candidate of a planned change holds all acknowledged writes
// of the primary that hands over.
func (s *simulation) checkPlanned(log []int) {
	held := map[int]bool{}
	for _, id := range log {
		held[id] = true
	}
	for _, id := range s.upstreams[s.agreed.handOver.Former].log {
		if _, ok := s.acknowledged[id]; ok && !held[id] {
			s.failure = fmt.Sprintf("write %d was acknowledged and is not at the candidate of a planned change", id)
		}
	}
}

func (s *simulation) promote(c simCall) {
	u := s.upstreams[c.candidate]
	if u.leads && u.promotedAt == s.lastEffect && s.lastEffect > 0 {
		return
	}
	u.leads, u.promotedAt, u.log = true, s.now, append([]int(nil), c.log...)
	s.lastEffect = s.now
	s.changes++
}

// announce lets control learn that the candidate leads, or tells a replaced primary.
func (s *simulation) announce() {
	if s.agreed.handOver != nil && s.upstreams[s.agreed.candidate].promotedAt == s.lastEffect && s.lastEffect > 0 && s.asked {
		s.agreed = simTopology{index: s.agreed.index + 1, primary: s.agreed.candidate}
		return
	}
	if s.agreed.handOver == nil && s.rnd.IntN(4) == 0 {
		for id, u := range s.upstreams {
			u.leads = u.leads && id == s.agreed.primary
		}
	}
}

func (s *simulation) drop() {
	if len(s.answers) > 0 && s.rnd.IntN(4) == 0 {
		s.answers = s.answers[1:]
	}
}

func (s *simulation) report(i int) {
	h := s.hosts[i]
	if s.now < h.frozen {
		return
	}
	if h.leader != s.leader {
		h.leader, h.first = s.leader, true
	}
	h.sequence++
	h.holder.RecordReport(h.sequence, s.clock())
	s.reports = append(s.reports, simMessage{
		host: i, leader: h.leader, sequence: h.sequence, index: h.gate.Release(h.topology.index, s.clock()), first: h.first, holdsLease: h.holder.Valid(s.clock()),
	})
	h.first = false
}

func (s *simulation) receiveReport() {
	if len(s.reports) == 0 {
		return
	}
	r := s.reports[0]
	s.reports = s.reports[1:]
	if r.leader != s.leader {
		return
	}
	name := fmt.Sprint(r.host)
	if r.first && !r.holdsLease {
		if s.granter.leases == nil {
			s.granter.Reset(s.clock())
		}
		s.granter.Release(name)
	}
	if s.granter.leases != nil {
		s.granter.RecordVersion(name, r.index)
	}
	s.advance()
	waits := s.agreed.handOver != nil && (!s.asked || s.fault != faultLapse) && r.index < s.agreed.handOver.Token
	if !waits {
		s.granter.Grant(name, r.index, s.clock())
	}
	s.answers = append(s.answers, simMessage{host: r.host, leader: r.leader, sequence: r.sequence, topology: s.agreed, lease: !waits})
}

func (s *simulation) receiveAnswer() {
	if len(s.answers) == 0 {
		return
	}
	a := s.answers[0]
	h := s.hosts[a.host]
	if s.now < h.frozen {
		// The answer waits; those behind it for other hosts go first.
		s.answers = append(s.answers[1:], a)
		return
	}
	s.answers = s.answers[1:]
	if a.leader != h.leader || a.topology.index < h.topology.index {
		return
	}
	h.topology = a.topology
	primary := a.topology.primary
	if a.topology.handOver != nil {
		primary = a.topology.candidate
	}
	h.gate.SetPrimary("s", primary, a.topology.handOver, s.clock())
	if a.lease {
		if !h.holder.Valid(s.clock()) && s.fault != faultLapse {
			h.gate.LeaseEnded()
		}
		h.holder.Renew(a.sequence, simTTL)
	}
}
