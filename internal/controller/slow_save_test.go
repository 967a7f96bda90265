package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

// startThree starts three control hosts that pass each other their messages directly.
func startThree(t *testing.T) map[string]*Controller {
	ids := []string{"a", "b", "c"}
	hosts := map[string]*Controller{}
	for _, id := range ids {
		hosts[id] = &Controller{ID: id, DataDir: t.TempDir(), Initial: ids, SendMessage: func(m elector.Message) { hosts[m.To].HandleMessage(m) }}
		qt.Assert(t, hosts[id].Open(), qt.IsNil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(ids))
	for _, c := range hosts {
		go func() { ended <- c.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range ids {
			qt.Check(t, <-ended, qt.IsNil)
		}
	})
	return hosts
}

// leaderOf waits for the host that holds the lease.
func leaderOf(t *testing.T, hosts map[string]*Controller) *Controller {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, c := range hosts {
			if c.ReadState(t.Context(), func(*planner.StateMachine) {}) == nil {
				return c
			}
		}
	}
	t.Fatal("no control host leads")
	return nil
}

// run runs f in the control goroutine and waits for it.
func run(c *Controller, f func()) {
	done := make(chan bool)
	if c.Enqueue(func() { f(); close(done) }) {
		<-done
	}
}

// A leader lost its leadership while it or its followers saved for longer than the election timeout.
func TestLeaderLeadsOnWhileSavesAreSlow(t *testing.T) {
	const duration = 2 * time.Second
	hosts := startThree(t)
	leader := leaderOf(t, hosts)
	var saves atomic.Int64
	for _, c := range hosts {
		run(c, func() {
			c.write = func(elector.Output) error {
				<-time.After(duration)
				saves.Add(1)
				return nil
			}
		})
	}
	for saves.Load() < 12 {
		leads := false
		run(leader, func() {
			_, _, _ = leader.elector.Propose([]byte("an operation that nobody knows"))
			leads = leader.elector.Role() == elector.RoleLeader
		})
		qt.Assert(t, leads, qt.IsTrue, qt.Commentf("after %d saves", saves.Load()))
		<-time.After(10 * time.Millisecond)
	}
}
