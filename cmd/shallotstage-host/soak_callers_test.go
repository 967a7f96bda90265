package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// noEffectCodes are the error codes that promise that the statement had no
// effect.
var noEffectCodes = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true}

// history records the answers that callers received.
type history struct {
	mu sync.Mutex
	// committed are the acknowledged writes, rejected those that were answered
	// with a no-effect code.
	committed, rejected map[string]bool
	violations          []string
	answers             map[string]int
}

func (l *history) addViolation(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, arguments...))
}

// allViolations returns the violations so far.
func (l *history) allViolations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// recordWrite records the answer to a write.
func (l *history) recordWrite(id, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[answer]++
	switch {
	case answer == "COMPLETE":
		l.committed[id] = true
	case noEffectCodes[answer]:
		l.rejected[id] = true
	}
}

// soakCaller is one client. It writes increasing values to its own item and reads
// them back.
type soakCaller struct {
	name, route string
	addresses   []string
	history     *history
	rnd         *rand.Rand
	n           int
	conn        net.Conn
	r           *bufio.Reader
	// sessionLatest is the latest value that this session wrote to the current
	// item, latest that of all sessions of this caller. A write with an unknown
	// outcome may take effect later, so the caller then switches to another
	// item.
	sessionLatest, latest, item int
}

// query sends a statement. It returns its id, COMPLETE or the error code, and the
// row. The answer is empty when the connection failed.
func (c *soakCaller) query(text string) (id, answer, row string) {
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
			if want := "sig-" + id; fields[1] != want {
				c.history.addViolation("%s was answered with %s", id, fields[1])
			}
		case "ERROR":
			answer = fields[1]
		case "READY":
			return id, answer, row
		}
	}
}

// connect opens a session on a random entry host.
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
	c.conn, c.r, c.sessionLatest = conn, r, 0
	return true
}

// step runs one operation, a read or a write followed by a read, and reports
// whether it succeeded.
func (c *soakCaller) step() bool {
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
	id, answer, _ := c.query(fmt.Sprintf("WRITE %s.%d %d", c.name, c.item, value))
	c.history.recordWrite(id, answer)
	if answer != "COMPLETE" {
		if !noEffectCodes[answer] {
			c.item++
			c.sessionLatest, c.latest = 0, 0
		}
		return false
	}
	c.sessionLatest, c.latest = value, value
	return true
}

// read checks that the session sees its own writes and, on a route to primaries,
// all acknowledged ones of this caller.
func (c *soakCaller) read() bool {
	minimum := c.sessionLatest
	if c.route == "all" {
		minimum = c.latest
	}
	id, answer, row := c.query(fmt.Sprintf("READ %s.%d", c.name, c.item))
	if answer != "COMPLETE" {
		return false
	}
	got := 0
	if row != "-" {
		if _, err := fmt.Sscan(row, &got); err != nil {
			c.history.addViolation("%s read %q", id, row)
		}
	}
	if got < minimum {
		c.history.addViolation("%s read %d on route %s, at least %d was acknowledged", id, got, c.route, minimum)
	}
	return true
}
