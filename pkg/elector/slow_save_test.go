package elector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowDiskCluster is a simulated set of voters whose saves take long. Messages take a
// millisecond.
type slowDiskCluster struct {
	*schedule
	// blocking makes a host do nothing else while it saves.
	blocking bool
	duration time.Duration
	savedAt  map[string]time.Duration
}

func newSlowDiskCluster(seed uint64, n int, duration time.Duration, blocking bool) *slowDiskCluster {
	c := &slowDiskCluster{schedule: &schedule{
		rnd: rand.New(rand.NewPCG(seed, 13)), members: map[string]*member{}, leaderOfTerm: map[uint64]string{}, committed: map[uint64]string{},
	}, blocking: blocking, duration: duration, savedAt: map[string]time.Duration{}}
	for i := range n {
		id := fmt.Sprintf("c%d", i)
		c.ids = append(c.ids, id)
		c.members[id] = &member{id: id, clockRate: 1}
	}
	c.restart()
	return c
}

// restart starts all hosts at once from what they have stored.
func (c *slowDiskCluster) restart() {
	for _, id := range c.ids {
		m := c.members[id]
		e, err := New(Config{
			ID: id, HeartbeatInterval: 110 * time.Millisecond, ElectionTimeout: 450 * time.Millisecond, LeaseDuration: 300 * time.Millisecond,
			MaxClockDrift: 0.01, ElectionStagger: 110 * time.Millisecond, InitialMembership: Membership{Voters: c.ids},
			Jitter: func(bound time.Duration) time.Duration { return bound/8 + time.Duration(c.rnd.Int64N(int64(bound/8))) },
		}, m.disk.hardState, m.disk.snapshot, m.disk.entries, c.clock(m))
		if err != nil {
			c.failf("restart of %s: %v", id, err)
			return
		}
		m.e, m.up, m.storing, m.applied, m.appliedIndex = e, true, nil, nil, m.disk.snapshot.Index
	}
	c.inFlight = nil
}

// isBlocked reports whether a host does nothing because it saves.
func (c *slowDiskCluster) isBlocked(m *member) bool { return c.blocking && m.storing != nil }

// step advances the simulated time by a millisecond.
func (c *slowDiskCluster) step() {
	c.now += time.Millisecond
	for i, id := range c.ids {
		m := c.members[id]
		if m.storing != nil && c.now >= c.savedAt[id] {
			c.endSave(m)
		}
		if !c.isBlocked(m) && (c.now/time.Millisecond+time.Duration(i)*7)%50 == 0 {
			m.e.Tick(c.clock(m))
			_, _, _ = m.e.Propose([]byte("x"))
		}
	}
	inFlight := c.inFlight
	c.inFlight = nil
	for _, msg := range inFlight {
		if m := c.members[msg.To]; c.isBlocked(m) {
			c.inFlight = append(c.inFlight, msg)
		} else {
			m.e.Step(msg, c.clock(m))
		}
	}
	for _, id := range c.ids {
		if m := c.members[id]; !c.isBlocked(m) {
			wasStoring := m.storing != nil
			c.processOutput(m)
			if m.storing != nil && !wasStoring {
				c.savedAt[id] = c.now + c.duration
			}
		}
	}
	c.checkLeases()
}

// leaseHolder returns the host that holds the lease, or "".
func (c *slowDiskCluster) leaseHolder() string {
	for _, id := range c.ids {
		if m := c.members[id]; !c.isBlocked(m) && m.e.HasLease(c.clock(m)) {
			return id
		}
	}
	return ""
}

// electionTime returns the time until a host holds the lease, at most limit.
func (c *slowDiskCluster) electionTime(limit time.Duration) time.Duration {
	begun := c.now
	for c.leaseHolder() == "" && c.now-begun < limit {
		c.step()
	}
	return c.now - begun
}

// timeWithoutLease returns for how long of d nobody held the lease.
func (c *slowDiskCluster) timeWithoutLease(d time.Duration) (without time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
		if c.leaseHolder() == "" {
			without += time.Millisecond
		}
	}
	return without
}

// No host came to lead, or none stayed the leader, while saves took longer than an election.
func TestSlowSavesLeaveACertainLeader(t *testing.T) {
	// An operator gets the configuration within this time once the faults are over.
	const stableWindow = 6 * time.Second
	for _, n := range []int{3, 5} {
		for _, duration := range []time.Duration{5 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond} {
			for _, blocking := range []bool{false, true} {
				var longest, without time.Duration
				seeds := uint64(12)
				if blocking {
					seeds = 2
				}
				for seed := range seeds {
					c := newSlowDiskCluster(seed, n, duration, blocking)
					longest = max(longest, c.electionTime(time.Minute))
					without += c.timeWithoutLease(20 * time.Second)
					c.restart()
					longest = max(longest, c.electionTime(time.Minute))
					without += c.timeWithoutLease(20 * time.Second)
					qt.Assert(t, c.failure, qt.Equals, "")
				}
				t.Logf("%d voters, saves of %s, blocking %t: longest election %s, without a lease %s of %d s", n, duration, blocking, longest, without, 40*seeds)
				if !blocking {
					qt.Assert(t, longest < stableWindow, qt.IsTrue)
					qt.Assert(t, without, qt.Equals, time.Duration(0))
				} else if duration >= 300*time.Millisecond {
					qt.Assert(t, without > 0, qt.IsTrue, qt.Commentf("a host that blocks shows no fault"))
				}
			}
		}
	}
}
