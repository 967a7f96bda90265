package elector

// Output is what the user of an Elector must do, in this order: store Snapshot
// and install it, store HardState and Entries, sync, send Messages, and apply
// Committed.
type Output struct {
	// HardState is nil when it has not changed.
	HardState *HardState
	// Snapshot is a received snapshot, which replaces log and application
	// state.
	Snapshot *Snapshot
	// Entries must be stored; stored entries at or above the index of the
	// first one are replaced.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
}

// IsEmpty reports whether there is nothing to do.
func (o Output) IsEmpty() bool {
	return o.HardState == nil && o.Snapshot == nil && len(o.Entries) == 0 && len(o.Messages) == 0 && len(o.Committed) == 0
}
