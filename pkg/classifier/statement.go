package classifier

// Statement is a SQL statement with the properties that determine its routing.
type Statement struct {
	Class Class
	// Text is the statement without the terminating semicolon.
	Text string
	// Setting is the lower-case name of the setting for ClassSet, ClassReset and
	// ClassShow, and the argument of the command for ClassDiscard.
	Setting string
	// Value is the unquoted value of the setting for ClassSet.
	Value string
	// Local is true for SET LOCAL.
	Local bool
}
