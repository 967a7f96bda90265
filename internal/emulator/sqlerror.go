package emulator

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the emulator returns.
const (
	stateReadOnlyTransaction  = "25006"
	stateInFailedTransaction  = "25P02"
	stateQueryCanceled        = "57014"
	stateUniqueViolation      = "23505"
	stateSyntaxError          = "42601"
	stateUndefinedTable       = "42P01"
	stateUndefinedColumn      = "42703"
	stateInvalidStatementName = "26000"
	stateInvalidCursorName    = "34000"
	stateFeatureNotSupported  = "0A000"
	stateTooManyConnections   = "53300"
	stateSerializationFailure = "40001"
	stateInternalError        = "XX000"
	stateUndefinedObject      = "42704"
)

// sqlError is an error with its SQLSTATE code.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message }

// errConnClosed means that the connection must be closed without a response,
// because of a fault or a failed write.
var errConnClosed = errors.New("emulator: connection closed")

var codesByText = []struct{ text, code string }{
	{"UNIQUE constraint failed", stateUniqueViolation},
	{"readonly database", stateReadOnlyTransaction},
	{"syntax error", stateSyntaxError},
	{"no such table", stateUndefinedTable},
	{"no such column", stateUndefinedColumn},
	{"database is locked", stateSerializationFailure},
}

// toSQLError converts any error to one with a SQLSTATE code.
func toSQLError(err error) *sqlError {
	var e *sqlError
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.Canceled) || strings.Contains(err.Error(), "interrupted") {
		return &sqlError{stateQueryCanceled, "canceling statement due to user request"}
	}
	for _, s := range codesByText {
		if strings.Contains(err.Error(), s.text) {
			return &sqlError{s.code, err.Error()}
		}
	}
	return &sqlError{stateInternalError, err.Error()}
}

func (e *sqlError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.code, Message: e.message}
}
