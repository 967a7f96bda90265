package elector

import "time"

// Tick lets time pass.
func (e *Elector) Tick(now time.Time) {
	if e.role == RoleLeader {
		e.tickLeader(now)
		return
	}
	if now.Before(e.deadline) {
		return
	}
	e.resetDeadline(now)
	if e.membership.IsVoter(e.cfg.ID) {
		e.startPreVote(now)
	}
}

// startPreVote asks whether an election could be won, without disturbing the
// term.
func (e *Elector) startPreVote(now time.Time) {
	e.role = RolePreCandidate
	e.leader = ""
	e.votes = map[string]bool{e.cfg.ID: true}
	if e.hasVotes() {
		e.startElection(now)
		return
	}
	e.askVotes(MessagePreVote, e.hard.Term+1)
}

func (e *Elector) startElection(now time.Time) {
	e.role = RoleCandidate
	e.leader = ""
	e.setHard(HardState{Term: e.hard.Term + 1, VotedFor: e.cfg.ID})
	e.votes = map[string]bool{e.cfg.ID: true}
	e.resetDeadline(now)
	if e.hasVotes() {
		e.becomeLeader(now)
		return
	}
	e.askVotes(MessageVote, e.hard.Term)
}

func (e *Elector) askVotes(kind MessageKind, term uint64) {
	for _, id := range e.membership.Voters {
		if id != e.cfg.ID {
			e.send(Message{Kind: kind, To: id, Term: term, Index: e.log.last(), LogTerm: e.log.lastTerm()})
		}
	}
}

func (e *Elector) hasVotes() bool {
	n := 0
	for _, id := range e.membership.Voters {
		if e.votes[id] {
			n++
		}
	}
	return n >= e.membership.Quorum()
}

// hearsLeader reports whether a leader other than the candidate may still hold
// its lease on this host's silence. A leader that stands for election has given
// its own lease up.
func (e *Elector) hearsLeader(candidate string, now time.Time) bool {
	if candidate == e.hard.Leader {
		return false
	}
	if e.role == RoleLeader {
		return now.Before(e.leaseUntil)
	}
	return !e.heard.IsZero() && now.Sub(e.heard) < e.cfg.ElectionTimeout
}

// takeVoteRequest answers a request for a vote or a pre-vote.
func (e *Elector) takeVoteRequest(m Message, now time.Time) {
	answer := MessageVoteAnswer
	if m.Kind == MessagePreVote {
		answer = MessagePreVoteAnswer
	}
	grant := !e.hearsLeader(m.From, now) && e.log.isUpToDate(m.LogTerm, m.Index) && m.Term > e.hard.Term
	if m.Kind == MessageVote && m.Term == e.hard.Term {
		grant = (e.hard.VotedFor == "" || e.hard.VotedFor == m.From) && e.log.isUpToDate(m.LogTerm, m.Index)
	}
	if m.Kind == MessageVote && grant {
		e.setHard(HardState{Term: m.Term, VotedFor: m.From})
		e.role = RoleFollower
		e.leader = ""
		e.resetDeadline(now)
	}
	// A refused pre-vote tells the term that stands in its way.
	term := m.Term
	if !grant {
		term = e.hard.Term
	}
	e.send(Message{Kind: answer, To: m.From, Term: term, Reject: !grant})
}

func (e *Elector) takeVoteAnswer(m Message, now time.Time) {
	wanted := RoleCandidate
	if m.Kind == MessagePreVoteAnswer {
		wanted = RolePreCandidate
	}
	if e.role != wanted || m.Reject {
		return
	}
	e.votes[m.From] = true
	if !e.hasVotes() {
		return
	}
	if e.role == RolePreCandidate {
		e.startElection(now)
		return
	}
	e.becomeLeader(now)
}

func (e *Elector) becomeLeader(now time.Time) {
	e.role = RoleLeader
	e.leader = e.cfg.ID
	e.progress = nil
	e.setHard(HardState{Term: e.hard.Term, VotedFor: e.hard.VotedFor, Leader: e.cfg.ID})
	e.rounds = map[uint64]time.Time{}
	e.leaseUntil = time.Time{}
	e.refreshProgress()
	for _, p := range e.progress {
		// Contact is counted from the election on.
		p.acked = now
	}
	e.appendOwn(Entry{Kind: EntryEmpty})
	e.heartbeat(now)
}

// becomeFollower follows a leader, or nobody yet, of a term.
func (e *Elector) becomeFollower(term uint64, leader string, now time.Time) {
	// What this host led before it restarted is over: it waits as others do.
	e.resumeUntil = time.Time{}
	if term > e.hard.Term {
		e.setHard(HardState{Term: term})
	}
	if leader != "" {
		e.setHard(HardState{Term: e.hard.Term, VotedFor: e.hard.VotedFor, Leader: leader})
	}
	if e.role == RoleLeader {
		e.resetDeadline(now)
	}
	e.role = RoleFollower
	e.leader = leader
}
