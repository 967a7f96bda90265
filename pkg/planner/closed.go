package planner

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// maxClosed is the number of closed and paged plans whose intent ids are known
// to be taken.
const maxClosed = 20000

// digestBytes is the length of one stored digest pair.
const digestBytes = 16

// closedSet remembers the intents of paged plans by digest, the newest
// maxClosed of them, so that a resent intent is still known. The zero value is
// empty.
type closedSet struct {
	// content is the digest of an intent by the digest of its id.
	content map[uint64]uint64
	order   []uint64
}

func (s *closedSet) add(i Intent) { s.put(xxhash.Sum64String(i.ID), digestOf(i)) }

func (s *closedSet) put(id, content uint64) {
	if s.content == nil {
		s.content = map[uint64]uint64{}
	}
	if _, ok := s.content[id]; !ok {
		s.order = append(s.order, id)
	}
	s.content[id] = content
	if len(s.order) > maxClosed {
		delete(s.content, s.order[0])
		s.order = s.order[1:]
	}
}

// find reports whether an intent's id is taken, and by the same intent.
func (s *closedSet) find(i Intent) (taken, same bool) {
	content, taken := s.content[xxhash.Sum64String(i.ID)]
	return taken, taken && content == digestOf(i)
}

func digestOf(i Intent) uint64 { return xxhash.Sum64String(fmt.Sprintf("%+v", i)) }

// marshal returns the digests in order.
func (s *closedSet) marshal() []byte {
	b := make([]byte, 0, digestBytes*len(s.order))
	for _, id := range s.order {
		b = binary.BigEndian.AppendUint64(b, id)
		b = binary.BigEndian.AppendUint64(b, s.content[id])
	}
	return b
}

func (s *closedSet) unmarshal(b []byte) error {
	if len(b)%digestBytes != 0 {
		return fmt.Errorf("planner: closed plans take %d bytes, which is no multiple of %d", len(b), digestBytes)
	}
	for ; len(b) > 0; b = b[digestBytes:] {
		s.put(binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[digestBytes/2:]))
	}
	return nil
}
