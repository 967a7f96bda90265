package burner

import "github.com/shallotstage/shallotstage/pkg/refuser"

// Labels is the set of labels by which statements are counted.
type Labels struct {
	Organisation string         `json:"organisation"`
	Route        string         `json:"route"`
	Outcome      Outcome        `json:"outcome"`
	Reason       refuser.Reason `json:"reason,omitempty"`
	// Group and Upstream are the target of the statements. They are empty for
	// OutcomeServed.
	Group    string `json:"group,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Term is the term of the group when the statement was refused. Group and
	// Term together identify the failover that caused the refusal.
	Term uint64 `json:"term,omitempty"`
}

// Count is the number of statements counted for a set of labels.
type Count struct {
	Labels
	Statements int `json:"statements"`
}

// Slot holds the counts of one time interval on a host.
type Slot struct {
	// Start is the Unix time of the beginning in seconds, a multiple of the slot
	// length.
	Start  int64   `json:"start"`
	Counts []Count `json:"counts"`
}

// HostCounts holds the counts of one host over the longest window.
type HostCounts struct {
	Host string `json:"host"`
	// SlotSeconds is the length of a slot in seconds.
	SlotSeconds int64  `json:"slot_seconds"`
	Slots       []Slot `json:"slots"`
}
