package router

import "time"

// Action says what to do with a request.
type Action string

// The actions.
const (
	// ActionReplica sends the request to the replica Choice.Upstream.
	ActionReplica Action = "replica"
	// ActionPrimary sends the request to the primary Choice.Upstream.
	ActionPrimary Action = "primary"
	// ActionWait asks again after a change, or after Choice.Wait.
	ActionWait Action = "wait"
	// ActionRefuse means that nothing can serve the request at any time soon.
	ActionRefuse Action = "refuse"
)

// Choice is the router's answer.
type Choice struct {
	Action   Action
	Upstream string
	// Wait bounds the wait of ActionWait.
	Wait time.Duration
}
