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
	// flushThreshold is the buffered size at which a part of a response is
	// written.
	flushThreshold = 32 << 10
	// maxHeldBytes is the maximum size of the part of a response that is held
	// until its commit is safe.
	maxHeldBytes = 1 << 20
	// asyncWriteThreshold is the size from which a request is written by a
	// separate goroutine, so that upstream and proxy cannot block each other.
	asyncWriteThreshold = 32 << 10
)

// errHeldResponseTooLarge means that the response after a COMMIT exceeds
// maxHeldBytes.
var errHeldResponseTooLarge = errors.New("server: response after COMMIT is too large")

// target is the upstream that a request is sent to.
type target struct {
	group    string
	upstream string
	term     uint64
	primary  bool
}

// exchange sends one request over one upstream connection and relays the
// response.
type exchange struct {
	session *session
	conn    *pooler.Conn
	target  target
	request *request
	// inTransaction is true when the connection is in an open transaction.
	inTransaction bool

	expected []expectedResponse
	// responseStart is the length of the session's response buffer before this
	// exchange.
	responseStart int
	// heldFrom is the offset of the part of the response that must not be
	// written before the commit is safe, or -1.
	heldFrom  int
	committed bool

	// defined holds the client's names of the statements that this exchange
	// prepared.
	defined []string
	// sent is true when the upstream may have received a byte of the request.
	sent bool
	// relayed is true when a byte of the response was written to the client.
	relayed bool
	// sqlstate is the code of the first error that the upstream returned.
	sqlstate string
	// position is the last position that the upstream reported in this
	// exchange.
	position         tracker.Position
	positionReported bool
	status           byte
	done             bool
}

// run performs the exchange. When it returns nil, the session's buffer holds
// the response up to ReadyForQuery, or up to the last message of a request that
// ends with Flush.
func (x *exchange) run(ctx context.Context) error {
	x.responseStart = len(x.session.response)
	x.heldFrom = -1
	enc := &requestEncoder{conn: x.conn}
	replay := ""
	if !x.inTransaction {
		replay = x.session.replaySQL(x.conn.Settings)
	}
	if replay != "" {
		if err := enc.appendMessage(&pgproto3.Query{String: replay}); err != nil {
			return err
		}
	}
	if err := enc.encode(x.request); err != nil {
		return err
	}
	x.expected = enc.expected
	x.conn.SetDeadline(time.Now().Add(x.session.server.Limits.StatementTimeout))
	stop := context.AfterFunc(ctx, func() { x.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if x.session.bound != nil {
		if err := x.conn.Settle(x.handleMessage); err != nil {
			return err
		}
	}
	wait, err := x.send(enc.bytes)
	if err != nil {
		return err
	}
	if replay != "" {
		err = x.awaitReplay()
	}
	if err == nil {
		err = x.relay()
	}
	if writeErr := wait(); err == nil {
		err = writeErr
	}
	return err
}

// send writes the request. The returned function waits until the write is
// complete.
func (x *exchange) send(b []byte) (func() error, error) {
	if len(b) < asyncWriteThreshold {
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

// awaitReplay reads the response to the settings that were sent ahead of the
// request.
func (x *exchange) awaitReplay() error {
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
			x.conn.RecordPosition(m)
		case *pgproto3.ReadyForQuery:
			if failed != "" {
				return errors.New("server: replay session settings: " + failed)
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

// relay forwards messages until the response is complete.
func (x *exchange) relay() error {
	if err := x.emitSynthetic(); err != nil {
		return err
	}
	for !x.done {
		msg, err := x.conn.Receive()
		if err != nil {
			return err
		}
		if err := x.handleMessage(msg); err != nil {
			return err
		}
		if err := x.flushPartial(); err != nil {
			return err
		}
	}
	return nil
}

// handleMessage handles one message of the upstream.
func (x *exchange) handleMessage(msg pgproto3.BackendMessage) error {
	c := x.session
	switch m := msg.(type) {
	case *pgproto3.ParameterStatus:
		if p, ok := x.conn.RecordPosition(m); ok {
			x.position, x.positionReported = p, true
			c.server.Watcher.GroupStatus(x.target.group).Report(x.target.upstream, p)
			return nil
		}
		return c.emit(m)
	case *pgproto3.ReadyForQuery:
		if !x.fitsStatus(m.TxStatus) {
			return errUnfitResponse
		}
		x.status = m.TxStatus
		x.done = true
		return nil
	case *pgproto3.ErrorResponse:
		if x.sqlstate == "" {
			x.sqlstate = m.Code
		}
		x.expected = nil
		x.done = x.request.end == endFlush
		return c.emit(m)
	case *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		return c.emit(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return errors.New("server: upstream started an unrequested COPY")
	}
	return x.handleResponse(msg)
}

// handleResponse handles a message that belongs to the response of the request
// itself.
func (x *exchange) handleResponse(msg pgproto3.BackendMessage) error {
	c := x.session
	if m, ok := msg.(*pgproto3.CommandComplete); ok && !x.request.fitsTag(string(m.CommandTag)) {
		return errUnfitResponse
	}
	x.updateHeldFrom(msg)
	if x.request.end == endQuery {
		return c.emit(msg)
	}
	if len(x.expected) == 0 {
		return errors.New("server: unexpected message from upstream after the response")
	}
	head := x.expected[0]
	if head.isCompletedBy(msg) {
		x.expected = x.expected[1:]
		x.applyCompletion(head)
	}
	if !head.suppressed {
		if err := c.emit(msg); err != nil {
			return err
		}
	}
	return x.emitSynthetic()
}

// applyCompletion records the change that a completed message made to the
// session's or the connection's prepared statements.
func (x *exchange) applyCompletion(e expectedResponse) {
	c := x.session
	switch e.kind {
	case stepParse:
		if e.statement.upstreamName != "" && !e.synthetic {
			x.conn.MarkPrepared(e.statement.upstreamName)
		}
		if !e.suppressed {
			if c.statements == nil {
				c.statements = map[string]*statement{}
			}
			c.statements[e.name] = e.statement
			x.defined = append(x.defined, e.name)
		}
	case stepCloseStatement:
		if !e.suppressed {
			delete(c.statements, e.name)
		}
	}
}

// emitSynthetic emits the responses to messages that were not sent, up to the
// first one that was. A request that ends with Flush is done when no further
// response is expected.
func (x *exchange) emitSynthetic() error {
	for len(x.expected) > 0 && x.expected[0].synthetic {
		e := x.expected[0]
		x.expected = x.expected[1:]
		x.applyCompletion(e)
		if err := x.session.emit(e.syntheticResponse()); err != nil {
			return err
		}
	}
	if x.request.end == endFlush && len(x.expected) == 0 {
		x.done = true
	}
	return nil
}

// mayAcknowledgeCommit reports whether the response may acknowledge a durable
// write, so that its end must be held back.
func (x *exchange) mayAcknowledgeCommit() bool {
	return x.target.primary && (!x.inTransaction || x.request.has(classifier.ClassCommit))
}

// updateHeldFrom updates the start of the held part: a CommandComplete is held
// until another message follows it, and from a COMMIT on everything is held.
func (x *exchange) updateHeldFrom(msg pgproto3.BackendMessage) {
	if !x.mayAcknowledgeCommit() || x.committed {
		return
	}
	x.heldFrom = -1
	m, ok := msg.(*pgproto3.CommandComplete)
	if !ok {
		return
	}
	x.heldFrom = len(x.session.response)
	x.committed = string(m.CommandTag) == "COMMIT"
}

// flushPartial writes the part of the response that need not be held once
// flushThreshold is reached.
func (x *exchange) flushPartial() error {
	c := x.session
	if len(c.response) < flushThreshold {
		return nil
	}
	if x.heldFrom < 0 {
		x.relayed = true
		return c.flush()
	}
	if len(c.response)-x.heldFrom > maxHeldBytes {
		return errHeldResponseTooLarge
	}
	if x.heldFrom >= flushThreshold {
		x.relayed = true
		n := x.heldFrom
		x.heldFrom = 0
		return c.flushTo(n)
	}
	return nil
}

// truncateResponse discards the held part of the response, or all of it when
// nothing was written yet.
func (x *exchange) truncateResponse() {
	c := x.session
	switch {
	case !x.relayed:
		c.response = c.response[:min(x.responseStart, len(c.response))]
		for _, name := range x.defined {
			// The client never learns that its statement was prepared.
			delete(c.statements, name)
		}
	case x.heldFrom >= 0:
		c.response = c.response[:x.heldFrom]
	}
}

// verdict returns whether a request whose exchange failed may have run.
func (x *exchange) verdict() refuser.Verdict {
	switch {
	case !x.sent:
		return refuser.NotRun
	case x.inTransaction && !x.request.has(classifier.ClassCommit):
		return refuser.NotRun
	case !x.target.primary && !x.relayed:
		return refuser.NotRun
	}
	return refuser.MayHaveRun
}

// confirmCommit waits until the commit is safe, then checks MayAcknowledge. It
// returns the refusal to send instead of the acknowledgement, or nil.
func (x *exchange) confirmCommit(ctx context.Context) *refuser.Refusal {
	s := x.session.server
	if !x.mayAcknowledgeCommit() || x.sqlstate != "" && !x.positionReported {
		return nil
	}
	if x.positionReported {
		start := time.Now()
		group := func() configurer.Group { return s.State().Groups[x.target.group] }
		ctx, cancel := context.WithTimeout(ctx, s.Limits.ReplicationTimeout)
		defer cancel()
		if err := s.Watcher.GroupStatus(x.target.group).WaitQuorum(ctx, group, x.position); err != nil {
			return refuser.Wrap(refuser.ReasonCommitUnsafe, "position "+x.position.String(), err)
		}
		s.Meter.ObserveCommitHold(time.Since(start))
	}
	if !s.MayAcknowledge(x.target.group, x.target.upstream, x.target.term) {
		r := refuser.New(refuser.ReasonPrimaryReplaced, "group "+x.target.group)
		if !x.positionReported {
			return r.WithVerdict(refuser.NotRun)
		}
		return r
	}
	return nil
}
