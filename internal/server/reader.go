package server

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/pkg/classifier"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// readUnit reads messages up to the end of a unit.
func (c *session) readUnit() error {
	c.unit.reset()
	for first := true; ; first = false {
		msg, err := c.backend.Receive()
		if err != nil {
			return readError(err)
		}
		if first && !c.beginWork() {
			return errSessionRevoked
		}
		done, err := c.take(msg)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
	}
}

// errSessionRevoked means that the session ended before the unit began.
var errSessionRevoked = fmt.Errorf("server: session was revoked")

// readError tells a message that does not fit the protocol from a closed
// connection.
func readError(err error) error {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if asError(err, &tooLong) {
		return refuser.Wrap(refuser.ReasonProtocolViolation, "message is too long", err)
	}
	if isNetError(err) {
		return err
	}
	return refuser.Wrap(refuser.ReasonProtocolViolation, err.Error(), err)
}

// take adds one message to the unit and reports whether the unit is complete.
func (c *session) take(msg pgproto3.FrontendMessage) (bool, error) {
	u := &c.unit
	switch m := msg.(type) {
	case *pgproto3.Terminate:
		return false, errStartupEnded
	case *pgproto3.Query:
		return true, u.addQuery(m)
	case *pgproto3.Sync:
		u.end = endSync
		c.skipping = false
		return true, nil
	case *pgproto3.Flush:
		u.end = endFlush
		return !c.skipping && (len(u.steps) > 0 || u.failure != nil), nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil
	case *pgproto3.FunctionCall:
		u.failure = refuser.New(refuser.ReasonUnsupported, "function calls are not carried").Response()
		u.end = endQuery
		return true, nil
	}
	if c.skipping || u.failure != nil {
		return false, nil
	}
	if len(u.bytes) > c.server.Bounds.BatchBytes {
		u.failure = refuser.New(refuser.ReasonBatchTooLarge, "").Response()
		return false, nil
	}
	return false, c.takeExtended(msg)
}

func (c *session) takeExtended(msg pgproto3.FrontendMessage) error {
	u := &c.unit
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return c.takeParse(m)
	case *pgproto3.Bind:
		st := c.lookup(m.PreparedStatement)
		if st == nil {
			u.failure = noStatement(m.PreparedStatement)
			return nil
		}
		c.setPortal(m.DestinationPortal, st.parsed)
		m.PreparedStatement = st.name
		return u.addStep(step{kind: stepBind, statement: st}, m)
	case *pgproto3.Describe:
		if m.ObjectType == 'P' {
			return u.addStep(step{kind: stepDescribePortal}, m)
		}
		st := c.lookup(m.Name)
		if st == nil {
			u.failure = noStatement(m.Name)
			return nil
		}
		m.Name = st.name
		return u.addStep(step{kind: stepDescribeStatement, statement: st}, m)
	case *pgproto3.Execute:
		u.executed = append(u.executed, c.portals[m.Portal])
		return u.addStep(step{kind: stepExecute}, m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			return u.addStep(step{kind: stepCloseStatement, name: m.Name}, m)
		}
		return u.addStep(step{kind: stepClosePortal}, m)
	}
	return refuser.New(refuser.ReasonProtocolViolation, fmt.Sprintf("unexpected message %T", msg))
}

func (c *session) takeParse(m *pgproto3.Parse) error {
	u := &c.unit
	if m.Name != "" && c.lookup(m.Name) != nil {
		u.failure = errorResponse(stateDuplicate, fmt.Sprintf("prepared statement %q already exists", m.Name))
		return nil
	}
	name := m.Name
	st, err := newStatement(m)
	if err != nil {
		return err
	}
	if u.parsed == nil {
		u.parsed = map[string]*statement{}
	}
	u.parsed[name] = st
	u.steps = append(u.steps, step{kind: stepParse, name: name, statement: st})
	return nil
}

// lookup finds a statement by the caller's name.
func (c *session) lookup(name string) *statement {
	if st := c.unit.parsed[name]; st != nil {
		return st
	}
	return c.statements[name]
}

func (c *session) setPortal(name string, s classifier.Statement) {
	if c.portals == nil {
		c.portals = map[string]classifier.Statement{}
	}
	c.portals[name] = s
}

func noStatement(name string) *pgproto3.ErrorResponse {
	return errorResponse(stateNoStatement, fmt.Sprintf("prepared statement %q does not exist", name))
}
