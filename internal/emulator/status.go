package emulator

import "github.com/shallotstage/shallotstage/pkg/tracker"

// Role is the replication role of an upstream.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is the state of an upstream as returned by the platform API.
type Status struct {
	ID       string           `json:"id"`
	Group    string           `json:"group"`
	Instance string           `json:"instance"`
	Role     Role             `json:"role"`
	Position tracker.Position `json:"position"`
	// FencedTerm is the lowest term that the upstream accepts.
	FencedTerm uint64          `json:"fenced_term"`
	Lineage    tracker.Lineage `json:"lineage"`
}
