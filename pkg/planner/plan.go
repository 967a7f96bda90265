package planner

import "github.com/shallotstage/shallotstage/pkg/configurer"

// Status is the state of a plan.
type Status string

// The states of a plan.
const (
	StatusOpen      Status = "open"
	StatusConfirmed Status = "confirmed"
	StatusRejected  Status = "rejected"
	// StatusSuperseded means that the configuration moved under the plan.
	StatusSuperseded Status = "superseded"
	StatusInForce    Status = "in_force"
)

// Comment is one written remark on a plan.
type Comment struct {
	Author string `json:"author"`
	At     string `json:"at"`
	Text   string `json:"text"`
}

// Plan is the answer to an intent.
type Plan struct {
	Intent Intent `json:"intent"`
	Status Status `json:"status"`
	// Base is the version of the touched entries that the plan was made for.
	Base uint64 `json:"base"`
	// Effects say in words what changes, for whom, and what it displaces.
	Effects []string `json:"effects"`
	// Risks say what could refuse the plan or what it breaks.
	Risks    []string            `json:"risks,omitempty"`
	Changes  []configurer.Change `json:"changes"`
	Comments []Comment           `json:"comments,omitempty"`
	Reviewer string              `json:"reviewer,omitempty"`
	// Version is the configuration version of a confirmed plan.
	Version uint64 `json:"version,omitempty"`
	At      string `json:"at"`
	InForce string `json:"in_force,omitempty"`
	// Closed is the index of the record at which the plan was rejected,
	// superseded or in force, or zero.
	Closed uint64 `json:"closed,omitempty"`
}
