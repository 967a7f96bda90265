package forwarder

import (
	"encoding/binary"
	"net"
	"sync/atomic"

	"github.com/shallotstage/shallotstage/internal/budgeter"
)

const (
	// unreadThreshold is how much of a link's streams may be received and not read before
	// it counts in the process's budget. Other hosts send one statement ahead.
	unreadThreshold = 512 << 10
	// unreadCost is the memory of unread bytes by their number: the multiplexer's buffers
	// double.
	unreadCost = 2
	// frameHeaderBytes is the size of a multiplexer's frame header, whose second byte is the
	// type, and whose last four the size of the data if the type is typeData.
	frameHeaderBytes = 12
	typeData         = 0
)

// incomingLink is a connection that another host has opened. It follows the multiplexer's
// frames, to know how much of its streams was received and not read.
type incomingLink struct {
	net.Conn
	holder *budgeter.Holder
	// streamCount returns the number of open streams.
	streamCount func() int
	unread      atomic.Int64

	// The goroutine that reads the connection owns the fields below. header holds the bytes
	// of a frame's header that have come so far, and left is how much of its data is still to come.
	header []byte
	left   int
	held   int64
}

// Read implements net.Conn. It fails if the link was closed because of what it holds.
func (l *incomingLink) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	data := l.follow(p[:n])
	if (data > 0 || l.held > 0) && !l.count(l.unread.Add(int64(data))) {
		return 0, budgeter.ErrUsedUp
	}
	return n, err
}

// follow returns how many of the received bytes are data of streams.
func (l *incomingLink) follow(b []byte) (data int) {
	for len(b) > 0 {
		if l.left == 0 {
			n := min(len(b), frameHeaderBytes-len(l.header))
			l.header = append(l.header, b[:n]...)
			b = b[n:]
			if len(l.header) < frameHeaderBytes {
				break
			}
			if l.header[1] == typeData {
				l.left = int(binary.BigEndian.Uint32(l.header[8:]))
			}
			l.header = l.header[:0]
		}
		n := min(l.left, len(b))
		l.left -= n
		data += n
		b = b[n:]
	}
	return data
}

// count reports the unread bytes. It returns false if the link was closed for them.
func (l *incomingLink) count(unread int64) bool {
	if unread > unreadThreshold && l.streamCount() == 0 {
		// Streams that were closed before they were read to their end.
		l.unread.Store(0)
		unread = 0
	}
	held := int64(0)
	if unread > unreadThreshold {
		// In steps, so that the budget's lock is taken only now and then.
		held = unreadCost * (unread/unreadThreshold + 1) * unreadThreshold
	}
	if held == l.held {
		return true
	}
	l.held = held
	return l.holder.SetHeld(held)
}

// linkStream is a stream of a link.
type linkStream struct {
	net.Conn
	link *incomingLink
}

// Read implements net.Conn.
func (s linkStream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.link.unread.Add(-int64(n))
	return n, err
}
