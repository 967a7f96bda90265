package tracker

import (
	"fmt"
	"strconv"
	"strings"
)

// Position is a position in the replication log of a group: an offset written
// in a term.
type Position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// IsZero reports whether p is unset.
func (p Position) IsZero() bool { return p == Position{} }

// Less orders positions by term, then by offset. Only positions of the same term
// history may be compared; see Lineage.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// String returns p as "term/offset".
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition parses the text form that String returns.
func ParsePosition(s string) (Position, error) {
	term, offset, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("tracker: parse position %q: want term/offset", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("tracker: parse term of position: %w", err)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("tracker: parse offset of position: %w", err)
	}
	return Position{Term: t, Offset: o}, nil
}
