package placer

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return list
}

func loads(owners map[string][]string) map[string]int {
	load := map[string]int{}
	for _, ranked := range owners {
		load[ranked[0]]++
	}
	return load
}

func TestSpreadBoundsEachHost(t *testing.T) {
	for _, size := range []struct{ things, hosts, most int }{{4, 14, 1}, {3, 2, 2}, {5, 14, 1}, {633, 103, 7}, {1, 1, 1}} {
		for seed := range 50 {
			things := names(fmt.Sprintf("upstream-%d", seed), size.things)
			owners := Spread(things, names("host", size.hosts), 2)
			qt.Assert(t, owners, qt.HasLen, size.things)
			qt.Assert(t, slices.Max(slices.Collect(maps.Values(loads(owners)))) <= size.most, qt.IsTrue, qt.Commentf("%v seed %d", size, seed))
			for _, ranked := range owners {
				qt.Assert(t, ranked, qt.HasLen, min(2, size.hosts))
				qt.Assert(t, len(ranked) == 1 || ranked[0] != ranked[1], qt.IsTrue)
			}
			slices.Reverse(things)
			qt.Assert(t, Spread(things, names("host", size.hosts), 2), qt.DeepEquals, owners, qt.Commentf("the order of the arguments does not matter"))
		}
	}
	qt.Assert(t, Spread(names("upstream", 3), nil, 2), qt.HasLen, 0)
}

func TestSpreadMovesFewWhenAHostLeaves(t *testing.T) {
	things, hosts := names("upstream", 633), names("host", 103)
	before := Spread(things, hosts, 2)
	after := Spread(things, slices.Delete(slices.Clone(hosts), 50, 51), 2)
	moved := 0
	for thing, ranked := range before {
		if after[thing][0] != ranked[0] {
			moved++
		}
	}
	// What the host owned moves, and what the bound then displaces.
	qt.Assert(t, moved <= 10*loads(before)["host-50"], qt.IsTrue, qt.Commentf("%d of 633 moved, the host owned %d", moved, loads(before)["host-50"]))
}

// BenchmarkSpread spreads a data centre's upstreams at the size to design for.
func BenchmarkSpread(b *testing.B) {
	things, hosts := names("upstream", 633), names("host", 103)
	for b.Loop() {
		Spread(things, hosts, 2)
	}
}
