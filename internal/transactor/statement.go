package transactor

import (
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Verb is what a caller's statement does.
type Verb string

// The verbs.
const (
	VerbBegin    Verb = "begin"
	VerbCommit   Verb = "commit"
	VerbRollback Verb = "rollback"
	VerbRead     Verb = "read"
	VerbWrite    Verb = "write"
	VerbSet      Verb = "set"
	VerbPrepare  Verb = "prepare"
	VerbExecute  Verb = "execute"
	VerbClose    Verb = "close"
	// VerbQuit ends the session.
	VerbQuit Verb = "quit"
	// VerbMalformed is a statement that cannot be understood.
	VerbMalformed Verb = "malformed"
)

// Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's id of the statement.
	ID   string
	Verb Verb
	// Text is the statement as the caller sent it.
	Text string
	// Name is the value's name of VerbSet, or the prepared statement's name.
	Name string
	// Value is the value of VerbSet, the access and shape of VerbPrepare, or
	// the arguments of VerbExecute.
	Value string
	// ReadOnly marks VerbBegin of a transaction that only reads, and
	// VerbPrepare of a statement that only reads.
	ReadOnly bool
}

// Startup is the opening of a caller's session.
type Startup struct {
	// Route is the name of the route asked for.
	Route string
	// Key identifies the caller.
	Key string
}

// Reply is the answer to one statement.
type Reply struct {
	// Opening marks the answer to a Startup.
	Opening bool
	// Body holds an upstream's rows and completion, passed on unchanged. Empty
	// means that the proxy itself completed the statement.
	Body    []byte
	Refusal *refuser.Refusal
	State   connector.TransactionState
	// Position is the upstream's log position; zero means none.
	Position tracker.Position
}
