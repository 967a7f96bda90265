package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/warmer"
)

// newWarmupLeader returns a leader with a clock of its own that has just been elected. It
// knows the upstream u of a service with a warm-up rate and v of one without.
func newWarmupLeader(t *testing.T) (c *Coordinator, clock *time.Time) {
	decode := func([]byte) (keeper.Configuration, error) {
		return keeper.Configuration{Version: 1, Services: map[string]keeper.Service{"s": {WarmupRate: 20}, "free": {}}}, nil
	}
	now := time.Unix(1000, 0)
	c = &Coordinator{Settings: Settings{WarmupOvershoot: 1.5, WarmupSlack: 5}, Now: func() time.Time { return now }, state: keeper.New(decode)}
	c.leadership.warmupGrants = warmer.Granter{TTL: warmupGrant, MaxClockDrift: maxClockDrift}
	qt.Assert(t, c.state.Apply(keeper.Command{Kind: keeper.CommandConfigure, Version: 1}, 1).Err, qt.IsNil)
	return c, &now
}

// announceWarmup announces an upstream and reports whether that was replicated.
func announceWarmup(t *testing.T, c *Coordinator, u keeper.Upstream) bool {
	if !c.state.IsNewAnnouncement(u) && !c.warmupChanged(u) {
		return false
	}
	c.recordWarmup(u)
	qt.Assert(t, c.state.Apply(keeper.Command{Kind: keeper.CommandUpdateUpstream, Upstream: &u}, 2).Changed, qt.IsTrue)
	return true
}

// Each replicated announcement is written to the disks of all control hosts and sent to
// every entry host.
func TestWarmupIsReplicatedWhenItBeginsRisesAndEnds(t *testing.T) {
	c, clock := newWarmupLeader(t)
	u := keeper.Upstream{ID: "u", Service: "s", Address: "x:1", IncarnationStart: 5}
	sequence := uint64(0)
	announce := func(remaining time.Duration) bool {
		sequence++
		u.Sequence, u.WarmupRemaining = sequence, remaining
		return announceWarmup(t, c, u)
	}
	qt.Assert(t, announce(8*time.Second), qt.IsTrue, qt.Commentf("the first announcement"))
	for left := 7 * time.Second; left > 0; left -= time.Second {
		*clock = clock.Add(time.Second)
		qt.Assert(t, announce(left+100*time.Millisecond), qt.IsFalse, qt.Commentf("%s left", left))
	}
	*clock = clock.Add(time.Second)
	qt.Assert(t, announce(0), qt.IsTrue, qt.Commentf("the end"))
	qt.Assert(t, announce(0), qt.IsFalse)
	qt.Assert(t, announce(3*time.Second), qt.IsTrue, qt.Commentf("a rise from zero"))
	*clock = clock.Add(time.Second)
	qt.Assert(t, announce(3*time.Second), qt.IsTrue, qt.Commentf("a rise above the countdown"))
	// The next leader does not know the countdown.
	c.leadership.warmups = warmer.Countdowns{}
	qt.Assert(t, announce(2*time.Second), qt.IsTrue)
	qt.Assert(t, announce(2*time.Second), qt.IsFalse)
	// An announcement that could not be replicated is replicated with the next one.
	*clock = clock.Add(time.Second)
	u.WarmupRemaining = 5 * time.Second
	c.recordWarmup(u)
	c.forgetWarmup("u")
	qt.Assert(t, announce(5*time.Second), qt.IsTrue)

	free := keeper.Upstream{ID: "v", Service: "free", Address: "y:1", IncarnationStart: 5, Sequence: 1}
	qt.Assert(t, announceWarmup(t, c, free), qt.IsTrue)
	free.Sequence, free.WarmupRemaining = 2, time.Minute
	qt.Assert(t, announceWarmup(t, c, free), qt.IsFalse, qt.Commentf("a service without a rate"))
}

// A grant for two hosts, or for an upstream that is warm, would break the bound or be of
// no use.
func TestLeaderGrantsAColdUpstreamToOneHost(t *testing.T) {
	c, clock := newWarmupLeader(t)
	announceWarmup(t, c, keeper.Upstream{ID: "u", Service: "s", Address: "x:1", Sequence: 1, WarmupRemaining: time.Minute})
	announceWarmup(t, c, keeper.Upstream{ID: "warm", Service: "s", Address: "z:1", Sequence: 1})
	announceWarmup(t, c, keeper.Upstream{ID: "v", Service: "free", Address: "y:1", Sequence: 1, WarmupRemaining: time.Minute})
	host := func(name string, wanted ...string) *hostStream { return &hostStream{name: name, warmupWanted: wanted} }
	a, b := host("a", "u", "warm", "v", "unknown"), host("b", "u")

	c.leadership.warmupGrants.Reset(*clock)
	qt.Assert(t, c.grantWarmups(a, *clock), qt.HasLen, 0, qt.Commentf("a grant of the earlier leader may be valid"))
	*clock = clock.Add(warmupGrant + warmupGrant/50)
	want := map[string]warmer.Grant{"u": {Rate: 20, Burst: 2, TTL: warmupGrant}}
	qt.Assert(t, c.grantWarmups(a, *clock), qt.DeepEquals, want)
	qt.Assert(t, c.grantWarmups(b, *clock), qt.HasLen, 0)
	// The holder is lost.
	*clock = clock.Add(warmupGrant + warmupGrant/50)
	qt.Assert(t, c.grantWarmups(b, *clock), qt.DeepEquals, want)
	qt.Assert(t, c.grantWarmups(a, *clock), qt.HasLen, 0)
	// The holder returns it.
	c.leadership.warmupGrants.HandleReport("b", nil)
	qt.Assert(t, c.grantWarmups(a, *clock), qt.DeepEquals, want)
}
