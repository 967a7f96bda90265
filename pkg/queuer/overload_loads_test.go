package queuer

import (
	"fmt"
	"slices"
	"time"
)

// opKind is a kind of operation.
type opKind struct {
	name                string
	kind                Kind
	share               float64
	service             time.Duration
	objective, deadline time.Duration
	// statements of an operation run in one transaction if there are several.
	statements int
}

var deployments = [][]opKind{
	{
		{"write", KindWrite, 75, 6 * time.Millisecond, 800 * time.Millisecond, 8 * time.Second, 1},
		{"transaction", KindWrite, 20, 6 * time.Millisecond, 800 * time.Millisecond, 8 * time.Second, 3},
		{"bounded", KindRead, 164, 30 * time.Millisecond, 1200 * time.Millisecond, 12 * time.Second, 1},
		{"own_commits", KindRead, 443, 18 * time.Millisecond, 3 * time.Second, 8 * time.Second, 1},
	},
	{
		{"write", KindWrite, 95, 3800 * time.Microsecond, 800 * time.Millisecond, 8 * time.Second, 1},
		{"transaction", KindWrite, 24, 3800 * time.Microsecond, 800 * time.Millisecond, 8 * time.Second, 3},
		{"bounded", KindRead, 119, 19 * time.Millisecond, 1200 * time.Millisecond, 12 * time.Second, 1},
		{"own_commits", KindRead, 554, 12 * time.Millisecond, 1500 * time.Millisecond, 8 * time.Second, 1},
	},
}

// boundedKind is the index of the reads of a bounded age in both deployments.
const boundedKind = 2

// overload is a load on an upstream.
type overload struct {
	name string
	// factor returns by how much an organisation's operations of a kind are
	// multiplied at a time.
	factor func(at time.Duration, organisation int, kind int) float64
	// hot is the organisation that exceeds its rate, or -1.
	hot int
	// slow is true if statements take twice as long during the burst.
	slow bool
}

func inBurst(at time.Duration) bool { return at >= burstStart && at < burstEnd }

// extremeBurst is the name of the burst whose operations cannot all be served.
const extremeBurst = "burst of 3 times"

var overloads = []overload{
	{"burst of 1.7 times", func(at time.Duration, _, _ int) float64 {
		if inBurst(at) {
			return 1.7
		}
		return 1
	}, -1, false},
	{"one organisation at 12 times its rate", func(at time.Duration, organisation, _ int) float64 {
		if inBurst(at) && organisation == hotOrganisation {
			return 12
		}
		return 1
	}, hotOrganisation, false},
	{"burst of one kind", func(at time.Duration, _, kind int) float64 {
		if inBurst(at) && kind == boundedKind {
			return 3.5
		}
		return 1
	}, -1, false},
	{extremeBurst, func(at time.Duration, _, _ int) float64 {
		if inBurst(at) {
			return 3
		}
		return 1
	}, -1, false},
	{"statements take twice as long", func(time.Duration, int, int) float64 { return 1 }, -1, true},
}

// overloadOrganisations are the rates of organisations as shares of the whole:
// three large ones and 25 small ones. hotOrganisation has a medium rate.
const hotOrganisation = 3

// maxFactor is the largest factor of an overload.
const maxFactor = 12

var overloadOrganisations = append([]float64{0.2, 0.15, 0.12, 0.08}, slices.Repeat([]float64{0.45 / 24}, 24)...)

var organisationNames = func() []string {
	names := make([]string, len(overloadOrganisations))
	for i := range names {
		names[i] = fmt.Sprintf("o%d", i)
	}
	return names
}()

// tally counts operations by their result.
type tally struct{ operations, inTime, late, refusedAtOnce, refusedLate, heldInVain int }

func (t tally) share() float64 { return float64(t.inTime) / float64(max(1, t.operations)) }

func (t tally) String() string {
	return fmt.Sprintf("%d operations, %.3f in time, %d late, %d refused at once, %d refused late, %d held in vain",
		t.operations, t.share(), t.late, t.refusedAtOnce, t.refusedLate, t.heldInVain)
}
