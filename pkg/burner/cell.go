package burner

import "github.com/shallotstage/shallotstage/pkg/refuser"

// Cell names statements that are counted together.
type Cell struct {
	Organisation string         `json:"organisation"`
	Route        string         `json:"route"`
	Outcome      Outcome        `json:"outcome"`
	Reason       refuser.Reason `json:"reason,omitempty"`
	// Group and Upstream say where the statements were to run. They are empty
	// for OutcomeServed.
	Group    string `json:"group,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Term is the group's term when the statement was refused; with the group
	// it names the failover that the refusal belongs to.
	Term uint64 `json:"term,omitempty"`
}

// Count is the number of statements of a cell.
type Count struct {
	Cell
	Statements int `json:"statements"`
}

// Slot holds the counts of one interval of a host.
type Slot struct {
	// Start is the beginning in seconds of Unix time, a multiple of the slot
	// length.
	Start  int64   `json:"start"`
	Counts []Count `json:"counts"`
}

// Page is what one host has counted.
type Page struct {
	Host string `json:"host"`
	// SlotSeconds is the length of a slot.
	SlotSeconds int64  `json:"slot_seconds"`
	Slots       []Slot `json:"slots"`
}
