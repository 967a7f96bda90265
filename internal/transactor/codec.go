package transactor

import "bufio"

// Codec encodes and decodes the protocol spoken with callers. All fields must
// be set.
type Codec struct {
	// ReadStartup reads the startup message of a session.
	ReadStartup func(r *bufio.Reader) (Startup, error)
	// ReadStatement reads one statement. A statement that cannot be parsed gets
	// the verb VerbMalformed; an error ends the session.
	ReadStatement func(r *bufio.Reader) (Statement, error)
	// AppendReply appends the reply to a statement or to the startup message.
	AppendReply func(dst []byte, r Reply) []byte
	// AppendReplyEnd appends what follows the body of a reply that has one.
	AppendReplyEnd func(dst []byte, r Reply) []byte
	// RenameExecute returns the text of a VerbExecute statement with another
	// statement name.
	RenameExecute func(s Statement, name string) string
	// PrepareText returns the text that prepares a statement under a name;
	// value is the Value of its VerbPrepare.
	PrepareText func(name, value string) string
}
