package elector

import (
	"errors"
	"slices"
)

// Membership lists the control hosts that replicate a log.
type Membership struct {
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// All returns the voters followed by the learners.
func (m Membership) All() []string { return append(slices.Clone(m.Voters), m.Learners...) }

// clone returns a deep copy of m.
func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// errMembershipChange is returned for a change of more than one voter, or one
// that leaves no voter.
var errMembershipChange = errors.New("elector: a membership change may add or remove at most one voter and must keep one")

// validateChange returns an error unless at most one voter is added or removed.
// This guarantees that every quorum of the old membership overlaps with every
// quorum of the new one.
func (m Membership) validateChange(next Membership) error {
	changed := 0
	for _, v := range next.Voters {
		if !m.IsVoter(v) {
			changed++
		}
	}
	for _, v := range m.Voters {
		if !next.IsVoter(v) {
			changed++
		}
	}
	if changed > 1 || len(next.Voters) == 0 {
		return errMembershipChange
	}
	return nil
}
