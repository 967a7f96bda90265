package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// readFactor is the time of a read in times of a write: the sheet has 55 and 11 ms.
const readFactor = 5

// commit is one committed write, with the statement ids of its writes.
type commit struct {
	number int
	ids    []string
	items  map[string]string
}

// group is a service: a primary and its replicas, and the part of the platform that
// promotes one of them.
type group struct {
	record       *record
	fleet        *fleet
	service      string
	syncReplicas int
	// promoteDelay is the time from an order to promote until it takes effect.
	promoteDelay time.Duration
	// onPromoted is called with the group locked when a promotion takes effect.
	onPromoted func(u *upstream)
	// onRun is called with the group locked before a statement of a client is run.
	onRun func(u *upstream, id, tenant, text string)
	// delayOrder returns how long an order stays unanswered before it is carried out;
	// zero means that it is answered at once.
	delayOrder func() time.Duration

	mu        sync.Mutex
	changed   *sync.Cond
	term      int
	primary   *upstream
	upstreams []*upstream
	// token is the highest fencing token seen.
	token int
	ended bool
}

// upstream is one backend of a group.
type upstream struct {
	group *group
	id    string
	zone  string
	// receiveDelay is the time that a commit takes to this backend, and applyDelay the
	// time until it then shows it.
	receiveDelay, applyDelay time.Duration
	work                     time.Duration
	slots                    int
	born                     int64

	listener net.Listener
	// log is what the backend has received, applied the number of commits that it shows.
	log                  []commit
	applied              int
	deaf, down, draining bool
	busy                 int
	conns                map[net.Conn]bool
	sequence             int
}

func newGroup(f *fleet, service string, syncReplicas int) *group {
	g := &group{record: f.record, fleet: f, service: service, syncReplicas: syncReplicas, term: 3, promoteDelay: time.Second}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// add starts a backend; the first one is the primary.
func (g *group) add(id, zone string, receiveDelay, applyDelay, work time.Duration, slots int) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	u := &upstream{group: g, id: id, zone: zone, receiveDelay: receiveDelay, applyDelay: applyDelay, work: work, slots: slots, born: time.Now().UnixMilli(), listener: l, conns: map[net.Conn]bool{}}
	g.mu.Lock()
	g.upstreams = append(g.upstreams, u)
	if g.primary == nil {
		g.primary = u
	}
	g.mu.Unlock()
	go u.accept(l)
	go u.announce()
	return u, nil
}

func (g *group) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	for _, u := range g.upstreams {
		_ = u.listener.Close()
		for c := range u.conns {
			_ = c.Close()
		}
	}
	g.changed.Broadcast()
}

// announce sends the backend's heartbeats, at once when its role or state changes.
func (u *upstream) announce() {
	last, at := "", time.Time{}
	for {
		u.group.mu.Lock()
		ended, down := u.group.ended, u.down
		role, state := "replica", "ready"
		if u.group.primary == u {
			role = "primary"
		}
		if u.draining {
			state = "draining"
		}
		u.group.mu.Unlock()
		if ended {
			return
		}
		if !down && (role+state != last || time.Since(at) >= 1200*time.Millisecond) {
			last, at = role+state, time.Now()
			u.sequence++
			body := fmt.Sprintf(heartbeatText,
				u.group.service, u.listener.Addr(), u.zone, u.slots, state, role, u.sequence, u.born)
			u.group.fleet.announce(u.id, body)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// announce sends a heartbeat to one control host after another until one acknowledges it.
func (f *fleet) announce(id, body string) bool {
	for _, h := range f.hosts {
		if h.role != "control" {
			continue
		}
		if status, _ := call("PUT", "http://"+f.controlAddress(h)+"/instances/"+id, body); status/100 == 2 {
			return true
		}
	}
	return false
}

func (u *upstream) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

// crash ends the backend: its port is closed and its connections are reset.
func (u *upstream) crash() {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.down = true
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.Close()
	}
	u.group.changed.Broadcast()
	u.group.record.logf("backend %s crashed; it has %d commits", u.id, len(u.log))
}

// setDeaf makes a replica receive nothing, or again.
func (u *upstream) setDeaf(deaf bool) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.deaf = deaf
	u.group.record.logf("backend %s deaf: %t; it has %d commits", u.id, deaf, len(u.log))
}

// receive copies the primary's log, as it was when a commit was made, to a replica. The
// group is locked.
func (u *upstream) receive(from *upstream, term, number int) {
	g := u.group
	if u.deaf || u.down || from.down || g.term != term || g.primary != from || g.primary == u {
		return
	}
	for n := len(u.log); n < number; n++ {
		u.log = append(u.log, from.log[n])
	}
	g.changed.Broadcast()
	time.AfterFunc(u.applyDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		u.applied = max(u.applied, min(number, len(u.log)))
	})
}

// commit appends a commit to the primary's log and waits until enough replicas have
// received it. The group is locked. It returns false if the backend was replaced or has
// crashed meanwhile.
func (u *upstream) commit(ids []string, items map[string]string) bool {
	g := u.group
	number, term := len(u.log)+1, g.term
	u.log = append(u.log, commit{number, ids, items})
	u.applied = len(u.log)
	for _, r := range g.upstreams {
		if r != u {
			time.AfterFunc(r.receiveDelay, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				r.receive(u, term, number)
			})
		}
	}
	for {
		if g.ended || u.down || g.term != term {
			return false
		}
		received := 0
		for _, r := range g.upstreams {
			if r != u && !r.down && len(r.log) >= number {
				received++
			}
		}
		if received >= g.syncReplicas {
			return true
		}
		g.changed.Wait()
	}
}

// promote is the platform's call of that name.
func (g *group) promote(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	body, _ := io.ReadAll(r.Body)
	token, err := strconv.Atoi(r.Header.Get(word("fence")))
	if json.Unmarshal(body, &order) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if g.delayOrder != nil {
		if d := g.delayOrder(); d > 0 {
			g.record.logf("platform: order to promote %s from %s, token %d, gets no answer and is carried out %s later", order.ID, r.Header.Get(word("holder")), token, d)
			time.AfterFunc(d, func() { g.carryOut(order.ID, token) })
			<-r.Context().Done()
			return
		}
	}
	status := g.carryOut(order.ID, token)
	g.record.logf("platform: order to promote %s from %s, token %d: %d", order.ID, r.Header.Get(word("holder")), token, status)
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status for its sender.
func (g *group) carryOut(id string, token int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.token {
		return http.StatusConflict
	}
	g.token = token
	for _, u := range g.upstreams {
		if u.id != id || u.down {
			continue
		}
		if g.primary != u {
			time.AfterFunc(g.promoteDelay, func() { g.takeOver(u) })
		}
		return http.StatusOK
	}
	return http.StatusConflict
}

// takeOver makes a backend lead the next term with what it has received.
func (g *group) takeOver(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u.down || g.primary == u {
		return
	}
	g.term++
	g.primary = u
	g.record.logf("backend %s leads term %d with %d commits", u.id, g.term, len(u.log))
	u.applied = len(u.log)
	for _, r := range g.upstreams {
		if len(r.log) > len(u.log) && !r.down {
			r.log = r.log[:len(u.log):len(u.log)]
			r.applied = min(r.applied, len(r.log))
		}
	}
	if g.onPromoted != nil {
		g.onPromoted(u)
	}
	g.changed.Broadcast()
}

// servePlatform serves the platform's API for a group and sets its address.
func (f *fleet) servePlatform(g *group) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", g.promote)
	f.platform = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

// backendSession is the state of one connection to a backend.
type backendSession struct {
	inTransaction, readOnly, failed bool
	term                            int
	ids                             []string
	items                           map[string]string
	prepared                        map[string]string
	tenant                          string
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	g := u.group
	g.mu.Lock()
	if u.down || g.ended {
		g.mu.Unlock()
		return
	}
	u.conns[conn] = true
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(u.conns, conn)
		g.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != g.service || len(fields) > 3 && fields[3] != u.id {
		_, _ = fmt.Fprintf(conn, "ERROR %s %s\r\n", word("misrouted"), u.id)
		return
	}
	time.Sleep(12 * time.Millisecond)
	s := &backendSession{prepared: map[string]string{}, tenant: fields[2]}
	answer := ""
	for {
		g.mu.Lock()
		answer += u.ready(s)
		g.mu.Unlock()
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
		if line, err = r.ReadString('\n'); err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		answer = u.handle(s, id, text)
		g.mu.Unlock()
		if answer == "" {
			return
		}
	}
}

func (u *upstream) ready(s *backendSession) string {
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.inTransaction:
		state = "T"
	}
	return fmt.Sprintf("READY %s %d.%d\r\n", state, u.group.term, u.applied)
}

// occupy takes a slot for the time of one statement. It returns false if none is free.
// The group is locked, but not while the statement works.
func (u *upstream) occupy(d time.Duration) bool {
	if u.busy >= u.slots {
		return false
	}
	u.busy++
	u.group.mu.Unlock()
	time.Sleep(d)
	u.group.mu.Lock()
	u.busy--
	return true
}

// handle executes one statement. The group is locked. An empty answer ends the connection.
func (u *upstream) handle(s *backendSession, id, text string) string {
	g := u.group
	run := func() {
		if g.onRun != nil {
			g.onRun(u, id, s.tenant, text)
		}
	}
	fail := func(code string) string {
		s.failed = s.inTransaction && code != "BUSY" || s.failed
		return "ERROR " + code + " " + u.id + "\r\n"
	}
	if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, rest, _ := strings.Cut(tail, " ")
		term, number, _ := strings.Cut(position, ".")
		t, _ := strconv.Atoi(term)
		if n, err := strconv.Atoi(number); err != nil || t > g.term || n > u.applied {
			return fail(word("lagging"))
		}
		text = rest
	}
	verb, arguments, _ := strings.Cut(text, " ")
	if verb == "EXECUTE" {
		name, rest, _ := strings.Cut(arguments, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return fail(word("no_statement"))
		}
		verb, arguments = strings.Fields(shape)[0], rest
		text = verb + " " + rest
	}
	if s.failed && verb != "COMMIT" && verb != "ROLLBACK" && verb != "RESET" {
		return "ERROR MALFORMED -\r\n"
	}
	leads := g.primary == u && (!s.inTransaction || s.readOnly || s.term == g.term)
	switch verb {
	case "BEGIN":
		if arguments == "" && !leads {
			return fail(word("read_only"))
		}
		s.inTransaction, s.readOnly, s.term, s.ids, s.items = true, arguments == "READ", g.term, nil, map[string]string{}
		return "COMPLETE -\r\n"
	case "ROLLBACK", "RESET":
		s.inTransaction, s.failed = false, false
		return "COMPLETE -\r\n"
	case "COMMIT":
		if s.failed {
			s.inTransaction, s.failed = false, false
			return "ERROR ABORTED -\r\n"
		}
		if len(s.ids) > 0 && !leads {
			s.inTransaction = false
			return "ERROR " + word("read_only") + " " + u.id + "\r\n"
		}
		if !u.occupy(u.work) {
			return fail("BUSY")
		}
		s.inTransaction = false
		if len(s.ids) > 0 {
			if u.down || g.primary != u || s.term != g.term {
				return "ERROR " + word("read_only") + " " + u.id + "\r\n"
			}
			if !u.commit(s.ids, s.items) {
				return ""
			}
		}
		return "COMPLETE sig-" + id + "\r\n"
	case "READ":
		if s.inTransaction && !s.readOnly && !leads {
			return fail(word("read_only"))
		}
		if !u.occupy(readFactor * u.work) {
			return fail("BUSY")
		}
		run()
		value := "-"
		for n := u.applied - 1; n >= 0; n-- {
			if v, ok := u.log[n].items[arguments]; ok {
				value = v
				break
			}
		}
		return "ROW " + value + "\r\nCOMPLETE sig-" + id + "\r\n"
	case "WRITE":
		if !leads {
			return fail(word("read_only"))
		}
		if !u.occupy(u.work) {
			return fail("BUSY")
		}
		if u.down || g.primary != u || s.inTransaction && s.term != g.term {
			return fail(word("read_only"))
		}
		run()
		item, value, _ := strings.Cut(arguments, " ")
		if s.inTransaction {
			s.ids = append(s.ids, id)
			s.items[item] = value
		} else if !u.commit([]string{id}, map[string]string{item: value}) {
			return ""
		}
		return "COMPLETE sig-" + id + "\r\n"
	case "PREPARE":
		name, shape, _ := strings.Cut(arguments, " ")
		s.prepared[name] = shape
	case "STATUS", "DEMOTE":
		if !u.occupy(time.Millisecond) {
			g.record.logf("backend %s answers %s with BUSY: all %d slots are in use", u.id, verb, u.slots)
			return fail("BUSY")
		}
		role, lag := "replica", 0
		if g.primary == u {
			role = "primary"
		} else if g.primary != nil {
			lag = 1000 * min(1, len(g.primary.log)-u.applied)
		}
		g.record.logf("backend %s answers %s: %s, received %d", u.id, verb, role, len(u.log))
		return fmt.Sprintf("ROW %s %d %d.%d %d %d %d %d\r\nCOMPLETE -\r\n", role, g.term, g.term, len(u.log), g.term, lag, u.busy, len(u.conns))
	}
	return "COMPLETE -\r\n"
}
