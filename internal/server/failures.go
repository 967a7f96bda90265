package server

import "github.com/jackc/pgx/v5/pgproto3"

// Transaction states of ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// SQLSTATEs that the proxy answers or understands in PostgreSQL's own sense.
const (
	stateReadOnly          = "25006"
	stateFailedTransaction = "25P02"
	stateDuplicate         = "42P05"
	stateNoStatement       = "26000"
	stateBadParameter      = "22023"
)

func errorResponse(code, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message}
}

func failedTransaction() *pgproto3.ErrorResponse {
	return errorResponse(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}
