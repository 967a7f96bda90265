package server

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/pkg/classifier"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// readRequest reads messages up to the end of a request.
func (c *session) readRequest() error {
	c.request.reset()
	for first := true; ; first = false {
		msg, err := c.backend.Receive()
		if err != nil {
			return readError(err)
		}
		if first && !c.beginRequest() {
			return errSessionRevoked
		}
		done, err := c.addMessage(msg)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
	}
}

// errSessionRevoked means that the session was revoked before the request
// began.
var errSessionRevoked = fmt.Errorf("server: session was revoked")

// readError distinguishes a protocol violation from a closed connection.
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

// addMessage adds one message to the request and reports whether the request is
// complete.
func (c *session) addMessage(msg pgproto3.FrontendMessage) (bool, error) {
	req := &c.request
	switch m := msg.(type) {
	case *pgproto3.Terminate:
		return false, errStartupEnded
	case *pgproto3.Query:
		return true, req.addQuery(m)
	case *pgproto3.Sync:
		req.end = endSync
		c.skippingToSync = false
		return true, nil
	case *pgproto3.Flush:
		req.end = endFlush
		return !c.skippingToSync && (len(req.steps) > 0 || req.failure != nil), nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil
	case *pgproto3.FunctionCall:
		req.failure = refuser.New(refuser.ReasonUnsupported, "function calls are not carried").ErrorResponse()
		req.end = endQuery
		return true, nil
	}
	if c.skippingToSync || req.failure != nil {
		return false, nil
	}
	if len(req.bytes) > c.server.Limits.MaxBatchBytes {
		req.failure = refuser.New(refuser.ReasonBatchTooLarge, "").ErrorResponse()
		return false, nil
	}
	return false, c.addExtended(msg)
}

func (c *session) addExtended(msg pgproto3.FrontendMessage) error {
	req := &c.request
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return c.addParse(m)
	case *pgproto3.Bind:
		st := c.lookupStatement(m.PreparedStatement)
		if st == nil {
			req.failure = unknownStatement(m.PreparedStatement)
			return nil
		}
		c.setPortal(m.DestinationPortal, st.classified)
		m.PreparedStatement = st.upstreamName
		return req.addStep(step{kind: stepBind, statement: st}, m)
	case *pgproto3.Describe:
		if m.ObjectType == 'P' {
			return req.addStep(step{kind: stepDescribePortal}, m)
		}
		st := c.lookupStatement(m.Name)
		if st == nil {
			req.failure = unknownStatement(m.Name)
			return nil
		}
		m.Name = st.upstreamName
		return req.addStep(step{kind: stepDescribeStatement, statement: st}, m)
	case *pgproto3.Execute:
		req.executed = append(req.executed, c.portals[m.Portal])
		return req.addStep(step{kind: stepExecute}, m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			return req.addStep(step{kind: stepCloseStatement, name: m.Name}, m)
		}
		return req.addStep(step{kind: stepClosePortal}, m)
	}
	return refuser.New(refuser.ReasonProtocolViolation, fmt.Sprintf("unexpected message %T", msg))
}

func (c *session) addParse(m *pgproto3.Parse) error {
	req := &c.request
	if m.Name != "" && c.lookupStatement(m.Name) != nil {
		req.failure = errorResponse(sqlstateDuplicateStatement, fmt.Sprintf("prepared statement %q already exists", m.Name))
		return nil
	}
	name := m.Name
	st, err := newStatement(m)
	if err != nil {
		return err
	}
	if req.parsed == nil {
		req.parsed = map[string]*statement{}
	}
	req.parsed[name] = st
	req.steps = append(req.steps, step{kind: stepParse, name: name, statement: st})
	return nil
}

// lookupStatement returns the prepared statement with the client's name, or
// nil.
func (c *session) lookupStatement(name string) *statement {
	if st := c.request.parsed[name]; st != nil {
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

func unknownStatement(name string) *pgproto3.ErrorResponse {
	return errorResponse(sqlstateUnknownStatement, fmt.Sprintf("prepared statement %q does not exist", name))
}
