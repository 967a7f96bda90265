package classifier

// Statement is what the proxy needs to know of one SQL statement.
type Statement struct {
	Class Class
	// Text is the statement without its semicolon.
	Text string
	// Setting is the lower-case name for ClassSet, ClassReset and ClassShow.
	Setting string
	// Value is the unquoted value for ClassSet.
	Value string
	// Local is true for SET LOCAL.
	Local bool
}
