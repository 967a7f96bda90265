package elector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// delayedMessage is a message in transit.
type delayedMessage struct {
	Message
	arrivesAt time.Duration
}

// twoRegionCluster is a simulated set of voters in two regions.
type twoRegionCluster struct {
	rnd      *rand.Rand
	now      time.Duration
	ids      []string
	hosts    map[string]*Elector
	failed   string
	inFlight []delayedMessage
}

const (
	// oneWayLatency is the network latency between two regions.
	oneWayLatency = 30 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
)

func newTwoRegionCluster(t *testing.T, seed uint64, n int, stagger time.Duration) *twoRegionCluster {
	c := &twoRegionCluster{rnd: rand.New(rand.NewPCG(seed, 11)), hosts: map[string]*Elector{}}
	for i := range n {
		c.ids = append(c.ids, fmt.Sprintf("c%d", i))
	}
	for _, id := range c.ids {
		e, err := New(Config{
			ID: id, HeartbeatInterval: 110 * time.Millisecond, ElectionTimeout: 450 * time.Millisecond, MaxClockDrift: 0.01, ElectionStagger: stagger,
			InitialMembership: Membership{Voters: c.ids},
			Jitter:            func(bound time.Duration) time.Duration { return bound/8 + time.Duration(c.rnd.Int64N(int64(bound/8))) },
		}, HardState{}, Snapshot{}, nil, c.clock())
		qt.Assert(t, err, qt.IsNil)
		c.hosts[id] = e
	}
	return c
}

func (c *twoRegionCluster) clock() time.Time { return time.Unix(0, 0).Add(c.now) }

// step advances the simulated time by a millisecond.
func (c *twoRegionCluster) step() {
	c.now += time.Millisecond
	for i, id := range c.ids {
		if id != c.failed && (c.now+time.Duration(i)*7*time.Millisecond)%tickInterval == 0 {
			c.hosts[id].Tick(c.clock())
			c.sendOutput(id)
		}
	}
	inFlight := c.inFlight
	c.inFlight = nil
	for _, m := range inFlight {
		switch {
		case m.arrivesAt > c.now:
			c.inFlight = append(c.inFlight, m)
		case m.To != c.failed && m.From != c.failed:
			c.hosts[m.To].Step(m.Message, c.clock())
			c.sendOutput(m.To)
		}
	}
}

func (c *twoRegionCluster) sendOutput(id string) {
	for {
		out := c.hosts[id].Output()
		if out.IsEmpty() {
			return
		}
		if out.NeedsStorage() {
			c.hosts[id].Stored(c.clock())
		}
		for _, m := range out.Messages {
			// Network latency and the duration of a disk sync.
			c.inFlight = append(c.inFlight, delayedMessage{m, c.now + oneWayLatency + time.Duration(c.rnd.IntN(8))*time.Millisecond})
		}
	}
}

// leaseHolder returns the host that holds the leader's lease, or "".
func (c *twoRegionCluster) leaseHolder() string {
	for _, id := range c.ids {
		if id != c.failed && c.hosts[id].HasLease(c.clock()) {
			return id
		}
	}
	return ""
}

// failOver stops the leader and returns the time until another host holds the
// lease.
func (c *twoRegionCluster) failOver() time.Duration {
	for c.leaseHolder() == "" || c.now < 5*time.Second {
		c.step()
	}
	c.failed = c.leaseHolder()
	failedAt := c.now
	for c.leaseHolder() == "" && c.now-failedAt < time.Minute {
		c.step()
	}
	return c.now - failedAt
}

// TestLostLeaderIsReplacedInOneElection stops the leader of three and of five
// voters in two regions. Voters that start elections at the same time split the
// votes and wait for another timeout. With staggered elections, nearly every
// first election succeeds.
func TestLostLeaderIsReplacedInOneElection(t *testing.T) {
	const runs = 100
	for _, n := range []int{3, 5} {
		var total, longest, totalUnstaggered time.Duration
		for seed := range uint64(runs) {
			elapsed := newTwoRegionCluster(t, seed, n, 110*time.Millisecond).failOver()
			total, longest = total+elapsed, max(longest, elapsed)
			totalUnstaggered += newTwoRegionCluster(t, seed, n, 0).failOver()
		}
		t.Logf("%d voters: mean %s, longest %s; without stagger mean %s", n, total/runs, longest, totalUnstaggered/runs)
		// The fleet must recover from the failure of a control host within a
		// second.
		qt.Assert(t, longest < time.Second, qt.IsTrue, qt.Commentf("%d voters: %s", n, longest))
		qt.Assert(t, total/runs < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%d voters: %s", n, total/runs))
	}
}
