package elector

// EntryKind says how an entry is used.
type EntryKind string

// The kinds of entries.
const (
	// EntryCommand carries a command of the application.
	EntryCommand EntryKind = "command"
	// EntryMembership carries a Membership.
	EntryMembership EntryKind = "membership"
	// EntryEmpty begins a leadership.
	EntryEmpty EntryKind = "empty"
)

// Entry is one place in the replicated log.
type Entry struct {
	Index uint64    `json:"index"`
	Term  uint64    `json:"term"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
	// Membership is set for EntryMembership.
	Membership *Membership `json:"membership,omitempty"`
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data,omitempty"`
}

// HardState must be synced before any message that follows from it is sent.
type HardState struct {
	Term     uint64 `json:"term"`
	VotedFor string `json:"voted_for,omitempty"`
	// Leader is the leader of Term, once it was heard.
	Leader string `json:"leader,omitempty"`
}
