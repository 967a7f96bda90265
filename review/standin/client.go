package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is one session of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// connect opens a session.
func connect(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	c := &client{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("startup: %w", err)
	}
	if line, err := c.r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY I") {
		_ = conn.Close()
		return nil, fmt.Errorf("startup: %q, %w", line, err)
	}
	return c, nil
}

// answer is the answer to one statement: code is COMPLETE or the error code, and empty
// if no whole answer came.
type answer struct {
	code, detail, row, state string
}

// query sends a statement and reads the answer.
func (c *client) query(id, text string, limit time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	var a answer
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a
	}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return answer{}
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.row = rest
		case "COMPLETE":
			a.code, a.detail = word, rest
		case "ERROR":
			a.code, a.detail, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
