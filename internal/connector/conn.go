package connector

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	readBuffer = 4 << 10
	// maxPrepared bounds the statements prepared on one connection. Beyond it
	// the connection is reset.
	maxPrepared = 256
)

// errIncomplete means that an answer neither succeeds nor fails.
var errIncomplete = errors.New("answer has no completion")

// Conn is one connection to an upstream, for one organisation. It is used by
// one goroutine at a time.
type Conn struct {
	// Organisation is on whose behalf the connection was opened.
	Organisation string
	// Upstream is the ID of the upstream.
	Upstream string

	net   net.Conn
	r     *bufio.Reader
	codec *Codec
	out   []byte
	// values are the session values that hold on the connection.
	values map[string]string
	// prepared are the names prepared on the connection.
	prepared map[string]bool
	// broken is true when the connection's state is not certain.
	broken bool
	idleAt time.Time
	// state is what the upstream said with its last answer.
	state TransactionState
}

// Send writes requests at once.
func (c *Conn) Send(deadline time.Time, requests ...Request) error {
	c.out = c.out[:0]
	for _, r := range requests {
		c.out = c.codec.AppendRequest(c.out, r)
	}
	if err := c.net.SetDeadline(deadline); err != nil {
		return c.fail("set deadline", err)
	}
	if _, err := c.net.Write(c.out); err != nil {
		return c.fail("write", err)
	}
	return nil
}

// Receive reads the answer to the next request that was sent.
func (c *Conn) Receive() (Answer, error) {
	a, err := c.codec.ReadAnswer(c.r)
	if err != nil {
		return a, c.fail("read answer", err)
	}
	c.state = a.State
	if !a.Completed && a.Failure == FailureNone {
		return a, c.fail("read answer", errIncomplete)
	}
	return a, nil
}

// Do sends one request and reads its answer.
func (c *Conn) Do(deadline time.Time, r Request) (Answer, error) {
	if err := c.Send(deadline, r); err != nil {
		return Answer{}, err
	}
	return c.Receive()
}

func (c *Conn) fail(what string, err error) error {
	c.broken = true
	return fmt.Errorf("connector: %s of upstream %s: %w", what, c.Upstream, err)
}

// Prepare makes the connection hold a prepared statement.
func (c *Conn) Prepare(deadline time.Time, p Preparation) error {
	if p.Name == "" || c.prepared[p.Name] {
		return nil
	}
	a, err := c.Do(deadline, Request{Verb: VerbPrepare, Text: p.Text})
	if err != nil {
		return err
	}
	if a.Failure != FailureNone {
		c.broken = true
		return &SetupError{Upstream: c.Upstream, What: "prepare", Failure: a.Failure, Detail: a.Detail}
	}
	c.prepared[p.Name] = true
	return nil
}

// Adopt makes the connection hold exactly a session's values.
func (c *Conn) Adopt(deadline time.Time, values map[string]string) error {
	if c.holdsOnly(values) && (len(c.prepared) <= maxPrepared || c.state != StateIdle) {
		return c.setAll(deadline, values)
	}
	a, err := c.Do(deadline, Request{Verb: VerbReset})
	if err != nil {
		return err
	}
	if a.Failure != FailureNone {
		c.broken = true
		return &SetupError{Upstream: c.Upstream, What: "reset", Failure: a.Failure, Detail: a.Detail}
	}
	clear(c.values)
	clear(c.prepared)
	return c.setAll(deadline, values)
}

// holdsOnly reports whether no value holds that the session lacks.
func (c *Conn) holdsOnly(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}

func (c *Conn) setAll(deadline time.Time, values map[string]string) error {
	for name, value := range values {
		if held, ok := c.values[name]; ok && held == value {
			continue
		}
		a, err := c.Do(deadline, Request{Verb: VerbSet, Text: name + " " + value})
		if err != nil {
			return err
		}
		if a.Failure != FailureNone {
			c.broken = true
			return &SetupError{Upstream: c.Upstream, What: "set", Failure: a.Failure, Detail: a.Detail}
		}
		c.values[name] = value
	}
	return nil
}

// fits counts the values that the connection already holds, less those that a
// reset would have to drop.
func (c *Conn) fits(values map[string]string) int {
	n := 0
	for name, value := range c.values {
		if held, ok := values[name]; ok && held == value {
			n++
		} else {
			n--
		}
	}
	return n
}

// SetupError means that an upstream refused to prepare a connection for a
// session. The session's statement has not run.
type SetupError struct {
	Upstream string
	What     string
	Failure  Failure
	Detail   string
}

// Error implements error.
func (e *SetupError) Error() string {
	return fmt.Sprintf("connector: upstream %s refused %s: %s %s", e.Upstream, e.What, e.Failure, e.Detail)
}

// Close closes a connection whose pool is gone.
func (c *Conn) Close() { _ = c.net.Close() }
