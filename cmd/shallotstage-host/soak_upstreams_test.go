package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// replicaLag is how long a commit takes to reach replicas.
const replicaLag = 20 * time.Millisecond

// commit is one write in a group's log.
type commit struct {
	id, item, value string
	at              time.Time
}

// soakGroup is a stand-in for a replicated group. All upstreams receive every
// commit at once and show it after a lag, so that no promotion loses any.
type soakGroup struct {
	mu        sync.Mutex
	term      int
	leader    int
	log       []commit
	upstreams []*soakUpstream
	// fences are the highest tokens of orders.
	fence    int
	promoted int
}

// soakUpstream is one upstream of a group.
type soakUpstream struct {
	group    *soakGroup
	index    int
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
}

func newSoakGroup(t *testing.T, n int) *soakGroup {
	g := &soakGroup{term: 1}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		u := &soakUpstream{group: g, index: i, born: time.Now().UnixMilli(), listener: l, conns: map[net.Conn]bool{}}
		g.upstreams = append(g.upstreams, u)
		t.Cleanup(func() { u.crash(t) })
		go u.accept(l)
	}
	return g
}

func (u *soakUpstream) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

func (u *soakUpstream) id() string { return fmt.Sprintf("i-%d", u.index) }

// crash ends all connections; the upstream takes none until it returns.
func (u *soakUpstream) crash(t *testing.T) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	if !u.down {
		qt.Check(t, u.listener.Close(), qt.IsNil)
	}
	u.down = true
	for c := range u.conns {
		_ = c.Close()
	}
	clear(u.conns)
}

// comeBack makes the upstream take connections at its address again.
func (u *soakUpstream) comeBack(t *testing.T) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	l, err := net.Listen("tcp", u.listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	u.listener, u.down = l, false
	go u.accept(l)
}

func (u *soakUpstream) isDown() bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	return u.down
}

// leading returns the upstream that leads.
func (g *soakGroup) leading() *soakUpstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstreams[g.leader]
}

// beat is the upstream's announcement.
func (u *soakUpstream) beat(sequence int) string {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	role := "replica"
	if u.group.leader == u.index {
		role = "primary"
	}
	return fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":8,"state":"ready","db_role":"%s","seq":%d,"born":%d}`, u.listener.Addr(), role, sequence, u.born)
}

// promote answers the platform's call.
func (g *soakGroup) promote(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	token, err := strconv.Atoi(r.Header.Get("Fencing-Token"))
	if err != nil || token < g.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.fence = token
	body := make([]byte, 1024)
	n, _ := r.Body.Read(body)
	for _, u := range g.upstreams {
		if !strings.Contains(string(body[:n]), `"`+u.id()+`"`) {
			continue
		}
		if u.down {
			break
		}
		if g.leader != u.index {
			g.leader = u.index
			g.term++
			g.promoted++
		}
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// holds returns how many commits the upstream shows. The group is locked.
func (u *soakUpstream) holds() int {
	if u.group.leader == u.index {
		return len(u.group.log)
	}
	n := len(u.group.log)
	for n > 0 && time.Since(u.group.log[n-1].at) < replicaLag {
		n--
	}
	return n
}

// soakSession is the state of one connection.
type soakSession struct {
	open, readOnly, failed bool
	writes                 []commit
}

func (u *soakUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	u.group.mu.Lock()
	if u.down {
		u.group.mu.Unlock()
		return
	}
	u.conns[conn] = true
	u.group.mu.Unlock()
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if fields := strings.Fields(line); err != nil || len(fields) != 4 || fields[3] != u.id() {
		_, _ = fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", u.id())
		return
	}
	s := &soakSession{}
	answer := u.ready(s)
	for {
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(fields) < 3 {
			return
		}
		u.group.mu.Lock()
		answer = u.handle(s, fields[1], fields[2])
		u.group.mu.Unlock()
		answer += u.ready(s)
	}
}

// ready returns the line that ends an answer.
func (u *soakUpstream) ready(s *soakSession) string {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.open:
		state = "T"
	}
	return fmt.Sprintf("READY %s %d.%d\r\n", state, u.group.term, u.holds())
}

// handle carries one statement out. The group is locked.
func (u *soakUpstream) handle(s *soakSession, id, text string) string {
	leads := u.group.leader == u.index
	if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, rest, _ := strings.Cut(tail, " ")
		_, number, _ := strings.Cut(position, ".")
		if n, err := strconv.Atoi(number); err != nil || n > u.holds() {
			return "ERROR LAGGING " + u.id() + "\r\n"
		}
		text = rest
	}
	verb, arguments, _ := strings.Cut(text, " ")
	if s.failed && (verb == "COMMIT" || verb == "ROLLBACK" || verb == "RESET") {
		verb = "ROLLBACK"
	}
	plain := (verb == "BEGIN" && arguments == "") || verb == "WRITE" || (s.open && !s.readOnly && (verb == "READ" || len(s.writes) > 0))
	if plain && !leads && verb != "ROLLBACK" {
		s.failed = s.open
		return "ERROR READONLY " + u.id() + "\r\n"
	}
	switch verb {
	case "BEGIN":
		s.open, s.readOnly, s.writes = true, arguments == "READ", nil
	case "ROLLBACK", "RESET":
		s.open, s.failed, s.writes = false, false, nil
	case "COMMIT":
		for _, w := range s.writes {
			w.at = time.Now()
			u.group.log = append(u.group.log, w)
		}
		s.open, s.writes = false, nil
		return "COMPLETE sig-" + id + "\r\n"
	case "WRITE":
		item, value, _ := strings.Cut(arguments, " ")
		w := commit{id: id, item: item, value: value, at: time.Now()}
		if s.open {
			s.writes = append(s.writes, w)
		} else {
			u.group.log = append(u.group.log, w)
		}
		return "COMPLETE sig-" + id + "\r\n"
	case "READ":
		value := "-"
		for _, w := range append(u.group.log[:u.holds():u.holds()], s.writes...) {
			if w.item == arguments {
				value = w.value
			}
		}
		return "ROW " + value + "\r\nCOMPLETE sig-" + id + "\r\n"
	case "STATUS":
		role := "replica"
		if leads {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %d.%d 0 0 0 %d\r\nCOMPLETE -\r\n", role, u.group.term, u.group.term, len(u.group.log), len(u.conns))
	}
	return "COMPLETE -\r\n"
}
