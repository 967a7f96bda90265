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
	look func(fd uintptr)
	poll [1]unix.PollFd
	// peeked is the number of bytes that look saw, or -1, and err its error.
	peeked int
	err    error
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
	s.raw, s.look = raw, s.lookAt
	return s
}

// lookAt polls first, since that allocates nothing.
func (s *socket) lookAt(fd uintptr) {
	s.poll[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN}
	n, err := unix.Poll(s.poll[:], 0)
	if n == 0 && err == nil {
		s.peeked, s.err = -1, nil
		return
	}
	for {
		var b [1]byte
		s.peeked, _, s.err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(s.err, unix.EINTR) {
			return
		}
	}
}

// hasUnread reports whether received bytes were not read yet. It returns io.EOF if the
// other side has closed the connection, and otherwise the connection's error.
func (s *socket) hasUnread() (bool, error) {
	if s.raw == nil {
		return false, nil
	}
	// Unlike Read, Control is possible after a deadline has passed.
	if err := s.raw.Control(s.look); err != nil {
		return false, err
	}
	switch {
	case errors.Is(s.err, unix.EAGAIN):
		return false, nil
	case s.err != nil:
		return false, s.err
	case s.peeked == 0:
		return false, io.EOF
	}
	return s.peeked > 0, nil
}

// hasUnread reports whether bytes were received that belong to no outstanding request. Its
// error is the end of the connection.
func (c *Conn) hasUnread() (bool, error) {
	if c.r.Buffered() > 0 {
		return true, nil
	}
	return c.socket.hasUnread()
}
