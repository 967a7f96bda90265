package server

import "github.com/jackc/pgx/v5/pgproto3"

// expectation is one answer that the caller or the proxy waits for.
type expectation struct {
	kind stepKind
	// synthetic answers are made by the proxy, since nothing was sent.
	synthetic bool
	// swallowed answers belong to messages that the proxy added.
	swallowed bool
	// name is the caller's name and statement the one that Parse defines.
	name      string
	statement *statement
}

// answer returns the synthetic answer.
func (e expectation) answer() pgproto3.BackendMessage {
	if e.kind == stepParse {
		return &pgproto3.ParseComplete{}
	}
	return &pgproto3.CloseComplete{}
}

// isAnsweredBy reports whether m is the last message of the answer.
func (e expectation) isAnsweredBy(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return e.kind == stepParse
	case *pgproto3.BindComplete:
		return e.kind == stepBind
	case *pgproto3.CloseComplete:
		return e.kind == stepClosePortal || e.kind == stepCloseStatement
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return e.kind == stepDescribeStatement || e.kind == stepDescribePortal
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return e.kind == stepExecute
	}
	return false
}
