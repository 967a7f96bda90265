// Package promoter decides when the primary of a replication group is replaced,
// and by which upstream.
//
// A failover consists of three replicated steps, so that a new control leader can
// resume it. First a new term starts, which ends the leases on the earlier one.
// Then a candidate is chosen from the responses of a quorum that is fenced to the
// new term. Finally the candidate is promoted. A term has at most one candidate,
// since the choice is replicated before the promote order is sent.
//
// Every safe commit is stored by a quorum of the members, and any two quorums
// share a member, so the highest position in a fenced quorum includes all safe
// commits.
//
// # Usage
//
//	p := promoter.Promoter{SuspectAfter: time.Second, MaxReportAge: 3 * time.Second, GroupSize: 3}
//	for _, action := range p.Decide(group, evidence) { ... }
//
// Decide is a pure function of its arguments.
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

// Promoter holds the parameters of the decisions.
type Promoter struct {
	// SuspectAfter is how long a primary must be unreachable from most hosts
	// before it is replaced.
	SuspectAfter time.Duration
	// MaxReportAge is the maximum age of a report that counts.
	MaxReportAge time.Duration
	// GroupSize is the number of upstreams that a group needs to form.
	GroupSize int
}

// Decide returns the actions to take for a group.
func (p Promoter) Decide(g configurer.Group, e Evidence) []Action {
	switch g.Phase {
	case configurer.PhaseForming:
		return p.formGroup(g, e)
	case configurer.PhaseServing:
		return p.checkPrimary(g, e)
	case configurer.PhaseFenced:
		return p.chooseCandidate(g, e)
	case configurer.PhasePromoting:
		return p.completePromotion(g, e)
	}
	return nil
}

// propose returns a proposal that moves g to the phase that follows on t, or
// nothing if the current phase does not allow t.
func propose(g configurer.Group, t trigger, reason string) []Action {
	phase, err := nextPhase(g.Phase, t)
	if err != nil {
		return nil
	}
	g.Phase = phase
	return []Action{{Kind: ActionPropose, Term: g.Term, Group: g, Reason: reason}}
}

// formGroup proposes the initial members when enough upstreams have announced
// themselves and exactly one of them is primary.
func (p Promoter) formGroup(g configurer.Group, e Evidence) []Action {
	if len(e.Announcements) < p.GroupSize {
		return nil
	}
	var members []string
	primary := configurer.Announcement{}
	primaries := 0
	for id, a := range e.Announcements {
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
	for id, a := range e.Announcements {
		g.Instances[id] = a.Instance
	}
	g.Primary = primary.ID
	g.Term = primary.Position.Term
	g.Lineage = primary.Lineage
	return propose(g, triggerGroupFormed, fmt.Sprintf("%d upstreams announced themselves, primary %s", len(members), primary.ID))
}

// checkPrimary starts a new term when the primary is unreachable, draining or has
// lost its data. Otherwise it directs replicas to the primary.
func (p Promoter) checkPrimary(g configurer.Group, e Evidence) []Action {
	reachable, unreachable := p.countReports(g.Primary, e)
	if unreachable > reachable && p.reachableMembers(g, e) >= g.Quorum() {
		return p.startTerm(g, fmt.Sprintf("primary %s is unreachable from %d of %d hosts", g.Primary, unreachable, unreachable+reachable))
	}
	if e.Draining[g.Primary] && p.reachableMembers(g, e) > g.Quorum() {
		return p.startTerm(g, fmt.Sprintf("primary %s is draining", g.Primary))
	}
	if e.Instances[g.Primary] != g.Instances[g.Primary] && p.reachableMembers(g, e) >= g.Quorum() {
		return p.startTerm(g, fmt.Sprintf("primary %s has lost its data", g.Primary))
	}
	return append(p.followActions(g, e), p.readmitMember(g, e)...)
}

// readmitMember lets a member that lost its data count towards quorums again, once
// it has caught up to a position of the primary from after the loss was detected.
func (p Promoter) readmitMember(g configurer.Group, e Evidence) []Action {
	for _, id := range g.Members {
		if id == g.Primary || e.Instances[id] == g.Instances[id] || e.Instances[id] == "" {
			continue
		}
		primary, member := e.Statuses[g.Primary], e.Statuses[id]
		caughtUp := primary.Primary && primary.Position.Term == g.Term && primary.Instance == g.Instances[g.Primary] &&
			member.Instance == e.Instances[id] && g.Lineage.Includes(member.Position, primary.Position)
		if !caughtUp {
			return []Action{{Kind: ActionInspect, Upstream: g.Primary, Term: g.Term}, {Kind: ActionInspect, Upstream: id, Term: g.Term}}
		}
		instances := maps.Clone(g.Instances)
		instances[id] = member.Instance
		g.Instances = instances
		return propose(g, triggerMemberReadmitted, fmt.Sprintf("%s lost its data and has caught up to %s", id, member.Position))
	}
	return nil
}

func (p Promoter) startTerm(g configurer.Group, reason string) []Action {
	g.Term++
	g.Primary = ""
	g.Candidate = ""
	return propose(g, triggerTermStarted, reason)
}

// countReports counts the hosts from which an upstream has been unreachable for at
// least SuspectAfter, and all other hosts as reachable.
func (p Promoter) countReports(upstream string, e Evidence) (reachable, unreachable int) {
	for _, s := range e.Reports {
		if s.Upstream != upstream || e.Now.Sub(s.ReceivedAt) > p.MaxReportAge {
			continue
		}
		if s.Reachable || e.Now.Sub(s.ChangedAt) < p.SuspectAfter {
			reachable++
		} else {
			unreachable++
		}
	}
	return reachable, unreachable
}

// reachableMembers counts the members that at least one host reaches.
func (p Promoter) reachableMembers(g configurer.Group, e Evidence) int {
	reachable := map[string]bool{}
	for _, s := range e.Reports {
		if s.Reachable && e.Now.Sub(s.ReceivedAt) <= p.MaxReportAge && slices.Contains(g.Members, s.Upstream) {
			reachable[s.Upstream] = true
		}
	}
	return len(reachable)
}

// chooseCandidate fences the members. It proposes the one with the highest position
// once a quorum is fenced and no host can still act under the earlier term.
func (p Promoter) chooseCandidate(g configurer.Group, e Evidence) []Action {
	var actions []Action
	var statuses []UpstreamStatus
	for _, id := range g.Members {
		a, ok := e.Statuses[id]
		if !ok || a.FencedTerm != g.Term {
			actions = append(actions, Action{Kind: ActionFence, Upstream: id, Term: g.Term})
			continue
		}
		if !e.Draining[id] && a.Instance == g.Instances[id] {
			statuses = append(statuses, a)
		}
	}
	if len(statuses) < g.Quorum() || !e.EarlierTermReleased {
		return actions
	}
	best, ok := BestCandidate(g.Lineage, statuses)
	if !ok {
		return actions
	}
	g.Candidate = best.Upstream
	reason := fmt.Sprintf("%s has the highest position %s of %d fenced members", best.Upstream, best.Position, len(statuses))
	return append(actions, propose(g, triggerCandidateChosen, reason)...)
}

// BestCandidate returns the answer with the highest position in the term history.
// It ignores divergent upstreams.
func BestCandidate(l tracker.Lineage, statuses []UpstreamStatus) (UpstreamStatus, bool) {
	var best UpstreamStatus
	found := false
	for _, a := range statuses {
		if l.HasDiverged(a.Position) {
			continue
		}
		if !found || best.Position.Less(a.Position) || best.Position == a.Position && a.Upstream < best.Upstream {
			best, found = a, true
		}
	}
	return best, found
}

// completePromotion orders the candidate to become primary and proposes it as the
// primary when it has done so. If the candidate becomes unreachable, a new term
// starts.
func (p Promoter) completePromotion(g configurer.Group, e Evidence) []Action {
	a, ok := e.Statuses[g.Candidate]
	if ok && a.Primary && a.Position.Term == g.Term {
		g.Primary = g.Candidate
		g.Candidate = ""
		g.Lineage = a.Lineage
		return propose(g, triggerCandidatePromoted, fmt.Sprintf("%s is primary of term %d", g.Primary, g.Term))
	}
	if reachable, unreachable := p.countReports(g.Candidate, e); unreachable > reachable {
		return p.startTerm(g, fmt.Sprintf("candidate %s is unreachable from %d of %d hosts", g.Candidate, unreachable, unreachable+reachable))
	}
	return []Action{{Kind: ActionPromote, Upstream: g.Candidate, Term: g.Term}}
}

// followActions returns orders for the members that have not reached the term to
// follow its primary.
func (p Promoter) followActions(g configurer.Group, e Evidence) []Action {
	var actions []Action
	for _, id := range g.Members {
		if id == g.Primary || !p.isBehindTerm(id, g.Term, e) {
			continue
		}
		actions = append(actions, Action{Kind: ActionFollow, Upstream: id, Term: g.Term})
	}
	return actions
}

// isBehindTerm reports whether at least one host reaches the upstream and no host
// has reported it at the term.
func (p Promoter) isBehindTerm(id string, term uint64, e Evidence) bool {
	reachable := false
	for _, s := range e.Reports {
		if s.Upstream != id || e.Now.Sub(s.ReceivedAt) > p.MaxReportAge {
			continue
		}
		if s.Position.Term >= term {
			return false
		}
		reachable = reachable || s.Reachable
	}
	return reachable
}
