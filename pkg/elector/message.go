package elector

// MessageKind names the purpose of a message between control hosts.
type MessageKind string

// The kinds of messages.
const (
	MessagePreVote        MessageKind = "pre_vote"
	MessagePreVoteAnswer  MessageKind = "pre_vote_answer"
	MessageVote           MessageKind = "vote"
	MessageVoteAnswer     MessageKind = "vote_answer"
	MessageAppend         MessageKind = "append"
	MessageAppendAnswer   MessageKind = "append_answer"
	MessageSnapshot       MessageKind = "snapshot"
	MessageSnapshotAnswer MessageKind = "snapshot_answer"
)

// Message is sent between control hosts. Messages may be lost, repeated and
// reordered.
type Message struct {
	Kind MessageKind `json:"kind"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm name the entry before Entries, or the candidate's
	// last entry. In an answer Index is the last entry known to match, or a
	// hint where to go on when Reject is true.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"log_term,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Round is echoed by answers; the leader derives its lease from it.
	Round    uint64    `json:"round,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}
