package server

import "github.com/jackc/pgx/v5/pgproto3"

// Transaction status values of ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// SQLSTATEs that the proxy sends or interprets with the same meaning as
// PostgreSQL.
const (
	sqlstateReadOnly           = "25006"
	sqlstateFailedTransaction  = "25P02"
	sqlstateDuplicateStatement = "42P05"
	sqlstateUnknownStatement   = "26000"
	sqlstateInvalidParameter   = "22023"
)

func errorResponse(code, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message}
}

func failedTransaction() *pgproto3.ErrorResponse {
	return errorResponse(sqlstateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}
