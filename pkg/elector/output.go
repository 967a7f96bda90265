package elector

// Output is the work that an Elector hands to its caller. The caller installs Snapshot,
// sends Messages and applies Committed at once, in this order. It stores Snapshot,
// HardState, Entries and Compaction in one transaction, syncs it and then calls
// Elector.Stored. Until that call, Output returns nothing else to be stored, and holds back
// the messages that promise what is not stored yet.
type Output struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	// Compaction is a snapshot of this host's own state that replaces the stored log up
	// to its index. It is nil if there is none.
	Compaction *Snapshot
	// Snapshot is a received snapshot that replaces the log and the application
	// state. It is nil if there is none.
	Snapshot *Snapshot
	// Entries are appended to the stored log. They replace all stored entries
	// from the index of the first one on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
}

// IsEmpty reports whether there is no work to do.
func (o Output) IsEmpty() bool {
	return !o.NeedsStorage() && len(o.Messages) == 0 && len(o.Committed) == 0
}

// NeedsStorage reports whether there is something to store.
func (o Output) NeedsStorage() bool {
	return o.HardState != nil || o.Compaction != nil || o.Snapshot != nil || len(o.Entries) > 0
}
