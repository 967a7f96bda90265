package connector

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// PreparedStatement is a prepared statement that a batch needs on its connection.
type PreparedStatement struct {
	// Name is the name of the statement on upstreams.
	Name string
	// Text is the statement's name, access and shape.
	Text string
}

// Batch is a sequence of requests executed on one connection, up to the first
// that fails.
type Batch struct {
	// Route is the route as the caller requested it. Another host that runs the batch
	// applies its restrictions.
	Route string
	// Values are all session values that must be set on the connection.
	Values map[string]string
	// Prepare is prepared first; the zero value means nothing.
	Prepare  PreparedStatement
	Requests []Request
	// EndsLease is true if the lease ends with this batch.
	EndsLease bool
	// PositionOnly is true if the batch only queries the upstream's position.
	// It needs no slot and runs on any idle connection.
	PositionOnly bool
	// ReadOnly is true if the batch only reads and can be retried on another
	// upstream. An answer that takes much longer than usual is abandoned before
	// the deadline.
	ReadOnly bool
}

// HasForward reports whether the batch forwards a caller's statement.
func (b Batch) HasForward() bool {
	for _, q := range b.Requests {
		if q.Verb == VerbForward {
			return true
		}
	}
	return false
}

// mayWrite reports whether the batch or the transaction that it begins may write.
func (b Batch) mayWrite() bool {
	return !b.ReadOnly && !b.PositionOnly && len(b.Requests) > 0 && !b.Requests[0].ReadOnly
}

// RunError is returned when a batch ended before its last request was answered.
type RunError struct {
	// MayHaveRun is true if a forwarded statement without an answer may have been
	// executed.
	MayHaveRun bool
	Err        error
}

// Error implements error.
func (e *RunError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }

// Limits bound the time of a batch.
type Limits struct {
	// Deadline is when the last answer must have arrived.
	Deadline time.Time
	// TimeReserve is the time that must be left when a connection is acquired.
	// With less, the batch would probably not finish before the deadline.
	TimeReserve time.Duration
	// MaxWait is the expected wait above which the batch is refused at once;
	// zero means no limit. It does not apply to an open transaction.
	MaxWait time.Duration
	// AnswerWithin is the time within which the batch must have run to meet the
	// caller's latency objective; zero means none. A batch that would miss it is
	// refused at once, unless it belongs to an open transaction.
	AnswerWithin time.Duration
	// Patient is true if the batch may miss AnswerWithin while the queue is
	// draining.
	Patient bool
	// Priority orders waiting batches; zero is the most urgent.
	Priority int
	// Kind is set from the batch.
	Kind queuer.Kind
}

// Lease is the use of one connection to an upstream for one transaction. The
// connection is acquired with the first batch and returned by Release.
type Lease struct {
	Upstream string
	// Run executes a batch and returns the answers received.
	Run func(ctx context.Context, limits Limits, b Batch) ([]Answer, error)
	// Release rolls back an open transaction and returns the connection. It may
	// be called more than once.
	Release func()
	// AnswersTaken is called when the user of the answers of the last batch counts them in
	// the process's budget itself; nil if the lease does not count them.
	AnswersTaken func()
}

// rollbackTimeout bounds the wait for the answer to a rollback. Without an
// answer the connection is closed, which rolls back too.
const rollbackTimeout = 500 * time.Millisecond

// Lease returns a lease of one of this host's own connections.
func (s *PoolSet) Lease(upstream, organisation string) *Lease {
	l := &localLease{set: s, upstream: upstream, organisation: organisation}
	return &Lease{Upstream: upstream, Run: l.run, Release: l.end, AnswersTaken: l.answersTaken}
}

// localLease is a lease of one of this host's own connections.
type localLease struct {
	set          *PoolSet
	upstream     string
	organisation string
	pool         *Pool
	conn         *Conn
	// withoutSlot is true if the lease occupies no slot.
	withoutSlot bool
}

func (l *localLease) run(ctx context.Context, limits Limits, b Batch) ([]Answer, error) {
	if b.HasForward() && !l.mayForward() {
		return nil, &RunError{Err: &EvacuatedError{Upstream: l.upstream}}
	}
	open := l.conn != nil
	if !open {
		if err := l.set.Throttle.check(l.upstream, b); err != nil {
			return nil, &RunError{Err: err}
		}
	}
	if !b.ReadOnly {
		limits.Kind = queuer.KindWrite
	}
	if err := l.acquire(ctx, limits, b); err != nil {
		l.set.Throttle.observeConnect(l.upstream, err)
		return nil, &RunError{Err: err}
	}
	if l.withoutSlot {
		return l.conn.Run(limits.Deadline, b)
	}
	if err := l.set.Throttle.take(ctx, l.upstream, b, limits, open); err != nil {
		l.pool.releaseSlot()
		return nil, &RunError{Err: err}
	}
	begin := time.Now()
	slot, deadline := l.pool.startUse(limits.Kind), limits.Deadline
	if !begin.Before(deadline) {
		// Opening the connection took the rest of the time.
		slot.release()
		return nil, &RunError{Err: &QueueError{Upstream: l.upstream}}
	}
	if timeout := l.pool.readTimeout(); b.ReadOnly && begin.Add(timeout).Before(deadline) {
		deadline = begin.Add(timeout)
	}
	answers, err := l.conn.Run(deadline, b)
	took := time.Since(begin)
	if b.ReadOnly && errors.Is(err, os.ErrDeadlineExceeded) {
		l.pool.recordReadTimeout()
	}
	if err != nil || len(answers) < len(b.Requests) {
		// The duration of a failed run says nothing about the time of a
		// statement.
		took = 0
	}
	slot.end(took)
	return answers, err
}

// acquire waits for a slot, and acquires a connection unless the lease has one.
func (l *localLease) acquire(ctx context.Context, limits Limits, b Batch) error {
	if l.conn != nil {
		return l.pool.AcquireSlot(ctx, l.conn, limits)
	}
	if l.pool = l.set.Pool(l.upstream); l.pool == nil {
		return &ConnectError{Upstream: l.upstream, Err: fmt.Errorf("upstream is unknown")}
	}
	if b.PositionOnly {
		if l.conn = l.pool.AcquireIdle(); l.conn != nil {
			l.withoutSlot = true
			return nil
		}
	}
	conn, err := l.pool.Acquire(ctx, l.organisation, b.Values, limits)
	if err == nil && b.mayWrite() && conn.wouldDoubt() {
		// A refused write must be a promise that nothing ran.
		conn, err = l.pool.replace(ctx, conn)
	}
	if err != nil {
		return err
	}
	l.conn = conn
	l.conn.mayForward = l.mayForward
	return nil
}

// mayForward reports whether a caller's statement may be sent to the upstream.
func (l *localLease) mayForward() bool {
	if l.set.MayForward == nil {
		return true
	}
	pool := l.pool
	if pool == nil {
		if pool = l.set.Pool(l.upstream); pool == nil {
			return true
		}
	}
	return l.set.MayForward(pool.currentUpstream())
}

func (l *localLease) answersTaken() {
	if l.conn != nil {
		l.conn.release()
	}
}

func (l *localLease) end() {
	if l.conn == nil {
		return
	}
	l.conn.release()
	l.conn.rollBack()
	l.pool.Release(l.conn)
	l.conn = nil
}

// Run executes a batch on the connection. A rollback at the end of the batch is
// sent together with the request before it.
func (c *Conn) Run(deadline time.Time, b Batch) ([]Answer, error) {
	// Until the answers are read, what the next bytes mean is uncertain.
	reusable := false
	defer func() { c.broken = c.broken || !reusable }()
	hasBegun := c.hasBegun
	answers, err := c.run(deadline, b)
	reusable = true
	if !c.doubtful || !hasBegun {
		return answers, err
	}
	if b.PositionOnly && err == nil {
		return nil, &RunError{Err: c.fail("query position", errAmbiguousPosition)}
	}
	clearPositions(answers)
	return answers, err
}

// clearPositions removes the positions of acknowledgements: one of them may be the second
// answer to an earlier request.
func clearPositions(answers []Answer) {
	for i := range answers {
		if len(answers[i].Receipt) == 0 {
			answers[i].Position = tracker.Position{}
		}
	}
}

func (c *Conn) run(deadline time.Time, b Batch) ([]Answer, error) {
	if b.HasForward() && !c.allowsForward() {
		return nil, &RunError{Err: &EvacuatedError{Upstream: c.Upstream}}
	}
	if c.broken {
		return nil, &RunError{Err: fmt.Errorf("connector: connection to upstream %s: %w", c.Upstream, errLost)}
	}
	c.readOnly = b.ReadOnly
	if err := c.settle(deadline); err != nil {
		return nil, &RunError{Err: err}
	}
	if !b.PositionOnly {
		if err := c.ApplyValues(deadline, b.Values); err != nil {
			return nil, &RunError{Err: err}
		}
	}
	if err := c.Prepare(deadline, b.Prepare); err != nil {
		return nil, &RunError{Err: err}
	}
	separated := c.separate(b)
	answers := make([]Answer, 0, len(b.Requests))
	for i := range b.Requests {
		send := b.Requests[i : i+1]
		if i+2 == len(b.Requests) && b.Requests[i+1].Verb == VerbRollback {
			send = b.Requests[i:]
		}
		forwarded := send[0].Verb == VerbForward
		if forwarded && !c.allowsForward() {
			return answers, &RunError{Err: &EvacuatedError{Upstream: c.Upstream}}
		}
		out := send
		if len(separated) > 0 {
			out = slices.Concat(separated, send)
		}
		if err := c.Send(deadline, out...); err != nil {
			return answers, &RunError{MayHaveRun: forwarded, Err: err}
		}
		if err := c.receiveSeparated(separated); err != nil {
			return answers, &RunError{Err: err}
		}
		separated = nil
		a, rolledBack, err := c.receive(send[0], send[1:])
		if err != nil {
			return answers, &RunError{MayHaveRun: forwarded, Err: err}
		}
		answers = append(answers, a)
		if len(send) == 2 {
			if !rolledBack && !c.broken {
				c.receiveRollback()
			}
			return answers, nil
		}
		if a.Failure != FailureNone {
			return answers, nil
		}
	}
	return answers, nil
}

// separate returns what to send ahead of a batch. The acknowledgements of two batches without
// a caller's statement differ in nothing, so second answers to the one would be taken for those
// to the other. A barrier ahead of every other such batch makes their transaction states differ.
func (c *Conn) separate(b Batch) []Request {
	follows := c.queried && !b.HasForward() && c.state == StateIdle
	c.queried = !b.HasForward() && !follows
	if !follows {
		return nil
	}
	return []Request{c.barrier()}
}

// receiveSeparated reads the answers to what separate returned.
func (c *Conn) receiveSeparated(sent []Request) error {
	for _, r := range sent {
		a, err := c.Receive(r)
		if err != nil {
			return err
		}
		if a.Failure != FailureNone {
			return c.fail("separate batches", errAmbiguousFailure)
		}
	}
	return nil
}

func (c *Conn) allowsForward() bool { return c.mayForward == nil || c.mayForward() }

// receiveRollback reads the answer to a rollback. It only decides whether the
// connection can be reused.
func (c *Conn) receiveRollback() {
	if a, err := c.Receive(Request{Verb: VerbRollback}); err != nil || a.Failure != FailureNone {
		c.broken = true
	}
}

// rollBack ensures that no transaction is open.
func (c *Conn) rollBack() {
	if c.broken || c.state == StateIdle {
		return
	}
	if c.doubtful {
		// The close rolls back as well.
		c.broken = true
		return
	}
	a, err := c.Do(time.Now().Add(rollbackTimeout), Request{Verb: VerbRollback})
	if err != nil || a.Failure != FailureNone {
		c.broken = true
	}
}
