package connector

import "fmt"

// OwnerError is returned when the host that owns the connections to an upstream did not
// answer, or none can be reached. It says nothing about the upstream.
type OwnerError struct {
	// Owner is the host, or empty if none can be reached.
	Owner string
	Err   error
}

// Error implements error.
func (e *OwnerError) Error() string {
	if e.Owner == "" {
		return fmt.Sprintf("connector: no owner can be reached: %v", e.Err)
	}
	return fmt.Sprintf("connector: owner %s: %v", e.Owner, e.Err)
}

// Unwrap returns the cause.
func (e *OwnerError) Unwrap() error { return e.Err }
