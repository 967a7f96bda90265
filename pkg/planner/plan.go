package planner

import "github.com/shallotstage/shallotstage/pkg/configurer"

// Status is the lifecycle state of a plan.
type Status string

// The lifecycle states of a plan.
const (
	StatusOpen      Status = "open"
	StatusConfirmed Status = "confirmed"
	StatusRejected  Status = "rejected"
	// StatusSuperseded means that the configuration changed after the plan was
	// drafted and the plan no longer applies.
	StatusSuperseded Status = "superseded"
	StatusInForce    Status = "in_force"
)

// Comment is a remark that an operator made on a plan.
type Comment struct {
	Author string `json:"author"`
	At     string `json:"at"`
	Text   string `json:"text"`
}

// Plan holds the changes that an intent leads to and the state of their review.
type Plan struct {
	Intent Intent `json:"intent"`
	Status Status `json:"status"`
	// BaseVersion is the highest version of the affected entries when the plan was
	// drafted.
	BaseVersion uint64 `json:"base"`
	// Effects describe what changes, whom it affects and what it replaces.
	Effects []string `json:"effects"`
	// Risks describe what could block the plan and what it may break.
	Risks    []string            `json:"risks,omitempty"`
	Changes  []configurer.Change `json:"changes"`
	Comments []Comment           `json:"comments,omitempty"`
	Reviewer string              `json:"reviewer,omitempty"`
	// Version is the configuration version that a confirmed plan produced.
	Version uint64 `json:"version,omitempty"`
	At      string `json:"at"`
	InForce string `json:"in_force,omitempty"`
	// ClosedIndex is the log index at which the plan was rejected, superseded or put
	// in force. It is zero for an open or confirmed plan.
	ClosedIndex uint64 `json:"closed,omitempty"`
}
