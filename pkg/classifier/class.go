package classifier

// Class says how a statement must be routed.
type Class string

// The classes.
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
	// ClassDiscard drops session state on the connection it runs on.
	ClassDiscard Class = "discard"
	// ClassPin leaves state on the connection that cannot be replayed.
	ClassPin         Class = "pin"
	ClassUnsupported Class = "unsupported"
)
