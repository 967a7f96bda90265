package connector

import (
	"errors"
	"time"
)

// maxStrayAnswers bounds the second answers that are skipped while one answer is awaited.
const maxStrayAnswers = 16

var (
	// errIncomplete is returned for an answer that reports neither success nor failure.
	errIncomplete = errors.New("answer has no completion")
	// errLost is returned for a connection whose state became uncertain.
	errLost = errors.New("its state is uncertain since an earlier request")
	// errUnfit is returned for an answer that is certainly not the one to the request, and
	// is no second answer of an earlier one either.
	errUnfit = errors.New("answer does not fit the request")
	// errTooManyStrayAnswers is returned if maxStrayAnswers were skipped.
	errTooManyStrayAnswers = errors.New("too many answers to earlier requests")
	// errAmbiguousPosition is returned for a position that may be that of an earlier request.
	errAmbiguousPosition = errors.New("position may be that of an earlier request")
	// errAmbiguousFailure is returned for a failure that may belong to an earlier request.
	errAmbiguousFailure = errors.New("failure may be that of an earlier request")
)

// Receive reads the answer to r, the next outstanding request. It skips second answers to
// earlier requests; the connection is then not reused.
func (c *Conn) Receive(r Request) (Answer, error) {
	a, _, err := c.receive(r, nil)
	return a, err
}

// receive reads the answer to r. If next was sent with r, it may read the answer to that as
// well, and reports so.
func (c *Conn) receive(r Request, next []Request) (a Answer, nextAnswered bool, err error) {
	for range maxStrayAnswers {
		if a, err = c.read(); err != nil {
			return a, false, err
		}
		if a.Failure != FailureNone {
			return c.receiveFailure(r, a, next)
		}
		kind, err := c.classify(r, a)
		if err != nil {
			c.reportStray(StrayUnfit, r.Verb)
			return a, false, c.fail("read answer", err)
		}
		if kind == "" {
			c.accept(a)
			return a, false, nil
		}
		c.skip(kind, r.Verb)
	}
	return Answer{}, false, c.fail("read answer", errTooManyStrayAnswers)
}

// read reads one answer, whichever request it belongs to.
func (c *Conn) read() (Answer, error) {
	c.received = 0
	a, err := c.codec.ReadAnswer(c.r)
	if err != nil {
		return a, c.fail("read answer", err)
	}
	return a, nil
}

// classify returns by what a successful answer is recognised as the second one to an earlier
// request, or nothing if it is the one to r. Its error means that it is neither.
func (c *Conn) classify(r Request, a Answer) (StrayKind, error) {
	isGreeting := !a.Completed && a.Rows == 0
	switch {
	case isGreeting:
		return StrayUnfit, nil
	case !a.Completed:
		return "", errIncomplete
	case c.receipts.has(a.Receipt):
		return StrayRepeated, nil
	case a.fits(r, c.state):
		return "", nil
	case len(a.Receipt) > 0 || a.Rows > 0:
		return "", errUnfit
	}
	// The proxy's own requests have no receipts.
	return StrayUnfit, nil
}

func (c *Conn) accept(a Answer) {
	c.state = a.State
	c.receipts.add(a.Receipt)
	c.acknowledged = c.acknowledged || isIdle(a)
	c.hasBegun = c.hasBegun || a.State == StateInTransaction
}

// skip reports a stray answer and ensures that the connection is not reused.
func (c *Conn) skip(kind StrayKind, verb Verb) {
	c.doubtful = true
	c.reportStray(kind, verb)
}

// receiveFailure handles a failure in place of the answer to r. Nothing in a failure ties it
// to its request: the first on a connection is believed, any other may be the second answer
// to an earlier request. Its error means that r may have run.
func (c *Conn) receiveFailure(r Request, a Answer, next []Request) (Answer, bool, error) {
	isFirst := !c.failed && !c.doubtful
	// A statement that fails leaves its transaction open, unless it is a commit. Without one,
	// the failure may be that of the BEGIN, and the statement's answer is still to come.
	maybeBegin := r.Verb == VerbForward && c.state != StateIdle && a.State == StateIdle
	c.failed, c.state = true, a.State
	c.broken = c.broken || maybeBegin
	switch {
	case isFirst:
		return a, false, nil
	case maybeBegin:
		c.reportStray(StrayDoubtful, r.Verb)
		return Answer{}, false, c.fail("read answer", errAmbiguousFailure)
	case r.Verb == VerbForward && (!c.readOnly || c.canConfirm()), r.Verb == VerbBegin && c.canConfirm():
		return c.confirm(r, a, next)
	}
	// Nothing of a caller was sent that has an effect.
	c.broken = true
	return a, false, nil
}

// canConfirm reports whether the next acknowledgement outside a transaction cannot be the second
// one of an earlier request.
func (c *Conn) canConfirm() bool { return !c.acknowledged }

// isIdle reports whether an answer acknowledges a request without receipt and leaves no
// transaction open.
func isIdle(a Answer) bool {
	return a.Completed && a.Rows == 0 && len(a.Receipt) == 0 && a.State == StateIdle
}

// confirm decides whether a failure is the answer to r, a caller's statement or the begin of
// a transaction. Upstreams answer in order, so the acknowledgement of a later request follows
// the answer to r.
func (c *Conn) confirm(r Request, failure Answer, next []Request) (Answer, bool, error) {
	if len(next) == 0 {
		if err := c.Send(c.deadline, c.barrier()); err != nil {
			return Answer{}, false, err
		}
	}
	for range maxStrayAnswers {
		a, err := c.read()
		switch {
		case err != nil:
			return a, false, err
		case a.Failure != FailureNone, isIdle(a) && !c.canConfirm():
			c.reportStray(StrayDoubtful, r.Verb)
			return Answer{}, false, c.fail("read answer", errAmbiguousFailure)
		case c.receipts.has(a.Receipt):
			c.skip(StrayRepeated, r.Verb)
		case len(a.Receipt) > 0:
			return c.acceptAfterFailure(r, a, next)
		case isIdle(a):
			c.accept(a)
			failure.State = a.State
			return failure, len(next) > 0, nil
		case r.Verb == VerbBegin:
			// The transaction was begun. Nothing of a caller was sent, and the close ends it.
			c.skip(StrayDoubtful, r.Verb)
			c.broken = true
			return failure, false, nil
		default:
			c.skip(StrayUnfit, r.Verb)
		}
	}
	return Answer{}, false, c.fail("read answer", errTooManyStrayAnswers)
}

// barrier returns a request without effect on data that leaves no transaction open. It keeps
// the connection's session values.
func (c *Conn) barrier() Request {
	if c.state != StateIdle {
		return Request{Verb: VerbRollback}
	}
	for name, value := range c.values {
		return Request{Verb: VerbSet, Text: name + " " + value}
	}
	clear(c.prepared)
	return Request{Verb: VerbReset}
}

// acceptAfterFailure returns the answer to r that came after the second answer to an earlier
// request. The connection ends with it.
func (c *Conn) acceptAfterFailure(r Request, a Answer, next []Request) (Answer, bool, error) {
	c.skip(StrayDoubtful, r.Verb)
	c.broken = true
	if a.State != StateIdle && len(next) == 0 {
		// The transaction was rolled back to find out.
		return Answer{}, false, c.fail("read answer", errAmbiguousFailure)
	}
	return a, false, nil
}

// settle skips second answers that came since the last request was answered. Its error means
// that the connection cannot be used, and nothing was sent.
func (c *Conn) settle(deadline time.Time) error {
	if c.checked {
		c.checked = false
		return nil
	}
	for range maxStrayAnswers {
		unread, err := c.hasUnread()
		if err != nil {
			return c.fail("check", err)
		}
		if !unread {
			return nil
		}
		if err := c.net.SetDeadline(deadline); err != nil {
			return c.fail("set deadline", err)
		}
		a, err := c.read()
		if err != nil {
			return err
		}
		c.skip(StrayUnread, "")
		if !c.isSecond(a) {
			return c.fail("check", errUnfit)
		}
	}
	return c.fail("check", errTooManyStrayAnswers)
}

// isSecond reports whether an answer can be the second one to an earlier request.
func (c *Conn) isSecond(a Answer) bool {
	if a.Failure != FailureNone {
		return c.failed && a.State == c.state
	}
	return len(a.Receipt) == 0 || c.receipts.has(a.Receipt)
}

// isReusable reports whether a connection can serve another lease: its state is certain, no
// transaction is open, and every second answer would be recognised.
func (c *Conn) isReusable() bool {
	return !c.broken && !c.doubtful && c.state == StateIdle && !c.receipts.isFull()
}

// hasUnread reports whether bytes were received that belong to no outstanding request. Its
// error is the end of the connection.
func (c *Conn) hasUnread() (bool, error) {
	if c.r.Buffered() > 0 {
		return true, nil
	}
	return c.peeker.HasUnread()
}

// isUsable reports whether an idle connection can be used: it is open, and nothing was
// received since its last answer.
func (c *Conn) isUsable() bool {
	unread, err := c.hasUnread()
	if unread {
		c.reportStray(StrayUnread, "")
	}
	c.checked = !unread && err == nil
	return c.checked
}

// wouldDoubt reports whether a failure could not be told from the second answer to an earlier
// request.
func (c *Conn) wouldDoubt() bool { return c.failed && !c.canConfirm() }
