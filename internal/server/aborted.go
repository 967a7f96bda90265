package server

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/pkg/classifier"
)

// serveAborted answers a request while the client is in a transaction that the
// proxy has aborted. Only COMMIT or ROLLBACK is accepted, and both roll back.
func (c *session) serveAborted(req *request) error {
	if len(req.executed) == 0 || !endsTransaction(req.executed[0]) {
		if req.isEmpty() {
			return c.finishResponse(txFailed)
		}
		return c.respondError(req, failedTransaction())
	}
	c.aborted = false
	if req.end == endQuery {
		if err := c.emit(rolledBack()); err != nil {
			return err
		}
		return c.finishResponse(txIdle)
	}
	for _, s := range req.steps {
		for _, m := range rollbackResponses(s) {
			if err := c.emit(m); err != nil {
				return err
			}
		}
	}
	if req.end == endFlush {
		return c.flush()
	}
	return c.finishResponse(txIdle)
}

func endsTransaction(s classifier.Statement) bool {
	return s.Class == classifier.ClassRollback || s.Class == classifier.ClassCommit
}

func rolledBack() *pgproto3.CommandComplete {
	return &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}
}

// rollbackResponses returns the messages with which an upstream would answer
// one step of a ROLLBACK.
func rollbackResponses(s step) []pgproto3.BackendMessage {
	switch s.kind {
	case stepParse:
		return []pgproto3.BackendMessage{&pgproto3.ParseComplete{}}
	case stepBind:
		return []pgproto3.BackendMessage{&pgproto3.BindComplete{}}
	case stepDescribeStatement:
		return []pgproto3.BackendMessage{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}}
	case stepDescribePortal:
		return []pgproto3.BackendMessage{&pgproto3.NoData{}}
	case stepExecute:
		return []pgproto3.BackendMessage{rolledBack()}
	}
	return []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
}
