package planner

import "fmt"

// ConflictError means that an operation contradicts the agreed state. The
// operation changed nothing.
type ConflictError struct {
	Subject string
	Text    string
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("planner: %s: %s", e.Subject, e.Text) }

func conflict(subject, format string, args ...any) error {
	return &ConflictError{Subject: subject, Text: fmt.Sprintf(format, args...)}
}
