package connector

import (
	"bufio"
	"time"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Verb is the kind of a request to an upstream.
type Verb string

// The request verbs. All requests but VerbForward originate in the proxy
// itself.
const (
	// VerbForward forwards a caller's statement unchanged.
	VerbForward  Verb = "forward"
	VerbBegin    Verb = "begin"
	VerbRollback Verb = "rollback"
	VerbReset    Verb = "reset"
	VerbSet      Verb = "set"
	VerbPrepare  Verb = "prepare"
	VerbStatus   Verb = "status"
	// VerbDemote makes a primary of an earlier term than Request.Term a replica. It
	// is answered like VerbStatus.
	VerbDemote Verb = "demote"
)

// Request is one request to an upstream.
type Request struct {
	Verb Verb
	// ID is the statement ID that the caller chose for a forwarded statement.
	ID string
	// Text is the forwarded statement, the name and value of VerbSet, or the
	// name, access and shape of VerbPrepare.
	Text string
	// ReadOnly makes VerbBegin open a read-only transaction.
	ReadOnly bool
	// Floor is the minimum position of the upstream's log; zero means any.
	Floor tracker.Position
	// Term is set for VerbDemote.
	Term uint64
}

// Failure is the reason why an upstream did not execute a request.
type Failure string

// The failures that an upstream reports.
const (
	FailureNone               Failure = ""
	FailureBusy               Failure = "busy"
	FailureLagging            Failure = "lagging"
	FailureReadOnly           Failure = "read_only"
	FailureMisrouted          Failure = "misdirected"
	FailureTooManyConnections Failure = "too_many_connections"
	FailureUnknownStatement   Failure = "no_statement"
	FailureTimeout            Failure = "timeout"
	// FailureOther means that the request may have been executed.
	FailureOther Failure = "failed"
)

// NotRun reports whether the upstream guarantees that the request was not
// executed.
func (f Failure) NotRun() bool {
	switch f {
	case FailureBusy, FailureLagging, FailureReadOnly, FailureMisrouted, FailureTooManyConnections, FailureUnknownStatement:
		return true
	}
	return false
}

// TransactionState is the transaction state of a connection after an answer.
type TransactionState string

// The transaction states.
const (
	StateIdle          TransactionState = "idle"
	StateInTransaction TransactionState = "transaction"
	StateFailed        TransactionState = "failed"
)

// ReplicationStatus is the replication status that an upstream reports about
// itself.
type ReplicationStatus struct {
	Primary bool
	// Term is the newest term known to the upstream.
	Term uint64
	// ReceivedPosition is the position up to which the upstream has received
	// the log.
	ReceivedPosition tracker.Position
	// Lag is how far a replica is behind its primary.
	Lag time.Duration
}

// Answer is the complete answer to one request.
type Answer struct {
	// Body holds rows and completion as sent by the upstream.
	Body []byte
	// Rows is the number of rows in Body.
	Rows int
	// Completed is true if the upstream reported that the request succeeded.
	Completed bool
	// Receipt is the part of Body that identifies one execution of a caller's statement:
	// no two executions have the same. It is empty in answers to the proxy's own requests.
	Receipt []byte
	Failure Failure
	// Detail is the upstream's message for a failure.
	Detail string
	// ReplicationStatus is set in the answer to VerbStatus and VerbDemote.
	ReplicationStatus *ReplicationStatus
	State             TransactionState
	// Position is the upstream's log position; zero means unknown.
	Position tracker.Position
}

// Codec encodes and decodes the protocol spoken with upstreams. All fields must
// be set.
type Codec struct {
	// AppendStartup appends the startup message of a connection.
	AppendStartup func(dst []byte, service, organisation, upstream string) []byte
	// AppendRequest appends a request.
	AppendRequest func(dst []byte, r Request) []byte
	// ReadAnswer reads one complete answer.
	ReadAnswer func(r *bufio.Reader) (Answer, error)
}
