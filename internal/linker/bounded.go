package linker

import (
	"net"

	"storj.io/drpc/drpcwire"

	"github.com/shallotstage/shallotstage/internal/acceptor"
	"github.com/shallotstage/shallotstage/internal/budgeter"
)

const (
	// messageThreshold is the size from which a message counts in the process's budget.
	messageThreshold = 64 << 10
	// messageCost is the memory of a message that is being received, by its size: its
	// buffers grow by doubling, and its frames are put together in another one.
	messageCost = 3
	// holdStep is the least change that is reported.
	holdStep = 64 << 10
)

// BoundListener returns a listener whose connections report to a budget what they hold of
// incomplete messages.
func BoundListener(l net.Listener, b *budgeter.Budget) net.Listener {
	return &meteredListener{l, b}
}

type meteredListener struct {
	net.Listener
	budget *budgeter.Budget
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &meteredConn{Conn: conn}
	c.holder = &budgeter.Holder{Budget: l.budget, Kind: budgeter.KindLink, Close: func() { _ = conn.Close() }}
	c.holder.SetUnknown(true)
	return c, nil
}

// meteredConn follows the frames of an RPC connection to know how much of a message has
// been received. One goroutine reads it.
type meteredConn struct {
	net.Conn
	holder *budgeter.Holder
	// header holds the bytes of a frame's header that have come so far.
	header []byte
	// left is how much of the frame's data is still to come.
	left uint64
	// kind and done are those of the frame.
	kind drpcwire.Kind
	done bool
	// pending is the size of the incomplete message, and held is what is reported.
	pending, held int64
	established   bool
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.follow(p[:n]) {
		c.holder.End()
		return 0, budgeter.ErrUsedUp
	}
	if err != nil {
		c.holder.End()
	}
	return n, err
}

// follow counts received bytes. It returns false if the connection was closed for them.
func (c *meteredConn) follow(b []byte) bool {
	for len(b) > 0 {
		if c.left == 0 && !c.readHeader(&b) {
			return true
		}
		n := min(c.left, uint64(len(b)))
		c.left -= n
		c.pending += int64(n)
		b = b[n:]
		if c.left == 0 && c.done {
			c.finish()
		}
		if c.pending > messageThreshold && messageCost*c.pending > c.held {
			c.held = messageCost * (c.pending + holdStep)
			if !c.holder.SetHeld(c.held) {
				return false
			}
		}
	}
	return true
}

// readHeader takes a frame's header from b. It returns false if the header is incomplete.
func (c *meteredConn) readHeader(b *[]byte) bool {
	before := len(c.header)
	c.header = append(c.header, (*b)[:min(len(*b), maxHeaderBytes)]...)
	rest := c.header[1:]
	var length uint64
	for range 3 {
		var ok bool
		var err error
		if rest, length, ok, err = drpcwire.ReadVarint(rest); err != nil || !ok {
			// An invalid header ends the connection in its reader.
			*b = nil
			if err != nil {
				c.header = c.header[:0]
			}
			return false
		}
	}
	*b = (*b)[len(c.header)-len(rest)-before:]
	c.kind, c.done, c.left = drpcwire.Kind((c.header[0]&0b01111110)>>1), c.header[0]&1 != 0, length
	c.header = c.header[:0]
	if c.left == 0 && c.done {
		c.finish()
	}
	return true
}

// maxHeaderBytes is the size of the largest frame header: a control byte and three numbers.
const maxHeaderBytes = 1 + 3*10

// finish is called with the end of a message.
func (c *meteredConn) finish() {
	c.pending = 0
	if c.held > 0 {
		c.held = 0
		c.holder.Release()
	}
	if c.kind == drpcwire.KindMessage && !c.established {
		c.established = true
		c.holder.SetUnknown(false)
		acceptor.Establish(c.Conn)
	}
}
