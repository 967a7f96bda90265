package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// strictUpstream is an upstream that reads lines as the protocol says: they end with CR LF.
type strictUpstream struct {
	group    *strictGroup
	id, zone string
	listener net.Listener
	born     int64
	// stutter returns how long after an answer it is sent again, or zero.
	stutter func() time.Duration
	// lose reports whether an answer is lost; the connection then ends if the second result is
	// true.
	lose func() (lost, end bool)
	work time.Duration
	// signatures is the number of signatures so far.
	signatures atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
	ended bool
}

func (u *strictUpstream) isEnded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended
}

// strictConn is one connection of an entry host.
type strictConn struct {
	organisation, service           string
	inTransaction, failed, readOnly bool
	// writes and writeIDs are the writes of the open transaction and their ids.
	writes   map[string]string
	writeIDs []string
	prepared map[string]string
}

func (u *strictUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		ended := u.ended
		u.mu.Unlock()
		if ended {
			_ = conn.Close()
			return
		}
		go u.serve(conn)
	}
}

// end closes the upstream's listener and connections.
func (u *strictUpstream) end() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	for _, conn := range u.conns {
		_ = conn.Close()
	}
}

func (u *strictUpstream) heartbeat(sequence int) string {
	role, state := "replica", "ready"
	if u.leads() {
		role = "primary"
	}
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	for i := range u.group.draining {
		if u.group.upstreams[i] == u {
			state = "draining"
		}
	}
	return fmt.Sprintf(`{"service":"%s","address":"%s","zone":"%s","version":"v1","slots":5,"state":"%s","cold_remaining_ms":0,"db_role":"%s","seq":%d,"born":%d}`,
		u.group.service, u.listener.Addr(), u.zone, state, role, sequence, u.born)
}

// readStrictLine reads up to CR LF.
func readStrictLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if len(line) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		if bytes.HasSuffix(line, []byte("\r\n")) {
			return string(line[:len(line)-2]), nil
		}
	}
}

func (u *strictUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	line, err := readStrictLine(r)
	if err != nil {
		return
	}
	fields := strings.Split(line, " ")
	if len(fields) != 4 || fields[0] != "STARTUP" {
		u.violation("startup %q at %s", line, u.id)
	}
	if len(fields) != 4 || fields[1] != u.group.service || fields[3] != u.id {
		// Addresses of upstreams that are gone are used again.
		_, _ = fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", u.id)
		return
	}
	c := &strictConn{organisation: fields[2], service: fields[1], prepared: map[string]string{}}
	var mu sync.Mutex
	send := func(b string) error {
		mu.Lock()
		defer mu.Unlock()
		_, err := io.WriteString(conn, b)
		return err
	}
	if send("READY I "+u.position()+"\r\n") != nil {
		return
	}
	for {
		line, err := readStrictLine(r)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			u.violation("half a line at %s", u.id)
		}
		if err != nil || line == "QUIT" {
			return
		}
		parts := strings.SplitN(line, " ", 3)
		if len(parts) != 3 || parts[0] != "QUERY" {
			u.violation("line %.200q at %s", line, u.id)
			return
		}
		if strings.ContainsAny(line, "\r\n") {
			u.violation("line with a terminator inside: %.200q", line)
		}
		answer := u.run(c, parts[1], parts[2])
		if u.work > 0 && parts[1] != placeholderID {
			time.Sleep(u.work)
		}
		if u.lose != nil && parts[1] != placeholderID {
			lost, end := u.lose()
			if end {
				return
			}
			if lost {
				continue
			}
		}
		if send(answer) != nil {
			return
		}
		if u.stutter != nil {
			if d := u.stutter(); d > 0 {
				time.AfterFunc(d, func() { _ = send(answer) })
			}
		}
	}
}

func (u *strictUpstream) violation(format string, arguments ...any) {
	u.group.ledger.mu.Lock()
	defer u.group.ledger.mu.Unlock()
	u.group.ledger.addViolation(format, arguments...)
}

// signature returns the completion of a statement. No two are the same.
func (u *strictUpstream) signature(id string) string {
	return fmt.Sprintf("COMPLETE sig-%s-%x\r\n", id, u.signatures.Add(1))
}

func (u *strictUpstream) position() string {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	return fmt.Sprintf("%d.%d", u.group.term, u.group.offset+1)
}

// run runs one statement and returns its whole answer.
func (u *strictUpstream) run(c *strictConn, id, text string) string {
	body := ""
	if c.failed && text != "ROLLBACK" && text != "RESET" {
		return "ERROR MALFORMED\r\nREADY E " + u.position() + "\r\n"
	}
	if u.leads() || !c.refusesWrite(text) {
		u.group.ledger.check(c, id, text)
		body = u.execute(c, id, text)
	} else {
		body = "ERROR READONLY " + u.id + "\r\n"
		c.failed = c.inTransaction
	}
	state := "I"
	if c.inTransaction {
		state = "T"
	}
	if c.failed {
		state = "E"
	}
	return body + "READY " + state + " " + u.position() + "\r\n"
}

// refusesWrite reports whether a replica refuses a statement.
func (c *strictConn) refusesWrite(text string) bool {
	word, rest, _ := strings.Cut(text, " ")
	name, _, _ := strings.Cut(rest, " ")
	return word == "WRITE" || text == "BEGIN" || c.inTransaction && !c.readOnly && text != "ROLLBACK" || word == "EXECUTE" && strings.HasPrefix(c.prepared[name], "WRITE")
}

func (u *strictUpstream) execute(c *strictConn, id, text string) string {
	if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(tail, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	name, arguments, _ := strings.Cut(rest, " ")
	complete := "COMPLETE -\r\n"
	switch word {
	case "BEGIN":
		c.inTransaction, c.readOnly, c.writes, c.writeIDs = true, rest == "READ", map[string]string{}, nil
		return complete
	case "ROLLBACK":
		c.inTransaction, c.failed = false, false
		return complete
	case "RESET":
		clear(c.prepared)
		return complete
	case "PREPARE":
		c.prepared[name] = arguments
		return complete
	case "CLOSE":
		delete(c.prepared, name)
		return complete
	case "STATUS", "DEMOTE":
		role := "replica"
		if u.leads() {
			role = "primary"
		}
		position := u.position()
		term, _, _ := strings.Cut(position, ".")
		return fmt.Sprintf("ROW %s %s %s 1 0 0 5\r\nCOMPLETE -\r\n", role, term, position)
	case "COMMIT":
		c.inTransaction = false
		u.apply(c.writes)
		return u.signature(id)
	case "EXECUTE":
		shape, ok := c.prepared[name]
		if !ok {
			return "ERROR NOSTMT " + u.id + "\r\n"
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	item, data, _ := strings.Cut(rest, " ")
	switch word {
	case "READ":
		u.group.mu.Lock()
		defer u.group.mu.Unlock()
		return "ROW " + u.group.items[item] + "\r\n" + u.signature(id)
	case "WRITE":
		if c.inTransaction {
			c.writes[item], c.writeIDs = data, append(c.writeIDs, id)
		} else {
			u.apply(map[string]string{item: data})
		}
		return u.signature(id)
	}
	return complete
}

func (u *strictUpstream) apply(writes map[string]string) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	if len(writes) > 0 {
		u.group.offset++
	}
	for item, data := range writes {
		u.group.items[item] = data
	}
}
