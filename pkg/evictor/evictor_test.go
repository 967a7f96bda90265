package evictor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// One statement of each small organisation must not drive out the connections that
// are used all the time.
func TestChoose(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	tests := []struct {
		name string
		uses []Use
		want int
	}{
		{"none", nil, -1},
		{"the one used once, although it was used last", []Use{{at(10), at(9)}, {at(20), time.Time{}}, {at(11), at(8)}}, 1},
		{"of several used once, the longest idle", []Use{{at(30), time.Time{}}, {at(20), time.Time{}}, {at(25), time.Time{}}}, 1},
		{"the one whose last use but one is longest ago", []Use{{at(10), at(9)}, {at(11), at(3)}, {at(12), at(8)}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, Choose(test.uses), qt.Equals, test.want) })
	}
}
