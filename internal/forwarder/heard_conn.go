package forwarder

import (
	"net"
	"sync/atomic"
	"time"
)

// heardConn records when data last arrived on a connection.
type heardConn struct {
	net.Conn
	at atomic.Int64
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.at.Store(time.Now().UnixNano())
	}
	return n, err
}

// HeardSince reports whether data of the host at address has arrived on the present
// connection after t. A host that is heard is slow or its link is full; it is not lost.
func (f *Forwarder) HeardSince(address string, t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.heard[address]
	return c != nil && c.at.Load() > t.UnixNano()
}
