package configurer

import (
	"errors"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Phase is the state of a group's primary.
type Phase string

// The phases of a group.
const (
	// PhaseForming lasts until the agreed members have announced themselves.
	PhaseForming Phase = "forming"
	// PhaseServing means that Primary takes writes under Term.
	PhaseServing Phase = "serving"
	// PhaseFenced means that Term has begun and no primary takes writes yet.
	PhaseFenced Phase = "fenced"
	// PhasePromoting means that Candidate was chosen and is ordered to become
	// the primary of Term.
	PhasePromoting Phase = "promoting"
)

// Group is the agreed state of one replicated database.
type Group struct {
	ID    string `json:"id"`
	Phase Phase  `json:"phase"`
	Term  uint64 `json:"term"`
	// Primary is the id of the upstream that takes writes under Term.
	Primary string `json:"primary,omitempty"`
	// Candidate is the upstream chosen to become primary under Term.
	Candidate string `json:"candidate,omitempty"`
	// Members is the agreed set from which a primary may be chosen.
	Members []string `json:"members"`
	// Instances are the members' data that count for a promotion. A member
	// whose data differs counts again once it has caught up.
	Instances map[string]string `json:"instances,omitempty"`
	Lineage   tracker.Lineage   `json:"lineage,omitempty"`
}

// Quorum returns the number of members that any safe commit must reach.
func (g Group) Quorum() int { return len(g.Members)/2 + 1 }

// IsSafe reports whether a commit at floor is held by a quorum of the members
// at the given positions.
func (g Group) IsSafe(floor tracker.Position, positions map[string]tracker.Position) bool {
	n := 0
	for _, id := range g.Members {
		p, ok := positions[id]
		if ok && g.Lineage.Holds(p, floor) {
			n++
		}
	}
	return n >= g.Quorum()
}

// Validate returns an error when a field is missing.
func (g Group) Validate() error {
	if g.ID == "" {
		return errors.New("configurer: group has no id")
	}
	return nil
}
