package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// forwardedVerbs are the first words of the statements that an upstream must sign.
var forwardedVerbs = map[string]bool{"READ": true, "WRITE": true, "EXECUTE": true, "COMMIT": true}

// strictCaller is a client that records each statement before it sends it.
type strictCaller struct {
	name, key string
	addresses []string
	ledger    *strictLedger
	rnd       *rand.Rand
	services  int
	// alphabet holds the characters of random data.
	alphabet string
	// splits makes it send some lines in pieces.
	splits bool
	// hostile makes it send statements within others, halves of statements, and
	// statements ahead.
	hostile bool
	// rests makes it rest within transactions, and in the middle of lines, for longer than a
	// transaction may.
	rests bool
	// largest is the largest size of random data.
	largest int

	n, served int
	service   string
	conn      net.Conn
	r         *bufio.Reader
	prepared  map[string]string
	inTx      bool
	codes     map[string]int
}

func (c *strictCaller) data() string {
	n := 1 + c.rnd.IntN(16)
	if c.rnd.IntN(40) == 0 {
		n = 1 + c.rnd.IntN(c.largest)
	}
	var b strings.Builder
	for range n {
		b.WriteByte(c.alphabet[c.rnd.IntN(len(c.alphabet))])
	}
	return b.String()
}

func (c *strictCaller) connect() bool {
	conn, err := net.DialTimeout("tcp", c.addresses[c.rnd.IntN(len(c.addresses))], time.Second)
	if err != nil {
		return false
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	i := c.rnd.IntN(c.services)
	c.conn, c.r, c.prepared, c.inTx = conn, bufio.NewReader(conn), map[string]string{}, false
	c.service = fmt.Sprintf("s%d", i)
	c.send(fmt.Sprintf("STARTUP %s%d %s\r\n", []string{"primary", "bounded", "own"}[c.rnd.IntN(3)], i, c.key))
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		c.close()
		return false
	}
	return true
}

func (c *strictCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a line, in pieces now and then.
func (c *strictCaller) send(line string) {
	if c.splits && len(line) > 2 && c.rnd.IntN(4) == 0 {
		at := 1 + c.rnd.IntN(len(line)-1)
		_, _ = c.conn.Write([]byte(line[:at]))
		c.rest(time.Duration(c.rnd.IntN(4)) * time.Millisecond)
		line = line[at:]
	}
	_, _ = c.conn.Write([]byte(line))
}

// rest waits, now and then for longer than a transaction may stay idle.
func (c *strictCaller) rest(usual time.Duration) {
	if c.rests && c.rnd.IntN(40) == 0 {
		usual = ledgerTxIdle + time.Duration(c.rnd.IntN(200)-100)*time.Millisecond
	}
	time.Sleep(usual)
}

// record records a statement with the id of the present operation.
func (c *strictCaller) record(id, text string) {
	s := strictStatement{text: text, key: c.key, service: c.service, inTransaction: c.inTx, at: time.Now()}
	if rest, ok := strings.CutPrefix(text, "EXECUTE "); ok {
		name, arguments, found := strings.Cut(rest, " ")
		s.text, s.shape = "EXECUTE "+arguments, c.prepared[name]
		if !found {
			s.text = "EXECUTE"
		}
	}
	c.ledger.record(id, s)
}

// query sends a statement and returns COMPLETE or the error code, and the state.
func (c *strictCaller) query(id, text string) (answer, state string) {
	c.record(id, text)
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	c.send("QUERY " + id + " " + text + "\r\n")
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			c.codes["no answer"]++
			return "", ""
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "COMPLETE":
			answer = word
			if verb, _, _ := strings.Cut(text, " "); forwardedVerbs[verb] && !strings.HasPrefix(rest, "sig-"+id+"-") {
				c.codes["other signature"]++
				c.ledger.noteForeign(fmt.Sprintf("%s %.80q (in a transaction: %v) was answered with %q", id, text, c.inTx, rest))
			}
		case "ERROR":
			answer, _, _ = strings.Cut(rest, " ")
		case "READY":
			c.codes[answer]++
			state, _, _ = strings.Cut(rest, " ")
			return answer, state
		}
	}
}

// access returns a random read or write, or the execution of a prepared one.
func (c *strictCaller) access(id string) (text string, ok bool) {
	item := fmt.Sprintf("x%d", c.rnd.IntN(50))
	switch c.rnd.IntN(4) {
	case 0:
		return "READ " + item, true
	case 1:
		return "WRITE " + item + " " + c.data(), true
	}
	name := fmt.Sprintf("s%d", c.rnd.IntN(4))
	if c.prepared[name] == "" || c.rnd.IntN(10) == 0 {
		shape := fmt.Sprintf("READ q%d", c.rnd.IntN(3))
		if c.rnd.IntN(2) == 0 {
			shape = fmt.Sprintf("WRITE q%d", c.rnd.IntN(3))
		}
		if answer, _ := c.query(id, "PREPARE "+name+" "+shape); answer != "COMPLETE" {
			return "", false
		}
		c.prepared[name] = shape
	}
	if strings.HasPrefix(c.prepared[name], "READ") {
		return "EXECUTE " + name + " " + item, true
	}
	return "EXECUTE " + name + " " + item + " " + c.data(), true
}

// step runs one operation.
func (c *strictCaller) step() {
	if c.conn == nil && !c.connect() {
		return
	}
	c.n++
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	if c.hostile && c.rnd.IntN(2) == 0 {
		c.misbehave(id)
		c.close()
		return
	}
	ok := false
	if c.rnd.IntN(4) == 0 {
		ok = c.transaction(id)
	} else if text, prepared := c.access(id); prepared {
		answer, state := c.query(id, text)
		ok = answer == "COMPLETE" && state == "I"
	}
	if ok {
		c.served++
	}
	if !ok || c.rnd.IntN(30) == 0 {
		c.close()
	}
}

// misbehave sends what a caller must not send, of which an upstream may get only what is a
// statement of its own. The session ends after it.
func (c *strictCaller) misbehave(id string) {
	write := func(id string) string { return "QUERY " + id + " WRITE x1 " + c.data() }
	lines := ""
	switch c.rnd.IntN(4) {
	case 0:
		separator := []string{"\n", "\r", "\n\n", "\r\r", "\n\r"}[c.rnd.IntN(5)]
		lines = write(id) + separator + write(id+"-within") + "\r\n"
	case 1:
		lines = write(id)
	case 2:
		c.inTx = true
		for _, text := range []string{"BEGIN", "WRITE x1 " + c.data(), "READ x1", "WRITE x2 " + c.data(), "COMMIT"} {
			c.record(id, text)
			lines += "QUERY " + id + " " + text + "\r\n"
		}
		c.inTx = false
	case 3:
		lines = "QUERY " + id + "  READ x1\r\nQUERY - WRITE x1 1\r\nquery " + id + " read x\r\nQUERY " + id + " AFTER 1.1 READ x1\r\n" + write(id)[:8] + "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(50+c.rnd.IntN(100)) * time.Millisecond))
	c.send(lines)
	if c.rnd.IntN(3) == 0 {
		return
	}
	for {
		if _, err := c.r.ReadByte(); err != nil {
			return
		}
	}
}

func (c *strictCaller) transaction(id string) bool {
	begin := "BEGIN"
	if answer, state := c.query(id, begin); answer != "COMPLETE" || state != "T" {
		return false
	}
	c.inTx = true
	for range c.rnd.IntN(5) {
		text, ok := c.access(id)
		if !ok {
			return false
		}
		if answer, state := c.query(id, text); answer != "COMPLETE" || state != "T" {
			return false
		}
		c.rest(time.Duration(c.rnd.IntN(3)) * time.Millisecond)
	}
	end := "COMMIT"
	switch c.rnd.IntN(8) {
	case 0:
		end = "ROLLBACK"
	case 1:
		// The client leaves.
		return false
	}
	answer, state := c.query(id, end)
	c.inTx = false
	return answer == "COMPLETE" && state == "I"
}
