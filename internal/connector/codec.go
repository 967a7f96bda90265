package connector

import (
	"bufio"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Verb is what a request asks of an upstream.
type Verb string

// The verbs. Requests other than VerbForward are the proxy's own.
const (
	// VerbForward passes a caller's statement on, unchanged.
	VerbForward  Verb = "forward"
	VerbBegin    Verb = "begin"
	VerbRollback Verb = "rollback"
	VerbReset    Verb = "reset"
	VerbSet      Verb = "set"
	VerbPrepare  Verb = "prepare"
	VerbStatus   Verb = "status"
)

// Request is one request to an upstream.
type Request struct {
	Verb Verb
	// ID is the caller's id of a forwarded statement.
	ID string
	// Text is the forwarded statement, the name and value of VerbSet, or the
	// name, access and shape of VerbPrepare.
	Text string
	// ReadOnly makes VerbBegin open a transaction that only reads.
	ReadOnly bool
	// Floor is the position that the upstream's log must hold; zero means any.
	Floor tracker.Position
}

// Failure names why an upstream did not carry a request out.
type Failure string

// The failures.
const (
	FailureNone        Failure = ""
	FailureBusy        Failure = "busy"
	FailureLagging     Failure = "lagging"
	FailureReadOnly    Failure = "read_only"
	FailureMisdirected Failure = "misdirected"
	FailureTooMany     Failure = "too_many_connections"
	FailureNoStatement Failure = "no_statement"
	FailureTimeout     Failure = "timeout"
	// FailureOther means that the request may have run.
	FailureOther Failure = "failed"
)

// NotRun reports whether the upstream promises that the request did not run.
func (f Failure) NotRun() bool {
	switch f {
	case FailureBusy, FailureLagging, FailureReadOnly, FailureMisdirected, FailureTooMany, FailureNoStatement:
		return true
	}
	return false
}

// TransactionState is the state of a connection after an answer.
type TransactionState string

// The states.
const (
	StateIdle        TransactionState = "idle"
	StateTransaction TransactionState = "transaction"
	StateFailed      TransactionState = "failed"
)

// Standing is an upstream's part in its group as it tells itself.
type Standing struct {
	Primary bool
	// Term is the newest term that the upstream knows.
	Term uint64
	// Received is the position up to which it holds the log.
	Received tracker.Position
}

// Answer is the whole answer to one request.
type Answer struct {
	// Body holds rows and completion as the upstream sent them.
	Body []byte
	// Rows is the number of rows in Body.
	Rows int
	// Completed is true when the upstream said that the request succeeded.
	Completed bool
	Failure   Failure
	// Detail is the upstream's text with a failure.
	Detail string
	// Standing is set in the answer to VerbStatus.
	Standing *Standing
	State    TransactionState
	// Position is the upstream's log position; zero means not told.
	Position tracker.Position
}

// Codec says how requests and answers look on the wire. All fields are set.
type Codec struct {
	// AppendStartup appends the opening of a connection.
	AppendStartup func(dst []byte, service, organisation, upstream string) []byte
	// AppendRequest appends a request.
	AppendRequest func(dst []byte, r Request) []byte
	// ReadAnswer reads one whole answer.
	ReadAnswer func(r *bufio.Reader) (Answer, error)
}
