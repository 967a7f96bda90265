// Package peeker looks at a connection's receive buffer without reading from it.
//
// # Usage
//
//	p := peeker.New(conn)
//	unread, err := p.HasUnread()
package peeker

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peeker looks at the receive buffer of one connection. It must not be used by several
// goroutines at once. The zero value takes the buffer for empty.
type Peeker struct {
	raw  syscall.RawConn
	look func(fd uintptr)
	b    [1]byte
	// peeked is the number of bytes that look saw, and err its error.
	peeked int
	err    error
}

// New returns the Peeker of a connection; the zero value for one without a socket.
func New(conn net.Conn) *Peeker {
	p := &Peeker{}
	owner, ok := conn.(syscall.Conn)
	if !ok {
		return p
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return p
	}
	p.raw, p.look = raw, p.lookAt
	return p
}

func (p *Peeker) lookAt(fd uintptr) {
	for {
		p.peeked, _, p.err = unix.Recvfrom(int(fd), p.b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(p.err, unix.EINTR) {
			return
		}
	}
}

// HasUnread reports whether received bytes were not read yet. It returns io.EOF if the
// other side has closed the connection, and otherwise the connection's error.
func (p *Peeker) HasUnread() (bool, error) {
	if p.raw == nil {
		return false, nil
	}
	// Unlike Read, Control is possible after a deadline has passed.
	if err := p.raw.Control(p.look); err != nil {
		return false, err
	}
	switch {
	case errors.Is(p.err, unix.EAGAIN):
		return false, nil
	case p.err != nil:
		return false, p.err
	case p.peeked == 0:
		return false, io.EOF
	}
	return true, nil
}
