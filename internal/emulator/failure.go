package emulator

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs that the stand-in answers.
const (
	stateReadOnly        = "25006"
	stateFailedTx        = "25P02"
	stateCanceled        = "57014"
	stateUnique          = "23505"
	stateSyntax          = "42601"
	stateNoTable         = "42P01"
	stateNoColumn        = "42703"
	stateNoStatement     = "26000"
	stateNoPortal        = "34000"
	stateUnsupported     = "0A000"
	stateTooMany         = "53300"
	stateSerialization   = "40001"
	stateInternal        = "XX000"
	stateNoSuchParameter = "42704"
)

// failure is an error with its SQLSTATE.
type failure struct {
	state   string
	message string
}

func (f *failure) Error() string { return f.message }

// errLost means that a fault ended the connection.
var errLost = errors.New("emulator: connection lost")

var statesByText = []struct{ text, state string }{
	{"UNIQUE constraint failed", stateUnique},
	{"readonly database", stateReadOnly},
	{"syntax error", stateSyntax},
	{"no such table", stateNoTable},
	{"no such column", stateNoColumn},
	{"database is locked", stateSerialization},
}

// asFailure gives any error a SQLSTATE.
func asFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	if errors.Is(err, context.Canceled) || strings.Contains(err.Error(), "interrupted") {
		return &failure{stateCanceled, "canceling statement due to user request"}
	}
	for _, s := range statesByText {
		if strings.Contains(err.Error(), s.text) {
			return &failure{s.state, err.Error()}
		}
	}
	return &failure{stateInternal, err.Error()}
}

func (f *failure) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: f.state, Message: f.message}
}
