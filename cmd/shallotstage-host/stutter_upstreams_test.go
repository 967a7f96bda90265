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

// answerKind says what an answer of a stuttering upstream tells.
type answerKind string

const (
	answerSigned  answerKind = "signed"
	answerAck     answerKind = "ack"
	answerError   answerKind = "error"
	answerStatus  answerKind = "status"
	answerStartup answerKind = "startup"
)

// Properties of the stuttering upstreams.
const (
	maxRepeatDelay   = 300 * time.Millisecond
	maxPieceGap      = 5 * time.Millisecond
	stutterSlots     = 5
	stutterMaxConns  = 32
	stutterMaxQueue  = 12
	stutterConnect   = 12 * time.Millisecond
	stutterLag       = 60 * time.Millisecond
	stutterPrimaryMS = 11
	stutterReplicaMS = 33
)

// answerFaults are the shares, from 0 to 1, of answers to which something happens.
type answerFaults struct {
	// repeat are the shares of the answers of a kind that are sent again, up to maxRepeatDelay
	// later, and chunks that of all writes to connections.
	repeat map[answerKind]float64
	chunks float64
	// pieces is the share of second copies that arrive in pieces.
	pieces float64
	// cut is the share of answers that end early with their connection, lost that of answers
	// that are never sent, busy that of statements that are refused.
	cut, lost, busy float64
	// refuseBegin is the share of transactions that are refused as they begin.
	refuseBegin float64
}

// stutterService is a replicated service whose upstreams answer as faults says. All upstreams
// receive every commit at once and replicas show it after stutterLag.
type stutterService struct {
	name      string
	faults    answerFaults
	ledger    *ledger
	upstreams []*stutterUpstream

	mu      sync.Mutex
	seed    uint64
	opened  uint64
	term    int
	primary int
	// commitTimes are the times of the commits so far.
	commitTimes []time.Time
	promotions  int
}

// stutterUpstream is an upstream of a stutterService. Its service's lock guards its fields.
type stutterUpstream struct {
	service  *stutterService
	id, zone string
	index    int
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	slots    chan struct{}
	waiting  int
	sequence int
}

// newStutterService starts a service with an upstream in each of the given data centres, of
// which the first is the primary.
func newStutterService(t *testing.T, name string, zones []string, faults answerFaults, seed uint64, l *ledger) *stutterService {
	s := &stutterService{name: name, faults: faults, ledger: l, seed: seed, term: 1}
	for i, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		u := &stutterUpstream{
			service: s, id: fmt.Sprintf("i-%s-%d", name, i), zone: zone, index: i, born: time.Now().UnixMilli(),
			listener: listener, conns: map[net.Conn]bool{}, slots: make(chan struct{}, stutterSlots),
		}
		s.upstreams = append(s.upstreams, u)
		t.Cleanup(u.crash)
		go u.accept(listener)
	}
	return s
}

func (u *stutterUpstream) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

// crash closes all connections and accepts none until resume is called.
func (u *stutterUpstream) crash() {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	_ = u.listener.Close()
	u.down = true
	for conn := range u.conns {
		_ = conn.Close()
	}
	clear(u.conns)
}

// resume makes the upstream accept connections at its address again.
func (u *stutterUpstream) resume(t *testing.T) {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	l, err := net.Listen("tcp", u.listener.Addr().String())
	if !qt.Check(t, err, qt.IsNil) {
		return
	}
	u.listener, u.down = l, false
	go u.accept(l)
}

// heartbeat returns the body of the next heartbeat, or nothing while the upstream is down.
func (u *stutterUpstream) heartbeat() string {
	s := u.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.down {
		return ""
	}
	u.sequence++
	return fmt.Sprintf(`{"service":"%s","address":"%s","zone":"%s","slots":%d,"state":"ready","db_role":"%s","seq":%d,"born":%d}`,
		s.name, u.listener.Addr(), u.zone, stutterSlots, u.role(), u.sequence, u.born)
}

// role returns the role of the upstream. The caller must hold the lock.
func (u *stutterUpstream) role() string {
	if u.service.primary == u.index {
		return "primary"
	}
	return "replica"
}

// visible returns the number of commits that the upstream shows. The caller must hold the lock.
func (u *stutterUpstream) visible() int {
	n := len(u.service.commitTimes)
	if u.service.primary == u.index {
		return n
	}
	for n > 0 && time.Since(u.service.commitTimes[n-1]) < stutterLag {
		n--
	}
	return n
}

// promote handles the platform's promotion requests for the service.
func (s *stutterService) promote(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.id != id || u.down {
			continue
		}
		if s.primary != u.index {
			s.primary = u.index
			s.term++
			s.promotions++
		}
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// stutterConn is a connection to a stuttering upstream.
type stutterConn struct {
	u            *stutterUpstream
	number       uint64
	organisation string
	rnd          *rand.Rand

	state string
	// plain is true in a transaction that may write, which began in term.
	plain       bool
	term        int
	transaction int
	writes      []string
	values      map[string]string
	prepared    map[string]string

	mu    sync.Mutex
	net   net.Conn
	chunk []byte
}

func (u *stutterUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s := u.service
	r := bufio.NewReaderSize(conn, 64<<10)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
	s.mu.Lock()
	s.opened++
	c := &stutterConn{u: u, number: s.opened, rnd: rand.New(rand.NewPCG(s.seed, s.opened)), state: "I", net: conn, values: map[string]string{}, prepared: map[string]string{}}
	refusal := ""
	switch {
	case u.down:
		refusal = "-"
	case len(fields) != 4 || fields[0] != "STARTUP" || fields[1] != s.name || fields[3] != u.id:
		refusal = "ERROR MISROUTED " + u.id + "\r\n"
	case len(u.conns) >= stutterMaxConns:
		refusal = "ERROR TOOMANY " + u.id + "\r\n"
	default:
		u.conns[conn] = true
	}
	s.mu.Unlock()
	if refusal != "" {
		_, _ = conn.Write([]byte(refusal))
		return
	}
	c.organisation = fields[2]
	time.Sleep(stutterConnect)
	c.answer(answerStartup, c.ready(), true)
	c.loop(r)
	s.mu.Lock()
	delete(u.conns, conn)
	s.mu.Unlock()
}

func (c *stutterConn) loop(r *bufio.Reader) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			c.u.service.ledger.addViolation("UNASKED", "%s got the line %q", c.u.id, line)
			return
		}
		received := receivedLine{at: time.Now(), id: fields[1], text: fields[2], organisation: c.organisation, conn: fmt.Sprintf("%s/%d", c.u.id, c.number)}
		kind, text := c.handle(fields[1], fields[2])
		received.answer = text + c.ready()
		c.u.service.ledger.addLine(received)
		if !c.answer(kind, received.answer, r.Buffered() == 0) {
			return
		}
	}
}

// ready returns the line that ends an answer.
func (c *stutterConn) ready() string {
	c.u.service.mu.Lock()
	defer c.u.service.mu.Unlock()
	return fmt.Sprintf("READY %s %d.%d\r\n", c.state, c.u.service.term, c.u.visible())
}

// answer sends an answer, with the faults that are drawn for it. Answers to requests that
// arrived together leave in one chunk, which flush ends. It reports whether the connection
// goes on.
func (c *stutterConn) answer(kind answerKind, text string, flush bool) bool {
	faults := c.u.service.faults
	if c.rnd.Float64() < faults.repeat[kind] {
		c.repeat([]byte(text))
	}
	switch draw := c.rnd.Float64(); {
	case draw < faults.cut:
		c.send(append(c.chunk, text[:c.rnd.IntN(len(text))]...))
		return false
	case draw < faults.cut+faults.lost:
	default:
		c.chunk = append(c.chunk, text...)
	}
	if !flush {
		return true
	}
	chunk := c.chunk
	c.chunk = nil
	if c.rnd.Float64() < faults.chunks {
		c.repeat(slices.Clone(chunk))
	}
	return c.send(chunk)
}

func (c *stutterConn) send(body []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.net.Write(body)
	return err == nil
}

// repeat sends bytes once more, later, whole or in pieces.
func (c *stutterConn) repeat(body []byte) {
	c.u.service.ledger.countRepeat()
	var cuts []int
	if c.rnd.Float64() < c.u.service.faults.pieces && len(body) > 1 {
		cuts = append(cuts, 1+c.rnd.IntN(len(body)-1))
	}
	gap := time.Duration(c.rnd.Int64N(int64(maxPieceGap)))
	time.AfterFunc(time.Duration(c.rnd.Int64N(int64(maxRepeatDelay))), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		begin := 0
		for _, cut := range cuts {
			_, _ = c.net.Write(body[begin:cut])
			begin = cut
			time.Sleep(gap)
		}
		_, _ = c.net.Write(body[begin:])
	})
}

// handle executes a statement and returns its answer without the READY line.
func (c *stutterConn) handle(id, text string) (answerKind, string) {
	floor := 0
	if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, rest, _ := strings.Cut(tail, " ")
		_, number, _ := strings.Cut(position, ".")
		floor, _ = strconv.Atoi(number)
		text = rest
	}
	verb, arguments, _ := strings.Cut(text, " ")
	access := verb
	if verb == "EXECUTE" {
		name, _, _ := strings.Cut(arguments, " ")
		shape, ok := c.prepared[name]
		if !ok {
			return c.refuse("NOSTMT")
		}
		access, _, _ = strings.Cut(shape, " ")
	}
	if verb == "BEGIN" && c.rnd.Float64() < c.u.service.faults.refuseBegin {
		return c.refuse("BUSY")
	}
	if id != "-" {
		if c.rnd.Float64() < c.u.service.faults.busy || !c.work(access) {
			return c.refuse("BUSY")
		}
	}
	c.u.service.mu.Lock()
	defer c.u.service.mu.Unlock()
	return c.execute(id, text, verb, access, arguments, floor)
}

// work occupies a slot for the time of a statement. It reports false if too many wait.
func (c *stutterConn) work(access string) bool {
	u := c.u
	u.service.mu.Lock()
	full := u.waiting >= stutterMaxQueue
	if !full {
		u.waiting++
	}
	u.service.mu.Unlock()
	if full {
		return false
	}
	u.slots <- struct{}{}
	mean := float64(stutterPrimaryMS)
	if access == "READ" {
		mean = stutterReplicaMS
	}
	time.Sleep(time.Duration((0.3 + c.rnd.Float64()) * mean * float64(time.Millisecond)))
	<-u.slots
	u.service.mu.Lock()
	u.waiting--
	u.service.mu.Unlock()
	return true
}
