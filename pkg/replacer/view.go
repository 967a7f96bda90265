package replacer

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/elector"
)

// View is what the leading control host knows of the others.
type View struct {
	Now time.Time
	// Self is the leader.
	Self       string
	Membership elector.Membership
	// Contact is when each member last answered the leader.
	Contact map[string]time.Time
	// Match is the last log entry that each member is known to hold.
	Match     map[string]uint64
	Committed uint64
	// Hosts are the agreed control hosts.
	Hosts map[string]configurer.ControlHost
	// Heard is when each control host last announced itself to the leader.
	Heard map[string]time.Time
	// Pages is the number of pages of the old record, and HeldPages how many
	// of them each control host holds.
	Pages     uint64
	HeldPages map[string]uint64
}

// answers reports whether a member has answered the leader of late.
func (v View) answers(id string, within time.Duration) bool {
	return id == v.Self || v.Now.Sub(v.Contact[id]) < within
}
