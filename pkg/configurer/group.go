package configurer

import (
	"errors"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Phase is the failover state of a group.
type Phase string

// The phases of a group.
const (
	// PhaseForming lasts until enough upstreams to form the group have announced
	// themselves.
	PhaseForming Phase = "forming"
	// PhaseServing means that Primary accepts writes in Term.
	PhaseServing Phase = "serving"
	// PhaseFenced means that Term has begun and no primary accepts writes yet.
	PhaseFenced Phase = "fenced"
	// PhasePromoting means that Candidate was chosen and is being promoted to
	// the primary of Term.
	PhasePromoting Phase = "promoting"
)

// Group is the configuration and failover state of one replicated database.
type Group struct {
	ID    string `json:"id"`
	Phase Phase  `json:"phase"`
	Term  uint64 `json:"term"`
	// Primary is the id of the upstream that accepts writes in Term.
	Primary string `json:"primary,omitempty"`
	// Candidate is the id of the upstream chosen to become the primary of Term.
	Candidate string `json:"candidate,omitempty"`
	// Members are the ids of the upstreams that are eligible as primary.
	Members []string `json:"members"`
	// Instances maps each member to the data instance that counts for a
	// promotion. A member with a different instance, for example after it has
	// lost its data, counts again once it has caught up.
	Instances map[string]string `json:"instances,omitempty"`
	Lineage   tracker.Lineage   `json:"lineage,omitempty"`
}

// Quorum returns the number of members that must hold a commit for it to be
// safe.
func (g Group) Quorum() int { return len(g.Members)/2 + 1 }

// HasQuorumFor reports whether a quorum of the members holds the commit, given
// the position that each upstream has reached.
func (g Group) HasQuorumFor(commit tracker.Position, positions map[string]tracker.Position) bool {
	holders := 0
	for _, id := range g.Members {
		p, ok := positions[id]
		if ok && g.Lineage.Includes(p, commit) {
			holders++
		}
	}
	return holders >= g.Quorum()
}

// Validate returns an error if the id is missing.
func (g Group) Validate() error {
	if g.ID == "" {
		return errors.New("configurer: group has no id")
	}
	return nil
}
