package permitter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A wrong set would send the statements of a restricted route or organisation to a
// region that it excludes, or refuse those that may run.
func TestEffective(t *testing.T) {
	list := func(regions ...string) []string { return regions }
	tests := []struct {
		name                string
		route, organisation []string
		restricted          bool
		permitted, excluded []string
	}{
		{"no list", nil, nil, false, list("east", "west", ""), nil},
		{"empty lists", list(), list(), false, list("east", ""), nil},
		{"route only", list("east"), nil, true, list("east"), list("west", "")},
		{"organisation only", nil, list("east", "west"), true, list("east", "west"), list("north", "")},
		{"both lists", list("east", "west"), list("west", "north"), true, list("west"), list("east", "north", "")},
		{"no common region", list("east"), list("west"), true, nil, list("east", "west", "")},
		{"empty name in a list", list(""), nil, true, nil, list("", "east")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := Effective(test.route, test.organisation)
			qt.Assert(t, s.IsRestricted(), qt.Equals, test.restricted)
			for _, region := range test.permitted {
				qt.Assert(t, s.Permits(region), qt.IsTrue, qt.Commentf("%q", region))
			}
			for _, region := range test.excluded {
				qt.Assert(t, s.Permits(region), qt.IsFalse, qt.Commentf("%q", region))
			}
		})
	}
}

// The lists belong to a configuration that all requests share.
func TestEffectiveLeavesItsArgumentsUnchanged(t *testing.T) {
	route, organisation := []string{"east", "west"}, []string{"west"}
	Effective(route, organisation)
	qt.Assert(t, route, qt.DeepEquals, []string{"east", "west"})
	qt.Assert(t, organisation, qt.DeepEquals, []string{"west"})
}
