package placer

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPartsForLinks(t *testing.T) {
	for _, test := range []struct {
		megabits float64
		want     int
	}{{0, 1}, {2, narrowLinkParts}, {narrowLinkMegabits - 0.1, narrowLinkParts}, {narrowLinkMegabits, 1}, {1000, 1}} {
		qt.Assert(t, PartsFor(test.megabits), qt.Equals, test.want, qt.Commentf("%g Mbit/s", test.megabits))
	}
}

// With an undivided upstream the owners must be those of a fleet that does not divide any.
func TestUndividedUpstreamsKeepTheirOwners(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	owners := AssignParts(map[string]int{"u-1": 1, "u-2": 1}, hosts, 2)
	plain := AssignBounded([]string{"u-1", "u-2"}, hosts, 2)
	for id, ranked := range plain {
		qt.Assert(t, owners[id], qt.DeepEquals, [][]string{ranked})
	}
	qt.Assert(t, AssignParts(map[string]int{"u-1": 3}, nil, 2), qt.HasLen, 0)
}

// A host that owned many parts would be as full as a single owner.
func TestPartsAreSpreadEvenly(t *testing.T) {
	hosts, parts := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}, map[string]int{}
	for i := range 8 {
		parts[fmt.Sprintf("u-%d", i)] = 3
	}
	first := map[string]int{}
	for _, ranked := range AssignParts(parts, hosts, 2) {
		qt.Assert(t, ranked, qt.HasLen, 3)
		for _, owners := range ranked {
			qt.Assert(t, owners, qt.HasLen, 2)
			first[owners[0]]++
		}
	}
	most := 0
	for _, n := range first {
		most = max(most, n)
	}
	qt.Assert(t, most <= 3, qt.IsTrue, qt.Commentf("24 parts on 11 hosts: %v", first))
}

// When a host is lost, organisations of other parts must keep their connections.
func TestLossOfAnOwnerMovesFewParts(t *testing.T) {
	hosts, parts := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}, map[string]int{}
	for i := range 8 {
		parts[fmt.Sprintf("u-%d", i)] = 3
	}
	before, after := AssignParts(parts, hosts, 2), AssignParts(parts, slices.Clone(hosts[1:]), 2)
	moved := 0
	for id, ranked := range before {
		for i, owners := range ranked {
			if owners[0] != "a" && after[id][i][0] != owners[0] {
				moved++
			}
		}
	}
	qt.Assert(t, moved <= 24/4, qt.IsTrue, qt.Commentf("%d parts of hosts that stayed have moved", moved))
}
