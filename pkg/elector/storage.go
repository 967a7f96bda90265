package elector

import "time"

// maxVoteTimeouts bounds, in election timeouts, the time that a candidate allows the voters
// to store their votes.
const maxVoteTimeouts = 4

// batch is what Output has returned to be stored.
type batch struct {
	hardState HardState
	// index and term are those of the last entry, or zero.
	index, term uint64
	// snapshotIndex is the index of the newest snapshot, or zero.
	snapshotIndex uint64
}

// heldMessage is a message that is sent once the term and the vote are stored on which it
// relies.
type heldMessage struct {
	Message
	hardState HardState
}

// isSamePromise reports whether two states promise the same: not to vote in earlier terms,
// nor for another candidate in this one.
func isSamePromise(a, b HardState) bool { return a.Term == b.Term && a.VotedFor == b.VotedFor }

// isPromiseStored reports whether this host's term and vote are stored, so that messages
// may be sent.
func (e *Elector) isPromiseStored() bool { return isSamePromise(e.hardState, e.storedHardState) }

// send queues a message, at once or until the term and the vote are stored.
func (e *Elector) send(m Message) {
	m.From = e.cfg.ID
	if m.Term == 0 {
		m.Term = e.hardState.Term
	}
	if !e.isPromiseStored() {
		e.held = append(e.held, heldMessage{m, e.hardState})
		return
	}
	e.out.Messages = append(e.out.Messages, m)
}

// takeBatch moves what must be stored into out. There is one batch at a time, so that the
// order of the log stays that of the storage.
func (e *Elector) takeBatch(out *Output) {
	if e.storing != nil {
		return
	}
	out.Snapshot, out.Compaction = e.out.Snapshot, e.out.Compaction
	e.out.Snapshot, e.out.Compaction = nil, nil
	if e.hardState != e.handedHardState {
		hardState := e.hardState
		out.HardState, e.handedHardState = &hardState, hardState
	}
	out.Entries = append([]Entry(nil), e.log.slice(e.log.handed+1, e.log.last())...)
	e.log.handed = max(e.log.handed, e.log.last())
	if !out.NeedsStorage() {
		return
	}
	e.storing = &batch{hardState: e.handedHardState}
	if n := len(out.Entries); n > 0 {
		e.storing.index, e.storing.term = out.Entries[n-1].Index, out.Entries[n-1].Term
	}
	for _, s := range []*Snapshot{out.Compaction, out.Snapshot} {
		if s != nil {
			e.storing.snapshotIndex = s.Index
		}
	}
}

// Stored tells the Elector that what Output returned last to be stored is stored and
// synced.
func (e *Elector) Stored(now time.Time) {
	if e.storing == nil {
		return
	}
	stored, stable := *e.storing, e.log.stable
	e.storing = nil
	e.log.stable = max(e.log.stable, stored.snapshotIndex)
	if stored.index > 0 {
		e.log.markStored(stored.index, stored.term)
	}
	e.storedHardState = stored.hardState
	e.releaseHeld(now)
	e.advanceCommit()
	if e.log.stable > stable && e.role == RoleFollower && e.leader != "" {
		e.send(Message{Kind: MessageAppendResponse, To: e.leader, Index: e.storedMatch(e.matched)})
	}
}

// releaseHeld sends the messages whose term and vote are stored. Those of earlier ones
// are dropped: they were superseded before they were stored.
func (e *Elector) releaseHeld(now time.Time) {
	if len(e.held) == 0 {
		return
	}
	held := e.held
	e.held = nil
	for _, h := range held {
		switch {
		case isSamePromise(h.hardState, e.storedHardState):
			e.out.Messages = append(e.out.Messages, h.Message)
		case isSamePromise(h.hardState, e.hardState):
			e.held = append(e.held, h)
		}
	}
	if e.role != RoleLeader && e.isPromiseStored() {
		// A vote or a request for votes goes out only now.
		e.resetDeadline(now)
		if e.role == RoleCandidate {
			// The voters may take as long to store their votes.
			e.deadline = e.deadline.Add(min(now.Sub(e.electionAt), maxVoteTimeouts*e.cfg.ElectionTimeout))
		}
	}
}

// storedMatch returns the part of a match with the leader's log that is stored.
func (e *Elector) storedMatch(index uint64) uint64 { return min(index, e.log.stable) }
