package pooler

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// HandshakeError is returned when an upstream accepted a connection and the login on it
// failed.
type HandshakeError struct {
	Upstream string
	Err      error
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("pooler: log in to upstream %s: %v", e.Upstream, e.Err)
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Err }

// maxLoginTimeoutFactor bounds the growth of a login timeout.
const maxLoginTimeoutFactor = 16

// LoginTimeout is the timeout of the next attempt to open a connection. It doubles with
// each login that ran out of time: a login derives a key from the password, and on a
// busy machine a fixed timeout might end every attempt after its work was done. The zero
// value is ready for use; it is not safe for concurrent use.
type LoginTimeout struct {
	factor int
}

// Next returns the timeout of the next attempt.
func (t *LoginTimeout) Next(base time.Duration) time.Duration {
	return base * time.Duration(max(1, t.factor))
}

// Record records the result of an attempt. Upstreams that do not accept connections
// leave the timeout as it is.
func (t *LoginTimeout) Record(err error) {
	var handshakeErr *HandshakeError
	switch {
	case err == nil:
		t.factor = 1
	case errors.As(err, &handshakeErr) && errors.Is(err, context.DeadlineExceeded):
		t.factor = min(2*max(1, t.factor), maxLoginTimeoutFactor)
	}
}
