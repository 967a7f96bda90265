package transactor

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Connections that callers have opened before a host stops accepting are not reset.
func TestConnectionsOpenedBeforeTheEndAreAccepted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	const opened = 5
	for range opened {
		conn, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
	}
	endAccepting(l)
	accepted := 0
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		accepted++
		_ = conn.Close()
	}
	qt.Assert(t, accepted, qt.Equals, opened)
}
