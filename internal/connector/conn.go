package connector

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/shallotstage/shallotstage/internal/budgeter"
	"github.com/shallotstage/shallotstage/internal/peeker"
)

const (
	readBufferSize = 4 << 10
	// maxPrepared bounds the statements prepared on one connection. A
	// connection with more is reset.
	maxPrepared = 256
)

// Conn is one connection to an upstream on behalf of one organisation. It must
// not be used by several goroutines at once.
type Conn struct {
	// Organisation is the organisation on whose behalf the connection was
	// opened.
	Organisation string
	// Upstream is the ID of the upstream.
	Upstream string

	net    net.Conn
	peeker *peeker.Peeker
	r      *bufio.Reader
	codec  *Codec
	out    []byte
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
	// receipts are those of the answers received.
	receipts receipts
	// doubtful is true once a second answer was skipped: more may follow.
	doubtful bool
	// failed is true once a failure was received, which may come a second time.
	failed bool
	// queried is true if the last batch had no caller's statement and no barrier ahead.
	queried bool
	// acknowledged is true once a request without receipt was acknowledged outside a
	// transaction: that acknowledgement may come a second time, too.
	acknowledged bool
	// hasBegun is true once a transaction was begun: the position that a BEGIN showed may come
	// a second time, too.
	hasBegun bool
	// readOnly is true while a batch runs that only reads.
	readOnly bool
	// checked is true from the check of an idle connection to its first use.
	checked bool
	// deadline is that of the last request.
	deadline time.Time
	// onStrayAnswer is Dialer.OnStrayAnswer.
	onStrayAnswer func(a StrayAnswer)
	// holder holds the answer that is being read, of which received bytes have come and
	// held bytes are reported.
	holder         *budgeter.Holder
	received, held int64
}

const (
	// maxKeptBuffer is the size above which the buffer of a sent request is not kept.
	maxKeptBuffer = 64 << 10
	// answerThreshold is the size from which an answer counts in the process's budget.
	answerThreshold = 16 << 10
	// answerCost is the memory of an answer that is being read, by its size: its buffer
	// is copied when it grows.
	answerCost = 2
)

// answerReader counts what is read from an upstream.
type answerReader struct{ c *Conn }

// Read implements io.Reader. It fails if the connection holds too much.
func (r answerReader) Read(p []byte) (int, error) {
	n, err := r.c.net.Read(p)
	r.c.received += int64(n)
	if r.c.received <= answerThreshold || answerCost*r.c.received <= r.c.held {
		return n, err
	}
	// In steps, so that the budget's lock is taken only now and then.
	r.c.held = answerCost * (r.c.received + r.c.received/4)
	if !r.c.holder.SetHeld(r.c.held) {
		return 0, budgeter.ErrUsedUp
	}
	return n, err
}

// release reports that the answers read so far are no longer held here.
func (c *Conn) release() {
	c.received = 0
	if c.held > 0 {
		c.held = 0
		c.holder.Release()
	}
}

// Send writes requests in a single write.
func (c *Conn) Send(deadline time.Time, requests ...Request) error {
	c.release()
	c.deadline = deadline
	c.out = c.out[:0]
	for _, r := range requests {
		c.out = c.codec.AppendRequest(c.out, r)
	}
	if err := c.net.SetDeadline(deadline); err != nil {
		return c.fail("set deadline", err)
	}
	_, err := c.net.Write(c.out)
	if cap(c.out) > maxKeptBuffer {
		c.out = nil
	}
	if err != nil {
		return c.fail("write", err)
	}
	return nil
}

// Do sends one request and reads its answer.
func (c *Conn) Do(deadline time.Time, r Request) (Answer, error) {
	if err := c.Send(deadline, r); err != nil {
		return Answer{}, err
	}
	return c.Receive(r)
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
func (c *Conn) Close() {
	c.release()
	_ = c.net.Close()
}
