package transactor

import (
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// refusedBegin is a transaction that was refused at its begin.
type refusedBegin struct {
	// id is the statement ID of the begin. Empty means that none was refused, or that the
	// caller has gone on to another operation.
	id string
	// sentAhead is true if the next statement had arrived, in part at least, when the one
	// before it was answered.
	sentAhead bool
}

// refuse returns the reply to a statement of the refused transaction, or false if the
// statement is not of it. Outside a transaction each of its writes would commit by itself.
func (b *refusedBegin) refuse(st Statement) (Reply, bool) {
	if b.id == "" {
		return Reply{}, false
	}
	switch st.Verb {
	case VerbSet, VerbPrepare, VerbClose:
		return Reply{}, false
	}
	belongs := st.ID == b.id || b.sentAhead
	if !belongs || st.Verb == VerbCommit || st.Verb == VerbRollback {
		b.id = ""
	}
	if !belongs || st.Verb == VerbRollback {
		return Reply{}, false
	}
	return Reply{Refusal: refuser.New(refuser.ReasonTransactionLost, "its begin was refused"), State: connector.StateIdle}, true
}
