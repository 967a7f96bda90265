package server

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// twiceMark selects the requests whose responses a doublingRelay sends twice.
const twiceMark = "/*twice*/"

// doublingRelay relays connections to an upstream. It sends the responses to marked requests
// twice: at once, or, if isLate is true, when the next request has arrived.
type doublingRelay struct {
	address string
	isLate  bool
}

// startDoublingRelay starts a relay and returns its address.
func startDoublingRelay(tb testing.TB, address string, isLate bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	r := &doublingRelay{address: address, isLate: isLate}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return l.Addr().String()
}

// relayedConn is the state of one connection.
type relayedConn struct {
	mu     sync.Mutex
	client net.Conn
	marked bool
	late   []byte
}

func (r *doublingRelay) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	upstream, err := net.Dial("tcp", r.address)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	c := &relayedConn{client: client}
	go func() {
		defer func() { _ = upstream.Close() }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := client.Read(buffer)
			if err != nil {
				return
			}
			c.request(buffer[:n])
			if _, err := upstream.Write(buffer[:n]); err != nil {
				return
			}
		}
	}()
	var response []byte
	header := make([]byte, typedHeaderBytes)
	for {
		if _, err := io.ReadFull(upstream, header); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(header[1:])-startupHeaderBytes)
		if _, err := io.ReadFull(upstream, body); err != nil {
			return
		}
		response = append(append(response, header...), body...)
		if header[0] == 'Z' || !c.isMarked() {
			c.respond(response, r.isLate)
			response = nil
		}
	}
}

// request notes whether the response to a request is sent twice, and sends the one that is
// late.
func (c *relayedConn) request(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.client.Write(c.late)
	c.late = nil
	c.marked = c.marked || bytes.Contains(b, []byte(twiceMark))
}

func (c *relayedConn) isMarked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.marked
}

func (c *relayedConn) respond(response []byte, isLate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.marked && isLate {
		c.late = bytes.Clone(response)
	}
	if c.marked && !isLate {
		response = append(response, response...)
	}
	c.marked = false
	_, _ = c.client.Write(response)
}

// A client got the response to another request when an upstream had sent one twice.
func TestSecondResponseIsNotGivenToAnotherRequest(t *testing.T) {
	g := startGroup(t, groupConfig{relay: func(address string) string { return startDoublingRelay(t, address, false) }})
	g.exec(g.connect(0, ""), "CREATE TABLE s (id int, n int)")
	for range 5 {
		conn, other := g.connect(0, ""), g.connect(0, "")
		g.exec(conn, "INSERT INTO s (id, n) VALUES (1, 0)")
		ctx := t.Context()
		value := 0
		qt.Assert(t, conn.QueryRow(ctx, "UPDATE s SET n = 7 WHERE id = 1 RETURNING n "+twiceMark).Scan(&value), qt.IsNil)
		qt.Assert(t, value, qt.Equals, 7)
		qt.Assert(t, other.QueryRow(ctx, "UPDATE s SET n = 8 WHERE id = 1 RETURNING n").Scan(&value), qt.IsNil)
		qt.Assert(t, value, qt.Equals, 8)
		g.exec(conn, "DELETE FROM s")
	}
}

// COMMIT was acknowledged with the response to an earlier statement, before it had run.
func TestSecondResponseIsNotTheOneToCommit(t *testing.T) {
	g := startGroup(t, groupConfig{relay: func(address string) string { return startDoublingRelay(t, address, true) }})
	g.exec(g.connect(0, ""), "CREATE TABLE s (id int, n int)")
	conn := g.connect(0, "")
	qt.Assert(t, execSQL(conn, "BEGIN"), qt.IsNil)
	qt.Assert(t, execSQL(conn, "INSERT INTO s (id, n) VALUES (1, 0) "+twiceMark), qt.IsNil)
	code, verdict := refusalOf(execSQL(conn, "COMMIT"))
	qt.Assert(t, code, qt.Equals, "08007")
	qt.Assert(t, verdict, qt.Equals, refuser.MayHaveRun)
	qt.Assert(t, execSQL(conn, "ROLLBACK"), qt.IsNil)

	qt.Assert(t, execSQL(conn, "BEGIN "+twiceMark), qt.IsNil)
	code, verdict = refusalOf(execSQL(conn, "INSERT INTO s (id, n) VALUES (2, 0)"))
	qt.Assert(t, code, qt.Equals, "40003")
	qt.Assert(t, verdict, qt.Equals, refuser.NotRun)
}

// An open transaction went on although a response lay unread.
func TestTransactionEndsAfterASecondResponse(t *testing.T) {
	g := startGroup(t, groupConfig{relay: func(address string) string { return startDoublingRelay(t, address, false) }})
	g.exec(g.connect(0, ""), "CREATE TABLE s (id int, n int)")
	conn := g.connect(0, "")
	qt.Assert(t, execSQL(conn, "BEGIN"), qt.IsNil)
	qt.Assert(t, execSQL(conn, "INSERT INTO s (id, n) VALUES (1, 0) "+twiceMark), qt.IsNil)
	code, verdict := refusalOf(execSQL(conn, "COMMIT"))
	qt.Assert(t, code, qt.Equals, "40003")
	qt.Assert(t, verdict, qt.Equals, refuser.NotRun)
	qt.Assert(t, g.countWrites("INSERT INTO s (id, n) VALUES (1, 0) "+twiceMark), qt.Equals, 0)
}
