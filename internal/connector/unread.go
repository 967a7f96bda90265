package connector

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socket looks at a connection's receive buffer without reading from it. The zero value
// takes any buffer for empty.
type socket struct {
	raw  syscall.RawConn
	peek func(fd uintptr)
	b    [1]byte
	n    int
	err  error
}

// newSocket returns the socket of a connection. A connection that has none gets the zero
// value.
func newSocket(conn net.Conn) *socket {
	s := &socket{}
	owner, ok := conn.(syscall.Conn)
	if !ok {
		return s
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return s
	}
	s.raw = raw
	s.peek = func(fd uintptr) {
		for {
			s.n, _, s.err = unix.Recvfrom(int(fd), s.b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if !errors.Is(s.err, unix.EINTR) {
				return
			}
		}
	}
	return s
}

// hasUnread reports whether received bytes were not read yet. It returns io.EOF if the
// other side has closed the connection, and otherwise the connection's error.
func (s *socket) hasUnread() (bool, error) {
	if s.raw == nil {
		return false, nil
	}
	// Unlike Read, Control is possible after a deadline has passed.
	if err := s.raw.Control(s.peek); err != nil {
		return false, err
	}
	switch {
	case errors.Is(s.err, unix.EAGAIN):
		return false, nil
	case s.err != nil:
		return false, s.err
	case s.n == 0:
		return false, io.EOF
	}
	return true, nil
}

// hasUnread reports whether bytes were received that belong to no outstanding request. Its
// error is the end of the connection.
func (c *Conn) hasUnread() (bool, error) {
	if c.r.Buffered() > 0 {
		return true, nil
	}
	return c.socket.hasUnread()
}
