// Package replacer decides when a spare control host replaces a failed voter.
//
// A voter that has not answered the leader for some time, or that operators
// want to remove, is replaced in three steps, each a separate membership change:
// a spare joins as a learner and catches up, the failed voter is removed, and
// the learner is promoted to voter. The voter is removed before the promotion
// because the learner may fail too: if the failed voter still counted, a second
// failure would lose the quorum.
//
// # Usage
//
//	r := replacer.Replacer{ReplaceAfter: 2 * time.Minute}
//	action := r.Decide(view)
//
// A Replacer is stateless, so a new leader continues from the current membership.
// A complete replacement always leaves an odd number of voters, so an even number
// means that a replacement is in progress.
package replacer

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/elector"
)

const (
	// defaultLivenessTimeout is the default of Replacer.LivenessTimeout.
	defaultLivenessTimeout = 5 * time.Second
	// maxLearnerLag is the number of committed entries that a learner may lack
	// when it becomes a voter.
	maxLearnerLag = 64
	// defaultReplaceAfter is the default of Replacer.ReplaceAfter.
	defaultReplaceAfter = 2 * time.Minute
)

// Replacer holds the replacement settings. The zero value uses the defaults.
type Replacer struct {
	// ReplaceAfter is the time without an answer after which a voter is
	// replaced; zero means two minutes. It should be longer than a restart
	// takes.
	ReplaceAfter time.Duration
	// LivenessTimeout is the time without an answer or announcement after which a
	// host no longer counts as live; zero means five seconds.
	LivenessTimeout time.Duration
	// TargetVoters is the number of voters to grow to while spares are available;
	// zero means the initial number.
	TargetVoters int
}

// Decide returns the next replacement step for a view.
func (r Replacer) Decide(v View) Action {
	if len(v.Membership.Voters) == 0 {
		return Action{Kind: ActionNone}
	}
	if id := r.unresponsiveLearner(v); id != "" {
		return dropLearner(v, id, fmt.Sprintf("learner %s has not answered for %s", id, r.livenessTimeout()))
	}
	if len(v.Membership.Voters)%2 == 0 {
		return r.growVoters(v)
	}
	outgoing := r.voterToReplace(v)
	if outgoing == "" && len(v.Membership.Voters) < r.TargetVoters {
		return r.growVoters(v)
	}
	if outgoing == "" {
		return r.dropUnneededLearner(v)
	}
	if !r.hasQuorumWithout(v, outgoing) {
		return Action{Kind: ActionNone}
	}
	learner := r.readyLearner(v)
	if learner == "" {
		return r.addLearner(v, outgoing)
	}
	next := withoutVoter(v.Membership, outgoing)
	return Action{Kind: ActionRemoveVoter, Host: outgoing, Membership: next, Reason: r.removalReason(v, outgoing) + "; " + learner + " has caught up and takes its place"}
}

// growVoters promotes a learner that has caught up, or adds a spare as a learner.
// It restores an odd number of voters, or grows it towards Replacer.TargetVoters.
func (r Replacer) growVoters(v View) Action {
	if id := r.readyLearner(v); id != "" {
		next := v.Membership
		next = elector.Membership{Voters: append(slices.Clone(next.Voters), id), Learners: withoutID(next.Learners, id)}
		return Action{Kind: ActionAddVoter, Host: id, Membership: next, Reason: fmt.Sprintf("%s has caught up and votes; voters are %v", id, next.Voters)}
	}
	return r.addLearner(v, "")
}

// dropUnneededLearner removes a learner when no voter needs a replacement.
func (r Replacer) dropUnneededLearner(v View) Action {
	if len(v.Membership.Learners) == 0 {
		return Action{Kind: ActionNone}
	}
	id := v.Membership.Learners[0]
	return dropLearner(v, id, "no voter is lost any more; "+id+" stands by again")
}

// addLearner adds the best spare as a learner, unless there already is a learner.
func (r Replacer) addLearner(v View, outgoing string) Action {
	if len(v.Membership.Learners) > 0 {
		return Action{Kind: ActionNone}
	}
	spare := r.bestSpare(v, outgoing)
	if spare == "" {
		return Action{Kind: ActionNone}
	}
	next := elector.Membership{Voters: slices.Clone(v.Membership.Voters), Learners: []string{spare}}
	reason := fmt.Sprintf("the voters are %v, an even number", v.Membership.Voters)
	if outgoing != "" {
		reason = r.removalReason(v, outgoing)
	}
	return Action{Kind: ActionAddLearner, Host: spare, Membership: next, Reason: reason + "; spare " + spare + " joins as a learner"}
}

func dropLearner(v View, id, reason string) Action {
	next := elector.Membership{Voters: slices.Clone(v.Membership.Voters), Learners: withoutID(v.Membership.Learners, id)}
	return Action{Kind: ActionDropLearner, Host: id, Membership: next, Reason: reason}
}

func (r Replacer) livenessTimeout() time.Duration {
	if r.LivenessTimeout > 0 {
		return r.LivenessTimeout
	}
	return defaultLivenessTimeout
}

func (r Replacer) replaceAfter() time.Duration {
	if r.ReplaceAfter > 0 {
		return r.ReplaceAfter
	}
	return defaultReplaceAfter
}

// voterToReplace returns a voter to replace, or "". A voter that operators want
// to remove has priority over one that does not answer.
func (r Replacer) voterToReplace(v View) string {
	for _, id := range v.Membership.Voters {
		if v.Hosts[id].Leaving {
			return id
		}
	}
	for _, id := range v.Membership.Voters {
		if !v.hasAnsweredWithin(id, r.replaceAfter()) {
			return id
		}
	}
	return ""
}

func (r Replacer) removalReason(v View, id string) string {
	if v.Hosts[id].Leaving {
		return "operators asked for the replacement of " + id
	}
	return fmt.Sprintf("%s has not answered the leader for %s", id, v.Now.Sub(v.LastAckSentAt[id]).Round(time.Second))
}

// hasQuorumWithout reports whether enough of the other voters are live to form a
// quorum after the outgoing voter is removed.
func (r Replacer) hasQuorumWithout(v View, outgoing string) bool {
	rest := withoutVoter(v.Membership, outgoing)
	live := 0
	for _, id := range rest.Voters {
		if v.hasAnsweredWithin(id, r.livenessTimeout()) {
			live++
		}
	}
	return live >= rest.Quorum()
}

func (r Replacer) unresponsiveLearner(v View) string {
	for _, id := range v.Membership.Learners {
		if !v.hasAnsweredWithin(id, r.livenessTimeout()) && v.Now.Sub(v.LastAnnouncement[id]) >= r.livenessTimeout() {
			return id
		}
	}
	return ""
}

// readyLearner returns a learner that lacks at most maxLearnerLag committed
// entries and stores all pages of the archived record, or "".
func (r Replacer) readyLearner(v View) string {
	for _, id := range v.Membership.Learners {
		if v.hasAnsweredWithin(id, r.livenessTimeout()) && v.MatchIndex[id]+maxLearnerLag >= v.CommitIndex && v.MatchIndex[id] > 0 && v.ArchivedPagesByHost[id] >= v.ArchivedPages {
			return id
		}
	}
	return ""
}

// bestSpare returns the live spare to replace the outgoing voter with, or "". It
// prefers the configured successor, then the same data centre, then the same
// region.
func (r Replacer) bestSpare(v View, outgoing string) string {
	var spares []string
	for id, h := range v.Hosts {
		if h.Leaving || slices.Contains(v.Membership.All(), id) || v.Now.Sub(v.LastAnnouncement[id]) >= r.livenessTimeout() {
			continue
		}
		spares = append(spares, id)
	}
	outgoingHost := v.Hosts[outgoing]
	sort.Slice(spares, func(i, j int) bool {
		a, b := placementScore(outgoingHost, v.Hosts[spares[i]]), placementScore(outgoingHost, v.Hosts[spares[j]])
		if a != b {
			return a > b
		}
		return spares[i] < spares[j]
	})
	if len(spares) == 0 {
		return ""
	}
	return spares[0]
}

func placementScore(outgoing, spare configurer.ControlHost) int {
	switch {
	case outgoing.Successor != "" && outgoing.Successor == spare.ID:
		return 3
	case outgoing.DataCentre != "" && outgoing.DataCentre == spare.DataCentre:
		return 2
	case outgoing.Region != "" && outgoing.Region == spare.Region:
		return 1
	}
	return 0
}

func withoutVoter(m elector.Membership, id string) elector.Membership {
	return elector.Membership{Voters: withoutID(m.Voters, id), Learners: slices.Clone(m.Learners)}
}

func withoutID(ids []string, id string) []string {
	var rest []string
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}
