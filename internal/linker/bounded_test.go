package linker

import (
	"bytes"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcwire"

	"github.com/shallotstage/shallotstage/internal/budgeter"
)

// What is held must not depend on how the bytes of a message arrive, and a complete message
// is no longer held.
func TestMeterFollowsFramesInPieces(t *testing.T) {
	frame := func(size int, done bool) []byte {
		return drpcwire.AppendFrame(nil, drpcwire.Frame{Data: bytes.Repeat([]byte("x"), size), ID: drpcwire.ID{Stream: 300, Message: 70000}, Kind: drpcwire.KindMessage, Done: done})
	}
	for _, piece := range []int{1, 3, 7, 4096, 1 << 20} {
		b := &budgeter.Budget{Bytes: 1 << 30}
		c := &meteredConn{holder: &budgeter.Holder{Budget: b, Kind: budgeter.KindLink}}
		feed := func(data []byte) {
			for len(data) > 0 {
				n := min(piece, len(data))
				qt.Assert(t, c.follow(data[:n]), qt.IsTrue)
				data = data[n:]
			}
		}
		feed(frame(100, true))
		feed(frame(0, true))
		feed(frame(60<<10, false))
		feed(frame(60<<10, false))
		qt.Assert(t, c.pending, qt.Equals, int64(120<<10))
		qt.Assert(t, b.Usage(budgeter.KindLink).Bytes >= messageCost*120<<10, qt.IsTrue)
		feed(frame(60<<10, true))
		qt.Assert(t, c.pending, qt.Equals, int64(0))
		qt.Assert(t, b.Usage(budgeter.KindLink).Bytes, qt.Equals, int64(0))
		qt.Assert(t, c.established, qt.IsTrue)
	}
}

// An invalid header must neither grow the meter's own buffer nor stop it: the RPC reader
// ends the connection.
func TestMeterSurvivesInvalidFrames(t *testing.T) {
	c := &meteredConn{holder: &budgeter.Holder{}}
	for range 100 {
		qt.Assert(t, c.follow(bytes.Repeat([]byte{0xff}, 10000)), qt.IsTrue)
		qt.Assert(t, len(c.header) <= 2*maxHeaderBytes, qt.IsTrue)
	}
}

// The meter must end a connection that holds too much.
func TestMeterEndsConnectionsOverTheBudget(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	c := &meteredConn{Conn: server, holder: &budgeter.Holder{Budget: &budgeter.Budget{Bytes: 1 << 20}, Kind: budgeter.KindLink, Close: func() { _ = server.Close() }}}
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, 2<<20), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke})
	go func() { _, _ = client.Write(frame) }()
	buffer := make([]byte, 64<<10)
	err := error(nil)
	for err == nil {
		_, err = c.Read(buffer)
	}
	qt.Assert(t, err, qt.Equals, budgeter.ErrUsedUp)
}
