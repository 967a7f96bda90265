package server

import "github.com/jackc/pgx/v5/pgproto3"

// expectedResponse is a response that the client or the proxy waits for.
type expectedResponse struct {
	kind stepKind
	// synthetic is true for a response that the proxy makes itself, since
	// nothing was sent to the upstream.
	synthetic bool
	// suppressed is true for the response to a message that the proxy added. It
	// is not passed on.
	suppressed bool
	// name is the client's name of the statement, and statement the one that
	// Parse prepares.
	name      string
	statement *statement
}

// syntheticResponse returns the message that the proxy sends in place of the
// upstream's.
func (e expectedResponse) syntheticResponse() pgproto3.BackendMessage {
	if e.kind == stepParse {
		return &pgproto3.ParseComplete{}
	}
	return &pgproto3.CloseComplete{}
}

// isCompletedBy reports whether m is the last message of the response.
func (e expectedResponse) isCompletedBy(m pgproto3.BackendMessage) bool {
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
