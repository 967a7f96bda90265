// Package promoter decides when the primary of a group is replaced, and by
// which upstream.
//
// A replacement passes three agreed steps, so that a new leader can go on with
// it: the next term begins, which ends the leases on the earlier one; then a
// candidate is chosen among the answers of a quorum that was fenced to the new
// term; then the candidate takes over. A term has at most one candidate, since
// the choice is agreed before the order goes out.
//
// Every safe commit is held by a quorum of the members, and two quorums share
// a member, so the highest position among a fenced quorum holds them all.
//
// # Usage
//
//	p := promoter.Promoter{SuspectAfter: time.Second, Fresh: 3 * time.Second, Size: 3}
//	for _, action := range p.Decide(group, evidence) { ... }
//
// Decide is pure: the same arguments give the same actions.
package promoter

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Promoter holds the bounds of the decisions.
type Promoter struct {
	// SuspectAfter is how long a primary must be unreachable from most hosts.
	SuspectAfter time.Duration
	// Fresh is the age up to which a report counts.
	Fresh time.Duration
	// Size is the number of upstreams with which a group forms.
	Size int
}

// Decide returns what must be done for a group now.
func (p Promoter) Decide(g configurer.Group, e Evidence) []Action {
	switch g.Phase {
	case configurer.PhaseForming:
		return p.form(g, e)
	case configurer.PhaseServing:
		return p.watch(g, e)
	case configurer.PhaseFenced:
		return p.choose(g, e)
	case configurer.PhasePromoting:
		return p.finish(g, e)
	}
	return nil
}

// propose returns the proposal of g in the phase that follows on t.
func propose(g configurer.Group, t trigger, why string) []Action {
	phase, err := next(g.Phase, t)
	if err != nil {
		return nil
	}
	g.Phase = phase
	return []Action{{Kind: ActionPropose, Term: g.Term, Group: g, Why: why}}
}

// form agrees on the first members when enough have announced themselves and
// exactly one of them is primary.
func (p Promoter) form(g configurer.Group, e Evidence) []Action {
	if len(e.Announced) < p.Size {
		return nil
	}
	var members []string
	primary := configurer.Announcement{}
	primaries := 0
	for id, a := range e.Announced {
		members = append(members, id)
		if a.Role == "primary" {
			primaries++
			primary = a
		}
	}
	if primaries != 1 {
		return nil
	}
	sort.Strings(members)
	g.Members = members
	g.Instances = map[string]string{}
	for id, a := range e.Announced {
		g.Instances[id] = a.Instance
	}
	g.Primary = primary.ID
	g.Term = primary.Position.Term
	g.Lineage = primary.Lineage
	return propose(g, triggerFormed, fmt.Sprintf("%d upstreams announced themselves, primary %s", len(members), primary.ID))
}

// watch begins a new term when the primary is lost, and keeps replicas
// following the primary.
func (p Promoter) watch(g configurer.Group, e Evidence) []Action {
	seen, lost := p.votes(g.Primary, e)
	if lost > seen && p.reachableMembers(g, e) >= g.Quorum() {
		return p.beginTerm(g, fmt.Sprintf("primary %s is unreachable from %d of %d hosts", g.Primary, lost, lost+seen))
	}
	if e.Draining[g.Primary] && p.reachableMembers(g, e) > g.Quorum() {
		return p.beginTerm(g, fmt.Sprintf("primary %s is draining", g.Primary))
	}
	if e.Instances[g.Primary] != g.Instances[g.Primary] && p.reachableMembers(g, e) >= g.Quorum() {
		return p.beginTerm(g, fmt.Sprintf("primary %s has lost its data", g.Primary))
	}
	return append(p.followers(g, e), p.readmit(g, e)...)
}

// readmit lets a member that lost its data count again once it holds what the
// primary held after the loss was seen.
func (p Promoter) readmit(g configurer.Group, e Evidence) []Action {
	for _, id := range g.Members {
		if id == g.Primary || e.Instances[id] == g.Instances[id] || e.Instances[id] == "" {
			continue
		}
		primary, member := e.Answers[g.Primary], e.Answers[id]
		caughtUp := primary.Primary && primary.Position.Term == g.Term && primary.Instance == g.Instances[g.Primary] &&
			member.Instance == e.Instances[id] && g.Lineage.Holds(member.Position, primary.Position)
		if !caughtUp {
			return []Action{{Kind: ActionInspect, Upstream: g.Primary, Term: g.Term}, {Kind: ActionInspect, Upstream: id, Term: g.Term}}
		}
		instances := maps.Clone(g.Instances)
		instances[id] = member.Instance
		g.Instances = instances
		return propose(g, triggerReadmitted, fmt.Sprintf("%s lost its data and has caught up to %s", id, member.Position))
	}
	return nil
}

func (p Promoter) beginTerm(g configurer.Group, why string) []Action {
	g.Term++
	g.Primary = ""
	g.Candidate = ""
	return propose(g, triggerTermBegun, why)
}

// votes counts the hosts that reach an upstream and those that have missed it
// for long enough.
func (p Promoter) votes(upstream string, e Evidence) (seen, lost int) {
	for _, s := range e.Sights {
		if s.Upstream != upstream || e.Now.Sub(s.At) > p.Fresh {
			continue
		}
		if s.Reachable || e.Now.Sub(s.Since) < p.SuspectAfter {
			seen++
		} else {
			lost++
		}
	}
	return seen, lost
}

// reachableMembers counts the members that any host reaches.
func (p Promoter) reachableMembers(g configurer.Group, e Evidence) int {
	reached := map[string]bool{}
	for _, s := range e.Sights {
		if s.Reachable && e.Now.Sub(s.At) <= p.Fresh && slices.Contains(g.Members, s.Upstream) {
			reached[s.Upstream] = true
		}
	}
	return len(reached)
}

// choose fences the members and picks the one with the highest position once
// a quorum has answered and no host can act on the earlier term.
func (p Promoter) choose(g configurer.Group, e Evidence) []Action {
	var actions []Action
	var answers []Answer
	for _, id := range g.Members {
		a, ok := e.Answers[id]
		if !ok || a.FencedTerm != g.Term {
			actions = append(actions, Action{Kind: ActionFence, Upstream: id, Term: g.Term})
			continue
		}
		if !e.Draining[id] && a.Instance == g.Instances[id] {
			answers = append(answers, a)
		}
	}
	if len(answers) < g.Quorum() || !e.Released {
		return actions
	}
	best, ok := Best(g.Lineage, answers)
	if !ok {
		return actions
	}
	g.Candidate = best.Upstream
	why := fmt.Sprintf("%s has the highest position %s of %d fenced members", best.Upstream, best.Position, len(answers))
	return append(actions, propose(g, triggerChosen, why)...)
}

// Best returns the answer with the highest position on the line of terms.
func Best(l tracker.Lineage, answers []Answer) (Answer, bool) {
	var best Answer
	found := false
	for _, a := range answers {
		if l.Divergent(a.Position) {
			continue
		}
		if !found || best.Position.Less(a.Position) || best.Position == a.Position && a.Upstream < best.Upstream {
			best, found = a, true
		}
	}
	return best, found
}

// finish orders the candidate to take over and agrees on it when it has. A
// candidate that is lost meanwhile gives way to the next term.
func (p Promoter) finish(g configurer.Group, e Evidence) []Action {
	a, ok := e.Answers[g.Candidate]
	if ok && a.Primary && a.Position.Term == g.Term {
		g.Primary = g.Candidate
		g.Candidate = ""
		g.Lineage = a.Lineage
		return propose(g, triggerPromoted, fmt.Sprintf("%s is primary of term %d", g.Primary, g.Term))
	}
	if seen, lost := p.votes(g.Candidate, e); lost > seen {
		return p.beginTerm(g, fmt.Sprintf("candidate %s is unreachable from %d of %d hosts", g.Candidate, lost, lost+seen))
	}
	return []Action{{Kind: ActionPromote, Upstream: g.Candidate, Term: g.Term}}
}

// followers orders members that have not reached the term to follow its
// primary.
func (p Promoter) followers(g configurer.Group, e Evidence) []Action {
	var actions []Action
	for _, id := range g.Members {
		if id == g.Primary || !p.isBehindTerm(id, g.Term, e) {
			continue
		}
		actions = append(actions, Action{Kind: ActionFollow, Upstream: id, Term: g.Term})
	}
	return actions
}

// isBehindTerm reports whether some host reaches the upstream and none has
// seen it at the term.
func (p Promoter) isBehindTerm(id string, term uint64, e Evidence) bool {
	reached := false
	for _, s := range e.Sights {
		if s.Upstream != id || e.Now.Sub(s.At) > p.Fresh {
			continue
		}
		if s.Position.Term >= term {
			return false
		}
		reached = reached || s.Reachable
	}
	return reached
}
