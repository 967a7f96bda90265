package elector

import "time"

// Tick advances the timers to now. It sends heartbeats on a leader and starts
// an election on a voter whose election timeout has passed.
func (e *Elector) Tick(now time.Time) {
	if e.role == RoleLeader {
		e.tickLeader(now)
		return
	}
	if now.Before(e.deadline) {
		return
	}
	e.resetDeadline(now)
	if e.membership.IsVoter(e.cfg.ID) && e.isPromiseStored() {
		// Otherwise a vote or a request for votes is still to be sent.
		e.startPreVote(now)
	}
}

// startPreVote asks the voters whether they would grant a vote, without
// incrementing the term.
func (e *Elector) startPreVote(now time.Time) {
	e.role = RolePreCandidate
	e.leader = ""
	e.preVotes = map[string]bool{e.cfg.ID: true}
	e.report(Event{Kind: EventPreVoteStarted, Term: e.hardState.Term + 1})
	if e.isQuorum(e.preVotes) {
		e.startElection(now)
		return
	}
	e.requestVotes(MessagePreVote, e.hardState.Term+1)
}

func (e *Elector) startElection(now time.Time) {
	e.role = RoleCandidate
	e.leader = ""
	e.setHardState(HardState{Term: e.hardState.Term + 1, VotedFor: e.cfg.ID})
	e.votes, e.votesTerm = map[string]bool{e.cfg.ID: true}, e.hardState.Term
	e.report(Event{Kind: EventElectionStarted, Term: e.hardState.Term})
	e.electionAt = now
	e.resetDeadline(now)
	if e.isQuorum(e.votes) {
		e.becomeLeader(now)
		return
	}
	e.requestVotes(MessageVote, e.hardState.Term)
}

func (e *Elector) requestVotes(kind MessageKind, term uint64) {
	for _, id := range e.membership.Voters {
		if id != e.cfg.ID {
			e.send(Message{Kind: kind, To: id, Term: term, Index: e.log.last(), LogTerm: e.log.lastTerm()})
		}
	}
}

func (e *Elector) isQuorum(votes map[string]bool) bool {
	n := 0
	for _, id := range e.membership.Voters {
		if votes[id] {
			n++
		}
	}
	return n >= e.membership.Quorum()
}

// leaseMayBeHeld reports whether a leader other than the candidate may still
// hold a lease that relies on this host not voting. A leader that stands for
// election has given up its own lease.
func (e *Elector) leaseMayBeHeld(candidate string, now time.Time) bool {
	if candidate == e.hardState.Leader {
		return false
	}
	if e.role == RoleLeader {
		return now.Before(e.leaseUntil)
	}
	return !e.lastLeaderContact.IsZero() && now.Sub(e.lastLeaderContact) < e.cfg.ElectionTimeout
}

// handleVoteRequest answers a request for a vote or a pre-vote.
func (e *Elector) handleVoteRequest(m Message, now time.Time) {
	response := MessageVoteResponse
	if m.Kind == MessagePreVote {
		response = MessagePreVoteResponse
	}
	if m.Kind == MessagePreVote && !e.isPromiseStored() {
		// Another election would supersede the vote that is being stored.
		e.report(Event{Kind: EventVoteRefused, Term: e.hardState.Term, Peer: m.From, Reason: ReasonStoring})
		e.out.Messages = append(e.out.Messages, Message{Kind: MessagePreVoteResponse, From: e.cfg.ID, To: m.From, Term: e.storedHardState.Term, Reject: true})
		return
	}
	refusal := e.refusal(m, now)
	grant := refusal == ""
	if !grant {
		e.report(Event{Kind: EventVoteRefused, Term: e.hardState.Term, Peer: m.From, Reason: refusal})
	}
	if m.Kind == MessageVote && grant {
		e.setHardState(HardState{Term: m.Term, VotedFor: m.From})
		e.role = RoleFollower
		e.leader = ""
		e.resetDeadline(now)
	}
	// A rejection carries the current term, so that the candidate can catch up.
	term := m.Term
	if !grant {
		term = e.hardState.Term
	}
	e.send(Message{Kind: response, To: m.From, Term: term, Reject: !grant})
}

// refusal returns why a request for a vote or a pre-vote is refused, or "".
func (e *Elector) refusal(m Message, now time.Time) Reason {
	isVoteOfThisTerm := m.Kind == MessageVote && m.Term == e.hardState.Term
	switch {
	case isVoteOfThisTerm && e.hardState.VotedFor != "" && e.hardState.VotedFor != m.From:
		return ReasonVoted
	case !isVoteOfThisTerm && e.leaseMayBeHeld(m.From, now):
		return ReasonLease
	case !isVoteOfThisTerm && m.Term <= e.hardState.Term:
		return ReasonOldTerm
	}
	if !e.log.isUpToDate(m.LogTerm, m.Index) {
		return ReasonLogBehind
	}
	return ""
}

func (e *Elector) handleVoteResponse(m Message, now time.Time) {
	// A vote may arrive after this host has asked for pre-votes of the next term.
	isCandidate := e.role == RoleCandidate || e.role == RolePreCandidate
	if m.Reject || !isCandidate || e.votes == nil || e.votesTerm != e.hardState.Term {
		return
	}
	e.votes[m.From] = true
	if e.isQuorum(e.votes) {
		e.becomeLeader(now)
	}
}

func (e *Elector) handlePreVoteResponse(m Message, now time.Time) {
	if m.Reject || e.role != RolePreCandidate {
		return
	}
	e.preVotes[m.From] = true
	if e.isQuorum(e.preVotes) {
		e.startElection(now)
	}
}

func (e *Elector) becomeLeader(now time.Time) {
	e.role = RoleLeader
	e.leader = e.cfg.ID
	e.progress = nil
	e.setHardState(HardState{Term: e.hardState.Term, VotedFor: e.hardState.VotedFor, Leader: e.cfg.ID})
	e.roundSentAt = map[uint64]time.Time{}
	e.leaseUntil = time.Time{}
	e.refreshProgress()
	for _, p := range e.progress {
		// The check-quorum timeout starts at the election.
		p.lastAckSentAt = now
	}
	e.appendEntry(Entry{Kind: EntryEmpty})
	e.report(Event{Kind: EventElected, Term: e.hardState.Term})
	e.heartbeat(now)
}

// becomeFollower switches to the follower role in a term. The leader is empty
// while it is unknown.
func (e *Elector) becomeFollower(term uint64, leader string, now time.Time) {
	// Another leader or term supersedes the leadership held before a restart, so
	// the normal election timeout applies again.
	e.fastElectionUntil = time.Time{}
	if e.role == RoleLeader {
		reason := ReasonNoQuorum
		if term > e.hardState.Term {
			reason = ReasonNewerTerm
		}
		e.report(Event{Kind: EventSteppedDown, Term: term, Reason: reason})
	}
	if term > e.hardState.Term {
		e.setHardState(HardState{Term: term})
	}
	if leader != "" {
		e.setHardState(HardState{Term: e.hardState.Term, VotedFor: e.hardState.VotedFor, Leader: leader})
	}
	if e.role == RoleLeader {
		e.resetDeadline(now)
	}
	e.role = RoleFollower
	e.leader = leader
}
