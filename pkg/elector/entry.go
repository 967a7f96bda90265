package elector

// EntryKind is the type of a log entry.
type EntryKind string

// Kinds of log entries.
const (
	// EntryCommand carries an application command.
	EntryCommand EntryKind = "command"
	// EntryMembership carries a new Membership.
	EntryMembership EntryKind = "membership"
	// EntryEmpty is the no-op entry that a new leader appends first.
	EntryEmpty EntryKind = "empty"
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64    `json:"index"`
	Term  uint64    `json:"term"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
	// Membership is set for EntryMembership.
	Membership *Membership `json:"membership,omitempty"`
}

// Snapshot holds the application state and the membership after the entry at
// Index, and replaces the log up to it.
type Snapshot struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data,omitempty"`
}

// HardState is the persistent Raft state. It must be synced to disk before any
// message that depends on it is sent.
type HardState struct {
	Term     uint64 `json:"term"`
	VotedFor string `json:"voted_for,omitempty"`
	// Leader is the leader of Term, or empty while it is unknown.
	Leader string `json:"leader,omitempty"`
}
