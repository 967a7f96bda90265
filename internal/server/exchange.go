package server

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/pkg/classifier"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// flushBytes is the size at which a part of an answer is written.
	flushBytes = 32 << 10
	// heldBytes bounds the part of an answer held until its commit is safe.
	heldBytes = 1 << 20
	// asyncWriteBytes is the size from which a unit is sent by a goroutine of
	// its own, so that upstream and proxy cannot block each other.
	asyncWriteBytes = 32 << 10
)

// errHeldTooLarge means that an answer behind a COMMIT is too large to hold.
var errHeldTooLarge = errors.New("server: answer behind COMMIT is too large")

// target is where a unit goes.
type target struct {
	group    string
	upstream string
	term     uint64
	primary  bool
}

// exchange sends one unit to one upstream connection and relays the answer.
type exchange struct {
	session *session
	conn    *pooler.Conn
	target  target
	unit    *unit
	// inTransaction is true when the connection is in an open transaction.
	inTransaction bool

	expected []expectation
	// start is the length of the session's answer before this exchange.
	start int
	// hold is where the part of the answer begins that must not be written
	// before the commit is safe, or -1.
	hold      int
	committed bool

	// defined are the caller's statements that this exchange defined.
	defined []string
	// sent is true when a byte may have reached the upstream.
	sent bool
	// relayed is true when a byte of the answer was written to the caller.
	relayed bool
	// failed is the code of the first error that the upstream answered.
	failed string
	// position is the last position that the upstream reported in this exchange.
	position tracker.Position
	reported bool
	status   byte
	done     bool
}

// run carries out the exchange. On nil the answer up to ReadyForQuery, or up
// to the last message of a flushed unit, is in the session's buffer.
func (x *exchange) run(ctx context.Context) error {
	x.start = len(x.session.out)
	x.hold = -1
	c := &composer{conn: x.conn}
	replay := ""
	if !x.inTransaction {
		replay = x.session.replayText(x.conn.Settings)
	}
	if replay != "" {
		if err := c.add(&pgproto3.Query{String: replay}); err != nil {
			return err
		}
	}
	if err := c.compose(x.unit); err != nil {
		return err
	}
	x.expected = c.expected
	x.conn.SetDeadline(time.Now().Add(x.session.server.Bounds.StatementTimeout))
	stop := context.AfterFunc(ctx, func() { x.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	wait, err := x.send(c.bytes)
	if err != nil {
		return err
	}
	if replay != "" {
		err = x.skipReplay()
	}
	if err == nil {
		err = x.relay()
	}
	if werr := wait(); err == nil {
		err = werr
	}
	return err
}

// send writes the unit. The returned function waits for the write's end.
func (x *exchange) send(b []byte) (func() error, error) {
	if len(b) < asyncWriteBytes {
		n, err := x.conn.Write(b)
		x.sent = n > 0
		return func() error { return nil }, err
	}
	x.sent = true
	done := make(chan error, 1)
	go func() {
		_, err := x.conn.Write(b)
		done <- err
	}()
	return func() error { return <-done }, nil
}

// skipReplay reads the answer to the settings sent ahead of the unit.
func (x *exchange) skipReplay() error {
	failed := ""
	for {
		msg, err := x.conn.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			failed = m.Message
		case *pgproto3.ParameterStatus:
			x.conn.TakePosition(m)
		case *pgproto3.ReadyForQuery:
			if failed != "" {
				return errors.New("server: replay of session settings: " + failed)
			}
			clear(x.conn.Settings)
			for name, value := range x.session.settings {
				if isReplayed(name) {
					x.conn.Settings[name] = value
				}
			}
			return nil
		}
	}
}

// relay passes on messages until the unit is answered.
func (x *exchange) relay() error {
	if err := x.emitSynthetic(); err != nil {
		return err
	}
	for !x.done {
		msg, err := x.conn.Receive()
		if err != nil {
			return err
		}
		if err := x.take(msg); err != nil {
			return err
		}
		if err := x.flushPart(); err != nil {
			return err
		}
	}
	return nil
}

// take handles one message of the upstream.
func (x *exchange) take(msg pgproto3.BackendMessage) error {
	c := x.session
	switch m := msg.(type) {
	case *pgproto3.ParameterStatus:
		if p, ok := x.conn.TakePosition(m); ok {
			x.position, x.reported = p, true
			c.server.Watcher.Board(x.target.group).Report(x.target.upstream, p)
			return nil
		}
		return c.emit(m)
	case *pgproto3.ReadyForQuery:
		x.status = m.TxStatus
		x.done = true
		return nil
	case *pgproto3.ErrorResponse:
		if x.failed == "" {
			x.failed = m.Code
		}
		x.expected = nil
		x.done = x.unit.end == endFlush
		return c.emit(m)
	case *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		return c.emit(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return errors.New("server: upstream began a COPY that was not asked for")
	}
	return x.takeAnswer(msg)
}

// takeAnswer handles a message that belongs to the unit's answer proper.
func (x *exchange) takeAnswer(msg pgproto3.BackendMessage) error {
	c := x.session
	x.adjustHold(msg)
	if x.unit.end == endQuery {
		return c.emit(msg)
	}
	if len(x.expected) == 0 {
		return errors.New("server: upstream sent more than was asked for")
	}
	head := x.expected[0]
	if head.isAnsweredBy(msg) {
		x.expected = x.expected[1:]
		x.settle(head)
	}
	if !head.swallowed {
		if err := c.emit(msg); err != nil {
			return err
		}
	}
	return x.emitSynthetic()
}

// settle takes over what an answered message changed.
func (x *exchange) settle(e expectation) {
	c := x.session
	switch e.kind {
	case stepParse:
		if e.statement.name != "" && !e.synthetic {
			x.conn.MarkPrepared(e.statement.name)
		}
		if !e.swallowed {
			if c.statements == nil {
				c.statements = map[string]*statement{}
			}
			c.statements[e.name] = e.statement
			x.defined = append(x.defined, e.name)
		}
	case stepCloseStatement:
		if !e.swallowed {
			delete(c.statements, e.name)
		}
	}
}

// emitSynthetic answers the messages that were not sent, up to the first one
// that was. A flushed unit is done when nothing is expected any more.
func (x *exchange) emitSynthetic() error {
	for len(x.expected) > 0 && x.expected[0].synthetic {
		e := x.expected[0]
		x.expected = x.expected[1:]
		x.settle(e)
		if err := x.session.emit(e.answer()); err != nil {
			return err
		}
	}
	if x.unit.end == endFlush && len(x.expected) == 0 {
		x.done = true
	}
	return nil
}

// acknowledges reports whether the unit's answer may acknowledge work that
// must survive, so that its end has to be held.
func (x *exchange) acknowledges() bool {
	return x.target.primary && (!x.inTransaction || x.unit.has(classifier.ClassCommit))
}

// adjustHold moves the beginning of the held part: it is the last completed
// statement, and from a COMMIT on everything.
func (x *exchange) adjustHold(msg pgproto3.BackendMessage) {
	if !x.acknowledges() || x.committed {
		return
	}
	x.hold = -1
	m, ok := msg.(*pgproto3.CommandComplete)
	if !ok {
		return
	}
	x.hold = len(x.session.out)
	x.committed = string(m.CommandTag) == "COMMIT"
}

// flushPart writes what may be written when enough has gathered.
func (x *exchange) flushPart() error {
	c := x.session
	if len(c.out) < flushBytes {
		return nil
	}
	if x.hold < 0 {
		x.relayed = true
		return c.flush()
	}
	if len(c.out)-x.hold > heldBytes {
		return errHeldTooLarge
	}
	if x.hold >= flushBytes {
		x.relayed = true
		n := x.hold
		x.hold = 0
		return c.flushTo(n)
	}
	return nil
}

// retract takes back the held part of the answer, or the whole of it when
// nothing was written yet.
func (x *exchange) retract() {
	c := x.session
	switch {
	case !x.relayed:
		c.out = c.out[:min(x.start, len(c.out))]
		for _, name := range x.defined {
			// The caller never learns that its statement was defined.
			delete(c.statements, name)
		}
	case x.hold >= 0:
		c.out = c.out[:x.hold]
	}
}

// verdict tells what became of a unit whose exchange broke off.
func (x *exchange) verdict() refuser.Verdict {
	switch {
	case !x.sent:
		return refuser.NotRun
	case x.inTransaction && !x.unit.has(classifier.ClassCommit):
		return refuser.NotRun
	case !x.target.primary && !x.relayed:
		return refuser.NotRun
	}
	return refuser.MayHaveRun
}

// confirm waits until the commit is safe and checks the fence. It returns the
// refusal that takes the place of the acknowledgement.
func (x *exchange) confirm(ctx context.Context) *refuser.Refusal {
	s := x.session.server
	if !x.acknowledges() || x.failed != "" && !x.reported {
		return nil
	}
	if x.reported {
		start := time.Now()
		group := func() configurer.Group { return s.State().Groups[x.target.group] }
		ctx, cancel := context.WithTimeout(ctx, s.Bounds.SafeTimeout)
		defer cancel()
		if err := s.Watcher.Board(x.target.group).WaitSafe(ctx, group, x.position); err != nil {
			return refuser.Wrap(refuser.ReasonCommitUnsafe, "position "+x.position.String(), err)
		}
		s.Meter.CommitHeld(time.Since(start))
	}
	if !s.Fence(x.target.group, x.target.upstream, x.target.term) {
		r := refuser.New(refuser.ReasonPrimaryReplaced, "group "+x.target.group)
		if !x.reported {
			return r.WithVerdict(refuser.NotRun)
		}
		return r
	}
	return nil
}
