package elector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// trio is a schedule of three hosts whose messages arrive at once. Host a has
// the shortest election timeout.
type trio struct {
	t *testing.T
	s *schedule
}

func newTrio(t *testing.T) *trio {
	s := &schedule{members: map[string]*member{}, leaders: map[uint64]string{}, agreed: map[uint64]string{}, cut: map[string]bool{}}
	s.ids = []string{"a", "b", "c"}
	tr := &trio{t: t, s: s}
	for _, id := range s.ids {
		s.members[id] = &member{id: id, rate: 1}
	}
	for _, id := range s.ids {
		tr.start(id)
	}
	return tr
}

// start starts a host from its disk.
func (tr *trio) start(id string) {
	jitter := map[string]time.Duration{"a": 0, "b": 200 * time.Millisecond, "c": 250 * time.Millisecond}
	m := tr.s.members[id]
	cfg := Config{
		ID: id, Heartbeat: heartbeat, ElectionTimeout: election, Drift: drift, Initial: Membership{Voters: tr.s.ids},
		Jitter: func(time.Duration) time.Duration { return jitter[id] },
	}
	e, err := New(cfg, m.disk.hard, m.disk.snapshot, m.disk.entries, tr.s.clock(m))
	qt.Assert(tr.t, err, qt.IsNil)
	m.e, m.up, m.applied, m.appliedIndex = e, true, nil, m.disk.snapshot.Index
}

// pass lets time pass and delivers every message at once.
func (tr *trio) pass(d time.Duration) {
	s := tr.s
	for end := s.now + d; s.now < end; s.now += 10 * time.Millisecond {
		for _, id := range s.ids {
			if m := s.members[id]; m.up && !m.paused {
				m.e.Tick(s.clock(m))
				s.settle(m)
			}
		}
		for len(s.flight) > 0 {
			msg := s.flight[0]
			s.flight = s.flight[1:]
			if m := s.members[msg.To]; m.up && !m.paused && s.cut[msg.From] == s.cut[msg.To] {
				m.e.Step(msg, s.clock(m))
				s.settle(m)
			}
		}
		s.checkLeases()
	}
}

// TestRestartedVoterKeepsTheLease has a leader's lease rest on a voter that
// restarts, while the third host, paused until then, asks for votes. The third
// host must not lead within the lease. A voter that votes at once after its
// restart is planted to show that the check would find it.
func TestRestartedVoterKeepsTheLease(t *testing.T) {
	for _, planted := range []bool{false, true} {
		tr := newTrio(t)
		s := tr.s
		tr.pass(time.Second)
		a, b, c := s.members["a"], s.members["b"], s.members["c"]
		qt.Assert(t, a.e.HasLease(s.clock(a)), qt.IsTrue)
		c.paused = true
		tr.pass(time.Second)
		// The leader is cut off now; its lease still rests on b's last answer.
		s.cut["a"] = true
		tr.start("b")
		if planted {
			b.e.heard = time.Time{}
		}
		c.paused = false
		tr.pass(250 * time.Millisecond)
		qt.Assert(t, s.failure != "", qt.Equals, planted, qt.Commentf("%s", s.failure))
	}
}

// TestRestartedLeaderLeadsWithoutWaiting restarts all hosts at once, as after a
// loss of power. Only the host that led before may have held a lease, so the
// others vote for it at once, and for nobody else.
func TestRestartedLeaderLeadsWithoutWaiting(t *testing.T) {
	tr := newTrio(t)
	s := tr.s
	tr.pass(time.Second)
	a := s.members["a"]
	term := a.e.Term()
	for _, id := range s.ids {
		tr.start(id)
	}
	tr.pass(2 * heartbeat)
	qt.Assert(t, a.e.HasLease(s.clock(a)), qt.IsTrue)
	qt.Assert(t, a.e.Term(), qt.Equals, term+1)
	qt.Assert(t, s.failure, qt.Equals, "")
}

// TestRestartedLeaderWaitsForLateVoters has a voter start a little later than
// the host that led.
func TestRestartedLeaderWaitsForLateVoters(t *testing.T) {
	tr := newTrio(t)
	s := tr.s
	tr.pass(time.Second)
	a, b, c := s.members["a"], s.members["b"], s.members["c"]
	b.up, c.up = false, false
	tr.start("a")
	tr.pass(3 * heartbeat)
	tr.start("c")
	tr.pass(2 * heartbeat)
	qt.Assert(t, a.e.HasLease(s.clock(a)), qt.IsTrue)
	qt.Assert(t, s.failure, qt.Equals, "")
}
