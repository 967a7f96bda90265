package router

import "time"

// Action is what to do with a request.
type Action string

// The values of Action.
const (
	// ActionReplica sends the request to the replica Choice.Upstream.
	ActionReplica Action = "replica"
	// ActionPrimary sends the request to the primary Choice.Upstream.
	ActionPrimary Action = "primary"
	// ActionWait calls Choose again after a state change or after Choice.Wait.
	ActionWait Action = "wait"
	// ActionRefuse means that no upstream can serve the request soon.
	ActionRefuse Action = "refuse"
)

// Choice is the result of Choose.
type Choice struct {
	Action   Action
	Upstream string
	// Wait limits the wait of ActionWait.
	Wait time.Duration
}
