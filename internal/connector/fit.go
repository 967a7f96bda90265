package connector

// fits reports whether a successful answer can be the answer to a request that was sent in a
// transaction state: only callers' statements are answered with a receipt, and each verb
// leads to certain states.
func (a Answer) fits(r Request, sentIn TransactionState) bool {
	switch r.Verb {
	case VerbForward:
		// A statement may end a transaction, and never begins one.
		return len(a.Receipt) > 0 && (a.State == StateIdle || a.State == sentIn)
	case VerbStatus, VerbDemote:
		return len(a.Receipt) == 0 && a.ReplicationStatus != nil
	}
	if len(a.Receipt) > 0 || a.Rows > 0 {
		return false
	}
	switch r.Verb {
	case VerbBegin:
		return a.State == StateInTransaction
	case VerbRollback:
		return a.State == StateIdle
	}
	return a.State == sentIn
}
