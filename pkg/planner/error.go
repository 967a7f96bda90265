package planner

import "fmt"

// ConflictError means that an operation conflicts with the replicated state and
// did not change the configuration.
type ConflictError struct {
	Subject string
	Text    string
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("planner: %s: %s", e.Subject, e.Text) }

// ClosedError means that an intent was sent again after its plan was closed and
// moved into a page. The operation changed nothing.
type ClosedError struct{ ID string }

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("planner: plan %s is closed", e.ID) }

func conflict(subject, format string, args ...any) error {
	return &ConflictError{Subject: subject, Text: fmt.Sprintf(format, args...)}
}
