package warmer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The simulation plays the grants of one cold upstream: hosts report, change their minds
// about who owns the upstream, restart, and are suspended also between taking a token and
// sending the statement. Messages are delayed and lost, streams break, leaders change.
// Every host sends whenever it may. The number of statements that arrive in any second is
// checked against the bound.

// plantedFault removes one safeguard, which the simulation must then miss.
type plantedFault string

const (
	noFault              plantedFault = ""
	faultForgetGrants    plantedFault = "a new leader waits for no earlier grant"
	faultLateExpiry      plantedFault = "a grant counts from its arrival"
	faultStoppedClock    plantedFault = "a host's clock stops while it is suspended"
	faultAllHosts        plantedFault = "the leader grants to every host"
	faultFullBucket      plantedFault = "a bucket starts full"
	faultTakeBack        plantedFault = "a grant is taken from an answer to an earlier report"
	faultNoGrantNeeded   plantedFault = "a host without a grant sends"
	faultEachHasARate    plantedFault = "an expired grant stays in use"
	simUpstreamID                     = "u"
	simHosts                          = 5
	simRate                           = 20
	simSlots                          = 3
	simTTL                            = 3 * time.Second
	simDrift                          = 0.01
	simSteps                          = 3000
	simOvershoot                      = 1
	simSlack                          = 2 + simSlots
	simReportInterval                 = time.Second
	simMaxDelay                       = 400 * time.Millisecond
	simMaxSuspend                     = 6 * time.Second
	simLeaderChangeOneIn              = 3000
)

type simHost struct {
	name   string
	holder Holder
	// owns is true while the host takes itself for the first owner.
	owns     bool
	sequence uint64
	// stream identifies its stream; messages of earlier streams are dropped.
	stream     int
	nextReport time.Duration
	// suspendedUntil is when it goes on, suspended the sum of its suspensions.
	suspendedUntil, suspended time.Duration
	// unsent are the statements for which a token was taken before a suspension.
	unsent int
	drift  float64
}

type simMessage struct {
	host, stream, leader int
	at                   time.Duration
	sequence             uint64
	wanted               []string
	grants               map[string]Grant
}

type simulation struct {
	rnd      *rand.Rand
	fault    plantedFault
	now      time.Duration
	granter  Granter
	leader   int
	hosts    []*simHost
	reports  []simMessage
	answers  []simMessage
	arrivals []time.Duration
	// suspends is true if hosts are suspended in this schedule.
	suspends bool
}

func newSimulation(seed uint64, fault plantedFault) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 15)), fault: fault, granter: Granter{TTL: simTTL, MaxClockDrift: simDrift}}
	s.suspends = seed%2 == 0
	for i := range simHosts {
		s.hosts = append(s.hosts, &simHost{name: fmt.Sprint("h", i), owns: i == 0, drift: 1 + simDrift*(s.rnd.Float64()-0.5)})
	}
	return s
}

func (s *simulation) clock() time.Time { return start.Add(s.now) }

// hostClock returns a host's time, which runs at a rate of its own.
func (s *simulation) hostClock(h *simHost) time.Time {
	t := s.now
	if s.fault == faultStoppedClock {
		t -= h.suspended
	}
	return start.Add(time.Duration(float64(t) * h.drift))
}

func (s *simulation) delay() time.Duration { return time.Duration(s.rnd.Int64N(int64(simMaxDelay))) }

func (s *simulation) step() {
	s.now += time.Duration(s.rnd.IntN(6)) * time.Millisecond
	s.deliver()
	if s.rnd.IntN(simLeaderChangeOneIn) == 0 {
		s.leader++
		if s.fault == faultForgetGrants {
			s.granter = Granter{TTL: simTTL, MaxClockDrift: simDrift}
		} else {
			s.granter.Reset(s.clock())
		}
	}
	if s.rnd.IntN(400) == 0 {
		// The hosts learn at different times who the owner is; two may disagree.
		s.hosts[s.rnd.IntN(simHosts)].owns = s.rnd.IntN(2) == 0
	}
	for i, h := range s.hosts {
		if s.now < h.suspendedUntil {
			continue
		}
		for ; h.unsent > 0; h.unsent-- {
			s.arrivals = append(s.arrivals, s.now)
		}
		if s.now >= h.nextReport {
			h.nextReport = s.now + simReportInterval
			s.report(i, h)
		}
		switch s.rnd.IntN(3000) {
		case 0:
			if s.suspends {
				s.suspend(h)
				continue
			}
		case 1:
			// The stream breaks.
			h.stream++
			h.nextReport = s.now
		case 2:
			// The process restarts: what it held is gone.
			h.holder, h.stream, h.unsent = Holder{}, h.stream+1, 0
		}
		s.send(h)
	}
}

func (s *simulation) suspend(h *simHost) {
	d := time.Duration(s.rnd.Int64N(int64(simMaxSuspend)))
	h.suspendedUntil = s.now + d
	h.suspended += d
	for range s.rnd.IntN(simSlots + 1) {
		if ok, _ := h.holder.Take(simUpstreamID, 1, false, s.hostClock(h)); ok {
			h.unsent++
		}
	}
}

func (s *simulation) send(h *simHost) {
	for s.rnd.IntN(3) > 0 {
		ok, _ := h.holder.Take(simUpstreamID, 1+s.rnd.IntN(2), s.rnd.IntN(4) == 0, s.hostClock(h))
		if s.fault == faultNoGrantNeeded && s.rnd.IntN(100) == 0 {
			ok = true
		}
		if !ok {
			return
		}
		s.arrivals = append(s.arrivals, s.now)
	}
}

func (s *simulation) report(i int, h *simHost) {
	var wanted []string
	if h.owns {
		wanted = []string{simUpstreamID}
	}
	h.sequence++
	h.holder.RecordReport(h.sequence, wanted, s.hostClock(h))
	if s.rnd.IntN(10) > 0 {
		s.reports = append(s.reports, simMessage{host: i, stream: h.stream, leader: s.leader, at: s.now + s.delay(), sequence: h.sequence, wanted: wanted})
	}
}

// deliver delivers the messages that have arrived. Those of one stream keep their order:
// a message waits for the ones before it.
func (s *simulation) deliver() {
	s.reports = s.deliverEach(s.reports, s.receiveReport)
	s.answers = s.deliverEach(s.answers, s.receiveAnswer)
}

func (s *simulation) deliverEach(messages []simMessage, receive func(m simMessage)) (left []simMessage) {
	blocked := map[int]bool{}
	for _, m := range messages {
		if m.at > s.now || blocked[m.host] || s.now < s.hosts[m.host].suspendedUntil {
			blocked[m.host] = true
			left = append(left, m)
			continue
		}
		receive(m)
	}
	return left
}

func (s *simulation) receiveReport(m simMessage) {
	if m.leader != s.leader {
		return
	}
	h := s.hosts[m.host]
	s.granter.HandleReport(h.name, m.wanted)
	grants := map[string]Grant{}
	granted := len(m.wanted) > 0 && s.granter.Grant(simUpstreamID, h.name, s.clock())
	if granted || s.fault == faultAllHosts && len(m.wanted) > 0 {
		grants[simUpstreamID] = Budget(simRate, simOvershoot, simSlack-simSlots)
		g := grants[simUpstreamID]
		g.TTL = simTTL
		grants[simUpstreamID] = g
	}
	if s.rnd.IntN(10) > 0 {
		s.answers = append(s.answers, simMessage{host: m.host, stream: m.stream, at: s.now + s.delay(), sequence: m.sequence, grants: grants})
	}
}

func (s *simulation) receiveAnswer(m simMessage) {
	h := s.hosts[m.host]
	if h.stream != m.stream {
		return
	}
	now := s.hostClock(h)
	switch s.fault {
	case faultLateExpiry:
		h.holder.pending[m.sequence] = now
	case faultTakeBack:
		h.holder.returned = nil
		h.holder.wanted = []string{simUpstreamID}
	}
	h.holder.Apply(m.sequence, m.grants, now)
	b := h.holder.grants[simUpstreamID]
	if b == nil {
		return
	}
	switch s.fault {
	case faultFullBucket:
		b.tokens = b.Burst
	case faultEachHasARate:
		b.expiresAt = now.Add(time.Hour)
	}
}

// worst returns the largest number of arrivals in any second, which slides.
func (s *simulation) worst() int {
	slices.Sort(s.arrivals)
	worst, first := 0, 0
	for i, at := range s.arrivals {
		for at-s.arrivals[first] >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// simBound is the bound of the settings. Without suspensions no statement arrives later
// than its token was taken, and the rate and the burst of one grant are the bound.
const (
	simBound     = simRate*simOvershoot + simSlack
	simCalmBound = simRate + maxBurst
)

// runSimulation plays one schedule.
func runSimulation(seed uint64, fault plantedFault) (worst, bound, total int) {
	s := newSimulation(seed, fault)
	for range simSteps {
		s.step()
	}
	bound = simCalmBound
	if s.suspends {
		bound = simBound
	}
	return s.worst(), bound, len(s.arrivals)
}

// Hosts that together exceed the bound of a cold upstream overload it while it is slow.
func TestSimulatedHostsStayWithinTheBound(t *testing.T) {
	const seeds = 2000
	total, most := 0, map[int]int{}
	for seed := range uint64(seeds) {
		worst, bound, n := runSimulation(seed, noFault)
		total += n
		most[bound] = max(most[bound], worst)
		qt.Assert(t, worst <= bound, qt.IsTrue, qt.Commentf("seed %d: %d statements in a second, at most %d are allowed", seed, worst, bound))
	}
	t.Logf("%d statements in %d schedules, most in a second by bound: %v", total, seeds, most)
	// A check of hosts that send nothing would show nothing.
	qt.Assert(t, total > seeds*simRate*2, qt.IsTrue, qt.Commentf("%d statements", total))
}

// A simulation that does not notice a missing safeguard would not show that the
// safeguards work.
func TestSimulationNoticesPlantedFaults(t *testing.T) {
	for _, fault := range []plantedFault{
		faultForgetGrants, faultLateExpiry, faultStoppedClock, faultAllHosts, faultFullBucket, faultTakeBack, faultNoGrantNeeded, faultEachHasARate,
	} {
		t.Run(string(fault), func(t *testing.T) {
			for seed := range uint64(2000) {
				if worst, bound, _ := runSimulation(seed, fault); worst > bound {
					t.Logf("seed %d: %d statements in a second, at most %d are allowed", seed, worst, bound)
					return
				}
			}
			t.Fatal("no schedule exceeds the bound")
		})
	}
}
