package keeper

import "time"

// Life is the state that an upstream announces.
type Life string

// The states of an upstream.
const (
	LifeReady    Life = "ready"
	LifeDraining Life = "draining"
)

// Role is an upstream's part in its group as the upstream itself sees it.
type Role string

// The roles of an upstream.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Upstream is one backend of a service as it last announced itself.
type Upstream struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	Life       Life   `json:"life"`
	Role       Role   `json:"role"`
	// Cold is how much longer the upstream stays slow after its start.
	Cold time.Duration `json:"cold,omitempty"`
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64 `json:"born"`
	// Sequence rises with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
}

// follows reports whether u was announced after old, by the same upstream.
func (u Upstream) follows(old Upstream) bool {
	if u.Born != old.Born {
		return u.Born > old.Born
	}
	return u.Sequence > old.Sequence
}

// sameStanding reports whether two announcements tell the same.
func (u Upstream) sameStanding(old Upstream) bool {
	u.Sequence, u.Cold = old.Sequence, old.Cold
	return u == old
}
