package evacuator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// newEvacuated returns the record of a host that learnt at start of a new order.
func newEvacuated(limit time.Duration) *Evacuator {
	e := &Evacuator{Limit: limit}
	e.Update(map[string]uint64{"a": 7}, map[string]time.Duration{"a": 0}, start)
	return e
}

// Work that was sent up to the limit itself would reach the upstream after it.
func TestDecideStaysBelowTheLimit(t *testing.T) {
	tests := []struct {
		name  string
		limit time.Duration
		after time.Duration
		want  Decision
	}{
		{"at once", 0, 0, Avoid},
		{"before the default limit less the margin", 0, DefaultLimit - DeliveryMargin - 1, Avoid},
		{"at the default limit less the margin", 0, DefaultLimit - DeliveryMargin, Refuse},
		{"before another limit less the margin", 9 * time.Second, 7*time.Second - 1, Avoid},
		{"at another limit less the margin", 9 * time.Second, 7 * time.Second, Refuse},
		{"limit below the margin", time.Second, 0, Refuse},
		{"long after", 0, time.Hour, Refuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEvacuated(test.limit)
			qt.Assert(t, e.Decide("a", at(test.after)), qt.Equals, test.want)
			qt.Assert(t, e.Decide("b", at(test.after)), qt.Equals, Send)
		})
	}
}

// Each topology repeats the orders: the limit must not move with it.
func TestRepeatedOrderKeepsItsLimit(t *testing.T) {
	e := newEvacuated(0)
	changes := e.Update(map[string]uint64{"a": 7}, map[string]time.Duration{"a": 0}, at(2*time.Second))
	qt.Assert(t, changes, qt.HasLen, 0)
	qt.Assert(t, e.Decide("a", at(3*time.Second)), qt.Equals, Refuse)
}

// A host that restarts or reconnects learns of an order that may be long past its limit.
// It would send statements there for the time of another limit.
func TestOrderOfUnknownAgeIsInFullEffect(t *testing.T) {
	e := &Evacuator{}
	changes := e.Update(map[string]uint64{"a": 7}, nil, start)
	qt.Assert(t, changes, qt.DeepEquals, []Change{{DataCentre: "a", Index: 7}})
	qt.Assert(t, e.Decide("a", start), qt.Equals, Refuse)
}

func TestAgeOfAnOrderShortensItsLimit(t *testing.T) {
	e := &Evacuator{}
	e.Update(map[string]uint64{"a": 7, "b": 8}, map[string]time.Duration{"a": time.Second, "b": time.Hour}, start)
	qt.Assert(t, e.Decide("a", at(2*time.Second-1)), qt.Equals, Avoid)
	qt.Assert(t, e.Decide("a", at(2*time.Second)), qt.Equals, Refuse)
	qt.Assert(t, e.Decide("b", start), qt.Equals, Refuse)
	remaining, ordered := e.Remaining("a", start)
	qt.Assert(t, remaining, qt.Equals, 2*time.Second)
	qt.Assert(t, ordered, qt.IsTrue)
	_, ordered = e.Remaining("c", start)
	qt.Assert(t, ordered, qt.IsFalse)
}

// The age of an order never extends the limit: a leader's clock may run backwards.
func TestNegativeAgeCountsAsNone(t *testing.T) {
	e := &Evacuator{}
	e.Update(map[string]uint64{"a": 7}, map[string]time.Duration{"a": -time.Hour}, start)
	qt.Assert(t, e.Decide("a", at(3*time.Second)), qt.Equals, Refuse)
}

func TestRevokedOrderEndsAtOnce(t *testing.T) {
	e := newEvacuated(0)
	changes := e.Update(map[string]uint64{}, nil, at(time.Minute))
	qt.Assert(t, changes, qt.DeepEquals, []Change{{DataCentre: "a", Index: 7, Ended: true}})
	qt.Assert(t, e.Decide("a", at(time.Minute)), qt.Equals, Send)
	qt.Assert(t, e.Count(), qt.Equals, 0)
}

// A host may miss that an order was revoked and given again. The limit counts from the
// later order.
func TestLaterOrderReplacesTheEarlierOne(t *testing.T) {
	e := newEvacuated(0)
	changes := e.Update(map[string]uint64{"a": 9}, map[string]time.Duration{"a": 0}, at(time.Minute))
	qt.Assert(t, changes, qt.DeepEquals, []Change{{DataCentre: "a", Index: 9, Remaining: 3 * time.Second}})
	qt.Assert(t, e.Decide("a", at(time.Minute)), qt.Equals, Avoid)
}

func TestSeveralDataCentresAreIndependent(t *testing.T) {
	e := newEvacuated(0)
	e.Update(map[string]uint64{"a": 7, "b": 9}, map[string]time.Duration{"b": 0}, at(2*time.Second))
	qt.Assert(t, e.Count(), qt.Equals, 2)
	qt.Assert(t, e.Decide("c", at(2*time.Second)), qt.Equals, Send)
	qt.Assert(t, e.Decide("a", at(4*time.Second)), qt.Equals, Refuse)
	qt.Assert(t, e.Decide("b", at(4*time.Second)), qt.Equals, Avoid)
	e.Update(map[string]uint64{"b": 9}, nil, at(6*time.Second))
	qt.Assert(t, e.Decide("a", at(6*time.Second)), qt.Equals, Send)
	qt.Assert(t, e.Decide("b", at(6*time.Second)), qt.Equals, Refuse)
}
