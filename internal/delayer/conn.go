package delayer

import (
	"context"
	"net"
	"time"

	"github.com/shallotstage/shallotstage/internal/pauser"
)

const (
	chunkBytes = 32 << 10
	// chunkQueue bounds the chunks under way in one direction.
	chunkQueue = 1024
)

// delayedConn is a connection whose data takes time in both directions.
type delayedConn struct {
	net.Conn
	remote net.Addr
	end    context.CancelFunc
}

// RemoteAddr returns the address of the real connection.
func (c *delayedConn) RemoteAddr() net.Addr { return c.remote }

// Close closes the connection at both ends.
func (c *delayedConn) Close() error {
	c.end()
	return c.Conn.Close()
}

type chunk struct {
	data []byte
	due  time.Time
}

// wrap delays the data of conn, which leads from one place to another.
func (n *Network) wrap(conn net.Conn, from, to string) net.Conn {
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	c := &delayedConn{Conn: near, remote: conn.RemoteAddr(), end: cancel}
	context.AfterFunc(ctx, func() {
		_ = conn.Close()
		_ = far.Close()
	})
	go n.pump(ctx, cancel, far, conn, from, to)
	go n.pump(ctx, cancel, conn, far, to, from)
	return c
}

// pump copies from src at one place to dst at another until either ends.
func (n *Network) pump(ctx context.Context, cancel context.CancelFunc, src, dst net.Conn, from, to string) {
	chunks := make(chan chunk, chunkQueue)
	go func() {
		defer cancel()
		for c := range chunks {
			if pauser.Pause(ctx, time.Until(c.due)) != nil {
				return
			}
			if n.waitUncut(ctx, from, to) != nil {
				return
			}
			if _, err := dst.Write(c.data); err != nil {
				return
			}
		}
	}()
	defer close(chunks)
	buf := make([]byte, chunkBytes)
	for {
		k, err := src.Read(buf)
		if k > 0 {
			c := chunk{data: append([]byte(nil), buf[:k]...), due: n.due(from, to, k)}
			select {
			case chunks <- c:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}
