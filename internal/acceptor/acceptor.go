// Package acceptor accepts connections until a context ends.
//
// Connections that the other side has opened by then are accepted too: to close the
// listener at once would reset them, although their callers may have sent a request.
// After a failed accept, for example when file descriptors have run out, it goes on.
//
// # Usage
//
//	err := acceptor.Serve(ctx, listener, func(err error) { ... }, func(conn net.Conn) { go serve(conn) })
package acceptor

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// lastAcceptWait is how long opened connections are still accepted once the
	// context has ended.
	lastAcceptWait = 20 * time.Millisecond
	// retryPause is the delay after a failed accept.
	retryPause = 20 * time.Millisecond
)

// Serve calls handle, which must not block, with each connection until ctx ends, and
// closes the listener. It calls failed, unless it is nil, with the errors of accepts. It
// returns an error only if the listener was closed before.
func Serve(ctx context.Context, l net.Listener, failed func(error), handle func(net.Conn)) error {
	defer func() { _ = l.Close() }()
	stop := context.AfterFunc(ctx, func() { endAccepting(l) })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			handle(conn)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			if failed != nil {
				failed(err)
			}
			pause(ctx)
		}
	}
}

// endAccepting makes the listener return the connections that are open already, and
// then an error.
func endAccepting(l net.Listener) {
	t, ok := l.(interface{ SetDeadline(t time.Time) error })
	if !ok || t.SetDeadline(time.Now().Add(lastAcceptWait)) != nil {
		_ = l.Close()
	}
}

func pause(ctx context.Context) {
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
}
