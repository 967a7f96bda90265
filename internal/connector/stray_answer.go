package connector

// StrayKind tells by what an answer was recognised that belongs to no outstanding request.
type StrayKind string

// The kinds of stray answers.
const (
	// StrayUnread is data that was unread when nothing was outstanding.
	StrayUnread StrayKind = "unread"
	// StrayRepeated is an answer with a receipt that was received before.
	StrayRepeated StrayKind = "repeated"
	// StrayUnfit is an answer of a kind or with a transaction state that the outstanding
	// request cannot have.
	StrayUnfit StrayKind = "unfit"
	// StrayDoubtful is a failure that is or may be the second answer to an earlier request.
	StrayDoubtful StrayKind = "doubtful"
)

// StrayAnswer is an answer that belongs to no outstanding request: an upstream has probably
// answered an earlier request twice.
type StrayAnswer struct {
	Upstream string
	Kind     StrayKind
	// Verb is the kind of the request that was outstanding or about to be sent; empty for
	// a connection that was about to be taken from its pool.
	Verb Verb
}

func (c *Conn) reportStray(kind StrayKind, verb Verb) {
	if c.onStrayAnswer != nil {
		c.onStrayAnswer(StrayAnswer{Upstream: c.Upstream, Kind: kind, Verb: verb})
	}
}
