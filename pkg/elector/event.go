package elector

// EventKind is a step of an election that Config.OnEvent is told of.
type EventKind string

// Kinds of events.
const (
	EventPreVoteStarted  EventKind = "pre_vote_started"
	EventElectionStarted EventKind = "election_started"
	EventElected         EventKind = "elected"
	EventVoteRefused     EventKind = "vote_refused"
	EventSteppedDown     EventKind = "stepped_down"
)

// Reason is why a vote was refused or a leader stepped down.
type Reason string

// Reasons of events.
const (
	// ReasonLease means that another leader may still hold a lease.
	ReasonLease Reason = "lease_may_be_held"
	// ReasonLogBehind means that the candidate's log lacks entries of this host.
	ReasonLogBehind Reason = "log_behind"
	// ReasonOldTerm means that this host knows a term at least as new.
	ReasonOldTerm Reason = "old_term"
	// ReasonVoted means that this host voted for another candidate in the term.
	ReasonVoted Reason = "voted_for_another"
	// ReasonStoring means that this host is storing its term or its vote.
	ReasonStoring Reason = "storing"
	// ReasonNoQuorum means that no quorum answered the leader in time.
	ReasonNoQuorum Reason = "no_quorum"
	// ReasonNewerTerm means that a host with a newer term was heard.
	ReasonNewerTerm Reason = "newer_term"
	// ReasonRemoved means that the leader is no longer a voter.
	ReasonRemoved Reason = "removed"
)

// Event is a step of an election.
type Event struct {
	Kind EventKind
	// Term is the term of this host after the step, or the one that it asks for.
	Term uint64
	// Peer is the candidate of a refused vote.
	Peer   string
	Reason Reason
}

// report tells the caller of an event.
func (e *Elector) report(event Event) {
	if e.cfg.OnEvent != nil {
		e.cfg.OnEvent(event)
	}
}
