package elector

import (
	"math/rand/v2"
	"runtime/debug"
	"testing"
	"time"
)

// malformedMessage returns a message whose fields do not fit together, as a faulty or
// much newer control host might send it.
func malformedMessage(rnd *rand.Rand) Message {
	kinds := []MessageKind{
		MessagePreVote, MessagePreVoteResponse, MessageVote, MessageVoteResponse, MessageAppend, MessageAppendResponse, MessageSnapshot, MessageSnapshotResponse, "unknown", "",
	}
	number := func() uint64 {
		return []uint64{0, 1, 2, 3, 4, 5, 7, 1 << 40, ^uint64(0)}[rnd.IntN(9)]
	}
	m := Message{
		Kind: kinds[rnd.IntN(len(kinds))], From: []string{"a", "b", "c", "stranger", ""}[rnd.IntN(5)], To: "a", Term: number(), Index: number(), LogTerm: number(),
		Commit: number(), Reject: rnd.IntN(2) == 0, Round: number(),
	}
	if m.Term > 8 && rnd.IntN(10) > 0 {
		m.Term = number() % 8
	}
	for range rnd.IntN(4) {
		e := Entry{Index: number(), Term: number(), Kind: []EntryKind{EntryCommand, EntryMembership, EntryEmpty, "unknown"}[rnd.IntN(4)]}
		if rnd.IntN(2) == 0 {
			e.Membership = &Membership{Voters: []string{"a", "b", "c"}[:rnd.IntN(4)]}
		}
		m.Entries = append(m.Entries, e)
	}
	if rnd.IntN(3) == 0 {
		m.Snapshot = &Snapshot{Index: number(), Term: number(), Membership: Membership{Voters: []string{"a", "b", "c"}[:rnd.IntN(4)]}}
	}
	return m
}

// A message that no correct control host sends is refused; it does not end the process.
func TestMalformedMessagesDoNotPanic(t *testing.T) {
	for seed := range uint64(3000) {
		rnd := rand.New(rand.NewPCG(seed, 9))
		now := time.Unix(0, 0)
		e, err := New(Config{
			ID: "a", HeartbeatInterval: 10 * time.Millisecond, ElectionTimeout: 100 * time.Millisecond, Jitter: func(time.Duration) time.Duration { return 0 },
			InitialMembership: Membership{Voters: []string{"a", "b", "c"}},
		}, HardState{}, Snapshot{}, nil, now)
		if err != nil {
			t.Fatal(err)
		}
		for range 40 {
			now = now.Add(time.Duration(rnd.IntN(60)) * time.Millisecond)
			m := malformedMessage(rnd)
			func() {
				defer func() {
					if p := recover(); p != nil {
						t.Fatalf("seed %d: %+v: %v\n%s", seed, m, p, debug.Stack())
					}
				}()
				e.Step(m, now)
				e.Tick(now)
				if out := e.Output(); out.NeedsStorage() && rnd.IntN(2) == 0 {
					e.Stored(now)
				}
			}()
		}
	}
}
