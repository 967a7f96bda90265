package connector

import "github.com/cespare/xxhash/v2"

const (
	// maxReceipts is the number of receipts that a connection remembers, 8 KB. One with as many
	// is not reused: a second answer may come at any time.
	maxReceipts = 1024
	// firstReceipts is the number for which room is made at first.
	firstReceipts = 8
)

// receipts remembers the receipts of the last answers on a connection. The zero value is
// empty.
type receipts struct {
	// sums are the hashes of the receipts; once full, a ring that begins at next.
	sums []uint64
	next int
}

// has reports whether a receipt was added. It returns false for the empty one.
func (s *receipts) has(receipt []byte) bool {
	if len(receipt) == 0 {
		return false
	}
	sum := xxhash.Sum64(receipt)
	for _, known := range s.sums {
		if known == sum {
			return true
		}
	}
	return false
}

// isFull reports whether the next receipt takes the place of another.
func (s *receipts) isFull() bool { return len(s.sums) == maxReceipts }

// add adds a receipt in place of the oldest one. The empty one is ignored.
func (s *receipts) add(receipt []byte) {
	if len(receipt) == 0 {
		return
	}
	sum := xxhash.Sum64(receipt)
	if len(s.sums) < maxReceipts {
		if s.sums == nil {
			s.sums = make([]uint64, 0, firstReceipts)
		}
		s.sums = append(s.sums, sum)
		return
	}
	s.sums[s.next] = sum
	s.next = (s.next + 1) % maxReceipts
}
