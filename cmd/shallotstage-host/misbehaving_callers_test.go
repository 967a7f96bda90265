package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// statement returns a legal statement that fills a message of size bytes.
func statement(text string, size int) []byte {
	begin := "QUERY c1 " + text + " "
	return []byte(begin + strings.Repeat("x", size-len(begin)-2) + "\r\n")
}

// Many callers each send a message of the largest legal size in one write: the messages
// together are larger than the process's memory.
func TestManyLargeMessagesAtOnce(t *testing.T) {
	f := startLimitedFleet(t)
	message := statement("READ x", legalBytes)
	f.check(f.entry, func() {
		f.misbehave(160, f.callers(), func(_ int, conn net.Conn) {
			if openSession(conn) != nil {
				_ = send(conn, message)
			}
		})
	})
}

// As above, in small pieces, so that all messages are incomplete at the same time.
func TestManyLargeMessagesInSmallPieces(t *testing.T) {
	f := startLimitedFleet(t)
	message := statement("READ x", legalBytes)
	const pieces = 64
	conns := make([]net.Conn, 160)
	f.check(f.entry, func() {
		f.misbehave(len(conns), f.callers(), func(i int, conn net.Conn) {
			if openSession(conn) != nil {
				conns[i] = conn
			}
		})
		// The last piece, with the end of the message, is not sent.
		for n := range pieces - 1 {
			for i, conn := range conns {
				if conn != nil && send(conn, message[n*len(message)/pieces:(n+1)*len(message)/pieces]) != nil {
					conns[i] = nil
				}
			}
		}
	})
}

// The opening message needs no key, so its size costs a stranger nothing.
func TestLargeOpeningMessages(t *testing.T) {
	f := startLimitedFleet(t)
	message := []byte("STARTUP db " + strings.Repeat("k", legalBytes-64))
	f.check(f.entry, func() {
		f.misbehave(160, f.callers(), func(_ int, conn net.Conn) { _ = send(conn, message) })
	})
}

// Messages far over the limit, as the opening and as a statement. All are nearly as long
// as a legal one before the first goes on.
func TestMessagesFarOverTheLimit(t *testing.T) {
	f := startLimitedFleet(t)
	filler := bytes.Repeat([]byte("x"), 900<<10)
	conns := make([]net.Conn, 160)
	f.check(f.entry, func() {
		f.misbehave(len(conns), f.callers(), func(i int, conn net.Conn) {
			begin := "STARTUP db "
			if i%2 == 0 {
				begin = "QUERY c1 READ "
				if openSession(conn) == nil {
					return
				}
			}
			if send(conn, append([]byte(begin), filler...)) == nil {
				conns[i] = conn
			}
		})
		f.settle(f.entry)
		var wg sync.WaitGroup
		for _, conn := range conns {
			wg.Go(func() {
				for n := 0; n < 6 && conn != nil && send(conn, filler) == nil; n++ {
				}
			})
		}
		wg.Wait()
	})
}

// Callers send hundreds of statements ahead and read no answer.
func TestManyMessagesAheadWithoutReading(t *testing.T) {
	f := startLimitedFleet(t)
	var ahead []byte
	for i := range 200 {
		text := readLarge
		if i%2 == 0 {
			text = "READ x"
		}
		ahead = append(ahead, statement(text, 16<<10)...)
	}
	f.check(f.entry, func() {
		f.misbehave(24, f.callers(), func(_ int, conn net.Conn) {
			shrinkReceiveBuffer(conn)
			if openSession(conn) != nil {
				_ = send(conn, ahead)
			}
		})
	})
}

// A session keeps values and prepared statements for its caller. Their number is
// bounded, and their size together must be, too.
func TestSessionsThatKeepLargeValues(t *testing.T) {
	f := startLimitedFleet(t)
	f.check(f.entry, func() {
		f.misbehave(6, f.callers(), func(i int, conn net.Conn) {
			r := openSession(conn)
			for n := 0; n < 50 && r != nil; n++ {
				text := fmt.Sprintf("SET v%d", n)
				if i%2 == 0 {
					text = fmt.Sprintf("PREPARE p%d READ", n)
				}
				_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
				if send(conn, statement(text, legalBytes-64)) != nil {
					return
				}
				if _, err := readReply(r); err != nil {
					return
				}
			}
		})
	})
}

// More callers than the process has descriptors for send a statement byte by byte.
func TestSlowSenders(t *testing.T) {
	f := startLimitedFleet(t)
	f.check(f.entry, func() {
		f.misbehave(900, f.callers(), func(_ int, conn net.Conn) {
			if openSession(conn) == nil {
				return
			}
			_ = send(conn, []byte("QUERY c1 READ "))
			go trickle(conn)
		})
	})
}

// More connections than the process has descriptors for stop within the opening.
func TestSendersThatStopInTheOpening(t *testing.T) {
	f := startLimitedFleet(t)
	f.check(f.entry, func() {
		f.misbehave(900, f.callers(), func(i int, conn net.Conn) {
			_ = send(conn, []byte("STARTUP db"))
			if i%2 == 0 {
				go trickle(conn)
			}
		})
	})
}

// trickle sends a byte at a time until the connection ends.
func trickle(conn net.Conn) {
	for send(conn, []byte("x")) == nil {
		time.Sleep(200 * time.Millisecond)
	}
}

// Callers stop in the middle of a statement of an open transaction. The transactions
// hold more of the upstream's connections than there are.
func TestSendersThatStopInTransactions(t *testing.T) {
	f := startLimitedFleet(t)
	f.check(f.entry, func() {
		f.misbehave(100, f.callers(), func(_ int, conn net.Conn) {
			r := openSession(conn)
			if r == nil || send(conn, []byte("QUERY c1 BEGIN\r\nQUERY c2 READ x\r\n")) != nil {
				return
			}
			for range 2 {
				if _, err := readReply(r); err != nil {
					return
				}
			}
			_ = send(conn, []byte("QUERY c3 WRI"))
		})
	})
}

// Callers stop reading within the answer to a statement of an open transaction. The
// transactions hold more of the upstream's connections than there are.
func TestReadersThatStopInTransactions(t *testing.T) {
	f := startLimitedFleet(t)
	f.check(f.entry, func() {
		f.misbehave(100, f.callers(), func(_ int, conn net.Conn) {
			shrinkReceiveBuffer(conn)
			r := openSession(conn)
			defer takeTurn()()
			if r == nil || send(conn, []byte("QUERY c1 BEGIN\r\n")) != nil {
				return
			}
			if _, err := readReply(r); err == nil {
				requestLarge(conn, "QUERY c2 "+readLarge+"\r\n")
			}
		})
	})
}

// Callers request a large answer and read none of it after its first bytes.
func TestReadersThatStopInLargeAnswers(t *testing.T) {
	f := startLimitedFleet(t)
	f.check(f.entry, func() {
		f.misbehave(40, f.callers(), func(_ int, conn net.Conn) {
			shrinkReceiveBuffer(conn)
			if openSession(conn) != nil {
				defer takeTurn()()
				requestLarge(conn, "QUERY c1 "+readLarge+"\r\n")
			}
		})
	})
}

// Callers request a large answer and read it a few bytes at a time.
func TestSlowReaders(t *testing.T) {
	f := startLimitedFleet(t)
	f.check(f.entry, func() {
		f.misbehave(40, f.callers(), func(_ int, conn net.Conn) {
			shrinkReceiveBuffer(conn)
			if openSession(conn) == nil {
				return
			}
			defer takeTurn()()
			if !requestLarge(conn, "QUERY c1 "+readLarge+"\r\n") {
				return
			}
			go func() {
				for {
					_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
					if _, err := conn.Read(make([]byte, 16)); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
		})
	})
}

// shrinkReceiveBuffer keeps the test's kernel from taking a large answer in the caller's
// stead.
func shrinkReceiveBuffer(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetReadBuffer(4 << 10)
	}
}

// largeRequests are the requests for large answers that are sent before the first bytes
// of an earlier one have come: of all at once, the machine's speed would decide how many
// are refused.
var largeRequests = make(chan struct{}, 4)

// takeTurn waits until one of a few turns is free, and returns the function that ends it.
func takeTurn() func() {
	largeRequests <- struct{}{}
	return func() { <-largeRequests }
}

// requestLarge sends a request for a large answer and waits for its first bytes.
func requestLarge(conn net.Conn, request string) bool {
	if send(conn, []byte(request)) != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
	_, err := conn.Read(make([]byte, 64))
	return err == nil
}

// The bounds must not touch callers that keep to the protocol: as many sessions as the
// settings have room for, idle or with small statements, and the largest message and a
// large answer while nothing else happens.
func TestCallersWithinTheLimitsAreServed(t *testing.T) {
	f := startLimitedFleet(t)
	readers := make([]*bufio.Reader, 250)
	conns := make([]net.Conn, len(readers))
	f.check(f.entry, func() {
		f.misbehave(len(readers), f.callers(), func(i int, conn net.Conn) { readers[i], conns[i] = openSession(conn), conn })
		request := func(i int, message []byte, want int) {
			t.Helper()
			_ = conns[i].SetReadDeadline(time.Now().Add(ordinaryTimeout))
			qt.Assert(t, readers[i], qt.IsNotNil)
			qt.Assert(t, send(conns[i], message), qt.IsNil)
			got := 0
			for {
				line, err := readers[i].ReadString('\n')
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, strings.HasPrefix(line, "ERROR"), qt.IsFalse, qt.Commentf("%s", line))
				if strings.HasPrefix(line, "READY") {
					break
				}
				got += len(line)
			}
			qt.Assert(t, got >= want, qt.IsTrue, qt.Commentf("%d bytes", got))
		}
		for range 2 {
			for i := range readers {
				request(i, []byte("QUERY c1 READ x\r\n"), 0)
			}
			request(7, statement("READ x", legalBytes), 0)
			request(8, []byte("QUERY c1 "+readLarge+"\r\n"), largeRows*largeRowBytes)
		}
	})
}
