package elector

import (
	"errors"
	"slices"
)

// Membership names the control hosts of a log.
type Membership struct {
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
}

// Quorum returns the number of voters that decide.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// IsVoter reports whether id votes.
func (m Membership) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// All returns voters and learners.
func (m Membership) All() []string { return append(slices.Clone(m.Voters), m.Learners...) }

// clone returns a copy that shares nothing with m.
func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// errMembershipStep means that more than one voter would change at a time.
var errMembershipStep = errors.New("elector: membership may change by one voter at a time")

// checkStep returns an error unless at most one voter joins or leaves. Any
// quorum of one set then shares a member with any quorum of the other.
func (m Membership) checkStep(next Membership) error {
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
		return errMembershipStep
	}
	return nil
}
