package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// replicaLag is the time until a commit is visible on replicas.
const replicaLag = 20 * time.Millisecond

// commit is one committed write in a group's log.
type commit struct {
	id, item, value string
	at              time.Time
}

// fakeGroup is a fake replicated group on a platform that does not fence: a replaced
// primary goes on, with a log of its own, until it is demoted or restarts. All
// upstreams receive every commit of the present primary at once and show it after
// replicaLag, so a promotion never loses a commit.
type fakeGroup struct {
	mu           sync.Mutex
	term         int
	primaryIndex int
	log          []commit
	upstreams    []*fakeUpstream
	// fencingToken is the highest token of a promotion request so far.
	fencingToken int
	promotions   int
	// repeats is the share, from 0 to 1, of answers that are sent again, up to
	// maxRepeatDelay later; repeated counts them.
	repeats  float64
	repeated int
	// strayCommits and demotions count what replaced primaries were asked.
	strayCommits, demotions int
	// statements counts the callers' statements that arrived, by data centre and by
	// countInterval since began.
	statements map[string]map[int64]int
	began      time.Time
	history    *history
}

// countInterval is the length of the intervals for which statements are counted.
const countInterval = 50 * time.Millisecond

// countStatement counts a statement that arrived in a data centre. The caller must hold
// the lock.
func (g *fakeGroup) countStatement(zone string) {
	if g.statements[zone] == nil {
		g.statements[zone] = map[int64]int{}
	}
	g.statements[zone][int64(time.Since(g.began)/countInterval)]++
}

// statementsBetween returns the number of callers' statements that arrived in a data centre
// in the intervals that lie wholly between two times.
func (g *fakeGroup) statementsBetween(zone string, from, to time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := int64((from.Sub(g.began) + countInterval - 1) / countInterval)
	last := int64(to.Sub(g.began)/countInterval) - 1
	n := 0
	for i := first; i <= last; i++ {
		n += g.statements[zone][i]
	}
	return n
}

// fakeUpstream is one upstream of a group.
type fakeUpstream struct {
	group    *fakeGroup
	index    int
	zone     string
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	draining bool
	// replaced is true for a primary that was replaced and not told. It has the log
	// up to then and its own later commits, in strays.
	replaced  bool
	logLength int
	strays    []commit
}

// newFakeGroup starts a group with an upstream in each of the given data centres, of which
// the first is the primary.
func newFakeGroup(t *testing.T, zones []string, h *history) *fakeGroup {
	g := &fakeGroup{term: 1, history: h, statements: map[string]map[int64]int{}, began: time.Now()}
	for i, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		u := &fakeUpstream{group: g, index: i, zone: zone, born: time.Now().UnixMilli(), listener: l, conns: map[net.Conn]bool{}}
		g.upstreams = append(g.upstreams, u)
		t.Cleanup(func() { u.crash(t) })
		go u.accept(l)
	}
	return g
}

func (u *fakeUpstream) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

func (u *fakeUpstream) id() string { return fmt.Sprintf("i-%d", u.index) }

// crash closes all connections. The upstream accepts none until resume is called.
func (u *fakeUpstream) crash(t *testing.T) {
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

// resume makes the upstream accept connections at its address again.
func (u *fakeUpstream) resume(t *testing.T) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	l, err := net.Listen("tcp", u.listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	u.listener, u.down, u.replaced = l, false, false
	go u.accept(l)
}

func (u *fakeUpstream) isDown() bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	return u.down
}

// currentPrimary returns the primary of the group.
func (g *fakeGroup) currentPrimary() *fakeUpstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstreams[g.primaryIndex]
}

// heartbeat returns the body of the upstream's heartbeat.
func (u *fakeUpstream) heartbeat(sequence int) string {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	role, state := "replica", "ready"
	if u.leads() {
		role = "primary"
	}
	if u.draining {
		state = "draining"
	}
	return fmt.Sprintf(`{"service":"s","address":"%s","zone":"%s","slots":8,"state":"%s","db_role":"%s","seq":%d,"born":%d}`, u.listener.Addr(), u.zone, state, role, sequence, u.born)
}

// leads reports whether the upstream takes itself for the primary. The caller must
// hold the group's lock.
func (u *fakeUpstream) leads() bool { return u.replaced || u.group.primaryIndex == u.index }

// setDraining makes the upstream announce its end, or take that back.
func (u *fakeUpstream) setDraining(draining bool) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.draining = draining
}

// promote handles promotion requests in place of the platform.
func (g *fakeGroup) promote(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	token, err := strconv.Atoi(r.Header.Get("Fencing-Token"))
	if err != nil || token < g.fencingToken {
		g.history.addViolation("a promotion was requested under token %d after %d", token, g.fencingToken)
	}
	g.fencingToken = token
	body := make([]byte, 1024)
	n, _ := r.Body.Read(body)
	for _, u := range g.upstreams {
		if !strings.Contains(string(body[:n]), `"`+u.id()+`"`) {
			continue
		}
		if u.down {
			break
		}
		if g.primaryIndex != u.index {
			former := g.upstreams[g.primaryIndex]
			former.replaced, former.logLength, former.strays = !former.down, len(g.log), nil
			g.primaryIndex, u.replaced = u.index, false
			g.term++
			g.promotions++
		}
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// visibleCommits returns the number of commits that are visible on the upstream.
// The caller must hold the group's lock.
func (u *fakeUpstream) visibleCommits() int {
	if u.replaced {
		return u.logLength
	}
	if u.group.primaryIndex == u.index {
		return len(u.group.log)
	}
	n := len(u.group.log)
	for n > 0 && time.Since(u.group.log[n-1].at) < replicaLag {
		n--
	}
	return n
}

// fakeSession is the session state of one connection.
type fakeSession struct {
	inTransaction, readOnly, failed bool
	writes                          []commit
}

func (u *fakeUpstream) serve(conn net.Conn) {
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
	s := &fakeSession{}
	answer := u.ready(s)
	var mu sync.Mutex
	for {
		if u.send(&mu, conn, answer) != nil {
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

// send sends an answer, which may be sent again later. mu guards the connection's writes.
func (u *fakeUpstream) send(mu *sync.Mutex, conn net.Conn, answer string) error {
	write := func() error {
		mu.Lock()
		defer mu.Unlock()
		_, err := conn.Write([]byte(answer))
		return err
	}
	u.group.mu.Lock()
	repeat := rand.Float64() < u.group.repeats
	if repeat {
		u.group.repeated++
	}
	u.group.mu.Unlock()
	if repeat {
		time.AfterFunc(rand.N(maxRepeatDelay), func() { _ = write() })
	}
	return write()
}

// ready returns the READY line that ends an answer.
func (u *fakeUpstream) ready(s *fakeSession) string {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.inTransaction:
		state = "T"
	}
	return fmt.Sprintf("READY %s %d.%d\r\n", state, u.knownTerm(), u.visibleCommits()+len(u.strays))
}

// knownTerm returns the latest term that the upstream knows. The caller must hold the
// group's lock.
func (u *fakeUpstream) knownTerm() int {
	if u.replaced {
		return u.group.term - 1
	}
	return u.group.term
}

// commit adds writes to the log. The caller must hold the group's lock.
func (u *fakeUpstream) commit(writes ...commit) {
	if u.replaced {
		u.group.strayCommits += len(writes)
		u.strays = append(u.strays, writes...)
		return
	}
	u.group.log = append(u.group.log, writes...)
}

// handle executes one statement. The caller must hold the group's lock.
func (u *fakeUpstream) handle(s *fakeSession, id, text string) string {
	if id != "-" {
		u.group.countStatement(u.zone)
	}
	isPrimary := u.leads()
	if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, rest, _ := strings.Cut(tail, " ")
		_, number, _ := strings.Cut(position, ".")
		if n, err := strconv.Atoi(number); err != nil || n > u.visibleCommits() {
			return "ERROR LAGGING " + u.id() + "\r\n"
		}
		text = rest
	}
	verb, arguments, _ := strings.Cut(text, " ")
	if s.failed && (verb == "COMMIT" || verb == "ROLLBACK" || verb == "RESET") {
		verb = "ROLLBACK"
	}
	needsPrimary := (verb == "BEGIN" && arguments == "") || verb == "WRITE" || (s.inTransaction && !s.readOnly && (verb == "READ" || len(s.writes) > 0))
	if needsPrimary && !isPrimary && verb != "ROLLBACK" {
		s.failed = s.inTransaction
		return "ERROR READONLY " + u.id() + "\r\n"
	}
	switch verb {
	case "BEGIN":
		s.inTransaction, s.readOnly, s.writes = true, arguments == "READ", nil
	case "ROLLBACK", "RESET":
		s.inTransaction, s.failed, s.writes = false, false, nil
	case "COMMIT":
		for i := range s.writes {
			s.writes[i].at = time.Now()
		}
		u.commit(s.writes...)
		s.inTransaction, s.writes = false, nil
		return "COMPLETE sig-" + id + "\r\n"
	case "WRITE":
		item, value, _ := strings.Cut(arguments, " ")
		w := commit{id: id, item: item, value: value, at: time.Now()}
		if s.inTransaction {
			s.writes = append(s.writes, w)
		} else {
			u.commit(w)
		}
		return "COMPLETE sig-" + id + "\r\n"
	case "READ":
		value := "-"
		for _, w := range slices.Concat(u.group.log[:u.visibleCommits()], u.strays, s.writes) {
			if w.item == arguments {
				value = w.value
			}
		}
		return "ROW " + value + "\r\nCOMPLETE sig-" + id + "\r\n"
	case "STATUS", "DEMOTE":
		if term, err := strconv.Atoi(arguments); verb == "DEMOTE" && err == nil && u.replaced && term > u.knownTerm() {
			u.group.demotions++
			u.replaced, u.strays = false, nil
			isPrimary = false
		}
		role := "replica"
		if isPrimary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %d.%d 0 0 0 %d\r\nCOMPLETE -\r\n", role, u.knownTerm(), u.knownTerm(), len(u.group.log), len(u.conns))
	}
	return "COMPLETE -\r\n"
}
