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
	exploreSteps = 1500
	heartbeat    = 50 * time.Millisecond
	election     = 300 * time.Millisecond
	drift        = 0.05
)

// disk is what survives a crash of one host.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// member is one control host of a schedule.
type member struct {
	id      string
	e       *Elector
	disk    disk
	up      bool
	paused  bool
	rate    float64
	offset  time.Duration
	applied []string
	// appliedIndex is the index of the last applied entry.
	appliedIndex uint64
}

// schedule is one explored run.
type schedule struct {
	rnd     *rand.Rand
	now     time.Duration
	members map[string]*member
	ids     []string
	flight  []Message
	plant   plant
	// pace is the number of messages that one step delivers. With a low one
	// messages pile up and arrive late.
	pace int
	// lease and stagger are settings of all hosts.
	lease, stagger time.Duration
	cut            map[string]bool
	leaders        map[uint64]string
	agreed         map[uint64]string
	trace          []string
	failure        string
	counter        int
}

func (s *schedule) note(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8s ", s.now)+fmt.Sprintf(format, args...))
}

func (s *schedule) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
		s.note("FAILED: %s", s.failure)
	}
}

// clock returns a host's own time, which drifts from the true one.
func (s *schedule) clock(m *member) time.Time {
	return time.Unix(0, 0).Add(m.offset + time.Duration(float64(s.now)*m.rate))
}

func newSchedule(seed uint64, p plant) *schedule {
	s := &schedule{
		rnd: rand.New(rand.NewPCG(seed, 7)), members: map[string]*member{}, plant: p,
		cut: map[string]bool{}, leaders: map[uint64]string{}, agreed: map[uint64]string{},
	}
	s.pace = 1 + s.rnd.IntN(6)
	settings := rand.New(rand.NewPCG(seed, 8))
	s.lease = election - time.Duration(settings.IntN(4))*election/5
	s.stagger = time.Duration(settings.IntN(2)) * election / 2
	n := 3 + 2*s.rnd.IntN(2)
	for i := range n + 1 {
		id := fmt.Sprintf("c%d", i)
		s.ids = append(s.ids, id)
		s.members[id] = &member{id: id, rate: 1 + drift/2*(s.rnd.Float64()-0.5), offset: time.Duration(s.rnd.IntN(1000)) * time.Second}
	}
	for _, id := range s.ids {
		s.start(s.members[id], Membership{Voters: s.ids[:n]})
	}
	return s
}

func (s *schedule) config(m *member, initial Membership) Config {
	return Config{
		ID: m.id, Heartbeat: heartbeat, ElectionTimeout: election, Drift: drift, Initial: initial, Lease: s.lease, Stagger: s.stagger,
		Jitter: func(d time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(d))) },
	}
}

func (s *schedule) start(m *member, initial Membership) {
	e, err := New(s.config(m, initial), m.disk.hard, m.disk.snapshot, m.disk.entries, s.clock(m))
	if err != nil {
		s.fail("restart of %s: %v", m.id, err)
		return
	}
	m.e, m.up, m.paused = e, true, false
	m.applied, m.appliedIndex = nil, m.disk.snapshot.Index
	if m.disk.snapshot.Index > 0 {
		m.applied = strings.Split(string(m.disk.snapshot.Data), ",")
	}
}

// settle carries out a host's outputs.
func (s *schedule) settle(m *member) {
	for {
		out := m.e.Output()
		if out.IsEmpty() {
			break
		}
		s.store(m, out)
		s.flight = append(s.flight, out.Messages...)
		for _, e := range out.Committed {
			s.apply(m, e)
		}
	}
	s.checkLeader(m)
}

func (s *schedule) store(m *member, out Output) {
	if out.Snapshot != nil {
		m.disk.snapshot, m.disk.entries = *out.Snapshot, nil
		m.applied, m.appliedIndex = strings.Split(string(out.Snapshot.Data), ","), out.Snapshot.Index
	}
	if out.HardState != nil && s.plant != plantVoteNoSync {
		m.disk.hard = *out.HardState
	}
	if len(out.Entries) > 0 && s.plant != plantEntryNoSync {
		keep := out.Entries[0].Index - m.disk.snapshot.Index - 1
		m.disk.entries = append(slices.Clone(m.disk.entries[:keep]), out.Entries...)
	}
}

// apply checks that every host applies the same entry at an index.
func (s *schedule) apply(m *member, e Entry) {
	if e.Index != m.appliedIndex+1 {
		s.fail("%s applies %d after %d", m.id, e.Index, m.appliedIndex)
	}
	m.appliedIndex = e.Index
	text := fmt.Sprintf("%d:%s", e.Term, e.Data)
	if old, ok := s.agreed[e.Index]; ok && old != text {
		s.fail("%s applies %q at %d, agreed was %q", m.id, text, e.Index, old)
	}
	s.agreed[e.Index] = text
	m.applied = append(m.applied, text)
}

func (s *schedule) checkLeader(m *member) {
	if m.e.Role() != RoleLeader {
		return
	}
	if old, ok := s.leaders[m.e.Term()]; ok && old != m.id {
		s.fail("%s and %s both lead term %d", old, m.id, m.e.Term())
	}
	s.leaders[m.e.Term()] = m.id
}

// checkLeases checks that at most one host holds a leader's lease, and that
// nobody of a later term has committed meanwhile.
func (s *schedule) checkLeases() {
	holder := ""
	for _, id := range s.ids {
		m := s.members[id]
		if !m.up || !m.e.HasLease(s.clock(m)) {
			continue
		}
		if holder != "" {
			s.fail("%s and %s both hold a leader's lease", holder, id)
		}
		holder = id
		for _, other := range s.ids {
			o := s.members[other]
			if o.up && o.e.Role() == RoleLeader && o.e.Term() > m.e.Term() {
				s.fail("%s holds the lease of term %d while %s leads term %d", id, m.e.Term(), other, o.e.Term())
			}
		}
	}
}

// step lets one thing happen.
func (s *schedule) step() {
	s.now += time.Duration(s.rnd.IntN(12)) * time.Millisecond
	switch p := s.rnd.Float64(); {
	case p < 0.62:
		for range min(len(s.flight), s.pace) {
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
	s.checkLeases()
}

func (s *schedule) deliver() {
	i := s.rnd.IntN(min(len(s.flight), 12))
	msg := s.flight[i]
	if s.rnd.Float64() > 0.03 {
		s.flight = slices.Delete(s.flight, i, i+1)
	}
	m := s.members[msg.To]
	if !m.up || m.paused || s.cut[msg.From] != s.cut[msg.To] || s.rnd.Float64() < 0.05 {
		return
	}
	if s.plant == plantNoStickiness {
		m.e.heard = time.Time{}
	}
	m.e.Step(msg, s.clock(m))
	s.settle(m)
}

func (s *schedule) pick() *member { return s.members[s.ids[s.rnd.IntN(len(s.ids))]] }

func (s *schedule) tick() {
	for _, id := range s.ids {
		if m := s.members[id]; m.up && !m.paused {
			m.e.Tick(s.clock(m))
			s.settle(m)
		}
	}
}

func (s *schedule) propose() {
	for _, id := range s.ids {
		m := s.members[id]
		if m.up && !m.paused && m.e.Role() == RoleLeader {
			s.counter++
			_, _, _ = m.e.Propose(fmt.Appendf(nil, "x%d", s.counter))
			s.settle(m)
		}
	}
}

func (s *schedule) crash() {
	down := 0
	for _, m := range s.members {
		if !m.up {
			down++
		}
	}
	if m := s.pick(); m.up && down < 2 {
		s.note("%s crashes at term %d", m.id, m.e.Term())
		m.up = false
		if s.rnd.IntN(2) == 0 {
			s.restart()
		}
	}
}

func (s *schedule) restart() {
	for _, id := range s.ids {
		if m := s.members[id]; !m.up {
			s.note("%s restarts", id)
			s.start(m, Membership{Voters: s.ids[:len(s.ids)-1]})
			return
		}
	}
}

// pause stops one host at a time, and lets it go on at the next call.
func (s *schedule) pause() {
	m := s.pick()
	for _, other := range s.members {
		if other.paused {
			m = other
		}
	}
	m.paused = !m.paused
	s.note("%s paused=%t", m.id, m.paused)
}

func (s *schedule) isolate() {
	clear(s.cut)
	if s.rnd.IntN(2) == 0 {
		m := s.pick()
		s.cut[m.id] = true
		s.note("%s is cut off", m.id)
	}
}

func (s *schedule) changeMembership() {
	for _, id := range s.ids {
		m := s.members[id]
		if !m.up || m.e.Role() != RoleLeader {
			continue
		}
		next := m.e.Membership()
		target := s.ids[s.rnd.IntN(len(s.ids))]
		if i := slices.Index(next.Voters, target); i >= 0 && len(next.Voters) > 2 {
			next.Voters = slices.Delete(next.Voters, i, i+1)
		} else if i < 0 {
			next.Voters = append(next.Voters, target)
		}
		if m.e.ChangeMembership(next) == nil {
			s.note("%s proposes voters %v", m.id, next.Voters)
		}
		s.settle(m)
	}
}

func (s *schedule) compact() {
	m := s.pick()
	if !m.up || m.appliedIndex <= m.disk.snapshot.Index {
		return
	}
	snapshot := m.e.Compact(m.appliedIndex, []byte(strings.Join(m.applied, ",")))
	drop := snapshot.Index - m.disk.snapshot.Index
	m.disk.snapshot = snapshot
	m.disk.entries = slices.Clone(m.disk.entries[min(drop, uint64(len(m.disk.entries))):])
}

// calm ends all faults and checks that the hosts agree again.
func (s *schedule) calm() {
	clear(s.cut)
	for _, id := range s.ids {
		m := s.members[id]
		m.paused = false
		if !m.up {
			s.start(m, Membership{Voters: s.ids[:len(s.ids)-1]})
		}
	}
	before := len(s.agreed)
	for range 4000 {
		s.now += 5 * time.Millisecond
		s.tick()
		for _, msg := range s.flight {
			m := s.members[msg.To]
			m.e.Step(msg, s.clock(m))
		}
		s.flight = nil
		s.tick()
		s.propose()
		if len(s.agreed) > before+20 {
			return
		}
	}
	s.fail("no agreement after all faults have ended")
}

// explore runs one schedule and returns its failure and trace.
func explore(seed uint64, p plant) (failure string, trace []string) {
	s := newSchedule(seed, p)
	for i := 0; i < exploreSteps && s.failure == ""; i++ {
		s.step()
	}
	if s.failure == "" {
		s.calm()
	}
	return s.failure, s.trace
}

func TestExploreSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*schedules); seed++ {
		if failure, trace := explore(seed, plantNone); failure != "" {
			t.Fatalf("seed %d: %s\n%s", seed, failure, strings.Join(trace[max(0, len(trace)-40):], "\n"))
		}
	}
}
