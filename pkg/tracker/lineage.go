package tracker

import "math"

// TermStart is the log offset at which the primary of a term was promoted.
type TermStart struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Lineage is the term history of a group in ascending order. The zero value
// has no term changes, so only positions of the same term are comparable. Its
// name appears in the errors of encoding/json that the API for announcements
// returns, so it must not change.
type Lineage []TermStart

// termEnd returns the offset up to which entries of term are part of the history:
// the lowest start of any later term.
func (h Lineage) termEnd(term uint64) uint64 {
	end := uint64(math.MaxUint64)
	for _, s := range h {
		if s.Term > term && s.Offset < end {
			end = s.Offset
		}
	}
	return end
}

// HasDiverged reports whether an upstream at p holds entries that are not part of
// the history, because it continued an old term after a later one had started.
func (h Lineage) HasDiverged(p Position) bool { return p.Offset > h.termEnd(p.Term) }

// Includes reports whether an upstream at p holds all entries up to floor.
func (h Lineage) Includes(p, floor Position) bool {
	if h.HasDiverged(p) || h.HasDiverged(floor) {
		return false
	}
	if p.Term >= floor.Term {
		return p.Offset >= floor.Offset
	}
	return p.Offset >= floor.Offset && floor.Offset <= h.termEnd(p.Term)
}

// Append returns h with the start of a new term. It returns h itself if it
// already contains this or a later term, so that a repeated order has no
// effect.
func (h Lineage) Append(s TermStart) Lineage {
	for _, t := range h {
		if t.Term >= s.Term {
			return h
		}
	}
	return append(append(Lineage{}, h...), s)
}
