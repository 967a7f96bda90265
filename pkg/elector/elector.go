// Package elector lets a few control hosts agree on a log.
//
// It follows the Raft algorithm of Ongaro and Ousterhout with pre-votes,
// check-quorum, learners, membership changes by one voter at a time, snapshots
// and a leader's lease. A leader that does not hear from a quorum steps down,
// and a voter that hears from a leader disturbs nobody.
//
// # Usage
//
//	e, err := elector.New(cfg, hardState, snapshot, entries, now)
//	e.Step(message, now)            // a message arrived
//	e.Tick(now)                     // time passed
//	index, err := e.Propose(data, now)
//	out := e.Output()               // store, sync, send, apply
//
// An Elector is plain state without goroutines, clocks, disks or sockets: its
// user serialises the calls and carries out each Output before the next one.
package elector

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Role is the part that a control host plays.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

const (
	// maxAppendEntries bounds the entries of one message.
	maxAppendEntries = 256
	// maxInFlight bounds the entries sent to a host and not answered.
	maxInFlight = 4 * maxAppendEntries
)

// ErrNotLeader means that another control host must be asked.
var ErrNotLeader = errors.New("elector: not the leader")

// ErrMembershipPending means that an earlier membership change is not
// committed.
var ErrMembershipPending = errors.New("elector: a membership change is pending")

// Config holds the settings of an Elector.
type Config struct {
	ID string
	// Heartbeat is the time between a leader's messages.
	Heartbeat time.Duration
	// ElectionTimeout is the least time without a leader before an election.
	ElectionTimeout time.Duration
	// Lease is the time from an answered message for which a leader counts on its
	// lease, and a voter that restarted waits for it to end. It is at most
	// ElectionTimeout, which zero means.
	Lease time.Duration
	// Drift bounds how much faster one clock runs than another, as a part of
	// elapsed time.
	Drift float64
	// Jitter returns a random part of ElectionTimeout to add to it.
	Jitter func(bound time.Duration) time.Duration
	// Stagger is the time between the voters' elections: that of a round of
	// messages and the way of a vote, so that the next voter has voted before it
	// stands. Zero leaves them to Jitter.
	Stagger time.Duration
	// Initial is the membership of an empty log.
	Initial Membership
}

// Elector is one control host's part of the agreement.
type Elector struct {
	cfg        Config
	hard       HardState
	log        raftLog
	membership Membership
	// membershipIndex is the entry that the membership comes from.
	membershipIndex uint64

	role   Role
	leader string
	// heard is when a message of the leader last arrived.
	heard    time.Time
	deadline time.Time
	// resumeUntil is the time up to which a host that led before it restarted
	// stands for election at every heartbeat.
	resumeUntil time.Time
	votes       map[string]bool

	progress map[string]*progress
	round    uint64
	rounds   map[uint64]time.Time
	beat     time.Time
	// leaseUntil is the end of the leader's lease.
	leaseUntil time.Time

	out       Output
	hardDirty bool
	// unsent is true while there may be entries that were not sent to all.
	unsent bool
}

// progress is what a leader knows of another host.
type progress struct {
	match uint64
	next  uint64
	// acked is the sending time of the newest answered round.
	acked time.Time
	// round is the newest answered round.
	round uint64
	// snapshotting is true while a snapshot is under way.
	snapshotting bool
}

// New returns an Elector that goes on from stored state.
func New(cfg Config, hard HardState, snapshot Snapshot, entries []Entry, now time.Time) (*Elector, error) {
	if cfg.ID == "" || cfg.Heartbeat <= 0 || cfg.ElectionTimeout <= cfg.Heartbeat || cfg.Jitter == nil {
		return nil, errors.New("elector: config needs an id, a jitter and an election timeout above the heartbeat")
	}
	if cfg.Lease <= 0 || cfg.Lease > cfg.ElectionTimeout {
		cfg.Lease = cfg.ElectionTimeout
	}
	e := &Elector{cfg: cfg, hard: hard, role: RoleFollower, membership: cfg.Initial.clone()}
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
	e.log.stable = e.log.last()
	e.refreshMembership()
	e.resetDeadline(now)
	if hard.Term > 0 {
		// A leader's lease may rest on what this host heard before it
		// restarted.
		e.heard = now.Add(cfg.Lease - cfg.ElectionTimeout)
		e.deadline = e.deadline.Add(cfg.Lease - cfg.ElectionTimeout)
	}
	if hard.Leader == cfg.ID {
		// No other host may lead before this one's last lease has ended, so the
		// voters need not wait for that.
		e.deadline, e.resumeUntil = now, now.Add(cfg.ElectionTimeout)
	}
	return e, nil
}

// Role returns the current role.
func (e *Elector) Role() Role { return e.role }

// Term returns the current term.
func (e *Elector) Term() uint64 { return e.hard.Term }

// Leader returns the known leader's id, or "".
func (e *Elector) Leader() string { return e.leader }

// Membership returns the membership in force.
func (e *Elector) Membership() Membership { return e.membership.clone() }

// Committed returns the index of the last committed entry.
func (e *Elector) Committed() uint64 { return e.log.commit }

// FirstIndex returns the index of the first entry behind the snapshot.
func (e *Elector) FirstIndex() uint64 { return e.log.first() }

// Contact returns when a message was sent that the member has answered. It is
// known to the leader only.
func (e *Elector) Contact(id string) time.Time {
	if p := e.progress[id]; p != nil && e.role == RoleLeader {
		return p.acked
	}
	return time.Time{}
}

// Match returns the last entry that the member is known to hold. It is known to
// the leader only.
func (e *Elector) Match(id string) uint64 {
	if p := e.progress[id]; p != nil && e.role == RoleLeader {
		return p.match
	}
	return 0
}

// HasLease reports whether no other host can lead at now, and this leader has
// committed an entry of its own term.
func (e *Elector) HasLease(now time.Time) bool {
	if e.role != RoleLeader || !now.Before(e.leaseUntil) {
		return false
	}
	t, ok := e.log.term(e.log.commit)
	return ok && t == e.hard.Term
}

// Output returns and clears what must be done.
func (e *Elector) Output() Output {
	if e.unsent && e.role == RoleLeader {
		// One message carries all entries since the last Output.
		e.sendAppends(false)
	}
	e.unsent = false
	out := e.out
	e.out = Output{}
	if e.hardDirty {
		hard := e.hard
		out.HardState = &hard
		e.hardDirty = false
	}
	if e.log.stable < e.log.last() {
		out.Entries = append([]Entry(nil), e.log.between(e.log.stable+1, e.log.last())...)
		e.log.stable = e.log.last()
	}
	if e.role == RoleLeader && e.membershipIndex <= e.log.commit && !e.membership.IsVoter(e.cfg.ID) {
		// The change that removed this leader is committed.
		e.role = RoleFollower
		e.leader = ""
	}
	if e.log.applied < e.log.commit {
		out.Committed = append([]Entry(nil), e.log.between(e.log.applied+1, e.log.commit)...)
		e.log.applied = e.log.commit
	}
	return out
}

// Propose appends a command. It returns the command's index, which is agreed
// once it is among the committed entries with this term.
func (e *Elector) Propose(data []byte) (index, term uint64, err error) {
	if e.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	e.appendOwn(Entry{Kind: EntryCommand, Data: data})
	e.unsent = true
	return e.log.last(), e.hard.Term, nil
}

// ChangeMembership proposes a membership that differs by at most one voter.
func (e *Elector) ChangeMembership(next Membership) error {
	if e.role != RoleLeader {
		return ErrNotLeader
	}
	if e.membershipIndex > e.log.commit {
		return ErrMembershipPending
	}
	// A leader may change the membership only after an entry of its own term.
	if t, ok := e.log.term(e.log.commit); !ok || t != e.hard.Term {
		return ErrMembershipPending
	}
	if err := e.membership.checkStep(next); err != nil {
		return err
	}
	m := next.clone()
	e.appendOwn(Entry{Kind: EntryMembership, Membership: &m})
	e.unsent = true
	return nil
}

// Compact replaces the log up to index, which was applied, by a snapshot.
func (e *Elector) Compact(index uint64, data []byte) Snapshot {
	e.log.compact(index, data, e.membershipAt(index))
	return e.log.snapshot
}

// membershipAt returns the membership that the entries up to index make.
func (e *Elector) membershipAt(index uint64) Membership {
	m := e.baseMembership()
	for _, entry := range e.log.between(e.log.first(), index) {
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
	return e.cfg.Initial
}

// refreshMembership takes the newest membership in the log, which is in force
// from the time it is stored.
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

func (e *Elector) appendOwn(entry Entry) {
	entry.Index = e.log.last() + 1
	entry.Term = e.hard.Term
	e.log.append([]Entry{entry})
	if entry.Membership != nil {
		e.refreshMembership()
		e.refreshProgress()
	}
	e.maybeCommit()
}

func (e *Elector) setHard(h HardState) {
	if h != e.hard {
		e.hard = h
		e.hardDirty = true
	}
}

func (e *Elector) send(m Message) {
	m.From = e.cfg.ID
	if m.Term == 0 {
		m.Term = e.hard.Term
	}
	e.out.Messages = append(e.out.Messages, m)
}

func (e *Elector) resetDeadline(now time.Time) {
	if now.Before(e.resumeUntil) {
		e.deadline = now.Add(e.cfg.Heartbeat)
		return
	}
	e.deadline = now.Add(e.cfg.ElectionTimeout + time.Duration(e.turn())*e.cfg.Stagger + e.cfg.Jitter(e.cfg.ElectionTimeout))
}

// turn returns the host's place in the order in which voters stand for election
// when the leader is lost. It changes with the term, so that no host is always
// the last.
func (e *Elector) turn() int {
	voters := slices.DeleteFunc(slices.Clone(e.membership.Voters), func(id string) bool { return id == e.leader && id != e.cfg.ID })
	slices.Sort(voters)
	place := slices.Index(voters, e.cfg.ID)
	if place < 0 {
		return 0
	}
	return (place + int(e.hard.Term%uint64(len(voters)))) % len(voters)
}
