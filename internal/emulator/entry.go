package emulator

import "github.com/shallotstage/shallotstage/pkg/tracker"

// Write is one statement of a committed transaction.
type Write struct {
	SQL string
	// Args are of type int64, float64, string, []byte or bool, or nil.
	Args []any
}

// Entry is one committed transaction in a group's replication log. An entry
// without writes marks the start of a term.
type Entry struct {
	Position tracker.Position
	Writes   []Write
}
