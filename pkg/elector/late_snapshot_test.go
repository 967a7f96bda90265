package elector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A host dropped entries that it had acknowledged, and that were committed since, when a
// snapshot of earlier ones came.
func TestSnapshotDropsNoAcknowledgedEntries(t *testing.T) {
	now := time.Unix(100, 0)
	hosts := map[string]*Elector{}
	for _, id := range []string{"a", "b", "c"} {
		e, err := New(Config{
			ID: id, HeartbeatInterval: heartbeat, ElectionTimeout: electionTimeout, InitialMembership: Membership{Voters: []string{"a", "b", "c"}},
			Jitter: func(time.Duration) time.Duration { return 0 },
		}, HardState{}, Snapshot{}, nil, now)
		qt.Assert(t, err, qt.IsNil)
		hosts[id] = e
	}
	// drain stores what a host hands out and returns what it sends.
	drain := func(e *Elector) (sent []Message) {
		for out := e.Output(); !out.IsEmpty(); out = e.Output() {
			sent = append(sent, out.Messages...)
			if out.NeedsStorage() {
				e.Stored(now)
			}
		}
		return sent
	}
	// step gives messages to their receivers and returns what these send.
	step := func(messages []Message) (sent []Message) {
		for _, m := range messages {
			hosts[m.To].Step(m, now)
			sent = append(sent, drain(hosts[m.To])...)
		}
		return sent
	}
	to := func(id string, messages []Message) (kept []Message) {
		for _, m := range messages {
			if m.To == id {
				kept = append(kept, m)
			}
		}
		return kept
	}
	a := hosts["a"]
	now = now.Add(electionTimeout)
	a.Tick(now)
	first := step(step(step(step(drain(a)))))
	qt.Assert(t, a.Role(), qt.Equals, RoleLeader)
	_ = step(step(first))
	// c is slow, and b goes dark after the first of two batches.
	var held []Message
	for range 2 {
		_, _, err := a.Propose([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
		held = append(held, drain(a)...)
	}
	_ = step(step(to("b", held)[:1]))
	a.Compact(a.CommitIndex(), nil)
	// A refusal of c comes late, so a sends it a snapshot.
	a.Step(Message{Kind: MessageAppendResponse, From: "c", To: "a", Term: a.Term(), Reject: true}, now)
	snapshots := to("c", drain(a))
	qt.Assert(t, snapshots[0].Kind, qt.Equals, MessageSnapshot)
	_ = step(step(to("c", held)))
	qt.Assert(t, a.CommitIndex(), qt.Equals, a.log.last())
	_ = step(snapshots)
	qt.Assert(t, hosts["c"].log.last(), qt.Equals, a.CommitIndex(), qt.Commentf("entries that c had acknowledged are gone"))
}
