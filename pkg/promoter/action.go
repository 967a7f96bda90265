package promoter

import "github.com/shallotstage/shallotstage/pkg/configurer"

// ActionKind names what the promoter wants done.
type ActionKind string

// The kinds of actions.
const (
	// ActionPropose asks for agreement on a new state of the group.
	ActionPropose ActionKind = "propose"
	// ActionFence orders an upstream to refuse earlier terms.
	ActionFence ActionKind = "fence"
	// ActionPromote orders an upstream to become primary.
	ActionPromote ActionKind = "promote"
	// ActionInspect asks an upstream for its position.
	ActionInspect ActionKind = "inspect"
	// ActionFollow orders an upstream to follow the primary.
	ActionFollow ActionKind = "follow"
)

// Action is one thing to do. Orders may be repeated without harm.
type Action struct {
	Kind     ActionKind
	Upstream string
	Term     uint64
	// Group is the proposed state for ActionPropose.
	Group configurer.Group
	// Why explains a proposal to the people on call.
	Why string
}
