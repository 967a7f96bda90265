package elector

import (
	"sort"
	"time"
)

// Step processes a message from another control host.
func (e *Elector) Step(m Message, now time.Time) {
	if m.To != e.cfg.ID || !e.isWellFormed(m) {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		e.handleVoteRequest(m, now)
		return
	case MessageVote:
		// A host in contact with a leader ignores higher terms, so that a host
		// that was partitioned for a long time cannot depose the leader.
		if m.Term > e.hardState.Term && e.leaseMayBeHeld(m.From, now) {
			e.report(Event{Kind: EventVoteRefused, Term: e.hardState.Term, Peer: m.From, Reason: ReasonLease})
			return
		}
		if m.Term > e.hardState.Term {
			e.becomeFollower(m.Term, "", now)
		}
		e.handleVoteRequest(m, now)
		return
	case MessagePreVoteResponse:
		if m.Reject && m.Term > e.hardState.Term {
			e.becomeFollower(m.Term, "", now)
			return
		}
		if m.Term == e.hardState.Term+1 {
			e.handlePreVoteResponse(m, now)
		}
		return
	}
	if m.Term > e.hardState.Term {
		e.becomeFollower(m.Term, "", now)
	}
	if m.Term < e.hardState.Term {
		e.rejectStaleLeader(m)
		return
	}
	switch m.Kind {
	case MessageVoteResponse:
		e.handleVoteResponse(m, now)
	case MessageAppend:
		e.handleAppend(m, now)
	case MessageSnapshot:
		e.handleSnapshot(m, now)
	case MessageAppendResponse, MessageSnapshotResponse:
		e.handleAppendResponse(m)
	}
}

// rejectStaleLeader informs the leader of an earlier term that a newer term
// exists.
func (e *Elector) rejectStaleLeader(m Message) {
	if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
		e.send(Message{Kind: MessageAppendResponse, To: m.From, Reject: true, Index: e.log.last()})
	}
}

func (e *Elector) recordLeaderContact(m Message, now time.Time) {
	e.becomeFollower(m.Term, m.From, now)
	e.lastLeaderContact = now
	e.resetDeadline(now)
}

func (e *Elector) handleAppend(m Message, now time.Time) {
	e.recordLeaderContact(m, now)
	response := Message{Kind: MessageAppendResponse, To: m.From, Round: m.Round}
	if m.Index < e.log.commit {
		// Committed entries always match.
		e.matched = max(e.matched, e.log.commit)
		response.Index = e.storedMatch(e.log.commit)
		e.send(response)
		return
	}
	if t, ok := e.log.term(m.Index); !ok || t != m.LogTerm {
		response.Reject = true
		response.Index = e.conflictHint(m)
		e.send(response)
		return
	}
	e.log.append(m.Entries)
	e.refreshMembership()
	lastMatched := m.Index + uint64(len(m.Entries))
	e.log.commit = max(e.log.commit, min(m.Commit, lastMatched))
	e.matched = max(e.matched, lastMatched)
	response.Index = e.storedMatch(lastMatched)
	e.send(response)
}

// conflictHint returns the index that the leader should retry from: the one
// before all entries of the conflicting term.
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

func (e *Elector) handleSnapshot(m Message, now time.Time) {
	e.recordLeaderContact(m, now)
	response := Message{Kind: MessageSnapshotResponse, To: m.From, Round: m.Round}
	if m.Snapshot != nil && m.Snapshot.Index > e.log.commit {
		e.installSnapshot(*m.Snapshot)
	}
	e.matched = max(e.matched, e.log.commit)
	response.Index = e.storedMatch(e.log.commit)
	e.send(response)
}

func (e *Elector) installSnapshot(s Snapshot) {
	if t, ok := e.log.term(s.Index); ok && t == s.Term {
		// The entries after it may be acknowledged, and so committed.
		e.log.commit = s.Index
		return
	}
	e.log.restore(s)
	e.refreshMembership()
	e.out.Snapshot, e.out.Compaction = &s, nil
}

func (e *Elector) handleAppendResponse(m Message) {
	p := e.progress[m.From]
	if e.role != RoleLeader || p == nil {
		return
	}
	if sent, ok := e.roundSentAt[m.Round]; ok && m.Round > p.round {
		p.round = m.Round
		p.lastAckSentAt = sent
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
		e.advanceCommit()
	}
	e.hasUnsentEntries = true
}

// refreshProgress adds new members to the progress map and drops removed ones.
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

// advanceCommit commits the entries that a quorum of the voters has stored. The
// leader sends its entries before it has stored them, and counts only stored ones.
func (e *Elector) advanceCommit() {
	if e.role != RoleLeader {
		return
	}
	matches := make([]uint64, 0, len(e.membership.Voters))
	for _, id := range e.membership.Voters {
		if id == e.cfg.ID {
			matches = append(matches, e.log.stable)
		} else if p := e.progress[id]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < e.membership.Quorum() {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[e.membership.Quorum()-1]
	if t, ok := e.log.term(index); !ok || t != e.hardState.Term || index <= e.log.commit {
		return
	}
	e.log.commit = index
}

func (e *Elector) tickLeader(now time.Time) {
	if now.Sub(e.quorumAckTime()) > e.cfg.ElectionTimeout+e.cfg.ElectionTimeout/2 {
		// Check-quorum: without a quorum nothing can be committed, and another
		// host may already lead.
		e.becomeFollower(e.hardState.Term, "", now)
		return
	}
	if now.Sub(e.lastHeartbeat) >= e.cfg.HeartbeatInterval {
		e.heartbeat(now)
	}
}

func (e *Elector) heartbeat(now time.Time) {
	e.lastHeartbeat = now
	e.round++
	e.roundSentAt[e.round] = now
	for r := range e.roundSentAt {
		if now.Sub(e.roundSentAt[r]) > 2*e.cfg.ElectionTimeout {
			delete(e.roundSentAt, r)
		}
	}
	e.extendLease()
	e.sendAppends(true)
}

// quorumAckTime returns the sending time of the newest message that a quorum
// has acknowledged.
func (e *Elector) quorumAckTime() time.Time {
	times := make([]time.Time, 0, len(e.membership.Voters))
	for _, id := range e.membership.Voters {
		if id == e.cfg.ID {
			times = append(times, e.lastHeartbeat)
		} else if p := e.progress[id]; p != nil {
			times = append(times, p.lastAckSentAt)
		}
	}
	if len(times) < e.membership.Quorum() {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[e.membership.Quorum()-1]
}

// extendLease starts the lease at the sending time of the newest round that a
// quorum has acknowledged. These voters elect no other leader for the duration
// Config.LeaseDuration.
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
	sent, ok := e.roundSentAt[rounds[e.membership.Quorum()-1]]
	if !ok {
		return
	}
	duration := time.Duration(float64(e.cfg.LeaseDuration) * (1 - e.cfg.MaxClockDrift))
	if until := sent.Add(duration); until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

// sendAppends sends new entries to all other members. With includeEmpty it also
// sends to members that have no entries to receive, as a heartbeat.
func (e *Elector) sendAppends(includeEmpty bool) {
	for _, id := range e.membership.All() {
		p := e.progress[id]
		if id == e.cfg.ID || p == nil {
			continue
		}
		if includeEmpty || p.next <= e.log.last() && p.next <= p.match+maxInFlight {
			e.sendAppend(id, p)
		}
	}
}

func (e *Elector) sendAppend(id string, p *progress) {
	prevIndex := p.next - 1
	prevTerm, ok := e.log.term(prevIndex)
	if !ok {
		e.sendSnapshot(id, p)
		return
	}
	last := min(e.log.last(), prevIndex+maxAppendEntries)
	if prevIndex >= p.match+maxInFlight {
		// Too many entries are unacknowledged: send an empty heartbeat.
		last = prevIndex
	}
	entries := e.log.slice(p.next, last)
	e.send(Message{
		Kind: MessageAppend, To: id, Index: prevIndex, LogTerm: prevTerm, Round: e.round,
		Entries: append([]Entry(nil), entries...), Commit: e.log.commit,
	})
	if len(entries) > 0 {
		// Pipeline without waiting for the response. If a message is lost, the
		// next one is rejected with the index to retry from.
		p.next = last + 1
	}
}

// sendSnapshot sends the snapshot to a host that needs entries which are already
// compacted. Heartbeats send it again until the host responds.
func (e *Elector) sendSnapshot(id string, p *progress) {
	s := e.log.snapshot
	p.snapshotting = true
	p.next = s.Index + 1
	e.send(Message{Kind: MessageSnapshot, To: id, Round: e.round, Snapshot: &s})
}
