package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// strictGroup is a service of which all upstreams show each commit at once.
type strictGroup struct {
	ledger    *strictLedger
	service   string
	upstreams []*strictUpstream

	mu sync.Mutex
	// term and offset are the newest position; primary is the index of the upstream that leads.
	term, offset, primary int
	items                 map[string]string
	draining              map[int]bool
}

// leads reports whether an upstream is the primary.
func (u *strictUpstream) leads() bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	return u.group.upstreams[u.group.primary] == u
}

// promote makes the named upstream the primary. It reports whether it is of the group.
func (g *strictGroup) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, u := range g.upstreams {
		if u.id == id {
			if i != g.primary {
				g.primary = i
				g.term++
			}
			return true
		}
	}
	return false
}

// drainPrimary makes the primary announce its end, or all of them that they go on.
func (g *strictGroup) drainPrimary(drain bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.draining)
	if drain {
		g.draining[g.primary] = true
	}
}

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

func newStrictGroup(t *testing.T, l *strictLedger, service string, zones []string) *strictGroup {
	g := &strictGroup{ledger: l, service: service, term: 1, items: map[string]string{}, draining: map[int]bool{}}
	for i, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		u := &strictUpstream{group: g, id: fmt.Sprintf("i-%s-%d", service, i), zone: zone, listener: listener, born: time.Now().UnixMilli()}
		g.upstreams = append(g.upstreams, u)
		t.Cleanup(u.end)
		go u.accept()
	}
	return g
}

func (u *strictUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.mu.Unlock()
		go u.serve(conn)
	}
}

// end closes the upstream's listener and connections.
func (u *strictUpstream) end() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, conn := range u.conns {
		_ = conn.Close()
	}
}

// promotions returns the number of promotions.
func (g *strictGroup) promotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term - 1
}

// all returns the present upstreams.
func (g *strictGroup) all() []*strictUpstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.upstreams)
}

// replaceReplica ends a replica and returns its address and zone, which others may use again.
func (g *strictGroup) replaceReplica() (former *strictUpstream, index int) {
	g.mu.Lock()
	index = (g.primary + 1) % len(g.upstreams)
	former = g.upstreams[index]
	g.mu.Unlock()
	former.end()
	return former, index
}

// start starts a replica with a new id at a former address of another one.
func (g *strictGroup) start(t *testing.T, index int, former *strictUpstream, address string) {
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	u := &strictUpstream{
		group: g, id: fmt.Sprintf("%s-%d", former.id, time.Now().UnixMilli()%1000), zone: former.zone, listener: listener, born: time.Now().UnixMilli(),
		stutter: former.stutter, lose: former.lose, work: former.work,
	}
	t.Cleanup(u.end)
	g.mu.Lock()
	g.upstreams[index] = u
	g.mu.Unlock()
	go u.accept()
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
