package elector

// raftLog holds the snapshot and, in memory, the entries after it.
type raftLog struct {
	snapshot Snapshot
	entries  []Entry
	// handed is the last index that Output has returned for storage, and stable the
	// last one that is known to be stored.
	handed  uint64
	stable  uint64
	commit  uint64
	applied uint64
}

func (l *raftLog) first() uint64 { return l.snapshot.Index + 1 }

func (l *raftLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// term returns the term of the entry at index. It returns false if the entry is
// compacted or beyond the end of the log.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.first() || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// slice returns the available entries between the indexes from and to, both
// included.
func (l *raftLog) slice(from, to uint64) []Entry {
	from = max(from, l.first())
	to = min(to, l.last())
	if from > to {
		return nil
	}
	return l.entries[from-l.first() : to-l.first()+1]
}

// isUpToDate reports whether a log whose last entry has the given term and index
// is at least as up to date as this one.
func (l *raftLog) isUpToDate(term, index uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// append adds entries that follow a matching entry. The first entry that
// conflicts with an existing one replaces it and everything after it.
func (l *raftLog) append(entries []Entry) {
	for i, e := range entries {
		if e.Index < l.first() {
			continue
		}
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		l.entries = append([]Entry(nil), l.entries[:e.Index-l.first()]...)
		l.entries = append(l.entries, entries[i:]...)
		l.handed, l.stable = min(l.handed, e.Index-1), min(l.stable, e.Index-1)
		return
	}
}

// restore replaces the whole log with a snapshot, which is yet to be stored.
func (l *raftLog) restore(s Snapshot) {
	*l = raftLog{snapshot: s, handed: s.Index, stable: min(l.stable, l.commit), commit: s.Index, applied: s.Index}
}

// markStored records that the log is stored up to the entry with the index and term,
// unless that entry was replaced meanwhile.
func (l *raftLog) markStored(index, term uint64) {
	if t, ok := l.term(index); ok && t == term {
		l.stable = max(l.stable, index)
	}
}

// compact replaces the entries up to index with a snapshot. It does nothing if
// the entry is not applied, not handed out or already compacted, and then returns false.
// Stored entries that later ones replace would stay after the snapshot if the later ones
// were compacted before they are handed out.
func (l *raftLog) compact(index uint64, data []byte, m Membership) bool {
	t, ok := l.term(index)
	if !ok || index <= l.snapshot.Index || index > min(l.applied, l.handed) {
		return false
	}
	l.entries = append([]Entry(nil), l.slice(index+1, l.last())...)
	l.snapshot = Snapshot{Index: index, Term: t, Membership: m, Data: data}
	return true
}
