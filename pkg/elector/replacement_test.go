package elector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// parcel is a message on its way.
type parcel struct {
	Message
	arrives time.Duration
}

// distant is a set of voters in two regions.
type distant struct {
	rnd   *rand.Rand
	now   time.Duration
	ids   []string
	hosts map[string]*Elector
	lost  string
	mail  []parcel
}

const (
	// oneWay is the way between two regions, tickTime the time between ticks.
	oneWay   = 30 * time.Millisecond
	tickTime = 50 * time.Millisecond
)

func newDistant(t *testing.T, seed uint64, n int, stagger time.Duration) *distant {
	d := &distant{rnd: rand.New(rand.NewPCG(seed, 11)), hosts: map[string]*Elector{}}
	for i := range n {
		d.ids = append(d.ids, fmt.Sprintf("c%d", i))
	}
	for _, id := range d.ids {
		e, err := New(Config{
			ID: id, Heartbeat: 110 * time.Millisecond, ElectionTimeout: 450 * time.Millisecond, Drift: 0.01, Stagger: stagger,
			Initial: Membership{Voters: d.ids},
			Jitter:  func(bound time.Duration) time.Duration { return bound/8 + time.Duration(d.rnd.Int64N(int64(bound/8))) },
		}, HardState{}, Snapshot{}, nil, d.clock())
		qt.Assert(t, err, qt.IsNil)
		d.hosts[id] = e
	}
	return d
}

func (d *distant) clock() time.Time { return time.Unix(0, 0).Add(d.now) }

// step lets a millisecond pass.
func (d *distant) step() {
	d.now += time.Millisecond
	for i, id := range d.ids {
		if id != d.lost && (d.now+time.Duration(i)*7*time.Millisecond)%tickTime == 0 {
			d.hosts[id].Tick(d.clock())
			d.collect(id)
		}
	}
	mail := d.mail
	d.mail = nil
	for _, p := range mail {
		switch {
		case p.arrives > d.now:
			d.mail = append(d.mail, p)
		case p.To != d.lost && p.From != d.lost:
			d.hosts[p.To].Step(p.Message, d.clock())
			d.collect(p.To)
		}
	}
}

func (d *distant) collect(id string) {
	for {
		out := d.hosts[id].Output()
		if out.IsEmpty() {
			return
		}
		for _, m := range out.Messages {
			// A sync and the way.
			d.mail = append(d.mail, parcel{m, d.now + oneWay + time.Duration(d.rnd.IntN(8))*time.Millisecond})
		}
	}
}

// leader returns the host that holds a leader's lease, or nothing.
func (d *distant) leader() string {
	for _, id := range d.ids {
		if id != d.lost && d.hosts[id].HasLease(d.clock()) {
			return id
		}
	}
	return ""
}

// replace loses the leader and returns the time to the next one.
func (d *distant) replace() time.Duration {
	for d.leader() == "" || d.now < 5*time.Second {
		d.step()
	}
	d.lost = d.leader()
	begin := d.now
	for d.leader() == "" && d.now-begin < time.Minute {
		d.step()
	}
	return d.now - begin
}

// TestLostLeaderIsReplacedInOneElection loses leaders of five voters in two
// regions. Voters that stand at once split the votes and wait another timeout;
// with their elections staggered nearly every first one succeeds.
func TestLostLeaderIsReplacedInOneElection(t *testing.T) {
	const runs = 100
	for _, n := range []int{3, 5} {
		var sum, most, sumAtOnce time.Duration
		for seed := range uint64(runs) {
			took := newDistant(t, seed, n, 110*time.Millisecond).replace()
			sum, most = sum+took, max(most, took)
			sumAtOnce += newDistant(t, seed, n, 0).replace()
		}
		t.Logf("%d voters: mean %s, most %s; without stagger mean %s", n, sum/runs, most, sumAtOnce/runs)
		// Within a second, as the failure of a control host must be.
		qt.Assert(t, most < time.Second, qt.IsTrue, qt.Commentf("%d voters: %s", n, most))
		qt.Assert(t, sum/runs < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%d voters: %s", n, sum/runs))
	}
}
