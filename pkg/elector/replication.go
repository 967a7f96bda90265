package elector

import (
	"sort"
	"time"
)

// Step takes a message from another control host.
func (e *Elector) Step(m Message, now time.Time) {
	if m.To != e.cfg.ID {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		e.takeVoteRequest(m, now)
		return
	case MessageVote:
		// A host that hears a leader keeps its term, so that a host cut off
		// for long cannot disturb it.
		if m.Term > e.hard.Term && e.hearsLeader(m.From, now) {
			return
		}
		if m.Term > e.hard.Term {
			e.becomeFollower(m.Term, "", now)
		}
		e.takeVoteRequest(m, now)
		return
	case MessagePreVoteAnswer:
		if m.Reject && m.Term > e.hard.Term {
			e.becomeFollower(m.Term, "", now)
			return
		}
		if m.Term == e.hard.Term+1 {
			e.takeVoteAnswer(m, now)
		}
		return
	}
	if m.Term > e.hard.Term {
		e.becomeFollower(m.Term, "", now)
	}
	if m.Term < e.hard.Term {
		e.refuseOldTerm(m)
		return
	}
	switch m.Kind {
	case MessageVoteAnswer:
		e.takeVoteAnswer(m, now)
	case MessageAppend:
		e.takeAppend(m, now)
	case MessageSnapshot:
		e.takeSnapshot(m, now)
	case MessageAppendAnswer, MessageSnapshotAnswer:
		e.takeAppendAnswer(m)
	}
}

// refuseOldTerm tells a leader of an earlier term that it was replaced.
func (e *Elector) refuseOldTerm(m Message) {
	if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
		e.send(Message{Kind: MessageAppendAnswer, To: m.From, Reject: true, Index: e.log.last()})
	}
}

func (e *Elector) hearLeader(m Message, now time.Time) {
	e.becomeFollower(m.Term, m.From, now)
	e.heard = now
	e.resetDeadline(now)
}

func (e *Elector) takeAppend(m Message, now time.Time) {
	e.hearLeader(m, now)
	answer := Message{Kind: MessageAppendAnswer, To: m.From, Round: m.Round}
	if m.Index < e.log.commit {
		// Entries up to the commit match for certain.
		answer.Index = e.log.commit
		e.send(answer)
		return
	}
	if t, ok := e.log.term(m.Index); !ok || t != m.LogTerm {
		answer.Reject = true
		answer.Index = e.conflictHint(m)
		e.send(answer)
		return
	}
	e.log.append(m.Entries)
	e.refreshMembership()
	matched := m.Index + uint64(len(m.Entries))
	e.log.commit = max(e.log.commit, min(m.Commit, matched))
	answer.Index = matched
	e.send(answer)
}

// conflictHint returns where the leader should try next: before the whole
// term that conflicts.
func (e *Elector) conflictHint(m Message) uint64 {
	if m.Index > e.log.last() {
		return e.log.last()
	}
	conflicting, _ := e.log.term(m.Index)
	i := m.Index
	for i > e.log.commit {
		if t, ok := e.log.term(i); !ok || t != conflicting {
			break
		}
		i--
	}
	return i
}

func (e *Elector) takeSnapshot(m Message, now time.Time) {
	e.hearLeader(m, now)
	answer := Message{Kind: MessageSnapshotAnswer, To: m.From, Round: m.Round, Index: e.log.commit}
	if m.Snapshot != nil && m.Snapshot.Index > e.log.commit {
		s := *m.Snapshot
		e.log.restore(s)
		e.refreshMembership()
		e.out.Snapshot = &s
		e.out.Committed = nil
		answer.Index = s.Index
	}
	e.send(answer)
}

func (e *Elector) takeAppendAnswer(m Message) {
	p := e.progress[m.From]
	if e.role != RoleLeader || p == nil {
		return
	}
	if sent, ok := e.rounds[m.Round]; ok && m.Round > p.round {
		p.round = m.Round
		p.acked = sent
		e.extendLease()
	}
	if m.Reject {
		if m.Index < p.next {
			p.next = max(p.match+1, min(m.Index+1, e.log.last()+1))
			e.sendAppend(m.From, p)
		}
		return
	}
	p.snapshotting = false
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		e.maybeCommit()
	}
	e.unsent = true
}

// refreshProgress fits the leader's knowledge to the membership.
func (e *Elector) refreshProgress() {
	if e.role != RoleLeader {
		return
	}
	old := e.progress
	e.progress = map[string]*progress{}
	for _, id := range e.membership.All() {
		if id == e.cfg.ID {
			continue
		}
		if p := old[id]; p != nil {
			e.progress[id] = p
			continue
		}
		e.progress[id] = &progress{next: e.log.last() + 1}
	}
}

// maybeCommit commits what a quorum of the voters has stored. The leader's own
// entries count, since it stores them before it sends them.
func (e *Elector) maybeCommit() {
	if e.role != RoleLeader {
		return
	}
	matches := make([]uint64, 0, len(e.membership.Voters))
	for _, id := range e.membership.Voters {
		if id == e.cfg.ID {
			matches = append(matches, e.log.last())
		} else if p := e.progress[id]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < e.membership.Quorum() {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[e.membership.Quorum()-1]
	if t, ok := e.log.term(index); !ok || t != e.hard.Term || index <= e.log.commit {
		return
	}
	e.log.commit = index
}

func (e *Elector) tickLeader(now time.Time) {
	if now.Sub(e.quorumContact()) > e.cfg.ElectionTimeout+e.cfg.ElectionTimeout/2 {
		// Without a quorum nothing can be agreed; another host may lead.
		e.becomeFollower(e.hard.Term, "", now)
		return
	}
	if now.Sub(e.beat) >= e.cfg.Heartbeat {
		e.heartbeat(now)
	}
}

func (e *Elector) heartbeat(now time.Time) {
	e.beat = now
	e.round++
	e.rounds[e.round] = now
	for r := range e.rounds {
		if now.Sub(e.rounds[r]) > 2*e.cfg.ElectionTimeout {
			delete(e.rounds, r)
		}
	}
	e.extendLease()
	e.sendAppends(true)
}

// quorumContact returns the newest time at which a message was sent to which a
// quorum has answered.
func (e *Elector) quorumContact() time.Time {
	times := make([]time.Time, 0, len(e.membership.Voters))
	for _, id := range e.membership.Voters {
		if id == e.cfg.ID {
			times = append(times, e.beat)
		} else if p := e.progress[id]; p != nil {
			times = append(times, p.acked)
		}
	}
	if len(times) < e.membership.Quorum() {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[e.membership.Quorum()-1]
}

// extendLease counts the lease from the sending of the newest round to which a
// quorum has answered: these voters elect nobody else for Lease.
func (e *Elector) extendLease() {
	answered := 0
	rounds := make([]uint64, 0, len(e.membership.Voters))
	for _, id := range e.membership.Voters {
		if id == e.cfg.ID {
			rounds = append(rounds, e.round)
			answered++
		} else if p := e.progress[id]; p != nil && p.round > 0 {
			rounds = append(rounds, p.round)
			answered++
		}
	}
	if answered < e.membership.Quorum() {
		return
	}
	sort.Slice(rounds, func(i, j int) bool { return rounds[i] > rounds[j] })
	sent, ok := e.rounds[rounds[e.membership.Quorum()-1]]
	if !ok {
		return
	}
	span := time.Duration(float64(e.cfg.Lease) * (1 - e.cfg.Drift))
	if until := sent.Add(span); until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

// sendAppends sends to all others; without entries only when beat is true.
func (e *Elector) sendAppends(beat bool) {
	for _, id := range e.membership.All() {
		p := e.progress[id]
		if id == e.cfg.ID || p == nil {
			continue
		}
		if beat || p.next <= e.log.last() && p.next <= p.match+maxInFlight {
			e.sendAppend(id, p)
		}
	}
}

func (e *Elector) sendAppend(id string, p *progress) {
	before := p.next - 1
	t, ok := e.log.term(before)
	if !ok {
		e.sendSnapshot(id, p)
		return
	}
	last := min(e.log.last(), before+maxAppendEntries)
	if before >= p.match+maxInFlight {
		// The host answers too slowly: send no more entries, just the beat.
		last = before
	}
	entries := e.log.between(p.next, last)
	e.send(Message{
		Kind: MessageAppend, To: id, Index: before, LogTerm: t, Round: e.round,
		Entries: append([]Entry(nil), entries...), Commit: e.log.commit,
	})
	if len(entries) > 0 {
		// Go on without waiting for the answer. When a message is lost, the
		// next one does not match and the answer tells where to go on.
		p.next = last + 1
	}
}

// sendSnapshot brings a host that is behind the log up to it. A heartbeat
// sends it again while no answer comes.
func (e *Elector) sendSnapshot(id string, p *progress) {
	s := e.log.snapshot
	p.snapshotting = true
	p.next = s.Index + 1
	e.send(Message{Kind: MessageSnapshot, To: id, Round: e.round, Snapshot: &s})
}
