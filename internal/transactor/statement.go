package transactor

import (
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Verb is the kind of a caller's statement.
type Verb string

// The statement verbs.
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
	// VerbMalformed marks a statement that cannot be parsed.
	VerbMalformed Verb = "malformed"
)

// Statement is one parsed statement of a caller.
type Statement struct {
	// ID is the statement ID chosen by the caller.
	ID   string
	Verb Verb
	// Text is the statement as the caller sent it.
	Text string
	// Name is the name of the session value for VerbSet, or else the name of
	// the prepared statement.
	Name string
	// Value is the session value for VerbSet, the access and shape for
	// VerbPrepare, or the arguments for VerbExecute.
	Value string
	// Problem says why a malformed statement cannot be understood; it may be empty.
	Problem string
	// ReadOnly is true for VerbBegin of a read-only transaction and for
	// VerbPrepare of a read-only statement.
	ReadOnly bool
}

// Startup is the startup message of a caller's session.
type Startup struct {
	// Route is the name of the requested route.
	Route string
	// Key identifies the caller.
	Key string
}

// Reply is the reply to one statement or to the startup message.
type Reply struct {
	// Startup is set in the reply to a Startup message.
	Startup bool
	// Body holds an upstream's rows and completion, forwarded unchanged. It is
	// empty if the proxy completed the statement itself.
	Body    []byte
	Refusal *refuser.Refusal
	State   connector.TransactionState
	// Position is the upstream's log position; zero means unknown.
	Position tracker.Position
}
