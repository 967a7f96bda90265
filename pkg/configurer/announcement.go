package configurer

import (
	"fmt"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Announcement is the registration that an upstream sends to the fleet.
type Announcement struct {
	Upstream
	// Role is "primary" or "replica".
	Role     string           `json:"role"`
	Position tracker.Position `json:"position"`
	Lineage  tracker.Lineage  `json:"lineage,omitempty"`
}

// Validate returns an error if a field is missing or out of range.
func (a Announcement) Validate() error {
	if a.Role != "primary" && a.Role != "replica" {
		return fmt.Errorf("configurer: announcement of %s: role %q must be primary or replica", a.ID, a.Role)
	}
	return a.Upstream.Validate()
}
