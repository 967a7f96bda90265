package launcher

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/warmer"
)

// throttleTest is a warmupThrottle with a clock of its own.
type throttleTest struct {
	*warmupThrottle
	t     *testing.T
	clock time.Time
	owner bool
}

func newThrottleTest(t *testing.T) *throttleTest {
	w := &throttleTest{t: t, clock: time.Unix(1000, 0), owner: true}
	w.warmupThrottle = &warmupThrottle{now: func() time.Time { return w.clock }, isOwner: func(keeper.Upstream) bool { return w.owner }}
	return w
}

// view sets a view in which the upstream u announced a remaining time.
func (w *throttleTest) view(rate float64, sequence uint64, remaining time.Duration) {
	w.setView(&keeper.View{
		Configuration: keeper.Configuration{Services: map[string]keeper.Service{"s": {WarmupRate: rate}}},
		Upstreams:     map[string]keeper.Upstream{"u": {ID: "u", Service: "s", Sequence: sequence, WarmupRemaining: remaining}},
	})
}

func (w *throttleTest) expect(sent bool, comment string) {
	w.t.Helper()
	err := w.throttle().Take("u", 1, false)
	qt.Assert(w.t, err == nil, qt.Equals, sent, qt.Commentf(comment))
	var warmupErr *connector.WarmupError
	qt.Assert(w.t, errors.As(err, &warmupErr), qt.Equals, !sent)
}

var tenASecond = map[string]warmer.Grant{"u": {Rate: 10, Burst: 2, TTL: 3 * time.Second}}

// A host that learns of an upstream with its first announcement must not send to it
// before it holds the grant.
func TestHostWithoutAGrantSendsNothingToAColdUpstream(t *testing.T) {
	w := newThrottleTest(t)
	w.expect(true, "no view yet")
	w.view(10, 1, 5*time.Second)
	w.expect(false, "no grant")
	qt.Assert(t, w.lacksGrant(), qt.IsTrue)
	qt.Assert(t, w.wanted(1), qt.DeepEquals, []string{"u"})
	w.apply(1, tenASecond)
	qt.Assert(t, w.lacksGrant(), qt.IsFalse)
	w.expect(false, "an empty bucket")
	w.clock = w.clock.Add(100 * time.Millisecond)
	w.expect(true, "a token")
	w.expect(false, "no second token")
	w.owner = false
	qt.Assert(t, w.wanted(2), qt.HasLen, 0)
	w.clock = w.clock.Add(time.Second)
	w.expect(false, "the grant was returned")
	w.clock = w.clock.Add(5 * time.Second)
	w.expect(true, "warm by the countdown")
	qt.Assert(t, w.wanted(3), qt.HasLen, 0)
}

// Without a rate an upstream is served as before.
func TestUpstreamWithoutAWarmupRateIsNotLimited(t *testing.T) {
	w := newThrottleTest(t)
	w.view(0, 1, time.Hour)
	w.expect(true, "no rate")
	qt.Assert(t, w.wanted(1), qt.HasLen, 0)
	qt.Assert(t, w.lacksGrant(), qt.IsFalse)
	// The countdown began with the announcement, not with the rate.
	w.clock = w.clock.Add(59 * time.Minute)
	w.view(10, 1, time.Hour)
	w.expect(false, "a rate")
	w.clock = w.clock.Add(2 * time.Minute)
	w.expect(true, "warm by the countdown")
}

// A rise that a host misses, or an end that it does not learn of, would overload the
// upstream or leave it unused.
func TestRiseAndEndOfAWarmup(t *testing.T) {
	w := newThrottleTest(t)
	w.view(10, 1, 0)
	w.expect(true, "warm")
	w.view(10, 2, time.Second)
	w.expect(false, "a rise")
	w.view(10, 2, time.Second)
	w.clock = w.clock.Add(time.Second + warmer.Tolerance - 1)
	w.expect(false, "the tolerance")
	w.clock = w.clock.Add(1)
	w.expect(true, "warm by the countdown")
	w.view(10, 3, time.Hour)
	w.expect(false, "a second rise")
	w.view(10, 4, 0)
	w.expect(true, "an announced end")
}

// An upstream that restarts with its ID accepts connections before hosts learn that it is
// cold: the first second after a restart brought the whole load.
func TestUpstreamThatStoppedIsNotUsedBeforeItsAnnouncement(t *testing.T) {
	announce := func(w *throttleTest, rate float64, incarnation int64, sequence uint64, remaining time.Duration) {
		w.setView(&keeper.View{
			Configuration: keeper.Configuration{Services: map[string]keeper.Service{"s": {WarmupRate: rate}}},
			Upstreams:     map[string]keeper.Upstream{"u": {ID: "u", Service: "s", IncarnationStart: incarnation, Sequence: sequence, WarmupRemaining: remaining}},
		})
	}
	w := newThrottleTest(t)
	announce(w, 10, 1, 1, 0)
	w.expect(true, "warm")
	w.connectRefused("u")
	var connectErr *connector.ConnectError
	qt.Assert(t, errors.As(w.throttle().Check("u", 1), &connectErr), qt.IsTrue)
	announce(w, 10, 1, 2, 0)
	qt.Assert(t, errors.As(w.throttle().Take("u", 1, false), &connectErr), qt.IsTrue, qt.Commentf("a late announcement of the incarnation that stopped"))
	announce(w, 10, 2, 1, 8*time.Second)
	w.expect(false, "a new incarnation, which is cold")
	announce(w, 10, 2, 2, 0)
	w.expect(true, "warm again")
	w.connectRefused("u")
	w.clock = w.clock.Add(restartWait)
	w.expect(true, "it did not restart, or announces nothing")

	free := newThrottleTest(t)
	announce(free, 0, 1, 1, 0)
	free.connectRefused("u")
	free.expect(true, "a service without a rate")
	free.connectRefused("unknown")
}
