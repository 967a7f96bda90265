package coordinator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"

	"github.com/shallotstage/shallotstage/internal/controlclient"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

// testEntryHost is an entry host of a test.
type testEntryHost struct {
	*controlclient.Client
	dials atomic.Int64
	// firstView is the first view with a configuration.
	firstView atomic.Pointer[keeper.View]
	stopRun   func()
}

// startEntryHost starts an entry host that knows one control host.
func startEntryHost(t *testing.T, name, seed string) *testEntryHost {
	return startEntryHostWith(t, name, []string{seed}, func(*testEntryHost) {})
}

// startEntryHostWith starts an entry host that knows some control hosts, after adjust
// has changed it.
func startEntryHostWith(t *testing.T, name string, seeds []string, adjust func(e *testEntryHost)) *testEntryHost {
	e := &testEntryHost{}
	e.Client = &controlclient.Client{
		Host: name, Incarnation: 1, DataCentre: "a", PeerAddress: name + ":1",
		Seeds: func() []string { return seeds },
		Dial: func(ctx context.Context, address string) (*drpcconn.Conn, error) {
			e.dials.Add(1)
			return linker.Linker{}.Dial(ctx, address)
		},
		Now: time.Now, Shares: &spender.Spender{Now: time.Now}, Delegates: func(organisation string) bool { return organisation == "a" },
		OnViewChange: func(view *keeper.View) {
			if view.Configuration.Version > 0 {
				e.firstView.CompareAndSwap(nil, view)
			}
		},
	}
	adjust(e)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx)
	}()
	e.stopRun = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(e.stopRun)
	return e
}

// TestStartedEntryHostLearnsOfAgreedPeers starts an entry host under a new
// leader. It must get the agreed peers at once, including a host that has not yet
// reported to the new leader.
func TestStartedEntryHostLearnsOfAgreedPeers(t *testing.T) {
	f := newControlFleet(t)
	f.configure(7)
	absent := startEntryHost(t, "entry-1", f.founders[0])
	waitFor(t, "agreement on entry-1", func() bool {
		known := 0
		for _, h := range f.hosts {
			found := make(chan bool, 1)
			if h.submit(func() { found <- h.state.Hosts["entry-1"] }) && <-found {
				known++
			}
		}
		return known == fleetSize
	})
	absent.stopRun()
	f.stop(f.leader())
	successor := f.leader()
	started := startEntryHost(t, "entry-2", f.hosts[successor].address)
	waitFor(t, "the configuration", func() bool { return started.firstView.Load() != nil })
	qt.Assert(t, started.firstView.Load().Peers["entry-1"], qt.Equals, keeper.Peer{Address: "entry-1:1", DataCentre: "a"})
}

// TestEntryHostIsRedirectedToTheNextLeader starts an entry host that reaches
// only a control host without a known leader. Its report must be held until a
// leader is elected, so that the entry host does not ask repeatedly.
func TestEntryHostIsRedirectedToTheNextLeader(t *testing.T) {
	f := newControlFleet(t)
	f.configure(7)
	type stoppedHost struct{ node, dir, address string }
	var stoppedHosts []stoppedHost
	for node, h := range f.hosts {
		stoppedHosts = append(stoppedHosts, stoppedHost{node, h.dir, h.address})
	}
	for _, p := range stoppedHosts {
		f.stop(p.node)
	}
	f.start(stoppedHosts[0].node, listen(t, stoppedHosts[0].address), stoppedHosts[0].dir, false)
	startedAt := time.Now()
	a := startEntryHost(t, "entry-1", stoppedHosts[0].address)
	waitFor(t, "the first report", func() bool { return time.Since(startedAt) > maxReportHold/2 })
	f.start(stoppedHosts[1].node, listen(t, stoppedHosts[1].address), stoppedHosts[1].dir, false)
	waitFor(t, "the configuration", func() bool {
		view, _ := a.View()
		return view.Configuration.Version == 7
	})
	// One connection for each time that a report is held, and two to follow the
	// leader.
	most := int64(time.Since(startedAt)/maxReportHold) + 3
	qt.Assert(t, a.dials.Load() <= most, qt.IsTrue, qt.Commentf("%d connections, at most %d expected", a.dials.Load(), most))
}

// TestSpareTellsWhoLeads starts an entry host that reaches only a control host
// outside the consensus group. That control host must name the leader.
func TestSpareTellsWhoLeads(t *testing.T) {
	f := newControlFleet(t)
	f.configure(7)
	spare := f.start("spare", listen(t, "127.0.0.1:0"), t.TempDir(), false)
	startedAt := time.Now()
	a := startEntryHost(t, "entry-1", spare.address)
	waitFor(t, "the configuration", func() bool { return a.firstView.Load() != nil })
	most := int64(time.Since(startedAt)/maxReportHold) + 3
	qt.Assert(t, a.dials.Load() <= most, qt.IsTrue, qt.Commentf("%d connections, at most %d expected", a.dials.Load(), most))
	waitFor(t, "the leader's operator address", func() bool { return spare.LeaderOperatorAddress(context.Background()) != "" })
}

// TestStoppingHostReleasesItsShare stops a host that holds all of two rates. It
// must release the one that other hosts spend for its callers.
func TestStoppingHostReleasesItsShare(t *testing.T) {
	f := newControlFleet(t)
	f.configure(7)
	leader := f.hosts[f.leader()]
	a := startEntryHost(t, "entry-1", leader.address)
	waitFor(t, "a share of the rates", func() bool {
		for _, name := range []string{"a", "split"} {
			a.Shares.Admit(keeper.Organisation{Name: name, Rate: 100, Burst: 100}, 0)
		}
		return a.Shares.Report().Extras["a"] > 0 && a.Shares.Report().Extras["split"] > 0
	})
	a.AnnounceShutdown()
	waitFor(t, "the release of the share", func() bool {
		held := make(chan bool, 1)
		return a.Shares.Report().Extras["a"] == 0 && leader.submit(func() { held <- leader.leadership.shares.HasGrant("entry-1", "a") }) && !<-held
	})
	qt.Assert(t, a.Shares.Report().Demands["a"] > 0, qt.IsTrue, qt.Commentf("its callers still have demand"))
	qt.Assert(t, a.Shares.Report().Extras["split"] > 0, qt.IsTrue, qt.Commentf("the host itself still spends this rate"))
}

// Upstreams that announce themselves together are sent to the hosts together: each
// publication goes to every host, so one for each announcement would grow with the
// product of both.
func TestAnnouncementsArePublishedTogether(t *testing.T) {
	f := newControlFleet(t)
	f.configure(1)
	var topologies atomic.Int64
	last := uint64(0)
	host := startEntryHostWith(t, "entry-1", f.founders, func(e *testEntryHost) {
		e.OnViewChange = func(view *keeper.View) {
			if view.Revision != last {
				last = view.Revision
				topologies.Add(1)
			}
		}
	})
	waitFor(t, "the lease", host.HoldsLease)
	before, begin := topologies.Load(), time.Now()
	const upstreams = 60
	for i := range upstreams {
		f.announce(fmt.Sprintf("u%d", i), keeper.LifecycleReady, keeper.RoleReplica, 1)
	}
	waitFor(t, "all upstreams", func() bool { view, _ := host.View(); return len(view.Upstreams) == upstreams })
	most := int64(time.Since(begin)/publishInterval) + 2
	got := topologies.Load() - before
	qt.Assert(t, got <= most, qt.IsTrue, qt.Commentf("%d publications, at most %d", got, most))
}
