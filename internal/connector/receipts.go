package connector

import "github.com/cespare/xxhash/v2"

const (
	// maxReceipts is the number of receipts that a connection remembers. Second answers come
	// some 300 ms late, and a connection gives fewer than 3000 answers a second.
	maxReceipts = 1024
	// firstReceipts is the number for which room is made at first.
	firstReceipts = 8
)

// receipts remembers the receipts of the last answers on a connection. The zero value is
// empty.
type receipts struct {
	// sums are hashes of the receipts, and ids those of their statements' IDs; once full,
	// rings that begin at next.
	sums []uint64
	ids  []uint32
	next int
}

// has reports whether the receipt was added for any statement. It returns false for the empty
// one.
func (s *receipts) has(receipt []byte) bool { return s.find(receipt) >= 0 }

// isOfAnother reports whether the receipt was added for a statement with another ID than r.
// An upstream may give a statement that it runs again the same receipt.
func (s *receipts) isOfAnother(receipt []byte, r Request) bool {
	i := s.find(receipt)
	return i >= 0 && (r.Verb != VerbForward || s.ids[i] != hashID(r.ID))
}

// find returns the index of a receipt, or -1.
func (s *receipts) find(receipt []byte) int {
	if len(receipt) == 0 {
		return -1
	}
	sum := xxhash.Sum64(receipt)
	for i, known := range s.sums {
		if known == sum {
			return i
		}
	}
	return -1
}

// add adds a receipt of a statement in place of the oldest one. The empty one is ignored.
func (s *receipts) add(receipt []byte, id string) {
	if len(receipt) == 0 {
		return
	}
	sum := xxhash.Sum64(receipt)
	if len(s.sums) < maxReceipts {
		if s.sums == nil {
			s.sums, s.ids = make([]uint64, 0, firstReceipts), make([]uint32, 0, firstReceipts)
		}
		s.sums, s.ids = append(s.sums, sum), append(s.ids, hashID(id))
		return
	}
	s.sums[s.next], s.ids[s.next] = sum, hashID(id)
	s.next = (s.next + 1) % maxReceipts
}

func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
