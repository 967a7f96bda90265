package elector

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// threeHostCluster is a schedule of three hosts with instant message delivery.
// Host a has the shortest election timeout.
type threeHostCluster struct {
	t *testing.T
	s *schedule
}

func newThreeHostCluster(t *testing.T) *threeHostCluster {
	s := &schedule{members: map[string]*member{}, leaderOfTerm: map[uint64]string{}, committed: map[uint64]string{}, isolated: map[string]bool{}, saveProbability: 1, rnd: rand.New(rand.NewPCG(1, 1))}
	s.ids = []string{"a", "b", "c"}
	cluster := &threeHostCluster{t: t, s: s}
	for _, id := range s.ids {
		s.members[id] = &member{id: id, clockRate: 1}
	}
	for _, id := range s.ids {
		cluster.start(id)
	}
	return cluster
}

// start starts a host from its stored state.
func (cluster *threeHostCluster) start(id string) {
	jitter := map[string]time.Duration{"a": 0, "b": 200 * time.Millisecond, "c": 250 * time.Millisecond}
	m := cluster.s.members[id]
	cfg := Config{
		ID: id, HeartbeatInterval: heartbeat, ElectionTimeout: electionTimeout, MaxClockDrift: maxDrift, InitialMembership: Membership{Voters: cluster.s.ids},
		Jitter: func(time.Duration) time.Duration { return jitter[id] },
	}
	e, err := New(cfg, m.disk.hardState, m.disk.snapshot, m.disk.entries, cluster.s.clock(m))
	qt.Assert(cluster.t, err, qt.IsNil)
	m.e, m.up, m.storing, m.applied, m.appliedIndex = e, true, nil, nil, m.disk.snapshot.Index
}

// advance advances the simulated time and delivers every message instantly.
func (cluster *threeHostCluster) advance(d time.Duration) {
	s := cluster.s
	for end := s.now + d; s.now < end; s.now += 10 * time.Millisecond {
		for _, id := range s.ids {
			if m := s.members[id]; m.up && !m.paused {
				m.e.Tick(s.clock(m))
				s.processOutput(m)
			}
		}
		for len(s.inFlight) > 0 {
			msg := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			if m := s.members[msg.To]; m.up && !m.paused && s.isolated[msg.From] == s.isolated[msg.To] {
				m.e.Step(msg, s.clock(m))
				s.processOutput(m)
			}
		}
		s.checkLeases()
	}
}

// TestRestartedVoterHonoursLease guards against two lease holders after a
// restart: a leader's lease relies on a voter that restarts while a third host,
// paused until then, requests votes. The third host must not lead within the
// lease. A second run makes the voter vote immediately after its restart, to
// show that the check detects it.
func TestRestartedVoterHonoursLease(t *testing.T) {
	for _, injectFault := range []bool{false, true} {
		cluster := newThreeHostCluster(t)
		s := cluster.s
		cluster.advance(time.Second)
		a, b, c := s.members["a"], s.members["b"], s.members["c"]
		qt.Assert(t, a.e.HasLease(s.clock(a)), qt.IsTrue)
		c.paused = true
		cluster.advance(time.Second)
		// The leader is isolated; its lease still relies on b's last response.
		s.isolated["a"] = true
		cluster.start("b")
		if injectFault {
			b.e.lastLeaderContact = time.Time{}
		}
		c.paused = false
		cluster.advance(250 * time.Millisecond)
		qt.Assert(t, s.failure != "", qt.Equals, injectFault, qt.Commentf("%s", s.failure))
	}
}

// TestRestartedLeaderIsReelectedImmediately restarts all hosts at once, as after
// a power failure. Only the previous leader can have held a lease, so the others
// vote for it without waiting, and for no other host.
func TestRestartedLeaderIsReelectedImmediately(t *testing.T) {
	cluster := newThreeHostCluster(t)
	s := cluster.s
	cluster.advance(time.Second)
	a := s.members["a"]
	term := a.e.Term()
	for _, id := range s.ids {
		cluster.start(id)
	}
	cluster.advance(2 * heartbeat)
	qt.Assert(t, a.e.HasLease(s.clock(a)), qt.IsTrue)
	qt.Assert(t, a.e.Term(), qt.Equals, term+1)
	qt.Assert(t, s.failure, qt.Equals, "")
}

// TestRestartedLeaderWaitsForLateVoters checks that the previous leader keeps
// retrying its election if a voter restarts a little later.
func TestRestartedLeaderWaitsForLateVoters(t *testing.T) {
	cluster := newThreeHostCluster(t)
	s := cluster.s
	cluster.advance(time.Second)
	a, b, c := s.members["a"], s.members["b"], s.members["c"]
	b.up, c.up = false, false
	cluster.start("a")
	cluster.advance(3 * heartbeat)
	cluster.start("c")
	cluster.advance(2 * heartbeat)
	qt.Assert(t, a.e.HasLease(s.clock(a)), qt.IsTrue)
	qt.Assert(t, s.failure, qt.Equals, "")
}

// A leader held its lease as soon as an entry of its own term was committed, although
// the caller had not been given the entries before it to apply.
func TestLeaseBeginsWithTheAppliedLog(t *testing.T) {
	now := time.Unix(0, 0)
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryCommand}, {Index: 2, Term: 1, Kind: EntryCommand}}
	e, err := New(Config{
		ID: "a", HeartbeatInterval: heartbeat, ElectionTimeout: electionTimeout, InitialMembership: Membership{Voters: []string{"a", "b", "c"}},
		Jitter: func(time.Duration) time.Duration { return 0 },
	}, HardState{Term: 1, Leader: "a"}, Snapshot{}, entries, now)
	qt.Assert(t, err, qt.IsNil)
	e.Tick(now)
	e.Step(Message{Kind: MessagePreVoteResponse, From: "b", To: "a", Term: 2}, now)
	e.Output()
	e.Stored(now)
	e.Step(Message{Kind: MessageVoteResponse, From: "b", To: "a", Term: 2}, now)
	e.Output()
	e.Stored(now)
	e.Step(Message{Kind: MessageAppendResponse, From: "b", To: "a", Term: 2, Index: 3, Round: 1}, now)
	qt.Assert(t, e.CommitIndex(), qt.Equals, uint64(3))
	qt.Assert(t, e.HasLease(now), qt.IsFalse, qt.Commentf("nothing was returned to be applied"))
	qt.Assert(t, e.Output().Committed, qt.HasLen, 3)
	qt.Assert(t, e.HasLease(now), qt.IsTrue)
}
