package classifier

// Class is the category of a statement that determines how it is routed.
type Class string

// The statement classes.
const (
	ClassEmpty         Class = "empty"
	ClassRead          Class = "read"
	ClassWrite         Class = "write"
	ClassBegin         Class = "begin"
	ClassBeginReadOnly Class = "begin_read_only"
	ClassCommit        Class = "commit"
	ClassRollback      Class = "rollback"
	ClassSet           Class = "set"
	ClassReset         Class = "reset"
	ClassShow          Class = "show"
	// ClassDiscard removes session state from the connection it runs on.
	ClassDiscard Class = "discard"
	// ClassPin creates session state that cannot be replayed on another
	// connection.
	ClassPin         Class = "pin"
	ClassUnsupported Class = "unsupported"
)
