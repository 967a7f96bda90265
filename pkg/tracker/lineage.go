package tracker

import "math"

// TermStart is the offset at which a term's primary took over.
type TermStart struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Lineage is the line of terms of a group in rising order. The zero value
// knows no term change: positions then compare only within one term.
type Lineage []TermStart

// end returns the offset up to which entries of term belong to the line: the
// lowest start of any later term.
func (l Lineage) end(term uint64) uint64 {
	end := uint64(math.MaxUint64)
	for _, s := range l {
		if s.Term > term && s.Offset < end {
			end = s.Offset
		}
	}
	return end
}

// Divergent reports whether an upstream at p holds entries that the line of
// terms does not: it went on under an old term after a later one had begun.
func (l Lineage) Divergent(p Position) bool { return p.Offset > l.end(p.Term) }

// Holds reports whether an upstream at p holds everything up to floor.
func (l Lineage) Holds(p, floor Position) bool {
	if l.Divergent(p) || l.Divergent(floor) {
		return false
	}
	if p.Term >= floor.Term {
		return p.Offset >= floor.Offset
	}
	return p.Offset >= floor.Offset && floor.Offset <= l.end(p.Term)
}

// Append returns l with the start of a new term. An existing start of the
// same term is kept, so that a repeated order has no effect.
func (l Lineage) Append(s TermStart) Lineage {
	for _, t := range l {
		if t.Term >= s.Term {
			return l
		}
	}
	return append(append(Lineage{}, l...), s)
}
