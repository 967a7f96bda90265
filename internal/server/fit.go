package server

import (
	"errors"

	"github.com/shallotstage/shallotstage/pkg/classifier"
)

// errUnfitResponse is returned for a response that cannot be the one to the request: it is
// probably the second one to an earlier request.
var errUnfitResponse = errors.New("server: response does not fit the request")

// fitsTag reports whether a command tag can be that of the request. Only requests of one
// statement are checked.
func (req *request) fitsTag(tag string) bool {
	if len(req.executed) != 1 {
		return true
	}
	begins, commits := tag == "BEGIN" || tag == "START TRANSACTION", tag == "COMMIT"
	switch req.executed[0].Class {
	case classifier.ClassBegin, classifier.ClassBeginReadOnly:
		return begins
	case classifier.ClassCommit:
		// A failed transaction is rolled back.
		return commits || tag == "ROLLBACK"
	case classifier.ClassRollback:
		return tag == "ROLLBACK"
	}
	return !begins && !commits
}

// fitsStatus reports whether the request can lead to a transaction status.
func (x *exchange) fitsStatus(status byte) bool {
	if !x.inTransaction {
		return status == txIdle || x.request.beginsTransaction()
	}
	// PREPARE TRANSACTION, which pins the connection, ends a transaction too.
	mayEnd := x.request.has(classifier.ClassCommit) || x.request.has(classifier.ClassRollback) || x.request.has(classifier.ClassPin)
	return status != txIdle || mayEnd
}
