package coordinator

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// slowSaves is the number of saves during which a leader must keep leading.
const slowSaves = 12

// A leader lost its leadership while it or its followers saved.
func TestLeaderLeadsOnWhileSavesAreSlow(t *testing.T) {
	for _, duration := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond} {
		for name, onLeader := range map[string]bool{"all hosts": false, "the leader": true} {
			t.Run(duration.String()+" on "+name, func(t *testing.T) {
				f := newControlFleet(t)
				f.configure(1)
				leader := f.leader()
				var saves atomic.Int64
				for node, h := range f.hosts {
					if onLeader && node != leader {
						continue
					}
					replaced := make(chan bool)
					h.queue.Do(func() {
						h.write = func(elector.Output) error {
							<-time.After(duration)
							saves.Add(1)
							return nil
						}
						close(replaced)
					})
					<-replaced
				}
				before := f.hosts[leader].Counters().StepDowns
				term := f.status(leader).Term
				for sequence := uint64(1); saves.Load() < slowSaves; sequence++ {
					u := keeper.Upstream{ID: "u" + strconv.FormatUint(sequence, 10), Service: "s", Address: "127.0.0.1:" + strconv.FormatUint(sequence, 10), Lifecycle: keeper.LifecycleReady, Role: keeper.RoleReplica}
					_ = f.hosts[leader].RecordAnnouncement(t.Context(), u)
					qt.Assert(t, f.hosts[leader].Counters().StepDowns, qt.Equals, before, qt.Commentf("after %d saves", saves.Load()))
				}
				qt.Assert(t, f.status(leader).Term, qt.Equals, term)
			})
		}
	}
}

// status waits for the status of a control host.
func (f *controlFleet) status(node string) (s Status) {
	waitFor(f.t, "the status of "+node, func() (ok bool) {
		s, ok = f.hosts[node].Status(f.t.Context())
		return ok
	})
	return s
}
