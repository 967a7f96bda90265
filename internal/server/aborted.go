package server

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/pkg/classifier"
)

// serveAborted answers a unit while the caller is in a transaction that the
// proxy ended: only its end is accepted, and rolls back.
func (c *session) serveAborted(u *unit) error {
	if len(u.executed) == 0 || !endsTransaction(u.executed[0]) {
		if u.isEmpty() {
			return c.finish(txFailed)
		}
		return c.refuseWith(u, failedTransaction())
	}
	c.aborted = false
	if u.end == endQuery {
		if err := c.emit(rolledBack()); err != nil {
			return err
		}
		return c.finish(txIdle)
	}
	for _, s := range u.steps {
		for _, m := range rollbackAnswers(s) {
			if err := c.emit(m); err != nil {
				return err
			}
		}
	}
	if u.end == endFlush {
		return c.flush()
	}
	return c.finish(txIdle)
}

func endsTransaction(s classifier.Statement) bool {
	return s.Class == classifier.ClassRollback || s.Class == classifier.ClassCommit
}

func rolledBack() *pgproto3.CommandComplete {
	return &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}
}

// rollbackAnswers returns what an upstream would answer to a step of ROLLBACK.
func rollbackAnswers(s step) []pgproto3.BackendMessage {
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
