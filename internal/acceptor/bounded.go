package acceptor

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"
)

// Bounded is a listener that has at most Max open connections. One more costs the oldest
// that is not established its connection, and not the one that has just come, unless all
// others are established.
type Bounded struct {
	net.Listener
	// Max is the maximum number of open connections; zero means no limit.
	Max int
	// OnClose is called for each connection that is closed; nil disables it.
	OnClose func(conn net.Conn)

	mu sync.Mutex
	// open are the connections that are not established, oldest first.
	open        list.List
	established int
}

// Accept implements net.Listener.
func (b *Bounded) Accept() (net.Conn, error) {
	conn, err := b.Listener.Accept()
	if err != nil || b.Max <= 0 {
		return conn, err
	}
	c := &boundedConn{Conn: conn, listener: b}
	b.mu.Lock()
	c.place = b.open.PushBack(c)
	var oldest *boundedConn
	if b.open.Len()+b.established > b.Max {
		oldest, _ = b.open.Front().Value.(*boundedConn)
	}
	b.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
		if b.OnClose != nil {
			b.OnClose(oldest.Conn)
		}
	}
	return c, nil
}

// SetDeadline makes Accept fail after t, if the listener can.
func (b *Bounded) SetDeadline(t time.Time) error {
	if l, ok := b.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return l.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// Establish keeps a connection that a Bounded listener has accepted from being closed for
// others. It does nothing for other connections.
func Establish(conn net.Conn) {
	if c, ok := conn.(*boundedConn); ok {
		c.move(true)
	}
}

// boundedConn is a connection of a Bounded listener.
type boundedConn struct {
	net.Conn
	listener *Bounded
	// The listener's lock guards the fields below. place is nil once the connection is
	// established or closed.
	place       *list.Element
	established bool
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.move(false)
	return c.Conn.Close()
}

// move makes the connection an established or a closed one.
func (c *boundedConn) move(established bool) {
	b := c.listener
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.place != nil {
		b.open.Remove(c.place)
		c.place = nil
	} else if established || !c.established {
		return
	}
	if established != c.established {
		c.established = established
		if established {
			b.established++
		} else {
			b.established--
		}
	}
}
