package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The databases of the small sites.
const (
	slotCount    = 5
	maxConns     = 32
	replicaLag   = 60 * time.Millisecond
	workTime     = 11 * time.Millisecond
	openTime     = 12 * time.Millisecond
	slotWait     = 250 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
	firstNumber  = 1000
	drainTime    = 7000 * time.Millisecond
	startupLimit = 3 * time.Second
)

// commit is one committed write.
type commit struct {
	id, item, data string
	at             time.Time
}

// group is one replicated service. All backends receive every commit at once and show it
// after replicaLag.
type group struct {
	rec     *record
	fleet   *fleet
	service string
	// odd is true for a group of another writer, whose heartbeats lack fields.
	odd bool
	// link is the delay of the links to the backends, one way.
	link time.Duration
	// stutter returns after which time an answer is sent again, or false; nil means never.
	stutter func() (time.Duration, bool)
	// refuseBegin and refuseSet report whether a BEGIN or a SET is refused with BUSY; nil means
	// never.
	refuseBegin, refuseSet func() bool

	mu       sync.Mutex
	term     int
	log      []commit
	primary  *backend
	backends []*backend
	// runs counts the executions of each statement id that had an effect.
	runs map[string]int
	// ranWith holds, by statement id, the session value of each of its runs.
	ranWith map[string][]string
	// alone holds the ids of the writes that ran outside of a transaction.
	alone map[string]bool
	// arrivals are the callers' statements as they arrived.
	arrivals []arrival
	// signatures are those given so far, with the id of the statement.
	signatures map[string]string
}

// arrival is a caller's statement at a backend.
type arrival struct {
	backend, id, text string
	at                time.Time
	// first is true for a single statement and for the first of a transaction.
	first bool
}

// backend is one backend of a group.
type backend struct {
	group        *group
	id, addr     string
	zone         string
	born         int64
	listener     net.Listener
	slots        chan struct{}
	wake         chan struct{}
	drainAcked   time.Time
	draining     bool
	stopped      bool
	gone         bool
	seq          int
	conns        map[net.Conn]bool
	lastReported string
}

func newGroup(rec *record, f *fleet, service string) *group {
	return &group{rec: rec, fleet: f, service: service, term: 3, runs: map[string]int{}, alone: map[string]bool{}, ranWith: map[string][]string{}, signatures: map[string]string{}}
}

// add starts a backend. The first one is the primary.
func (g *group) add(id, zone string) (*backend, error) {
	l, err := net.Listen("tcp", "127.91.4.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{group: g, id: id, addr: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(), listener: l, slots: make(chan struct{}, slotCount), wake: make(chan struct{}, 1), conns: map[net.Conn]bool{}}
	g.mu.Lock()
	g.backends = append(g.backends, b)
	if g.primary == nil {
		g.primary = b
	}
	g.mu.Unlock()
	go b.accept()
	go b.announce()
	return b, nil
}

// promote makes a backend the primary. It returns the platform's status.
func (g *group) promote(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.backends {
		if b.id != id || b.stopped {
			continue
		}
		if g.primary != b {
			time.AfterFunc(promoteTime, func() { g.lead(b) })
		}
		return http.StatusOK
	}
	return http.StatusConflict
}

// lead makes a backend lead the next term.
func (g *group) lead(b *backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.stopped || g.primary == b {
		return
	}
	former := g.primary
	g.primary = b
	g.term++
	g.rec.say("backends: %s leads term %d of %s", b.id, g.term, g.service)
	for _, changed := range []*backend{former, b} {
		if changed != nil {
			changed.notify()
		}
	}
}

// withoutFields returns a heartbeat that lacks fields.
func withoutFields(body string) string {
	var fields map[string]any
	if json.Unmarshal([]byte(body), &fields) != nil {
		return body
	}
	missing := os.Getenv("ODD")
	if missing == "" {
		missing = words["odd"]
	}
	for _, name := range strings.Split(missing, ",") {
		delete(fields, name)
	}
	odd, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return string(odd)
}

func (b *backend) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// announce sends the heartbeats until the backend stops.
func (b *backend) announce() {
	for n := int(b.born); ; n++ {
		b.group.mu.Lock()
		if b.stopped {
			b.group.mu.Unlock()
			return
		}
		role, state := "replica", "ready"
		if b.group.primary == b {
			role = "primary"
		}
		if b.draining {
			state = "draining"
		}
		b.seq++
		body := fmt.Sprintf(strings.TrimSpace(heartbeatText),
			b.group.service, b.addr, b.zone, slotCount, state, role, b.seq, b.born)
		if b.group.odd {
			body = withoutFields(body)
		}
		b.group.mu.Unlock()
		status, _ := b.group.fleet.control("PUT", "/instances/"+b.id, body, n, 3*time.Second)
		now := time.Now()
		b.group.mu.Lock()
		if line := fmt.Sprintf("%s %s: %d", state, role, status); line != b.lastReported {
			b.lastReported = line
			b.group.rec.say("backends: %s reports %s; body %s", b.id, line, body)
		}
		if status == http.StatusOK && state == "draining" && b.drainAcked.IsZero() {
			b.drainAcked = now
			b.group.rec.say("backends: %s has the acknowledgement that it drains", b.id)
		}
		b.group.mu.Unlock()
		select {
		case <-b.wake:
		case <-time.After(heartbeat):
		}
	}
}

// drain makes the backend report that it drains.
func (b *backend) drain() {
	b.group.mu.Lock()
	b.draining = true
	b.group.mu.Unlock()
	b.group.rec.say("backends: %s begins to drain", b.id)
	b.notify()
}

// leave signs off and exits.
func (b *backend) leave() {
	status, _ := b.group.fleet.control("DELETE", "/instances/"+b.id, fmt.Sprintf(`{"born":%d}`, b.born), 0, 3*time.Second)
	b.group.rec.say("backends: %s signs off: %d, and exits", b.id, status)
	b.crash()
}

// crash closes the listener and all connections.
func (b *backend) crash() {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.stopped = true
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// session is the state of one connection.
type session struct {
	b                           *backend
	tenant                      string
	inTransaction, read, failed bool
	term                        int
	statements                  int
	writes                      []commit
	values, prepared            map[string]string
}

func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(startupLimit))
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	fields := strings.Fields(line)
	g := b.group
	g.mu.Lock()
	refusal := ""
	switch {
	case b.stopped:
		g.mu.Unlock()
		return
	case len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != g.service || len(fields) > 3 && fields[3] != b.id:
		refusal = words["misrouted"]
	case len(b.conns) >= maxConns:
		refusal = words["toomany"]
	default:
		b.conns[conn] = true
	}
	g.mu.Unlock()
	if refusal != "" {
		_, _ = fmt.Fprintf(conn, "ERROR %s %s\r\n", refusal, b.id)
		return
	}
	defer func() {
		g.mu.Lock()
		delete(b.conns, conn)
		g.mu.Unlock()
	}()
	time.Sleep(openTime)
	s := &session{b: b, tenant: fields[2], values: map[string]string{}, prepared: map[string]string{}}
	if _, err := fmt.Fprint(conn, s.ready()); err != nil {
		return
	}
	var sending sync.Mutex
	send := func(answer string) error {
		sending.Lock()
		defer sending.Unlock()
		_, err := fmt.Fprint(conn, answer)
		return err
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		time.Sleep(g.link)
		line = strings.TrimSuffix(line, "\r\n")
		parts := strings.SplitN(line, " ", 3)
		if parts[0] == "QUIT" || len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		answer := s.handle(parts[1], parts[2])
		answer += s.ready()
		time.Sleep(g.link)
		if err := send(answer); err != nil {
			return
		}
		if g.stutter == nil {
			continue
		}
		if delay, again := g.stutter(); again {
			time.AfterFunc(delay, func() { _ = send(answer) })
		}
	}
}

// ready returns the line that ends an answer.
func (s *session) ready() string {
	g := s.b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.inTransaction:
		state = "T"
	}
	return fmt.Sprintf("READY %s %d.%d\r\n", state, g.term, firstNumber+s.b.visible())
}

// visible returns how many commits the backend shows. The group's lock must be held.
func (b *backend) visible() int {
	g := b.group
	n := len(g.log)
	if g.primary == b {
		return n
	}
	for n > 0 && time.Since(g.log[n-1].at) < replicaLag {
		n--
	}
	return n
}

// signature returns the signature of one execution. The group's lock must be held.
func (s *session) signature(id string) string {
	signed := s.b.group.signatures
	signature := fmt.Sprintf("%s.%x", s.b.id, len(signed)+1)
	signed[signature] = id
	return signature
}

func (s *session) fail(code string) string {
	s.failed = s.inTransaction
	return "ERROR " + code + " " + s.b.id + "\r\n"
}

// handle executes one statement.
func (s *session) handle(id, text string) string {
	g := s.b.group
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(position, ".")
		t, _ := strconv.Atoi(term)
		n, _ := strconv.Atoi(number)
		g.mu.Lock()
		lagging := t > g.term || t == g.term && n > firstNumber+s.b.visible()
		g.mu.Unlock()
		if lagging {
			return s.fail(words["lagging"])
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if id != "-" {
		g.mu.Lock()
		g.arrivals = append(g.arrivals, arrival{backend: s.b.id, id: id, text: text, at: time.Now(), first: !s.inTransaction || s.statements == 0})
		g.mu.Unlock()
		s.statements++
	}
	switch verb {
	case "BEGIN":
		g.mu.Lock()
		defer g.mu.Unlock()
		if rest != "READ" && g.primary != s.b {
			return s.fail(words["readonly"])
		}
		if g.refuseBegin != nil && g.refuseBegin() {
			return s.fail("BUSY")
		}
		s.inTransaction, s.read, s.failed, s.term, s.statements, s.writes = true, rest == "READ", false, g.term, 0, nil
		return "COMPLETE -\r\n"
	case "ROLLBACK", "RESET":
		s.inTransaction, s.failed, s.writes, s.statements = false, false, nil, 0
		if verb == "RESET" {
			clear(s.values)
			clear(s.prepared)
		}
		return "COMPLETE -\r\n"
	case "SET":
		g.mu.Lock()
		refused := g.refuseSet != nil && g.refuseSet()
		g.mu.Unlock()
		if refused {
			return s.fail("BUSY")
		}
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return "COMPLETE -\r\n"
	case "PREPARE":
		name, value, _ := strings.Cut(rest, " ")
		s.prepared[name] = value
		return "COMPLETE -\r\n"
	case "STATUS":
		g.mu.Lock()
		defer g.mu.Unlock()
		role := "replica"
		if g.primary == s.b {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %d.%d 0 %d %d %d\r\nCOMPLETE -\r\n", role, g.term, g.term, firstNumber+len(g.log), 0, len(s.b.slots), len(s.b.conns))
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		value, ok := s.prepared[name]
		if !ok {
			return s.fail(words["nostmt"])
		}
		verb, _, _ = strings.Cut(value, " ")
		rest = arguments
	}
	if s.failed && verb != "COMMIT" {
		return "ERROR MALFORMED transaction failed\r\n"
	}
	select {
	case s.b.slots <- struct{}{}:
	case <-time.After(slotWait):
		return "ERROR BUSY " + s.b.id + "\r\n"
	}
	time.Sleep(workTime)
	defer func() { <-s.b.slots }()
	return s.run(id, verb, rest)
}

// run runs a read, a write or a commit.
func (s *session) run(id, verb, rest string) string {
	g := s.b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.b.stopped {
		return s.fail("FAILED")
	}
	g.ranWith[id] = append(g.ranWith[id], s.values[valueName])
	leads := g.primary == s.b
	lost := s.inTransaction && !s.read && (!leads || s.term != g.term)
	switch verb {
	case "READ":
		if lost {
			return s.fail(words["readonly"])
		}
		data := ""
		for _, c := range append(append([]commit(nil), g.log[:s.b.visible()]...), s.writes...) {
			if c.item == rest {
				data = c.data
			}
		}
		g.rec.add("run at %s: %s READ %s -> %q", s.b.id, id, rest, data)
		return "ROW " + data + "\r\nCOMPLETE " + s.signature(id) + "\r\n"
	case "WRITE":
		if lost || !leads {
			return s.fail(words["readonly"])
		}
		item, data, _ := strings.Cut(rest, " ")
		c := commit{id: id, item: item, data: data, at: time.Now()}
		if s.inTransaction {
			s.writes = append(s.writes, c)
			g.rec.add("run at %s: %s WRITE %s in a transaction", s.b.id, id, rest)
		} else {
			g.log = append(g.log, c)
			g.runs[id]++
			g.alone[id] = true
			g.rec.add("run at %s: %s WRITE %s", s.b.id, id, rest)
		}
		return "COMPLETE " + s.signature(id) + "\r\n"
	case "COMMIT":
		if s.failed {
			s.inTransaction, s.failed, s.writes, s.statements = false, false, nil, 0
			return "ERROR ABORTED " + s.b.id + "\r\n"
		}
		if lost && len(s.writes) > 0 {
			return s.fail(words["readonly"])
		}
		for _, c := range s.writes {
			c.at = time.Now()
			g.log = append(g.log, c)
			g.runs[c.id]++
		}
		g.rec.add("run at %s: %s COMMIT of %d writes", s.b.id, id, len(s.writes))
		s.inTransaction, s.writes, s.statements = false, nil, 0
		return "COMPLETE " + s.signature(id) + "\r\n"
	}
	return "ERROR MALFORMED " + verb + "\r\n"
}
