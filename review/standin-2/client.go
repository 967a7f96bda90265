package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client is one caller with a session.
type client struct {
	rec      *record
	name     string
	address  string
	database string
	key      string
	rnd      *rand.Rand
	conn     net.Conn
	r        *bufio.Reader
}

// answerTime is how long a client waits for an answer: the longest deadline of the small
// sites.
const answerTime = 15 * time.Second

// reply is the answer to one statement.
type reply struct {
	rows  []string
	code  string // empty after a success
	text  string
	sig   string
	state string
	err   error // set if there was no whole answer
}

func (r reply) String() string {
	switch {
	case r.err != nil:
		return "no answer: " + r.err.Error()
	case r.code != "":
		return "ERROR " + r.code + " " + r.text
	}
	return "COMPLETE " + r.sig
}

// promises are the codes that promise that nothing of the attempt is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, words["lagging"]: true, words["readonly"]: true, words["misrouted"]: true, words["toomany"]: true}

func (c *client) open() error {
	conn, err := net.DialTimeout("tcp", c.address, 2*time.Second)
	if err != nil {
		return err
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", c.database, c.key); err != nil {
		c.close()
		return err
	}
	if reply := c.read(); reply.err != nil || reply.code != "" {
		c.close()
		return errors.New(reply.String())
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// read reads one answer.
func (c *client) read() reply {
	var a reply
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			a.err = err
			return a
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.sig = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		default:
			a.err = fmt.Errorf("odd line %q", line)
			return a
		}
	}
}

// query sends a statement and reads its answer.
func (c *client) query(id, text string) reply {
	_ = c.conn.SetDeadline(time.Now().Add(answerTime))
	c.rec.add("%s sends %s %s", c.name, id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		c.rec.add("%s gets %s: no answer: %v", c.name, id, err)
		return reply{err: err}
	}
	a := c.read()
	c.rec.add("%s gets %s: %s", c.name, id, a)
	return a
}

// outcome is one operation's fate.
type outcome struct {
	id      string
	write   bool
	sent    time.Time
	got     time.Time
	reply   reply
	opening bool
}

// ids numbers the operations of all clients.
var ids atomic.Int64

// newID returns the id of a client's attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e000000000000+ids.Add(1)) }

// load is a set of clients that work until it is stopped.
type load struct {
	rec  *record
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// startLoad starts clients at all fronts, each with single reads and writes.
func startLoad(rec *record, f *fleet, database string, perFront int, pause time.Duration) *load {
	l := &load{rec: rec, stop: make(chan struct{})}
	for i, h := range f.fronts {
		for k := range perFront {
			c := &client{rec: rec, name: fmt.Sprintf("client-%d-%d", i+1, k+1), address: f.address(h, portFront), database: database, key: "key-1", rnd: rand.New(rand.NewPCG(uint64(i), uint64(k)))}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				l.work(c, pause)
			}()
		}
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
}

func (l *load) work(c *client, pause time.Duration) {
	defer c.close()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(c.rnd.Float64()*2*float64(pause)) + time.Millisecond):
		}
		if c.conn == nil && c.open() != nil {
			continue
		}
		o := outcome{id: newID(), write: c.rnd.IntN(2) == 0, sent: time.Now()}
		item := fmt.Sprintf("i%d", c.rnd.IntN(200))
		if o.write {
			o.reply = c.query(o.id, "WRITE "+item+" v"+o.id)
		} else {
			o.reply = c.query(o.id, "READ "+item)
		}
		o.got = time.Now()
		l.mu.Lock()
		l.outcomes = append(l.outcomes, o)
		l.mu.Unlock()
		if o.reply.err != nil || o.reply.state != "I" {
			c.close()
		}
	}
}
