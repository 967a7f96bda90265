package transactor

import "bufio"

// Codec says how callers' messages look on the wire. All fields are set.
type Codec struct {
	// ReadStartup reads the opening of a session.
	ReadStartup func(r *bufio.Reader) (Startup, error)
	// ReadStatement reads one statement. A statement that cannot be understood
	// is VerbMalformed; an error ends the session.
	ReadStatement func(r *bufio.Reader) (Statement, error)
	// AppendReply appends an answer to a statement or to the startup.
	AppendReply func(dst []byte, r Reply) []byte
	// RenameExecute returns the text of VerbExecute with another name.
	RenameExecute func(s Statement, name string) string
	// PrepareText returns the text that prepares a shape under a name.
	PrepareText func(name, value string) string
}
