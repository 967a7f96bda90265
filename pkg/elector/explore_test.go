package elector

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	schedules = flag.Int("schedules", 1500, "number of explored schedules")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

const (
	exploreSteps    = 1500
	heartbeat       = 50 * time.Millisecond
	electionTimeout = 300 * time.Millisecond
	maxDrift        = 0.05
)

// disk is the state of one host that survives a crash.
type disk struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

// member is a simulated control host.
type member struct {
	id   string
	e    *Elector
	disk disk
	// storing is the output that is being stored, or nil. A crash loses it.
	storing     *Output
	up          bool
	paused      bool
	clockRate   float64
	clockOffset time.Duration
	applied     []string
	// appliedIndex is the index of the last applied entry.
	appliedIndex uint64
}

// schedule is one simulated run with random message delivery, faults and
// proposals.
type schedule struct {
	rnd           *rand.Rand
	now           time.Duration
	members       map[string]*member
	ids           []string
	inFlight      []Message
	injectedFault injectedFault
	// deliveriesPerStep is the number of messages that one step delivers. A low
	// value lets messages queue up and arrive late.
	deliveriesPerStep int
	// saveProbability is how likely a save is over after each action of its host, and when
	// storeSome is called.
	saveProbability float64
	// lease and stagger are the Config values of all hosts.
	lease, stagger time.Duration
	isolated       map[string]bool
	leaderOfTerm   map[uint64]string
	committed      map[uint64]string
	trace          []string
	failure        string
	proposals      int
}

func (s *schedule) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8s ", s.now)+fmt.Sprintf(format, args...))
}

func (s *schedule) failf(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
		s.tracef("FAILED: %s", s.failure)
	}
}

// clock returns the local time of a host, which drifts from the simulated time.
func (s *schedule) clock(m *member) time.Time {
	return time.Unix(0, 0).Add(m.clockOffset + time.Duration(float64(s.now)*m.clockRate))
}

func newSchedule(seed uint64, fault injectedFault) *schedule {
	s := &schedule{
		rnd: rand.New(rand.NewPCG(seed, 7)), members: map[string]*member{}, injectedFault: fault,
		isolated: map[string]bool{}, leaderOfTerm: map[uint64]string{}, committed: map[uint64]string{},
	}
	s.deliveriesPerStep = 1 + s.rnd.IntN(6)
	settingsRand := rand.New(rand.NewPCG(seed, 8))
	s.lease = electionTimeout - time.Duration(settingsRand.IntN(4))*electionTimeout/5
	s.stagger = time.Duration(settingsRand.IntN(2)) * electionTimeout / 2
	s.saveProbability = []float64{1, 0.5, 0.1, 0.03}[settingsRand.IntN(4)]
	if fault == faultEarlySend || fault == faultEarlyCount || fault == faultEarlyAck {
		s.saveProbability = 0.03
	}
	n := 3 + 2*s.rnd.IntN(2)
	for i := range n + 1 {
		id := fmt.Sprintf("c%d", i)
		s.ids = append(s.ids, id)
		s.members[id] = &member{id: id, clockRate: 1 + maxDrift/2*(s.rnd.Float64()-0.5), clockOffset: time.Duration(s.rnd.IntN(1000)) * time.Second}
	}
	for _, id := range s.ids {
		s.start(s.members[id], Membership{Voters: s.ids[:n]})
	}
	return s
}

func (s *schedule) config(m *member, initial Membership) Config {
	return Config{
		ID: m.id, HeartbeatInterval: heartbeat, ElectionTimeout: electionTimeout, MaxClockDrift: maxDrift, InitialMembership: initial, LeaseDuration: s.lease, ElectionStagger: s.stagger,
		Jitter: func(d time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(d))) },
	}
}

func (s *schedule) start(m *member, initial Membership) {
	e, err := New(s.config(m, initial), m.disk.hardState, m.disk.snapshot, m.disk.entries, s.clock(m))
	if err != nil {
		s.failf("restart of %s: %v", m.id, err)
		return
	}
	m.e, m.up, m.paused, m.storing = e, true, false, nil
	m.applied, m.appliedIndex = nil, m.disk.snapshot.Index
	if m.disk.snapshot.Index > 0 {
		m.applied = strings.Split(string(m.disk.snapshot.Data), ",")
	}
}

// processOutput sends and applies the output of a host until there is none left, and
// begins to store it. With a save that is over at once, it also stores it.
func (s *schedule) processOutput(m *member) {
	for {
		s.injectFault(m)
		out := m.e.Output()
		if out.IsEmpty() {
			if m.storing == nil || s.rnd.Float64() >= s.saveProbability {
				break
			}
			s.endSave(m)
			continue
		}
		if out.NeedsStorage() {
			if m.storing != nil && s.injectedFault == faultEarlyStored {
				s.persist(m, *m.storing)
			} else if m.storing != nil {
				s.failf("%s is given an output to store during a save", m.id)
			}
			m.storing = &out
			if s.injectedFault == faultEarlyStored {
				m.e.Stored(s.clock(m))
			}
		}
		if out.Snapshot != nil {
			m.applied, m.appliedIndex = strings.Split(string(out.Snapshot.Data), ","), out.Snapshot.Index
		}
		s.inFlight = append(s.inFlight, out.Messages...)
		for _, e := range out.Committed {
			s.apply(m, e)
		}
	}
	s.checkLeader(m)
}

// endSave ends the save of a host.
func (s *schedule) endSave(m *member) {
	out := *m.storing
	m.storing = nil
	s.persist(m, out)
	m.e.Stored(s.clock(m))
}

// storeSome ends the saves of some hosts.
func (s *schedule) storeSome() {
	for _, id := range s.ids {
		if m := s.members[id]; m.up && !m.paused && m.storing != nil && s.rnd.Float64() < s.saveProbability {
			s.endSave(m)
			s.processOutput(m)
		}
	}
}

func (s *schedule) persist(m *member, out Output) {
	if c := out.Compaction; c != nil {
		drop := min(c.Index-m.disk.snapshot.Index, uint64(len(m.disk.entries)))
		m.disk.snapshot, m.disk.entries = *c, slices.Clone(m.disk.entries[drop:])
	}
	if out.Snapshot != nil {
		m.disk.snapshot, m.disk.entries = *out.Snapshot, nil
	}
	if out.HardState != nil && s.injectedFault != faultVoteNoSync {
		m.disk.hardState = *out.HardState
	}
	if len(out.Entries) > 0 && s.injectedFault != faultEntryNoSync {
		keep := out.Entries[0].Index - m.disk.snapshot.Index - 1
		if keep > uint64(len(m.disk.entries)) {
			s.failf("%s stores entry %d after entry %d", m.id, out.Entries[0].Index, m.disk.snapshot.Index+uint64(len(m.disk.entries)))
			return
		}
		m.disk.entries = append(slices.Clone(m.disk.entries[:keep]), out.Entries...)
	}
}

// apply applies a committed entry and checks that all hosts apply entries in
// order and the same entry at each index.
func (s *schedule) apply(m *member, e Entry) {
	if e.Index != m.appliedIndex+1 {
		s.failf("%s applies entry %d after entry %d", m.id, e.Index, m.appliedIndex)
	}
	m.appliedIndex = e.Index
	text := fmt.Sprintf("%d:%s", e.Term, e.Data)
	if old, ok := s.committed[e.Index]; ok && old != text {
		s.failf("%s applies %q at index %d, but %q was committed", m.id, text, e.Index, old)
	}
	s.committed[e.Index] = text
	m.applied = append(m.applied, text)
}

func (s *schedule) checkLeader(m *member) {
	if m.e.Role() != RoleLeader {
		return
	}
	if old, ok := s.leaderOfTerm[m.e.Term()]; ok && old != m.id {
		s.failf("%s and %s both lead term %d", old, m.id, m.e.Term())
	}
	s.leaderOfTerm[m.e.Term()] = m.id
}

// checkLeases checks that at most one host holds a leader's lease, and that no
// host leads a later term during that lease.
func (s *schedule) checkLeases() {
	holder := ""
	for _, id := range s.ids {
		m := s.members[id]
		if !m.up || !m.e.HasLease(s.clock(m)) {
			continue
		}
		if holder != "" {
			s.failf("%s and %s both hold a leader's lease", holder, id)
		}
		holder = id
		for _, other := range s.ids {
			o := s.members[other]
			if o.up && o.e.Role() == RoleLeader && o.e.Term() > m.e.Term() {
				s.failf("%s holds the lease of term %d while %s leads term %d", id, m.e.Term(), other, o.e.Term())
			}
		}
	}
}

// step advances the time and performs one random action.
func (s *schedule) step() {
	s.now += time.Duration(s.rnd.IntN(12)) * time.Millisecond
	switch p := s.rnd.Float64(); {
	case p < 0.62:
		for range min(len(s.inFlight), s.deliveriesPerStep) {
			s.deliver()
		}
	case p < 0.92:
		s.tick()
	case p < 0.93:
		s.propose()
	case p < 0.945:
		s.crash()
	case p < 0.965:
		s.restart()
	case p < 0.975:
		s.pause()
	case p < 0.985:
		s.isolate()
	case p < 0.992:
		s.changeMembership()
	default:
		s.compact()
	}
	s.storeSome()
	s.checkLeases()
}

func (s *schedule) deliver() {
	i := s.rnd.IntN(min(len(s.inFlight), 12))
	msg := s.inFlight[i]
	if s.rnd.Float64() > 0.03 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	m := s.members[msg.To]
	if !m.up || m.paused || s.isolated[msg.From] != s.isolated[msg.To] || s.rnd.Float64() < 0.05 {
		return
	}
	if s.injectedFault == faultNoStickiness {
		m.e.lastLeaderContact = time.Time{}
	}
	m.e.Step(msg, s.clock(m))
	s.processOutput(m)
}

func (s *schedule) randomMember() *member { return s.members[s.ids[s.rnd.IntN(len(s.ids))]] }

func (s *schedule) tick() {
	for _, id := range s.ids {
		if m := s.members[id]; m.up && !m.paused {
			m.e.Tick(s.clock(m))
			s.processOutput(m)
		}
	}
}

func (s *schedule) propose() {
	for _, id := range s.ids {
		m := s.members[id]
		if m.up && !m.paused && m.e.Role() == RoleLeader {
			s.proposals++
			_, _, _ = m.e.Propose(fmt.Appendf(nil, "x%d", s.proposals))
			s.processOutput(m)
		}
	}
}

// checkRecovery ends all faults and checks that the hosts commit entries again.
func (s *schedule) checkRecovery() {
	clear(s.isolated)
	for _, id := range s.ids {
		m := s.members[id]
		m.paused = false
		if !m.up {
			s.start(m, Membership{Voters: s.ids[:len(s.ids)-1]})
		}
	}
	before := len(s.committed)
	for range 4000 {
		s.now += 5 * time.Millisecond
		s.tick()
		for _, msg := range s.inFlight {
			m := s.members[msg.To]
			m.e.Step(msg, s.clock(m))
		}
		s.inFlight = nil
		s.tick()
		s.propose()
		s.storeSome()
		if len(s.committed) > before+20 {
			return
		}
	}
	s.failf("no progress after all faults have ended")
}

// explore runs one schedule and returns its failure, if any, and its trace.
func explore(seed uint64, fault injectedFault) (failure string, trace []string) {
	s := newSchedule(seed, fault)
	for i := 0; i < exploreSteps && s.failure == ""; i++ {
		s.step()
	}
	if s.failure == "" {
		s.checkRecovery()
	}
	return s.failure, s.trace
}

func TestExploreSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*schedules); seed++ {
		if failure, trace := explore(seed, faultNone); failure != "" {
			t.Fatalf("seed %d: %s\n%s", seed, failure, strings.Join(trace[max(0, len(trace)-40):], "\n"))
		}
	}
}
