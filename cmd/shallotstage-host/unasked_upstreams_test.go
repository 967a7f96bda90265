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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// strictStatement is a statement as a client sent it.
type strictStatement struct {
	text, service string
	// key is the client's key. An upstream's statement has none.
	key string
	at  time.Time
	// inTransaction is true if the client sent it within a transaction.
	inTransaction bool
	// shape is the access and shape of an EXECUTE.
	shape string
}

// strictLedger holds what clients sent and what upstreams ran, by the ids of the statements.
type strictLedger struct {
	mu         sync.Mutex
	sent       map[string][]strictStatement
	holders    map[string][]holder
	ran        int
	violations []string
	// foreign are the successes without the signature of their statement.
	foreign []string
}

// noteForeign records a success without the signature of its statement.
func (l *strictLedger) noteForeign(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.foreign = append(l.foreign, what)
}

// holder is an organisation that holds a key from the sending of a configuration on, and until
// the acknowledgement of the next one.
type holder struct {
	organisation     string
	sent, supplanted time.Time
}

// moveKey records that a key passes to an organisation with a configuration that is about to be
// sent.
func (l *strictLedger) moveKey(key, organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders[key] = append(l.holders[key], holder{organisation: organisation, sent: time.Now()})
}

// keyMoved records that the configuration was acknowledged.
func (l *strictLedger) keyMoved(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range len(l.holders[key]) - 1 {
		if h := &l.holders[key][i]; h.supplanted.IsZero() {
			h.supplanted = time.Now()
		}
	}
}

// configApply is within what a configuration must be in force after its acknowledgement.
const configApply = 4 * time.Second

// mayRunFor reports whether a statement may run for an organisation.
func (l *strictLedger) mayRunFor(s strictStatement, organisation string) bool {
	for _, h := range l.holders[s.key] {
		if h.organisation == organisation && (h.supplanted.IsZero() || s.at.Before(h.supplanted.Add(configApply))) {
			return true
		}
	}
	return false
}

// record records a statement before it is sent.
func (l *strictLedger) record(id string, s strictStatement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = append(l.sent[id], s)
}

func (l *strictLedger) addViolation(format string, arguments ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, arguments...))
}

// counts returns the number of statements that clients sent and that upstreams ran.
func (l *strictLedger) counts() (sent, ran, violations int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sent {
		sent += len(s)
	}
	return sent, l.ran, len(l.violations)
}

// ownTexts are the first words of the statements that the system itself may send.
var ownTexts = map[string]bool{"BEGIN": true, "ROLLBACK": true, "RESET": true, "SET": true, "PREPARE": true, "CLOSE": true, "STATUS": true, "DEMOTE": true, "PAUSE": true, "RESUME": true}

// check compares a statement that an upstream got with what clients sent.
func (l *strictLedger) check(c *strictConn, id, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	word, rest, _ := strings.Cut(text, " ")
	if id == placeholderID {
		if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
			_, word, _ = strings.Cut(tail, " ")
			if word != "BEGIN" && word != "BEGIN READ" {
				l.addViolation("own statement with a position: %.200q", text)
			}
		} else if !ownTexts[word] {
			l.addViolation("own statement %.200q", text)
		}
		return
	}
	l.ran++
	if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(tail, " ")
		if word, rest, _ = strings.Cut(text, " "); word != "READ" {
			l.addViolation("%s has a position before %.200q", id, text)
		}
	}
	got := strictStatement{text: text, service: c.service, inTransaction: c.inTransaction}
	if word == "EXECUTE" {
		name, arguments, found := strings.Cut(rest, " ")
		got.text, got.shape = "EXECUTE "+arguments, c.prepared[name]
		if !found {
			got.text = "EXECUTE"
		}
	}
	if word == "COMMIT" {
		for _, other := range c.writeIDs {
			if other != id {
				l.addViolation("%s commits the write of %s", id, other)
			}
		}
	}
	for _, want := range l.sent[id] {
		if !l.mayRunFor(want, c.organisation) {
			continue
		}
		want.key, want.at = "", time.Time{}
		if word == "READ" || strings.HasPrefix(got.shape, "READ") {
			// A read of its own may be wrapped in a transaction of the system.
			want.inTransaction = got.inTransaction
		}
		if want == got {
			return
		}
	}
	l.addViolation("%.60s: ran %.300q for %s at %s, sent %.600q", id, fmt.Sprint(got), c.organisation, c.service, fmt.Sprint(l.sent[id]))
}

const placeholderID = "-"

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
		t.Cleanup(func() { _ = listener.Close() })
		u := &strictUpstream{group: g, id: fmt.Sprintf("i-%s-%d", service, i), zone: zone, listener: listener, born: time.Now().UnixMilli()}
		g.upstreams = append(g.upstreams, u)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go u.serve(conn)
			}
		}()
	}
	return g
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
	if len(fields) != 4 || fields[0] != "STARTUP" || fields[1] != u.group.service || fields[3] != u.id {
		u.violation("startup %q at %s", line, u.id)
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
