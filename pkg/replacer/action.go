package replacer

import "github.com/shallotstage/shallotstage/pkg/elector"

// ActionKind is the type of a replacement step.
type ActionKind string

// Kinds of replacement steps.
const (
	// ActionNone means that no step is needed or possible.
	ActionNone        ActionKind = "none"
	ActionAddLearner  ActionKind = "add_learner"
	ActionDropLearner ActionKind = "drop_learner"
	ActionRemoveVoter ActionKind = "remove_voter"
	ActionAddVoter    ActionKind = "add_voter"
)

// Action is one step of a replacement.
type Action struct {
	Kind ActionKind
	// Host is the control host that is added or removed.
	Host string
	// Membership is the membership after the step.
	Membership elector.Membership
	// Reason states the reason and the evidence, and is stored in the record.
	Reason string
}
