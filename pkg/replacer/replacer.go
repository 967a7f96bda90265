// Package replacer decides when a control host takes the place of a lost one.
//
// A voter that has not answered the leader for a time, or that operators want
// to leave, is replaced in three steps, each a membership change of its own: a
// spare joins as a learner and catches up, the lost voter is removed, and the
// learner becomes a voter. The voter is removed first because the learner may
// fail too: with the lost voter still counted, a second failure would leave
// fewer than a quorum.
//
// # Usage
//
//	r := replacer.Replacer{After: 2 * time.Minute}
//	action := r.Decide(view)
//
// A Replacer keeps nothing between calls: a new leader goes on from the
// membership it finds. The number of voters is always brought back to an odd
// one, so an even number means that a replacement is half done.
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
	// defaultLiveWithin is the silence up to which a host counts as live.
	defaultLiveWithin = 5 * time.Second
	// caughtUpWithin is the number of entries that a learner may lack when it
	// becomes a voter.
	caughtUpWithin = 64
	// defaultAfter is the silence after which a voter is replaced.
	defaultAfter = 2 * time.Minute
)

// Replacer holds the settings of the decision. The zero value works.
type Replacer struct {
	// After is the silence after which a voter is replaced. It is longer than
	// a restart takes.
	After time.Duration
	// LiveWithin is the silence up to which a host counts as live; zero means
	// five seconds.
	LiveWithin time.Duration
	// Voters is the number of voters that the fleet grows to when spares are
	// there; zero means the number it began with.
	Voters int
}

// Decide returns the next step.
func (r Replacer) Decide(v View) Action {
	if len(v.Membership.Voters) == 0 {
		return Action{Kind: ActionNone}
	}
	if id := r.deadLearner(v); id != "" {
		return dropLearner(v, id, fmt.Sprintf("learner %s has not answered for %s", id, r.liveWithin()))
	}
	if len(v.Membership.Voters)%2 == 0 {
		return r.fill(v)
	}
	lost := r.lostVoter(v)
	if lost == "" && len(v.Membership.Voters) < r.Voters {
		return r.fill(v)
	}
	if lost == "" {
		return r.release(v)
	}
	if !r.survivesRemoval(v, lost) {
		return Action{Kind: ActionNone}
	}
	learner := r.readyLearner(v)
	if learner == "" {
		return r.invite(v, lost)
	}
	next := withoutVoter(v.Membership, lost)
	return Action{Kind: ActionRemoveVoter, Host: lost, Next: next, Why: r.whyLost(v, lost) + "; " + learner + " has caught up and takes its place"}
}

// fill brings an even number of voters back to an odd one.
func (r Replacer) fill(v View) Action {
	if id := r.readyLearner(v); id != "" {
		next := v.Membership
		next = elector.Membership{Voters: append(slices.Clone(next.Voters), id), Learners: without(next.Learners, id)}
		return Action{Kind: ActionAddVoter, Host: id, Next: next, Why: fmt.Sprintf("%s has caught up and votes; voters are %v", id, next.Voters)}
	}
	return r.invite(v, "")
}

// release sends learners away when no voter is lost.
func (r Replacer) release(v View) Action {
	if len(v.Membership.Learners) == 0 {
		return Action{Kind: ActionNone}
	}
	id := v.Membership.Learners[0]
	return dropLearner(v, id, "no voter is lost any more; "+id+" stands by again")
}

// invite lets a spare join as a learner.
func (r Replacer) invite(v View, lost string) Action {
	if len(v.Membership.Learners) > 0 {
		return Action{Kind: ActionNone}
	}
	spare := r.spareFor(v, lost)
	if spare == "" {
		return Action{Kind: ActionNone}
	}
	next := elector.Membership{Voters: slices.Clone(v.Membership.Voters), Learners: []string{spare}}
	why := fmt.Sprintf("the voters are %v, an even number", v.Membership.Voters)
	if lost != "" {
		why = r.whyLost(v, lost)
	}
	return Action{Kind: ActionAddLearner, Host: spare, Next: next, Why: why + "; spare " + spare + " joins as a learner"}
}

func dropLearner(v View, id, why string) Action {
	next := elector.Membership{Voters: slices.Clone(v.Membership.Voters), Learners: without(v.Membership.Learners, id)}
	return Action{Kind: ActionDropLearner, Host: id, Next: next, Why: why}
}

func (r Replacer) liveWithin() time.Duration {
	if r.LiveWithin > 0 {
		return r.LiveWithin
	}
	return defaultLiveWithin
}

func (r Replacer) after() time.Duration {
	if r.After > 0 {
		return r.After
	}
	return defaultAfter
}

// lostVoter returns a voter to replace: one that leaves goes before one that is
// silent.
func (r Replacer) lostVoter(v View) string {
	for _, id := range v.Membership.Voters {
		if v.Hosts[id].Leaving {
			return id
		}
	}
	for _, id := range v.Membership.Voters {
		if !v.answers(id, r.after()) {
			return id
		}
	}
	return ""
}

func (r Replacer) whyLost(v View, id string) string {
	if v.Hosts[id].Leaving {
		return "operators asked for the replacement of " + id
	}
	return fmt.Sprintf("%s has not answered the leader for %s", id, v.Now.Sub(v.Contact[id]).Round(time.Second))
}

// survivesRemoval reports whether the voters other than lost are live in a
// number that decides without it.
func (r Replacer) survivesRemoval(v View, lost string) bool {
	rest := withoutVoter(v.Membership, lost)
	live := 0
	for _, id := range rest.Voters {
		if v.answers(id, r.liveWithin()) {
			live++
		}
	}
	return live >= rest.Quorum()
}

func (r Replacer) deadLearner(v View) string {
	for _, id := range v.Membership.Learners {
		if !v.answers(id, r.liveWithin()) && v.Now.Sub(v.Heard[id]) >= r.liveWithin() {
			return id
		}
	}
	return ""
}

// readyLearner returns a learner that holds nearly everything agreed on and the
// whole old record.
func (r Replacer) readyLearner(v View) string {
	for _, id := range v.Membership.Learners {
		if v.answers(id, r.liveWithin()) && v.Match[id]+caughtUpWithin >= v.Committed && v.Match[id] > 0 && v.HeldPages[id] >= v.Pages {
			return id
		}
	}
	return ""
}

// spareFor returns the spare that fits best: the wanted successor, then one of
// the same data centre, then of the same region.
func (r Replacer) spareFor(v View, lost string) string {
	var spares []string
	for id, h := range v.Hosts {
		if h.Leaving || slices.Contains(v.Membership.All(), id) || v.Now.Sub(v.Heard[id]) >= r.liveWithin() {
			continue
		}
		spares = append(spares, id)
	}
	old := v.Hosts[lost]
	sort.Slice(spares, func(i, j int) bool {
		a, b := fitOf(old, v.Hosts[spares[i]]), fitOf(old, v.Hosts[spares[j]])
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

func fitOf(lost, spare configurer.ControlHost) int {
	switch {
	case lost.Successor != "" && lost.Successor == spare.ID:
		return 3
	case lost.DataCentre != "" && lost.DataCentre == spare.DataCentre:
		return 2
	case lost.Region != "" && lost.Region == spare.Region:
		return 1
	}
	return 0
}

func withoutVoter(m elector.Membership, id string) elector.Membership {
	return elector.Membership{Voters: without(m.Voters, id), Learners: slices.Clone(m.Learners)}
}

func without(ids []string, id string) []string {
	var rest []string
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}
