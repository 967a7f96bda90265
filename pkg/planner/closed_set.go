package planner

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// maxClosedPlans is the number of closed plans in pages whose intent ids are still
// recognised as taken.
const maxClosedPlans = 20000

// digestPairBytes is the encoded length of an id digest and a content digest.
const digestPairBytes = 16

// closedSet holds the digests of the newest maxClosedPlans intents whose plans
// were moved into pages, so that an intent sent again is still recognised. The
// zero value is an empty set.
//
// The digest of an intent covers the names of its fields, so renaming a field of
// Intent invalidates the stored digests.
type closedSet struct {
	// contents maps the digest of an intent's id to the digest of the intent. order
	// lists the id digests, oldest first.
	contents map[uint64]uint64
	order    []uint64
}

func (s *closedSet) add(i Intent) { s.put(xxhash.Sum64String(i.ID), digestOf(i)) }

func (s *closedSet) put(id, content uint64) {
	if s.contents == nil {
		s.contents = map[uint64]uint64{}
	}
	if _, ok := s.contents[id]; !ok {
		s.order = append(s.order, id)
	}
	s.contents[id] = content
	if len(s.order) > maxClosedPlans {
		delete(s.contents, s.order[0])
		s.order = s.order[1:]
	}
}

// find reports whether an intent's id is taken, and whether it is taken by the
// same intent.
func (s *closedSet) find(i Intent) (taken, same bool) {
	content, taken := s.contents[xxhash.Sum64String(i.ID)]
	return taken, taken && content == digestOf(i)
}

func digestOf(i Intent) uint64 { return xxhash.Sum64String(fmt.Sprintf("%+v", i)) }

// marshal encodes the digest pairs, oldest first.
func (s *closedSet) marshal() []byte {
	b := make([]byte, 0, digestPairBytes*len(s.order))
	for _, id := range s.order {
		b = binary.BigEndian.AppendUint64(b, id)
		b = binary.BigEndian.AppendUint64(b, s.contents[id])
	}
	return b
}

func (s *closedSet) unmarshal(b []byte) error {
	if len(b)%digestPairBytes != 0 {
		return fmt.Errorf("planner: closed plans take %d bytes, which is not a multiple of %d", len(b), digestPairBytes)
	}
	for ; len(b) > 0; b = b[digestPairBytes:] {
		s.put(binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[digestPairBytes/2:]))
	}
	return nil
}
