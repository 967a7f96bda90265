// Package elector replicates a log among a small group of control hosts.
//
// It implements the Raft algorithm of Ongaro and Ousterhout with pre-votes,
// check-quorum, learners, membership changes by one voter at a time, snapshots
// and leader leases. A leader that does not hear from a quorum steps down, and
// a voter in contact with a leader neither votes nor starts an election.
//
// # Usage
//
//	e, err := elector.New(cfg, hardState, snapshot, entries, now)
//	e.Step(message, now)            // handle a received message
//	e.Tick(now)                     // advance the timers
//	index, err := e.Propose(data, now)
//	out := e.Output()               // send, apply, and store beside that
//	e.Stored(now)                   // once out is stored and synced
//
// An Elector is a deterministic state machine without goroutines, clocks, disks
// or sockets. The caller serialises the calls. While an Output is being stored, the
// caller goes on with the other calls: heartbeats, their answers and leases do not wait
// for the disk.
package elector

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Role is the Raft role of a control host.
type Role string

// Roles of a control host.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

const (
	// maxAppendEntries is the maximum number of entries in one message.
	maxAppendEntries = 256
	// maxInFlight is the maximum number of entries sent to a host and not yet
	// acknowledged.
	maxInFlight = 4 * maxAppendEntries
)

// ErrNotLeader is returned for a request that only the leader can serve.
var ErrNotLeader = errors.New("elector: not the leader")

// ErrMembershipPending is returned while an earlier membership change, or the
// first entry of the leader's term, is not committed.
var ErrMembershipPending = errors.New("elector: a membership change is pending")

// Config holds the settings of an Elector.
type Config struct {
	ID string
	// HeartbeatInterval is the interval between the heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact to a leader before an
	// election.
	ElectionTimeout time.Duration
	// LeaseDuration is the duration of a leader's lease, counted from the
	// sending of an acknowledged message. A restarted voter waits as long
	// before it votes. The maximum and the default are ElectionTimeout.
	LeaseDuration time.Duration
	// MaxClockDrift is the maximum relative clock drift between two hosts, as a
	// fraction of elapsed time.
	MaxClockDrift float64
	// Jitter returns a random duration up to bound. It is called with
	// ElectionTimeout, and the result is added to it.
	Jitter func(bound time.Duration) time.Duration
	// ElectionStagger is the delay between the election timeouts of successive
	// voters. It should cover a message round trip and the delivery of a vote,
	// so that the next voter has voted before its own timeout. With zero, only
	// Jitter separates the voters.
	ElectionStagger time.Duration
	// InitialMembership is the membership before the first membership entry.
	InitialMembership Membership
	// OnEvent is told of the steps of elections, if set. It must not call the Elector.
	OnEvent func(Event)
}

// Elector is the Raft state machine of one control host.
type Elector struct {
	cfg        Config
	hardState  HardState
	log        raftLog
	membership Membership
	// membershipIndex is the index of the entry that set membership, or zero.
	membershipIndex uint64

	role   Role
	leader string
	// lastLeaderContact is when a message of the leader last arrived.
	lastLeaderContact time.Time
	deadline          time.Time
	// fastElectionUntil is the time until which a host that led before it
	// restarted starts an election at every heartbeat interval.
	fastElectionUntil time.Time
	// preVotes are the granted pre-votes, and votes those granted in votesTerm.
	preVotes  map[string]bool
	votes     map[string]bool
	votesTerm uint64
	// electionAt is when this host last became a candidate.
	electionAt time.Time
	// matched is the last index known to match the log of the leader of the term.
	matched uint64

	progress      map[string]*progress
	round         uint64
	roundSentAt   map[uint64]time.Time
	lastHeartbeat time.Time
	// leaseUntil is when the leader's lease expires.
	leaseUntil time.Time

	out Output
	// handedHardState is the one that Output has returned last for storage, and
	// storedHardState the one that is known to be stored.
	handedHardState, storedHardState HardState
	// storing is the batch that is being stored, or nil.
	storing *batch
	held    []heldMessage
	// hasUnsentEntries is true if some entries may not have been sent to every
	// member.
	hasUnsentEntries bool
}

// progress is the leader's view of another member's log.
type progress struct {
	match uint64
	next  uint64
	// lastAckSentAt is when the newest acknowledged round was sent.
	lastAckSentAt time.Time
	// round is the newest acknowledged round.
	round uint64
	// snapshotting is true while a snapshot is being transferred.
	snapshotting bool
}

// New returns an Elector that continues from the stored state.
func New(cfg Config, hardState HardState, snapshot Snapshot, entries []Entry, now time.Time) (*Elector, error) {
	if cfg.ID == "" || cfg.HeartbeatInterval <= 0 || cfg.ElectionTimeout <= cfg.HeartbeatInterval || cfg.Jitter == nil {
		return nil, errors.New("elector: config needs an ID, a Jitter function and an ElectionTimeout above Heartbeat")
	}
	if cfg.LeaseDuration <= 0 || cfg.LeaseDuration > cfg.ElectionTimeout {
		cfg.LeaseDuration = cfg.ElectionTimeout
	}
	e := &Elector{cfg: cfg, hardState: hardState, handedHardState: hardState, storedHardState: hardState, role: RoleFollower, membership: cfg.InitialMembership.clone()}
	e.log.restore(snapshot)
	if snapshot.Index > 0 {
		e.membership = snapshot.Membership.clone()
	}
	for i, entry := range entries {
		if entry.Index != snapshot.Index+uint64(i)+1 {
			return nil, fmt.Errorf("elector: stored entry %d follows entry %d", entry.Index, snapshot.Index+uint64(i))
		}
	}
	e.log.entries = append([]Entry(nil), entries...)
	e.log.handed, e.log.stable = e.log.last(), e.log.last()
	e.refreshMembership()
	e.resetDeadline(now)
	if hardState.Term > 0 {
		// Before the restart this host may have acknowledged a message that
		// extended a leader's lease, so it must not vote until that lease ends.
		e.lastLeaderContact = now.Add(cfg.LeaseDuration - cfg.ElectionTimeout)
		e.deadline = e.deadline.Add(cfg.LeaseDuration - cfg.ElectionTimeout)
	}
	if hardState.Leader == cfg.ID {
		// No other host can lead before the last lease of this host has ended,
		// so the voters need not wait for a lease to end.
		e.deadline, e.fastElectionUntil = now, now.Add(cfg.ElectionTimeout)
	}
	return e, nil
}

// Role returns the current role.
func (e *Elector) Role() Role { return e.role }

// Term returns the current term.
func (e *Elector) Term() uint64 { return e.hardState.Term }

// Leader returns the ID of the current leader, or "" if it is unknown.
func (e *Elector) Leader() string { return e.leader }

// Membership returns the current membership.
func (e *Elector) Membership() Membership { return e.membership.clone() }

// CommitIndex returns the index of the last committed entry.
func (e *Elector) CommitIndex() uint64 { return e.log.commit }

// FirstIndex returns the index of the first entry after the snapshot.
func (e *Elector) FirstIndex() uint64 { return e.log.first() }

// LastAckSentAt returns when the newest message that the member has
// acknowledged was sent. It returns the zero time on a host that is not the
// leader.
func (e *Elector) LastAckSentAt(id string) time.Time {
	if p := e.progress[id]; p != nil && e.role == RoleLeader {
		return p.lastAckSentAt
	}
	return time.Time{}
}

// MatchIndex returns the index of the last entry known to be replicated to the
// member. It returns zero on a host that is not the leader.
func (e *Elector) MatchIndex(id string) uint64 {
	if p := e.progress[id]; p != nil && e.role == RoleLeader {
		return p.match
	}
	return 0
}

// HasLease reports whether this host is the leader, holds an unexpired lease at
// now and was given an entry of its own term to apply by Output. No other host can
// lead while the lease is held, and the state that the caller has applied lacks no
// entry that an earlier leader committed.
func (e *Elector) HasLease(now time.Time) bool {
	return e.HasAppliedOwnTerm() && now.Before(e.leaseUntil)
}

// HasAppliedOwnTerm reports whether this host is the leader and Output has returned an
// entry of its own term to be applied, and with it all entries of earlier terms.
func (e *Elector) HasAppliedOwnTerm() bool {
	t, ok := e.log.term(e.log.applied)
	return e.role == RoleLeader && ok && t == e.hardState.Term
}

// Output returns the pending work and clears it. See Stored for what is to be stored.
func (e *Elector) Output() Output {
	if e.hasUnsentEntries && e.role == RoleLeader {
		// Batch all entries since the last Output into one message.
		e.sendAppends(false)
	}
	e.hasUnsentEntries = false
	out := Output{Messages: e.out.Messages}
	e.out.Messages = nil
	e.takeBatch(&out)
	if e.role == RoleLeader && e.membershipIndex <= e.log.commit && !e.membership.IsVoter(e.cfg.ID) {
		// The membership change that removed this leader is committed.
		e.report(Event{Kind: EventSteppedDown, Term: e.hardState.Term, Reason: ReasonRemoved})
		e.role = RoleFollower
		e.leader = ""
	}
	if e.log.applied < e.log.commit && e.out.Snapshot == nil {
		out.Committed = append([]Entry(nil), e.log.slice(e.log.applied+1, e.log.commit)...)
		e.log.applied = e.log.commit
	}
	return out
}

// Propose appends a command to the log. The command is committed once an entry
// with the returned index and term is among the committed entries.
func (e *Elector) Propose(data []byte) (index, term uint64, err error) {
	if e.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	e.appendEntry(Entry{Kind: EntryCommand, Data: data})
	e.hasUnsentEntries = true
	return e.log.last(), e.hardState.Term, nil
}

// ChangeMembership proposes a membership that differs from the current one by
// at most one voter.
func (e *Elector) ChangeMembership(next Membership) error {
	if e.role != RoleLeader {
		return ErrNotLeader
	}
	if e.membershipIndex > e.log.commit {
		return ErrMembershipPending
	}
	// A leader must commit an entry of its own term before it changes the
	// membership.
	if t, ok := e.log.term(e.log.commit); !ok || t != e.hardState.Term {
		return ErrMembershipPending
	}
	if err := e.membership.validateChange(next); err != nil {
		return err
	}
	m := next.clone()
	e.appendEntry(Entry{Kind: EntryMembership, Membership: &m})
	e.hasUnsentEntries = true
	return nil
}

// Compact replaces the log up to index by a snapshot, which the next Output returns to be
// stored. The entry at index must have been applied. See CanCompact.
func (e *Elector) Compact(index uint64, data []byte) {
	if e.log.compact(index, data, e.membershipAt(index)) {
		s := e.log.snapshot
		e.out.Compaction = &s
	}
}

// CanCompact reports whether Output has returned the entry at index to be stored. Before
// that, Compact does nothing.
func (e *Elector) CanCompact(index uint64) bool { return index <= e.log.handed }

// membershipAt returns the membership set by the entries up to index.
func (e *Elector) membershipAt(index uint64) Membership {
	m := e.baseMembership()
	for _, entry := range e.log.slice(e.log.first(), index) {
		if entry.Membership != nil {
			m = *entry.Membership
		}
	}
	return m.clone()
}

func (e *Elector) baseMembership() Membership {
	if e.log.snapshot.Index > 0 {
		return e.log.snapshot.Membership
	}
	return e.cfg.InitialMembership
}

// refreshMembership sets the membership to the newest one in the log. A
// membership applies as soon as its entry is appended, before it is committed.
func (e *Elector) refreshMembership() {
	e.membership = e.baseMembership().clone()
	e.membershipIndex = 0
	for _, entry := range e.log.entries {
		if entry.Membership != nil {
			e.membership = entry.Membership.clone()
			e.membershipIndex = entry.Index
		}
	}
}

func (e *Elector) appendEntry(entry Entry) {
	entry.Index = e.log.last() + 1
	entry.Term = e.hardState.Term
	e.log.append([]Entry{entry})
	if entry.Membership != nil {
		e.refreshMembership()
		e.refreshProgress()
	}
	e.advanceCommit()
}

func (e *Elector) setHardState(h HardState) {
	if h.Term > e.hardState.Term {
		e.matched = 0
	}
	e.hardState = h
}

func (e *Elector) resetDeadline(now time.Time) {
	if now.Before(e.fastElectionUntil) {
		e.deadline = now.Add(e.cfg.HeartbeatInterval)
		return
	}
	e.deadline = now.Add(e.cfg.ElectionTimeout + time.Duration(e.electionPosition())*e.cfg.ElectionStagger + e.cfg.Jitter(e.cfg.ElectionTimeout))
}

// electionPosition returns the position of this host in the order in which the
// voters start elections after the leader fails. The order rotates with the
// term, so that no host is always last.
func (e *Elector) electionPosition() int {
	voters := slices.DeleteFunc(slices.Clone(e.membership.Voters), func(id string) bool { return id == e.leader && id != e.cfg.ID })
	slices.Sort(voters)
	position := slices.Index(voters, e.cfg.ID)
	if position < 0 {
		return 0
	}
	return (position + int(e.hardState.Term%uint64(len(voters)))) % len(voters)
}
