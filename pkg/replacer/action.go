package replacer

import "github.com/shallotstage/shallotstage/pkg/elector"

// ActionKind names one step of a replacement.
type ActionKind string

// The kinds of steps.
const (
	// ActionNone means that nothing is to be done.
	ActionNone        ActionKind = "none"
	ActionAddLearner  ActionKind = "add_learner"
	ActionDropLearner ActionKind = "drop_learner"
	ActionRemoveVoter ActionKind = "remove_voter"
	ActionAddVoter    ActionKind = "add_voter"
)

// Action is one step of a replacement.
type Action struct {
	Kind ActionKind
	// Host is the control host that the step is about.
	Host string
	// Next is the membership after the step.
	Next elector.Membership
	// Why tells the reason and the evidence, for the record.
	Why string
}
