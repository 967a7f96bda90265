package keeper

import "time"

// Lifecycle is the lifecycle state that an upstream announces.
type Lifecycle string

// The lifecycle states of an upstream.
const (
	LifecycleReady    Lifecycle = "ready"
	LifecycleDraining Lifecycle = "draining"
)

// Role is an upstream's replication role as the upstream itself reports it.
type Role string

// The roles of an upstream.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Upstream is the last announcement of an upstream of a service.
type Upstream struct {
	ID         string    `json:"id"`
	Service    string    `json:"service"`
	Address    string    `json:"address"`
	DataCentre string    `json:"data_centre"`
	Slots      int       `json:"slots"`
	Lifecycle  Lifecycle `json:"life"`
	Role       Role      `json:"role"`
	// WarmupRemaining is the remaining warm-up time, during which the upstream
	// is slow.
	WarmupRemaining time.Duration `json:"cold,omitempty"`
	// IncarnationStart is the start time of this incarnation in Unix
	// milliseconds.
	IncarnationStart int64 `json:"born"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
}

// isNewerThan reports whether u is a later announcement of the same upstream
// than old.
func (u Upstream) isNewerThan(old Upstream) bool {
	if u.IncarnationStart != old.IncarnationStart {
		return u.IncarnationStart > old.IncarnationStart
	}
	return u.Sequence > old.Sequence
}

// sameState reports whether two announcements differ at most in Sequence and
// WarmupRemaining, which change with every announcement.
func (u Upstream) sameState(old Upstream) bool {
	u.Sequence, u.WarmupRemaining = old.Sequence, old.WarmupRemaining
	return u == old
}
