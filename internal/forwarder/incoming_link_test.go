package forwarder

import (
	"encoding/binary"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/budgeter"
)

// Only the data of streams counts, however the bytes arrive: pings and window updates, whose
// last field is no size, must not.
func TestLinkCountsDataOnly(t *testing.T) {
	frame := func(kind byte, length uint32, data int) []byte {
		h := make([]byte, frameHeaderBytes, frameHeaderBytes+data)
		h[1] = kind
		binary.BigEndian.PutUint32(h[8:], length)
		return append(h, make([]byte, data)...)
	}
	var all []byte
	all = append(all, frame(typeData, 5, 5)...)
	all = append(all, frame(1, 1<<20, 0)...)
	all = append(all, frame(typeData, 0, 0)...)
	all = append(all, frame(2, 77, 0)...)
	all = append(all, frame(typeData, 3000, 3000)...)
	for _, piece := range []int{1, 5, 13, len(all)} {
		l := &incomingLink{}
		data := 0
		for rest := all; len(rest) > 0; {
			n := min(piece, len(rest))
			data += l.follow(rest[:n])
			rest = rest[n:]
		}
		qt.Assert(t, data, qt.Equals, 3005, qt.Commentf("pieces of %d", piece))
	}
}

// Streams that are closed before they are read to their end must not count for ever.
func TestLinkWithoutStreamsHoldsNothing(t *testing.T) {
	b := &budgeter.Budget{Bytes: 1 << 30}
	streams := 1
	l := &incomingLink{holder: &budgeter.Holder{Budget: b, Kind: budgeter.KindLink}, streamCount: func() int { return streams }}
	qt.Assert(t, l.count(l.unread.Add(unreadThreshold)), qt.IsTrue)
	qt.Assert(t, b.Usage(budgeter.KindLink).Bytes, qt.Equals, int64(0))
	qt.Assert(t, l.count(l.unread.Add(1)), qt.IsTrue)
	qt.Assert(t, b.Usage(budgeter.KindLink).Bytes > unreadCost*unreadThreshold, qt.IsTrue)
	streams = 0
	qt.Assert(t, l.count(l.unread.Add(1)), qt.IsTrue)
	qt.Assert(t, b.Usage(budgeter.KindLink).Bytes, qt.Equals, int64(0))
}
