package elector

// MessageKind is the type of a message between control hosts.
type MessageKind string

// Kinds of messages.
const (
	MessagePreVote          MessageKind = "pre_vote"
	MessagePreVoteResponse  MessageKind = "pre_vote_answer"
	MessageVote             MessageKind = "vote"
	MessageVoteResponse     MessageKind = "vote_answer"
	MessageAppend           MessageKind = "append"
	MessageAppendResponse   MessageKind = "append_answer"
	MessageSnapshot         MessageKind = "snapshot"
	MessageSnapshotResponse MessageKind = "snapshot_answer"
)

// Message is a Raft message between control hosts. Messages may be lost,
// duplicated and reordered.
type Message struct {
	Kind MessageKind `json:"kind"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm identify the entry before Entries, or the candidate's
	// last entry. In a response, Index is the last entry known to match, or the
	// index to retry from if Reject is true.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"log_term,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Round numbers the heartbeats of a leader. Responses echo it, and the
	// leader derives its lease from them.
	Round    uint64    `json:"round,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}
