package elector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRestartedVoterKeepsTheLease has a leader's lease rest on a voter that
// restarts, while the third host, paused until then, asks for votes. The third
// host must not lead within the lease. A voter that votes at once after its
// restart is planted to show that the check would find it.
func TestRestartedVoterKeepsTheLease(t *testing.T) {
	for _, planted := range []bool{false, true} {
		s := &schedule{members: map[string]*member{}, leaders: map[uint64]string{}, agreed: map[uint64]string{}, cut: map[string]bool{}}
		s.ids = []string{"a", "b", "c"}
		for _, id := range s.ids {
			s.members[id] = &member{id: id, rate: 1}
		}
		jitter := map[string]time.Duration{"a": 0, "b": 200 * time.Millisecond, "c": 250 * time.Millisecond}
		start := func(id string) {
			m := s.members[id]
			cfg := Config{
				ID: id, Heartbeat: heartbeat, ElectionTimeout: election, Drift: drift, Initial: Membership{Voters: s.ids},
				Jitter: func(time.Duration) time.Duration { return jitter[id] },
			}
			e, err := New(cfg, m.disk.hard, m.disk.snapshot, m.disk.entries, s.clock(m))
			qt.Assert(t, err, qt.IsNil)
			m.e, m.up = e, true
		}
		for _, id := range s.ids {
			start(id)
		}
		// pass lets time pass and delivers every message at once, until c led
		// or the time is over.
		pass := func(d time.Duration) {
			for end := s.now + d; s.now < end; s.now += 10 * time.Millisecond {
				for _, id := range s.ids {
					if m := s.members[id]; !m.paused {
						m.e.Tick(s.clock(m))
						s.settle(m)
					}
				}
				for len(s.flight) > 0 {
					msg := s.flight[0]
					s.flight = s.flight[1:]
					if m := s.members[msg.To]; !m.paused && s.cut[msg.From] == s.cut[msg.To] {
						m.e.Step(msg, s.clock(m))
						s.settle(m)
					}
				}
				s.checkLeases()
			}
		}
		pass(time.Second)
		a, b, c := s.members["a"], s.members["b"], s.members["c"]
		qt.Assert(t, a.e.HasLease(s.clock(a)), qt.IsTrue)
		c.paused = true
		pass(time.Second)
		// The leader is cut off now; its lease still rests on b's last answer.
		s.cut["a"] = true
		start("b")
		if planted {
			b.e.heard = time.Time{}
		}
		c.paused = false
		pass(250 * time.Millisecond)
		qt.Assert(t, s.failure != "", qt.Equals, planted, qt.Commentf("%s", s.failure))
	}
}
