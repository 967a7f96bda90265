package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// promises are the answers after which nothing of a statement is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true}

// ledger is what callers were told.
type ledger struct {
	mu sync.Mutex
	// kept are the writes that succeeded, dropped those that were promised to
	// have left nothing.
	kept, dropped map[string]bool
	broken        []string
	answers       map[string]int
}

func (l *ledger) fail(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, arguments...))
}

// note keeps the answer to a write.
func (l *ledger) note(id, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[answer]++
	switch {
	case answer == "COMPLETE":
		l.kept[id] = true
	case promises[answer]:
		l.dropped[id] = true
	}
}

// soakCaller is one client. It writes rising values to an item of its own and
// reads them back.
type soakCaller struct {
	name, route string
	addresses   []string
	ledger      *ledger
	rnd         *rand.Rand
	n           int
	conn        net.Conn
	r           *bufio.Reader
	// own is the newest value that this session wrote, newest that of all, to
	// the item of now. A write without a clear answer may take effect later, so
	// the caller goes on with another item.
	own, newest, item int
}

// ask sends a statement. It returns the word that ends the answer, or an empty
// one when there is none, and the row.
func (c *soakCaller) ask(text string) (id, answer, row string) {
	c.n++
	id = fmt.Sprintf("%s-%d", c.name, c.n)
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, "", ""
	}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return id, "", ""
		}
		fields := strings.Fields(line)
		switch fields[0] {
		case "ROW":
			row = fields[1]
		case "COMPLETE":
			answer = "COMPLETE"
			if want := "sig-" + id; fields[1] != want && fields[1] != "-" {
				c.ledger.fail("%s was answered with %s", id, fields[1])
			}
		case "ERROR":
			answer = fields[1]
		case "READY":
			return id, answer, row
		}
	}
}

// connect opens a session at any entry host.
func (c *soakCaller) connect() bool {
	conn, err := net.DialTimeout("tcp", c.addresses[c.rnd.IntN(len(c.addresses))], time.Second)
	if err != nil {
		return false
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	r := bufio.NewReader(conn)
	if _, err := fmt.Fprintf(conn, "STARTUP %s k\r\n", c.route); err != nil {
		_ = conn.Close()
		return false
	}
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY I") {
		_ = conn.Close()
		return false
	}
	c.conn, c.r, c.own = conn, r, 0
	return true
}

// turn does one operation, and reports whether it succeeded.
func (c *soakCaller) turn() bool {
	if c.conn == nil && !c.connect() {
		return false
	}
	ok := true
	if c.rnd.IntN(3) == 0 {
		ok = c.write()
	}
	if ok {
		ok = c.read()
	}
	if !ok {
		_ = c.conn.Close()
		c.conn = nil
	}
	return ok
}

func (c *soakCaller) write() bool {
	value := c.n + 1
	id, answer, _ := c.ask(fmt.Sprintf("WRITE %s.%d %d", c.name, c.item, value))
	c.ledger.note(id, answer)
	if answer != "COMPLETE" {
		if !promises[answer] {
			c.item++
			c.own, c.newest = 0, 0
		}
		return false
	}
	c.own, c.newest = value, value
	return true
}

// read checks that the session sees its own writes and, on a route to primaries,
// all acknowledged ones.
func (c *soakCaller) read() bool {
	least := c.own
	if c.route == "all" {
		least = c.newest
	}
	id, answer, row := c.ask(fmt.Sprintf("READ %s.%d", c.name, c.item))
	if answer != "COMPLETE" {
		return false
	}
	got := 0
	if row != "-" {
		if _, err := fmt.Sscan(row, &got); err != nil {
			c.ledger.fail("%s read %q", id, row)
		}
	}
	if got < least {
		c.ledger.fail("%s read %d on route %s, at least %d was acknowledged", id, got, c.route, least)
	}
	return true
}
