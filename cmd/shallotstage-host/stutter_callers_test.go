package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// callerHabits are the shares, from 0 to 1, of what callers do now and then.
type callerHabits struct {
	// pieces is the share of statements that are sent in pieces, blanks that of data with
	// blanks at both ends and in between.
	pieces, blanks float64
	// leave is the share of statements after which a caller leaves, leaveWithin that of
	// those that it begins to send and never ends.
	leave, leaveWithin float64
	// long is the share of data that is up to maxLongData bytes long, idle that of
	// statements in transactions before which a caller waits up to maxIdle.
	long, idle float64
}

const (
	// publicKey is sent on public routes, whose statements run for publicOrganisation.
	publicKey          = "nobody"
	publicOrganisation = "public"
	maxLongData        = 64 << 10
	maxIdle            = 4 * time.Second
)

// stutterRoute is a route of the fleet with the mix of its operations.
type stutterRoute struct {
	database, kind, service string
	writes, transactions    float64
	// ownCommits is true if reads must see the session's commits, allCommits if they must
	// see all.
	ownCommits, allCommits bool
	targetMS, stalenessMS  int
	// public is true if callers need no key. Their organisation is then publicOrganisation.
	public bool
}

// stutterCaller is a caller that runs operations and records them.
type stutterCaller struct {
	name   string
	rnd    *rand.Rand
	fleet  *stutterFleet
	habits callerHabits

	route *stutterRoute
	key   string
	conn  net.Conn
	r     *bufio.Reader
	n     int
	// ownFloors are the numbers of commits up to the last one of the session, by service.
	ownFloors map[string]int
	values    map[string]string
	prepared  map[string]string
	state     string
}

// isDrawn reports an event with the given probability.
func (c *stutterCaller) isDrawn(share float64) bool { return c.rnd.Float64() < share }

func (c *stutterCaller) pause(most time.Duration) {
	time.Sleep(time.Duration(c.rnd.Int64N(int64(most))))
}

// connect opens a session with some values and prepared statements.
func (c *stutterCaller) connect() bool {
	c.route, c.key = c.fleet.drawRoute(c.rnd), c.fleet.drawKey(c.rnd)
	if c.route.public {
		c.key = publicKey
	}
	conn, err := net.DialTimeout("tcp", c.fleet.drawEntry(c.rnd), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.r, c.state, c.ownFloors = conn, bufio.NewReader(conn), "I", map[string]int{}
	c.values, c.prepared = map[string]string{}, map[string]string{}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", c.route.database, c.key); err != nil {
		return c.close()
	}
	if line, err := c.r.ReadString('\n'); err != nil || line != "READY I -\r\n" {
		if err == nil {
			c.fleet.ledger.countAnswer(strings.TrimSpace(line))
		}
		return c.close()
	}
	return c.setUp()
}

func (c *stutterCaller) setUp() bool {
	if c.isDrawn(0.3) {
		name, value := fmt.Sprintf("v%d", c.rnd.IntN(3)), c.data()
		if !c.query(&operation{}, "SET "+name+" "+value).completed {
			return c.close()
		}
		c.values[name] = value
	}
	for i := range c.rnd.IntN(3) {
		name, shape := fmt.Sprintf("p%d", i), fmt.Sprintf("READ q%x", c.rnd.IntN(6))
		if c.route.writes > 0 && c.isDrawn(0.5) {
			shape = "WRITE" + shape[4:]
		}
		if !c.query(&operation{}, "PREPARE "+name+" "+shape).completed {
			return c.close()
		}
		c.prepared[name] = shape
	}
	return true
}

// close closes the session and returns false.
func (c *stutterCaller) close() bool {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
	return false
}

// data returns random data.
func (c *stutterCaller) data() string {
	if c.isDrawn(c.habits.long) {
		return strings.Repeat(fmt.Sprintf("%x", c.rnd.Uint64()), 1+c.rnd.IntN(maxLongData/16))
	}
	if c.isDrawn(c.habits.blanks) {
		return fmt.Sprintf("  %x  %x ", c.rnd.Uint32(), c.rnd.Uint32())
	}
	return fmt.Sprintf("%x", c.rnd.Uint64())
}

// item returns a random item.
func (c *stutterCaller) item() string { return fmt.Sprintf("%x", c.rnd.IntN(4000)) }

// statement returns the text of a read or a write.
func (c *stutterCaller) statement(write bool) string {
	access := "READ"
	if write {
		access = "WRITE"
	}
	for name, shape := range c.prepared {
		if strings.HasPrefix(shape, access) {
			if write {
				return "EXECUTE " + name + " " + c.item() + " " + c.data()
			}
			return "EXECUTE " + name + " " + c.item()
		}
	}
	if write {
		return "WRITE " + c.item() + " " + c.data()
	}
	return "READ " + c.item()
}

// step runs an operation. The session ends where the protocol asks for it.
func (c *stutterCaller) step() {
	if c.conn == nil && !c.connect() {
		c.pause(200 * time.Millisecond)
		return
	}
	op := &operation{}
	switch {
	case c.route.allCommits:
		op.floors = c.fleet.ledger.acknowledgedCommits()
	case c.route.ownCommits:
		op.floors = maps.Clone(c.ownFloors)
	}
	draw := c.rnd.Float64()
	switch {
	case draw < c.route.transactions:
		op.transaction = true
		c.runTransaction(op)
	default:
		c.query(op, c.statement(draw < c.route.transactions+c.route.writes))
	}
	if c.conn != nil && (c.state != "I" || c.isDrawn(0.05)) {
		c.close()
	}
}

func (c *stutterCaller) runTransaction(op *operation) {
	begin, write := "BEGIN READ", c.route.writes > 0 && c.isDrawn(0.7)
	if write || c.route.allCommits {
		begin = "BEGIN"
	}
	if !c.query(op, begin).completed {
		return
	}
	for range 1 + c.rnd.IntN(5) {
		if !c.query(op, c.statement(write && c.isDrawn(0.5))).completed {
			if c.conn != nil {
				c.query(op, "ROLLBACK")
			}
			return
		}
		if c.isDrawn(c.habits.leave) {
			c.close()
			return
		}
		c.pause(40 * time.Millisecond)
		if c.isDrawn(c.habits.idle) {
			c.pause(maxIdle)
		}
	}
	if c.isDrawn(0.1) {
		c.query(op, "ROLLBACK")
		return
	}
	c.query(op, "COMMIT")
}

// query sends a statement and reads its answer.
func (c *stutterCaller) query(op *operation, text string) *sentStatement {
	c.n++
	q := &sentStatement{id: fmt.Sprintf("%s-%d", c.name, c.n), text: text, key: c.key, database: c.route.database, op: op, values: formatValues(c.values)}
	if name, ok := executedName(text); ok {
		q.shape = c.prepared[name]
	}
	if c.r.Buffered() > 0 {
		c.fleet.ledger.addViolation("MIXED", "%s got an answer to nothing before %q", c.name, text)
	}
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	if !c.send(q) || !c.receive(q) {
		c.close()
	}
	return q
}

// send sends a statement, whole or in pieces. It is recorded before its last piece.
func (c *stutterCaller) send(q *sentStatement) bool {
	line := fmt.Sprintf("QUERY %s %s\r\n", q.id, q.text)
	if c.isDrawn(c.habits.pieces) {
		cut := 1 + c.rnd.IntN(len(line)-1)
		if _, err := c.conn.Write([]byte(line[:cut])); err != nil {
			return false
		}
		line = line[cut:]
		c.pause(20 * time.Millisecond)
		if c.isDrawn(c.habits.leaveWithin) {
			return false
		}
	}
	q.at = time.Now()
	c.fleet.ledger.addSent(q)
	_, err := c.conn.Write([]byte(line))
	if c.isDrawn(c.habits.leave) {
		return false
	}
	return err == nil
}

func (c *stutterCaller) receive(q *sentStatement) bool {
	code := ""
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			c.fleet.ledger.countAnswer("no answer")
			return false
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			q.rows = append(q.rows, rest)
		case "COMPLETE":
			q.completed, q.signature = true, rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			c.state, _, _ = strings.Cut(rest, " ")
			c.conclude(q, code)
			return code == "" || isForwarded(q.text) || strings.HasPrefix(q.text, "BEGIN") || q.text == "ROLLBACK"
		default:
			c.fleet.ledger.addViolation("MIXED", "%s got the line %q", q.id, line)
			return false
		}
	}
}

// conclude records what an answer means for its operation.
func (c *stutterCaller) conclude(q *sentStatement, code string) {
	l := c.fleet.ledger
	l.countAnswer(code)
	if noEffectCodes[code] {
		l.setPromise(q.op, code)
	}
	if code == "NOSTMT" {
		l.addViolation("PINNED", "%s %q: unknown name", q.id, q.text)
	}
	if !q.completed {
		return
	}
	if q.text == "COMMIT" || !q.op.transaction && isForwarded(q.text) && strings.Contains(q.text+q.shape, "WRITE") {
		service, number := l.acknowledgeCommit(q.id, q.signature)
		c.ownFloors[service] = max(c.ownFloors[service], number)
	}
}
