package connector

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	readBufferSize = 4 << 10
	// maxPrepared bounds the statements prepared on one connection. A
	// connection with more is reset.
	maxPrepared = 256
)

// errIncomplete is returned for an answer that reports neither success nor
// failure.
var errIncomplete = errors.New("answer has no completion")

// Conn is one connection to an upstream on behalf of one organisation. It must
// not be used by several goroutines at once.
type Conn struct {
	// Organisation is the organisation on whose behalf the connection was
	// opened.
	Organisation string
	// Upstream is the ID of the upstream.
	Upstream string

	net   net.Conn
	r     *bufio.Reader
	codec *Codec
	out   []byte
	// values are the session values set on the connection.
	values map[string]string
	// prepared holds the names of the statements prepared on the connection.
	prepared map[string]bool
	// broken is true if the state of the connection is uncertain.
	broken bool
	// idleSince is when the connection was last returned to its pool, and
	// previousUse when it was returned before that.
	idleSince, previousUse time.Time
	// positionOnly is true while the connection queries a position, which any
	// connection can and which therefore does not count as a use.
	positionOnly bool
	// mayForward reports whether a caller's statement may be sent; nil means that it
	// may.
	mayForward func() bool
	// state is the transaction state in the last answer.
	state TransactionState
}

// Send writes requests in a single write.
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

// Receive reads the answer to the next outstanding request.
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

func (c *Conn) fail(operation string, err error) error {
	c.broken = true
	return fmt.Errorf("connector: %s of upstream %s: %w", operation, c.Upstream, err)
}

// Prepare prepares a statement unless the connection already has it.
func (c *Conn) Prepare(deadline time.Time, p PreparedStatement) error {
	if p.Name == "" || c.prepared[p.Name] {
		return nil
	}
	a, err := c.Do(deadline, Request{Verb: VerbPrepare, Text: p.Text})
	if err != nil {
		return err
	}
	if a.Failure != FailureNone {
		c.broken = true
		return &SetupError{Upstream: c.Upstream, Operation: "prepare", Failure: a.Failure, Detail: a.Detail}
	}
	c.prepared[p.Name] = true
	return nil
}

// ApplyValues gives the connection exactly the given session values.
func (c *Conn) ApplyValues(deadline time.Time, values map[string]string) error {
	if c.hasOnly(values) && (len(c.prepared) <= maxPrepared || c.state != StateIdle) {
		return c.setValues(deadline, values)
	}
	a, err := c.Do(deadline, Request{Verb: VerbReset})
	if err != nil {
		return err
	}
	if a.Failure != FailureNone {
		c.broken = true
		return &SetupError{Upstream: c.Upstream, Operation: "reset", Failure: a.Failure, Detail: a.Detail}
	}
	clear(c.values)
	clear(c.prepared)
	return c.setValues(deadline, values)
}

// hasOnly reports whether no value is set on the connection that is missing in
// values.
func (c *Conn) hasOnly(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}

func (c *Conn) setValues(deadline time.Time, values map[string]string) error {
	for name, value := range values {
		if current, ok := c.values[name]; ok && current == value {
			continue
		}
		a, err := c.Do(deadline, Request{Verb: VerbSet, Text: name + " " + value})
		if err != nil {
			return err
		}
		if a.Failure != FailureNone {
			c.broken = true
			return &SetupError{Upstream: c.Upstream, Operation: "set", Failure: a.Failure, Detail: a.Detail}
		}
		c.values[name] = value
	}
	return nil
}

// matchScore returns the number of values already set on the connection, minus
// the number that differ or that a reset would have to drop.
func (c *Conn) matchScore(values map[string]string) int {
	n := 0
	for name, value := range c.values {
		if current, ok := values[name]; ok && current == value {
			n++
		} else {
			n--
		}
	}
	return n
}

// SetupError is returned when an upstream refused to prepare a connection for a
// session. The session's statement was not executed.
type SetupError struct {
	Upstream  string
	Operation string
	Failure   Failure
	Detail    string
}

// Error implements error.
func (e *SetupError) Error() string {
	return fmt.Sprintf("connector: upstream %s refused %s: %s %s", e.Upstream, e.Operation, e.Failure, e.Detail)
}

// Close closes a connection that belongs to no pool.
func (c *Conn) Close() { _ = c.net.Close() }
