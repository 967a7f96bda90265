package acceptor

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// accept opens a connection to a listener and returns both sides.
func accept(t *testing.T, l net.Listener) (client, server net.Conn) {
	client, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = client.Close() })
	server, err = l.Accept()
	qt.Assert(t, err, qt.IsNil)
	return client, server
}

// The oldest connection is closed for a new one, unless it is established.
func TestBoundedListenerClosesTheOldest(t *testing.T) {
	closed := 0
	b := &Bounded{Listener: listen(t), Max: 2, OnClose: func(net.Conn) { closed++ }}
	_, established := accept(t, b)
	Establish(established)
	Establish(established)
	oldest, _ := accept(t, b)
	_, newest := accept(t, b)
	qt.Assert(t, closed, qt.Equals, 1)
	_, err := oldest.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	_, err = established.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	// Closed connections make room.
	_ = newest.Close()
	_ = newest.Close()
	_, again := accept(t, b)
	qt.Assert(t, closed, qt.Equals, 1)
	_ = established.Close()
	accept(t, b)
	qt.Assert(t, closed, qt.Equals, 1)
	_, err = again.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
}

// With established connections only, the new one is closed.
func TestBoundedListenerKeepsEstablishedConnections(t *testing.T) {
	b := &Bounded{Listener: listen(t), Max: 1}
	_, established := accept(t, b)
	Establish(established)
	_, second := accept(t, b)
	_, err := second.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNotNil)
	_, err = established.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
}
