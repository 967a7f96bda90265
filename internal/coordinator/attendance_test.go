package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"

	"github.com/shallotstage/shallotstage/internal/attender"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

// attendant is an entry host of a test.
type attendant struct {
	*attender.Attender
	dials atomic.Int64
	// first is the first view with a configuration.
	first atomic.Pointer[keeper.View]
	end   func()
}

// attend lets an entry host attend, which knows one control host.
func attend(t *testing.T, name, seed string) *attendant {
	e := &attendant{}
	e.Attender = &attender.Attender{
		Host: name, Incarnation: 1, DataCentre: "a", PeerAddress: name + ":1",
		Seeds: func() []string { return []string{seed} },
		Dial: func(ctx context.Context, address string) (*drpcconn.Conn, error) {
			e.dials.Add(1)
			return linker.Linker{}.Dial(ctx, address)
		},
		Now: time.Now, Shares: &spender.Spender{Now: time.Now}, Yields: func(organisation string) bool { return organisation == "a" },
		Taken: func(view *keeper.View) {
			if view.Configuration.Version > 0 {
				e.first.CompareAndSwap(nil, view)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx)
	}()
	e.end = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(e.end)
	return e
}

// TestStartedEntryHostLearnsOfAgreedPeers has an entry host start under a new
// leader. It is told at once who will lend connections, also of a host that has
// not attended the new leader yet.
func TestStartedEntryHostLearnsOfAgreedPeers(t *testing.T) {
	f := newControlFleet(t)
	f.configure(7)
	absent := attend(t, "entry-1", f.founders[0])
	waitFor(t, "agreement on entry-1", func() bool {
		known := 0
		for _, h := range f.hosts {
			found := make(chan bool, 1)
			if h.do(func() { found <- h.state.Hosts["entry-1"] }) && <-found {
				known++
			}
		}
		return known == fleetSize
	})
	absent.end()
	f.stop(f.leader())
	begun := f.leader()
	started := attend(t, "entry-2", f.hosts[begun].address)
	waitFor(t, "the configuration", func() bool { return started.first.Load() != nil })
	qt.Assert(t, started.first.Load().Peers["entry-1"], qt.Equals, keeper.Peer{Address: "entry-1:1", DataCentre: "a"})
}

// TestEntryHostIsToldOfTheNextLeader has an entry host reach only a control host
// that knows no leader. Its report is held there until one is elected, so that it
// need not ask again and again.
func TestEntryHostIsToldOfTheNextLeader(t *testing.T) {
	f := newControlFleet(t)
	f.configure(7)
	type place struct{ node, dir, address string }
	var places []place
	for node, h := range f.hosts {
		places = append(places, place{node, h.dir, h.address})
	}
	for _, p := range places {
		f.stop(p.node)
	}
	f.start(places[0].node, listen(t, places[0].address), places[0].dir, false)
	begin := time.Now()
	a := attend(t, "entry-1", places[0].address)
	waitFor(t, "the first question", func() bool { return time.Since(begin) > holdLimit/2 })
	f.start(places[1].node, listen(t, places[1].address), places[1].dir, false)
	waitFor(t, "the configuration", func() bool {
		view, _ := a.View()
		return view.Configuration.Version == 7
	})
	// One question for each time that a report is held, and two to follow the
	// leader.
	most := int64(time.Since(begin)/holdLimit) + 3
	qt.Assert(t, a.dials.Load() <= most, qt.IsTrue, qt.Commentf("%d questions, at most %d expected", a.dials.Load(), most))
}

// TestSpareTellsWhoLeads has an entry host reach only a control host that takes
// no part in the agreement.
func TestSpareTellsWhoLeads(t *testing.T) {
	f := newControlFleet(t)
	f.configure(7)
	spare := f.start("spare", listen(t, "127.0.0.1:0"), t.TempDir(), false)
	begin := time.Now()
	a := attend(t, "entry-1", spare.address)
	waitFor(t, "the configuration", func() bool { return a.first.Load() != nil })
	most := int64(time.Since(begin)/holdLimit) + 3
	qt.Assert(t, a.dials.Load() <= most, qt.IsTrue, qt.Commentf("%d questions, at most %d expected", a.dials.Load(), most))
	waitFor(t, "the operators' address", func() bool { return spare.LeaderOperatorAddress(context.Background()) != "" })
}

// TestLeavingHostGivesItsPartUp has a host with all of two rates begin to stop, of
// which others spend one for its callers.
func TestLeavingHostGivesItsPartUp(t *testing.T) {
	f := newControlFleet(t)
	f.configure(7)
	leader := f.hosts[f.leader()]
	a := attend(t, "entry-1", leader.address)
	waitFor(t, "a part of the rates", func() bool {
		for _, name := range []string{"a", "split"} {
			a.Shares.Admit(keeper.Organisation{Name: name, Rate: 100, Burst: 100}, 0)
		}
		return a.Shares.Report().Extras["a"] > 0 && a.Shares.Report().Extras["split"] > 0
	})
	a.Leave()
	waitFor(t, "the end of the part", func() bool {
		held := make(chan bool, 1)
		return a.Shares.Report().Extras["a"] == 0 && leader.do(func() { held <- leader.lead.shares.Holds("entry-1", "a") }) && !<-held
	})
	qt.Assert(t, a.Shares.Report().Demands["a"] > 0, qt.IsTrue, qt.Commentf("its callers still ask"))
	qt.Assert(t, a.Shares.Report().Extras["split"] > 0, qt.IsTrue, qt.Commentf("the host itself still spends for them"))
}
