package elector

// maxStep bounds how far a message's term may be above this host's, and a snapshot's
// index above its log. Both rise one by one, so a larger step is none of this fleet.
const maxStep = 1 << 32

// isWellFormed reports whether a correct host can have sent the message. Other messages
// are dropped: their sender is faulty, or of another version.
func (e *Elector) isWellFormed(m Message) bool {
	if m.From == "" || m.From == e.cfg.ID || m.Term > e.hardState.Term+maxStep {
		return false
	}
	switch m.Kind {
	case MessageAppend:
		return hasConsecutiveEntries(m)
	case MessageSnapshot:
		s := m.Snapshot
		return s != nil && s.Index > 0 && s.Index <= e.log.last()+maxStep && s.Term <= m.Term && len(s.Membership.Voters) > 0
	case MessageAppendResponse, MessageSnapshotResponse:
		// A follower matches at most what this host has sent.
		return m.Reject || m.Term < e.hardState.Term || m.Index <= e.log.last()
	case MessagePreVote, MessagePreVoteResponse, MessageVote, MessageVoteResponse:
		return true
	}
	return false
}

// hasConsecutiveEntries reports whether the entries follow the one before them.
func hasConsecutiveEntries(m Message) bool {
	index, term := m.Index, m.LogTerm
	for _, entry := range m.Entries {
		index++
		if entry.Index != index || entry.Term < term || entry.Term > m.Term {
			return false
		}
		term = entry.Term
		isMembership := entry.Kind == EntryMembership
		if isMembership && (entry.Membership == nil || len(entry.Membership.Voters) == 0) {
			return false
		}
		if !isMembership && entry.Kind != EntryCommand && entry.Kind != EntryEmpty {
			return false
		}
	}
	return m.LogTerm <= m.Term
}
