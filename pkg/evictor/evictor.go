// Package evictor chooses the idle connection that is closed when another
// organisation needs its place.
//
// Closing a connection that is needed again soon costs two openings. How often a
// connection is used predicts that better than when it was used last: most
// organisations are small, and one statement of each would drive out the
// connections of the large ones. So the connection whose last use but one is
// longest ago is closed. A connection that was opened and used once counts as
// never used before that.
//
// # Usage
//
//	i := evictor.Choose(uses)
//
// Choose is a pure function.
package evictor

import "time"

// Use is the use of an idle connection.
type Use struct {
	// Last is when the connection was last returned; Previous is when it was
	// returned before that, or zero if it was used only once.
	Last, Previous time.Time
}

// Choose returns the index of the connection to close, or -1 if there is none.
func Choose(uses []Use) int {
	best := -1
	for i, u := range uses {
		if best < 0 || u.isBefore(uses[best]) {
			best = i
		}
	}
	return best
}

// isBefore reports whether the connection is to be closed rather than the other.
func (u Use) isBefore(other Use) bool {
	if !u.Previous.Equal(other.Previous) {
		return u.Previous.Before(other.Previous)
	}
	return u.Last.Before(other.Last)
}
