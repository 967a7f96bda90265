package planner

import "github.com/shallotstage/shallotstage/pkg/configurer"

// OperationKind identifies the type of an Operation.
type OperationKind string

// The kinds of operations.
const (
	OperationIntent  OperationKind = "intent"
	OperationComment OperationKind = "comment"
	OperationConfirm OperationKind = "confirm"
	OperationReject  OperationKind = "reject"
	// OperationFleetChange is a change that the fleet made automatically.
	OperationFleetChange OperationKind = "fleet"
	OperationInForce     OperationKind = "in_force"
)

// Operation is one entry of the replicated log. All control hosts apply the same
// operations in the same order.
type Operation struct {
	Kind OperationKind `json:"kind"`
	// At is the leader's wall-clock time. It is informational only.
	At string `json:"at"`
	// Intent is set for OperationIntent.
	Intent *Intent `json:"intent,omitempty"`
	// PlanID is the intent id of the plan that the operation concerns.
	PlanID string `json:"plan,omitempty"`
	Actor  string `json:"actor,omitempty"`
	Text   string `json:"text,omitempty"`
	// Subject and Changes are set for OperationFleetChange.
	Subject string              `json:"subject,omitempty"`
	Changes []configurer.Change `json:"changes,omitempty"`
	// Version is set for OperationInForce.
	Version uint64 `json:"version,omitempty"`
}
