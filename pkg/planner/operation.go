package planner

import "github.com/shallotstage/shallotstage/pkg/configurer"

// OperationKind names an agreed operation.
type OperationKind string

// The kinds of operations.
const (
	OperationIntent  OperationKind = "intent"
	OperationComment OperationKind = "comment"
	OperationConfirm OperationKind = "confirm"
	OperationReject  OperationKind = "reject"
	// OperationFleet is a change that the fleet makes by itself.
	OperationFleet   OperationKind = "fleet"
	OperationInForce OperationKind = "in_force"
)

// Operation is one agreed step. Control hosts apply the same operations in the
// same order.
type Operation struct {
	Kind OperationKind `json:"kind"`
	// At is the wall-clock time of the leader, for people only.
	At string `json:"at"`
	// Intent is set for OperationIntent.
	Intent *Intent `json:"intent,omitempty"`
	// Plan is the intent id that the operation is about.
	Plan  string `json:"plan,omitempty"`
	Actor string `json:"actor,omitempty"`
	Text  string `json:"text,omitempty"`
	// Subject and Changes are set for OperationFleet.
	Subject string              `json:"subject,omitempty"`
	Changes []configurer.Change `json:"changes,omitempty"`
	// Version is set for OperationInForce.
	Version uint64 `json:"version,omitempty"`
}
