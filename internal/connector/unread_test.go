package connector

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/peeker"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t testing.TB) (local, remote *net.TCPConn) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	local, ok := conn.(*net.TCPConn)
	qt.Assert(t, ok, qt.IsTrue)
	remote, err = l.AcceptTCP()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = local.Close(); _ = remote.Close() })
	return local, remote
}

// awaitUnread calls hasUnread until it reports bytes or an error.
func awaitUnread(t *testing.T, c *Conn) (bool, error) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if unread, err := c.hasUnread(); unread || err != nil {
			return unread, err
		}
	}
	t.Fatal("nothing was received")
	return false, nil
}

// A connection was used although bytes were unread on it, in the buffer or in the kernel, or
// although its other end was gone.
func TestUnreadBytesAreNoticed(t *testing.T) {
	local, remote := tcpPair(t)
	c := &Conn{net: local, peeker: peeker.New(local), r: bufio.NewReader(local)}
	// The check must work after the deadline of an earlier request.
	qt.Assert(t, local.SetDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	unread, err := c.hasUnread()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, unread, qt.IsFalse)

	_, err = remote.Write([]byte("ab"))
	qt.Assert(t, err, qt.IsNil)
	unread, err = awaitUnread(t, c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, unread, qt.IsTrue)

	qt.Assert(t, local.SetDeadline(time.Time{}), qt.IsNil)
	_, err = c.r.ReadByte()
	qt.Assert(t, err, qt.IsNil)
	unread, err = c.hasUnread()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, unread, qt.IsTrue, qt.Commentf("buffered"))
	_, _ = c.r.ReadByte()

	_ = remote.Close()
	_, err = awaitUnread(t, c)
	qt.Assert(t, errors.Is(err, io.EOF), qt.IsTrue)

	local, remote = tcpPair(t)
	c = &Conn{net: local, peeker: peeker.New(local), r: bufio.NewReader(local)}
	_ = remote.SetLinger(0)
	_ = remote.Close()
	_, err = awaitUnread(t, c)
	qt.Assert(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
}

// Queries of the position took idle connections with unread bytes as well.
func TestIdleConnectionsThatCannotBeUsedAreClosed(t *testing.T) {
	p := newPool(&Dialer{}, keeper.Upstream{ID: "u", Slots: 4})
	p.limit = 3
	for _, sent := range []string{"", "x", "x"} {
		local, remote := tcpPair(t)
		c := &Conn{net: local, peeker: peeker.New(local), r: bufio.NewReader(local), state: StateIdle}
		if sent != "" {
			_, err := remote.Write([]byte(sent))
			qt.Assert(t, err, qt.IsNil)
			_, err = awaitUnread(t, c)
			qt.Assert(t, err, qt.IsNil)
		}
		p.open++
		p.put(c)
	}
	c := p.AcquireIdle()
	qt.Assert(t, c, qt.IsNotNil)
	unread, err := c.hasUnread()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, unread, qt.IsFalse)
	qt.Assert(t, p.open, qt.Equals, 1)
	qt.Assert(t, p.AcquireIdle(), qt.IsNil)
}

// A connection remembers a bounded number of receipts, the newest ones.
func TestReceiptsAreBounded(t *testing.T) {
	var s receipts
	receipt := func(n int) []byte { return []byte{byte(n >> 8), byte(n)} }
	for n := range 2 * maxReceipts {
		s.add(receipt(n))
	}
	s.add(nil)
	qt.Assert(t, len(s.sums), qt.Equals, maxReceipts)
	qt.Assert(t, s.has(receipt(maxReceipts-1)), qt.IsFalse)
	qt.Assert(t, s.has(receipt(maxReceipts)), qt.IsTrue)
	qt.Assert(t, s.has(receipt(2*maxReceipts-1)), qt.IsTrue)
	qt.Assert(t, s.has(nil), qt.IsFalse)
}

// BenchmarkExchange and BenchmarkHasUnread compare the check before a request with the
// request itself.
func BenchmarkExchange(b *testing.B) {
	local, remote := tcpPair(b)
	go func() {
		buffer := make([]byte, 64)
		for {
			n, err := remote.Read(buffer)
			if err != nil {
				return
			}
			_, _ = remote.Write(buffer[:n])
		}
	}()
	buffer := make([]byte, 64)
	for b.Loop() {
		_, _ = local.Write(buffer)
		_, _ = io.ReadFull(local, buffer)
	}
}

func BenchmarkHasUnread(b *testing.B) {
	local, _ := tcpPair(b)
	c := &Conn{net: local, peeker: peeker.New(local), r: bufio.NewReader(local)}
	b.ReportAllocs()
	for b.Loop() {
		if unread, err := c.hasUnread(); unread || err != nil {
			b.Fatal(unread, err)
		}
	}
}

func BenchmarkReceipts(b *testing.B) {
	var s receipts
	for n := range maxReceipts {
		s.add([]byte{1, byte(n >> 8), byte(n)})
	}
	receipt := []byte("7.1f3.c.2b.90e1c4d2a7b3f655")
	for b.Loop() {
		if !s.has(receipt) {
			s.add(receipt[:20])
		}
	}
}
