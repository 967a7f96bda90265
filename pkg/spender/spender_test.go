package spender

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time          { return c.now }
func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

// admitted counts the operations admitted at once.
func admitted(s *Spender, o keeper.Organisation, n int) int {
	count := 0
	for range n {
		if s.Admit(o, 0).Admitted {
			count++
		}
	}
	return count
}

func TestBaseNeedsNoLease(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	s := &Spender{Now: c.Now}
	s.SetHosts(5)
	o := keeper.Organisation{Name: "a", Rate: 100, Burst: 100}
	base := int(100 * BasePart / 5)
	qt.Assert(t, admitted(s, o, 100), qt.Equals, base)
	c.advance(time.Second)
	qt.Assert(t, admitted(s, o, 100), qt.Equals, base)
}

func TestExtrasEndWithTheirLease(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	s := &Spender{Now: c.Now}
	s.SetHosts(5)
	o := keeper.Organisation{Name: "a", Rate: 100, Burst: 100}
	c.advance(youth)
	admitted(s, o, 100)
	s.Grant(1, map[string]float64{"a": 0.5 - BasePart/5}, c.now.Add(10*time.Second))
	c.advance(time.Second)
	qt.Assert(t, admitted(s, o, 100), qt.Equals, 50)
	c.advance(10 * time.Second)
	qt.Assert(t, admitted(s, o, 100), qt.Equals, int(100*BasePart/5))
}

func TestLoweredRateBindsAtOnce(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	s := &Spender{Now: c.Now}
	s.SetHosts(1)
	c.advance(youth)
	admitted(s, keeper.Organisation{Name: "a", Rate: 400, Burst: 400}, 1)
	c.advance(time.Minute)
	qt.Assert(t, admitted(s, keeper.Organisation{Name: "a", Rate: 40, Burst: 40}, 100), qt.Equals, int(40*BasePart))
}

func TestWaitIsBounded(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	s := &Spender{Now: c.Now}
	s.SetHosts(1)
	o := keeper.Organisation{Name: "a", Rate: 10 / BasePart, Burst: 4}
	admitted(s, o, 10)
	a := s.Admit(o, 200*time.Millisecond)
	qt.Assert(t, a.Admitted, qt.IsTrue)
	qt.Assert(t, a.Wait, qt.Equals, 100*time.Millisecond)
	s.Admit(o, 200*time.Millisecond)
	a = s.Admit(o, 200*time.Millisecond)
	qt.Assert(t, a.Admitted, qt.IsFalse)
	qt.Assert(t, a.RetryAfter, qt.Equals, 300*time.Millisecond)
}

func TestStarvedHostAsksAtMostSoOften(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	asked := 0
	s := &Spender{Now: c.Now, Starved: func() { asked++ }}
	s.SetHosts(10)
	o := keeper.Organisation{Name: "a", Rate: 10, Burst: 10}
	admitted(s, o, 50)
	qt.Assert(t, asked, qt.Equals, 1)
	c.advance(starvedInterval)
	admitted(s, o, 50)
	qt.Assert(t, asked, qt.Equals, 2)
}

func TestSettlingEndsWhenNoGrantIsExpected(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	s := &Spender{Now: c.Now}
	s.SetHosts(10)
	qt.Assert(t, s.Settling("a"), qt.Not(qt.IsNil), qt.Commentf("the host has just started"))
	c.advance(youth)
	qt.Assert(t, s.Settling("a"), qt.IsNil, qt.Commentf("no control host answers"))
	s.Grant(1, map[string]float64{"b": 0.2}, c.now.Add(10*time.Second))
	qt.Assert(t, s.Settling("b"), qt.IsNil, qt.Commentf("the host has its part"))
	news := s.Settling("a")
	qt.Assert(t, news, qt.Not(qt.IsNil))
	s.Grant(2, map[string]float64{"a": 0.2}, c.now.Add(10*time.Second))
	select {
	case <-news:
	default:
		t.Fatal("a grant wakes nobody")
	}
	c.advance(grantsCease)
	qt.Assert(t, s.Settling("c"), qt.IsNil, qt.Commentf("grants have ceased"))
}
