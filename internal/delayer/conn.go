package delayer

import (
	"context"
	"net"
	"time"

	"github.com/shallotstage/shallotstage/internal/pauser"
)

const (
	chunkBytes = 32 << 10
	// maxQueuedChunks limits the chunks in transit in one direction.
	maxQueuedChunks = 1024
)

// delayedConn is a connection that delays data in both directions.
type delayedConn struct {
	net.Conn
	remote net.Addr
	stop   context.CancelFunc
}

// RemoteAddr returns the remote address of the underlying connection.
func (c *delayedConn) RemoteAddr() net.Addr { return c.remote }

// Close closes the connection at both ends.
func (c *delayedConn) Close() error {
	c.stop()
	return c.Conn.Close()
}

type chunk struct {
	data      []byte
	deliverAt time.Time
}

// wrap returns a connection that delays the data of conn, which connects two places.
func (n *Network) wrap(conn net.Conn, from, to string) net.Conn {
	clientEnd, networkEnd := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	c := &delayedConn{Conn: clientEnd, remote: conn.RemoteAddr(), stop: cancel}
	context.AfterFunc(ctx, func() {
		_ = conn.Close()
		_ = networkEnd.Close()
	})
	go n.copyDelayed(ctx, cancel, networkEnd, conn, from, to)
	go n.copyDelayed(ctx, cancel, conn, networkEnd, to, from)
	return c
}

// copyDelayed copies data from src at one place to dst at another until one of them
// is closed.
func (n *Network) copyDelayed(ctx context.Context, cancel context.CancelFunc, src, dst net.Conn, from, to string) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer cancel()
		for c := range chunks {
			if pauser.Sleep(ctx, time.Until(c.deliverAt)) != nil {
				return
			}
			if n.waitReachable(ctx, from, to) != nil {
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
			c := chunk{data: append([]byte(nil), buf[:k]...), deliverAt: n.deliveryTime(from, to, k)}
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
