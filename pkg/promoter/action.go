package promoter

import "github.com/shallotstage/shallotstage/pkg/configurer"

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions.
const (
	// ActionPropose proposes a new state of the group to the control hosts.
	ActionPropose ActionKind = "propose"
	// ActionFence orders an upstream to reject earlier terms.
	ActionFence ActionKind = "fence"
	// ActionPromote orders an upstream to become primary.
	ActionPromote ActionKind = "promote"
	// ActionInspect queries the position of an upstream.
	ActionInspect ActionKind = "inspect"
	// ActionFollow orders an upstream to replicate from the primary.
	ActionFollow ActionKind = "follow"
)

// Action is a proposal, or an idempotent order or query to an upstream.
type Action struct {
	Kind     ActionKind
	Upstream string
	Term     uint64
	// Group is the proposed state for ActionPropose.
	Group configurer.Group
	// Reason is the reason for a proposal, shown to operators.
	Reason string
}
