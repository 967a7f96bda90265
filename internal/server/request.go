package server

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/pkg/classifier"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// statement is a prepared statement of a session.
type statement struct {
	// upstreamName is the statement's name at the upstream: a digest of the
	// text and the parameter types, or empty for the unnamed statement.
	upstreamName string
	classified   classifier.Statement
	// encodedParse is the encoded Parse message.
	encodedParse []byte
}

// newStatement returns the statement that a Parse message prepares. The digest
// is cryptographic, so that no client can construct a text that collides with
// another's.
func newStatement(m *pgproto3.Parse) (*statement, error) {
	st := &statement{}
	if m.Name != "" {
		h := sha256.New()
		_, _ = h.Write([]byte(m.Query))
		for _, oid := range m.ParameterOIDs {
			_, _ = h.Write(binary.BigEndian.AppendUint32([]byte{0}, oid))
		}
		st.upstreamName = "s_" + hex.EncodeToString(h.Sum(nil)[:16])
	}
	statements := classifier.Split(m.Query)
	st.classified = statements[0]
	if len(statements) > 1 {
		st.classified = classifier.Statement{Class: classifier.ClassWrite, Text: m.Query}
	}
	renamed := &pgproto3.Parse{Name: st.upstreamName, Query: m.Query, ParameterOIDs: m.ParameterOIDs}
	b, err := renamed.Encode(nil)
	if err != nil {
		return nil, fmt.Errorf("server: encode Parse: %w", err)
	}
	st.encodedParse = b
	return st, nil
}

// stepKind is the type of the message in a step.
type stepKind string

const (
	stepParse             stepKind = "parse"
	stepBind              stepKind = "bind"
	stepDescribeStatement stepKind = "describe_statement"
	stepDescribePortal    stepKind = "describe_portal"
	stepExecute           stepKind = "execute"
	stepClosePortal       stepKind = "close_portal"
	stepCloseStatement    stepKind = "close_statement"
)

// step is one message of the extended protocol in a request.
type step struct {
	kind stepKind
	// name is the client's name of the statement for Parse and Close.
	name      string
	statement *statement
	// start and end delimit the encoded message in the request's bytes.
	start, end int
}

// requestEnd is the type of the message that ends a request.
type requestEnd string

const (
	endQuery requestEnd = "query"
	endSync  requestEnd = "sync"
	endFlush requestEnd = "flush"
)

// request is what a client sends before it waits for a response: a simple
// query, or messages of the extended protocol up to a Sync or a Flush.
type request struct {
	end   requestEnd
	steps []step
	bytes []byte
	// executed are the statements that the request runs, in order.
	executed []classifier.Statement
	// parsed are the statements that the request's Parse messages prepare, by
	// the client's name.
	parsed map[string]*statement
	// failure is the error with which the proxy answers the request without
	// sending any of it to an upstream.
	failure *pgproto3.ErrorResponse
}

// reset empties the request and keeps its buffers for reuse.
func (req *request) reset() {
	req.end = ""
	req.steps = req.steps[:0]
	req.bytes = req.bytes[:0]
	req.executed = req.executed[:0]
	req.parsed = nil
	req.failure = nil
}

// isEmpty reports whether the request holds no message other than its end.
func (req *request) isEmpty() bool { return len(req.steps) == 0 && req.end != endQuery }

func (req *request) addQuery(m *pgproto3.Query) error {
	req.end = endQuery
	req.executed = append(req.executed, classifier.Split(m.String)...)
	b, err := m.Encode(req.bytes)
	if err != nil {
		return fmt.Errorf("server: encode Query: %w", err)
	}
	req.bytes = b
	return nil
}

func (req *request) addStep(s step, m pgproto3.FrontendMessage) error {
	s.start = len(req.bytes)
	b, err := m.Encode(req.bytes)
	if err != nil {
		return fmt.Errorf("server: encode message: %w", err)
	}
	req.bytes = b
	s.end = len(b)
	req.steps = append(req.steps, s)
	return nil
}

// needsPrimary reports whether the request must run on the primary.
func (req *request) needsPrimary() bool {
	for _, s := range req.executed {
		switch s.Class {
		case classifier.ClassRead, classifier.ClassSet, classifier.ClassReset, classifier.ClassShow,
			classifier.ClassEmpty, classifier.ClassBeginReadOnly, classifier.ClassRollback, classifier.ClassCommit:
		default:
			return true
		}
	}
	return false
}

func (req *request) has(class classifier.Class) bool {
	for _, s := range req.executed {
		if s.Class == class {
			return true
		}
	}
	return false
}

// beginsTransaction reports whether the request opens a transaction block.
func (req *request) beginsTransaction() bool {
	return req.has(classifier.ClassBegin) || req.has(classifier.ClassBeginReadOnly)
}

// validate returns a refusal when the request holds a statement that the proxy
// does not support.
func (req *request) validate() *refuser.Refusal {
	if req.has(classifier.ClassUnsupported) {
		return refuser.New(refuser.ReasonUnsupported, "COPY, LISTEN and NOTIFY are not carried")
	}
	if req.end == endFlush && req.has(classifier.ClassCommit) {
		return refuser.New(refuser.ReasonUnsupported, "COMMIT must be followed by Sync, not by Flush")
	}
	settings := req.has(classifier.ClassSet) || req.has(classifier.ClassReset)
	if settings && req.end == endQuery && len(req.executed) > 1 {
		return refuser.New(refuser.ReasonUnsupported, "SET and RESET must be sent one to a query")
	}
	return nil
}
