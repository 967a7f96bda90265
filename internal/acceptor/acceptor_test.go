package acceptor

import (
	"context"
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Connections that callers have opened before the end are accepted and not reset.
func TestConnectionsOpenedBeforeTheEndAreAccepted(t *testing.T) {
	for name, l := range map[string]net.Listener{"tcp": listen(t), "bounded": &Bounded{Listener: listen(t), Max: 100}} {
		t.Run(name, func(t *testing.T) { checkLastAccepts(t, l) })
	}
}

func checkLastAccepts(t *testing.T, l net.Listener) {
	const opened = 5
	for range opened {
		conn, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	accepted := 0
	err := Serve(ctx, l, nil, func(conn net.Conn) {
		accepted++
		_ = conn.Close()
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, accepted, qt.Equals, opened)
	_, err = net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.Not(qt.IsNil))
}

// failingListener fails its first accepts.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

func TestFailedAcceptsDoNotEndServing(t *testing.T) {
	l := &failingListener{Listener: listen(t), failures: 3}
	conn, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failed := 0
	err = Serve(ctx, l, func(error) { failed++ }, func(conn net.Conn) {
		_ = conn.Close()
		cancel()
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, failed, qt.Equals, 3)
}

func TestClosedListenerIsAnError(t *testing.T) {
	l := listen(t)
	_ = l.Close()
	qt.Assert(t, errors.Is(Serve(t.Context(), l, nil, func(net.Conn) {}), net.ErrClosed), qt.IsTrue)
}
