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
	// name is the upstream's name for it: a digest of the text and the
	// parameter types, or empty for the unnamed statement.
	name   string
	parsed classifier.Statement
	// parse is the encoded Parse message.
	parse []byte
}

// newStatement describes a Parse message. The digest is a cryptographic one,
// so that no caller can choose a text that collides with another's.
func newStatement(m *pgproto3.Parse) (*statement, error) {
	st := &statement{}
	if m.Name != "" {
		h := sha256.New()
		_, _ = h.Write([]byte(m.Query))
		for _, oid := range m.ParameterOIDs {
			_, _ = h.Write(binary.BigEndian.AppendUint32([]byte{0}, oid))
		}
		st.name = "s_" + hex.EncodeToString(h.Sum(nil)[:16])
	}
	statements := classifier.Split(m.Query)
	st.parsed = statements[0]
	if len(statements) > 1 {
		st.parsed = classifier.Statement{Class: classifier.ClassWrite, Text: m.Query}
	}
	renamed := &pgproto3.Parse{Name: st.name, Query: m.Query, ParameterOIDs: m.ParameterOIDs}
	b, err := renamed.Encode(nil)
	if err != nil {
		return nil, fmt.Errorf("server: encode Parse: %w", err)
	}
	st.parse = b
	return st, nil
}

// stepKind names the message of a step.
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

// step is one extended message of a unit.
type step struct {
	kind stepKind
	// name is the caller's name of the statement for Parse and Close.
	name      string
	statement *statement
	// start and end delimit the encoded message in the unit's bytes.
	start, end int
}

// unitEnd names the message that ended a unit.
type unitEnd string

const (
	endQuery unitEnd = "query"
	endSync  unitEnd = "sync"
	endFlush unitEnd = "flush"
)

// unit is what a caller sends before it waits for an answer: a simple query,
// or extended messages up to a Sync or a Flush.
type unit struct {
	end   unitEnd
	steps []step
	bytes []byte
	// executed are the statements that the unit runs, in order.
	executed []classifier.Statement
	// parsed are the statements that the unit's Parse messages define.
	parsed map[string]*statement
	// failure ends the unit with an error before anything is sent.
	failure *pgproto3.ErrorResponse
}

// reset empties the unit and keeps its memory.
func (u *unit) reset() {
	u.end = ""
	u.steps = u.steps[:0]
	u.bytes = u.bytes[:0]
	u.executed = u.executed[:0]
	u.parsed = nil
	u.failure = nil
}

// isEmpty reports whether the unit holds no message besides its end.
func (u *unit) isEmpty() bool { return len(u.steps) == 0 && u.end != endQuery }

func (u *unit) addQuery(m *pgproto3.Query) error {
	u.end = endQuery
	u.executed = append(u.executed, classifier.Split(m.String)...)
	b, err := m.Encode(u.bytes)
	if err != nil {
		return fmt.Errorf("server: encode Query: %w", err)
	}
	u.bytes = b
	return nil
}

func (u *unit) addStep(s step, m pgproto3.FrontendMessage) error {
	s.start = len(u.bytes)
	b, err := m.Encode(u.bytes)
	if err != nil {
		return fmt.Errorf("server: encode message: %w", err)
	}
	u.bytes = b
	s.end = len(b)
	u.steps = append(u.steps, s)
	return nil
}

// needsPrimary reports whether the unit may only run on the primary.
func (u *unit) needsPrimary() bool {
	for _, s := range u.executed {
		switch s.Class {
		case classifier.ClassRead, classifier.ClassSet, classifier.ClassReset, classifier.ClassShow,
			classifier.ClassEmpty, classifier.ClassBeginReadOnly, classifier.ClassRollback, classifier.ClassCommit:
		default:
			return true
		}
	}
	return false
}

func (u *unit) has(class classifier.Class) bool {
	for _, s := range u.executed {
		if s.Class == class {
			return true
		}
	}
	return false
}

// begins reports whether the unit opens a transaction block.
func (u *unit) begins() bool {
	return u.has(classifier.ClassBegin) || u.has(classifier.ClassBeginReadOnly)
}

// check returns a refusal when the unit holds a statement that the proxy does
// not carry.
func (u *unit) check() *refuser.Refusal {
	if u.has(classifier.ClassUnsupported) {
		return refuser.New(refuser.ReasonUnsupported, "COPY, LISTEN and NOTIFY are not carried")
	}
	if u.end == endFlush && u.has(classifier.ClassCommit) {
		return refuser.New(refuser.ReasonUnsupported, "COMMIT must be followed by Sync, not by Flush")
	}
	settings := u.has(classifier.ClassSet) || u.has(classifier.ClassReset)
	if settings && u.end == endQuery && len(u.executed) > 1 {
		return refuser.New(refuser.ReasonUnsupported, "SET and RESET must be sent one to a query")
	}
	return nil
}
