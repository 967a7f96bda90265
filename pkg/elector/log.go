package elector

// raftLog is the part of the log behind the snapshot, kept in memory.
type raftLog struct {
	snapshot Snapshot
	entries  []Entry
	// stable is the index up to which entries are handed out for storage.
	stable  uint64
	commit  uint64
	applied uint64
}

func (l *raftLog) first() uint64 { return l.snapshot.Index + 1 }

func (l *raftLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// term returns the term of an index, and false when the log does not reach it.
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

// between returns the entries from index a to index b.
func (l *raftLog) between(a, b uint64) []Entry {
	a = max(a, l.first())
	b = min(b, l.last())
	if a > b {
		return nil
	}
	return l.entries[a-l.first() : b-l.first()+1]
}

// isUpToDate reports whether a log that ends with the given entry may lead.
func (l *raftLog) isUpToDate(term, index uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// append stores entries that follow a matching entry. Entries that conflict
// with stored ones replace these and all behind them.
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
		l.stable = min(l.stable, e.Index-1)
		return
	}
}

// restore replaces the whole log by a snapshot.
func (l *raftLog) restore(s Snapshot) {
	*l = raftLog{snapshot: s, stable: s.Index, commit: s.Index, applied: s.Index}
}

// compact drops the entries up to index.
func (l *raftLog) compact(index uint64, data []byte, m Membership) {
	t, ok := l.term(index)
	if !ok || index <= l.snapshot.Index || index > l.applied {
		return
	}
	l.entries = append([]Entry(nil), l.between(index+1, l.last())...)
	l.snapshot = Snapshot{Index: index, Term: t, Membership: m, Data: data}
}
