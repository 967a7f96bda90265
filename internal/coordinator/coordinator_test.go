package coordinator

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

const waitTimeout = 20 * time.Second

// decodeVersion decodes a document that consists of a version and, after a comma, how
// many replicas of the service s receive a commit before it is acknowledged.
func decodeVersion(document []byte) (keeper.Configuration, error) {
	version, syncReplicas, _ := strings.Cut(string(document), ",")
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return keeper.Configuration{}, errors.New("not a version")
	}
	c := keeper.Configuration{Version: v}
	if n, err := strconv.Atoi(syncReplicas); err == nil {
		c.Services = map[string]keeper.Service{"s": {Name: "s", SyncReplicas: n}}
	}
	return c, nil
}

// controlHost is a running control host of a test.
type controlHost struct {
	*Coordinator
	dir     string
	address string
	cancel  context.CancelFunc
	done    chan error
}

// controlFleet is a fleet of control hosts on the local machine.
type controlFleet struct {
	t                 *testing.T
	founders          []string
	hosts             map[string]*controlHost
	promotionRequests chan PromotionRequest
	// primaryLease is the setting of the same name.
	primaryLease bool
	// now is the clock of the hosts; nil means time.Now.
	now func() time.Time
	// upstreams answers queries for the status of upstreams; nil means that none
	// answers.
	upstreams *scriptedUpstreams
}

// fleetSize is the number of founding control hosts.
const fleetSize = 3

func newControlFleet(t *testing.T) *controlFleet { return newControlFleetWith(t, &controlFleet{}) }

// newControlFleetWith starts a fleet with the settings of f.
func newControlFleetWith(t *testing.T, f *controlFleet) *controlFleet {
	f.t, f.hosts, f.promotionRequests = t, map[string]*controlHost{}, make(chan PromotionRequest, 100)
	var listeners []net.Listener
	for range fleetSize {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		f.founders = append(f.founders, l.Addr().String())
	}
	for i, l := range listeners {
		f.start("c"+strconv.Itoa(i), l, t.TempDir(), true)
	}
	return f
}

func listen(t *testing.T, address string) net.Listener {
	var l net.Listener
	waitFor(t, "the address "+address, func() bool {
		var err error
		l, err = net.Listen("tcp", address)
		return err == nil
	})
	return l
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func (f *controlFleet) start(node string, l net.Listener, dir string, bootstrap bool) *controlHost {
	address := l.Addr().String()
	h := &controlHost{dir: dir, address: address, done: make(chan error, 1)}
	if f.now == nil {
		f.now = time.Now
	}
	h.Coordinator = &Coordinator{
		Settings: Settings{
			Node: node, DataDir: dir, PeerAddress: address, OperatorAddress: "operator-of-" + node, DataCentre: "a", Region: "r",
			Bootstrap: bootstrap, Founders: f.founders, Voters: 3, PrimaryLease: f.primaryLease,
		},
		Seeds: func() []string { return f.founders }, Decode: decodeVersion, Now: f.now, Dial: linker.Linker{}.Dial,
		Promote: func(_ context.Context, o PromotionRequest) (PromotionOutcome, error) {
			f.promotionRequests <- o
			return PromotionAccepted, nil
		},
		QueryStatus: func(context.Context, keeper.Upstream) (connector.ReplicationStatus, error) {
			return connector.ReplicationStatus{}, errors.New("no upstream status in this test")
		},
	}
	if f.upstreams != nil {
		h.QueryStatus, h.Demote = f.upstreams.queryStatus, f.upstreams.demote
	}
	qt.Assert(f.t, h.Open(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { _ = h.ServePeers(ctx, l) }()
	go func() { h.done <- h.Run(ctx) }()
	f.hosts[node] = h
	f.t.Cleanup(func() { f.stop(node) })
	return h
}

func (f *controlFleet) stop(node string) {
	h := f.hosts[node]
	if h == nil {
		return
	}
	delete(f.hosts, node)
	h.cancel()
	qt.Assert(f.t, <-h.done, qt.IsNil)
}

// leader waits until a control host leads with a valid lease.
func (f *controlFleet) leader() (node string) {
	waitFor(f.t, "a leader", func() bool {
		for name, h := range f.hosts {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := h.ConfigurationDocument(ctx)
			cancel()
			if err == nil {
				node = name
				return true
			}
		}
		return false
	})
	return node
}

// configure replicates a configuration version through the current leader.
func (f *controlFleet) configure(version uint64) {
	f.configureDocument(version, strconv.FormatUint(version, 10))
}

func (f *controlFleet) configureDocument(version uint64, document string) {
	waitFor(f.t, "version "+strconv.FormatUint(version, 10), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return f.hosts[f.leader()].Configure(ctx, version, []byte(document)) == nil
	})
}

// readDocument returns the committed document from the current leader.
func (f *controlFleet) readDocument() string {
	var document []byte
	waitFor(f.t, "the document", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var err error
		document, err = f.hosts[f.leader()].ConfigurationDocument(ctx)
		return err == nil
	})
	return string(document)
}

// haveVoters reports whether all running voters have a membership of three that
// includes joined and not left. A leader adopts a membership before it is
// committed, so the leader alone does not show that the change survives it.
func (f *controlFleet) haveVoters(joined, left string) bool {
	for _, h := range f.hosts {
		found := make(chan []string, 1)
		if !h.submit(func() { found <- h.elector.Membership().Voters }) {
			return false
		}
		voters := <-found
		if !contains(voters, h.ID()) && h.ID() != joined {
			// A spare learns of it later.
			continue
		}
		if len(voters) != fleetSize || !contains(voters, joined) || contains(voters, left) {
			return false
		}
	}
	return true
}

func TestFleetAgreesAndSurvivesItsLeader(t *testing.T) {
	f := newControlFleet(t)
	f.configure(3)
	ctx := context.Background()
	leader := f.hosts[f.leader()]
	qt.Assert(t, leader.Configure(ctx, 2, []byte("2")), qt.IsNil, qt.Commentf("an older version is acknowledged"))
	qt.Assert(t, f.readDocument(), qt.Equals, "3")
	for name, h := range f.hosts {
		if h == leader {
			continue
		}
		_, err := h.ConfigurationDocument(ctx)
		qt.Assert(t, err, qt.Equals, ErrNotLeader, qt.Commentf("%s", name))
		waitFor(t, "the leader's address", func() bool { return h.LeaderOperatorAddress(ctx) == leader.OperatorAddress })
	}
	f.stop(leader.Node)
	qt.Assert(t, f.readDocument(), qt.Equals, "3")
	f.configure(4)
	qt.Assert(t, f.readDocument(), qt.Equals, "4")
}

func TestAcknowledgedVersionSurvivesALossOfAllProcesses(t *testing.T) {
	f := newControlFleet(t)
	for v := uint64(1); v <= 250; v++ {
		f.configure(v)
	}
	type stoppedHost struct{ node, dir, address string }
	var stoppedHosts []stoppedHost
	for node, h := range f.hosts {
		stoppedHosts = append(stoppedHosts, stoppedHost{node, h.dir, h.address})
	}
	for _, p := range stoppedHosts {
		f.stop(p.node)
	}
	for _, p := range stoppedHosts {
		f.start(p.node, listen(t, p.address), p.dir, true)
	}
	qt.Assert(t, f.readDocument(), qt.Equals, "250")
}

func TestHostWithLostDataDirIsReplacedAndSecondLossIsSurvived(t *testing.T) {
	f := newControlFleet(t)
	f.configure(5)
	lost := ""
	for node := range f.hosts {
		if node != f.leader() {
			lost = node
		}
	}
	old := f.hosts[lost]
	f.stop(lost)
	qt.Assert(t, os.RemoveAll(old.dir), qt.IsNil)
	fresh := f.start(lost, listen(t, old.address), t.TempDir(), false)
	qt.Assert(t, fresh.ID(), qt.Not(qt.Equals), old.ID())
	waitFor(t, "the vote of the host with the new data folder", func() bool { return f.haveVoters(fresh.ID(), old.ID()) })
	for node := range f.hosts {
		if node != lost {
			f.stop(node)
			break
		}
	}
	f.configure(6)
	qt.Assert(t, f.readDocument(), qt.Equals, "6")
}

func contains(list []string, s string) bool {
	for _, other := range list {
		if other == s {
			return true
		}
	}
	return false
}

func TestSpareAtAnotherAddressReplacesALostHost(t *testing.T) {
	f := newControlFleet(t)
	f.configure(5)
	spare := f.start("spare", listen(t, "127.0.0.1:0"), t.TempDir(), false)
	lost := ""
	for node, h := range f.hosts {
		if node != f.leader() && node != "spare" {
			lost = h.ID()
			f.stop(node)
			break
		}
	}
	waitFor(t, "the spare's vote", func() bool { return f.haveVoters(spare.ID(), lost) })
	f.configure(6)
	qt.Assert(t, f.readDocument(), qt.Equals, "6")
}

// announce records an announcement of an upstream of the service s.
func (f *controlFleet) announce(id string, lifecycle keeper.Lifecycle, role keeper.Role, sequence uint64) {
	waitFor(f.t, "the announcement of "+id, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		u := keeper.Upstream{ID: id, Service: "s", Address: id + ":1", Lifecycle: lifecycle, Role: role, Sequence: sequence}
		return f.hosts[f.leader()].RecordAnnouncement(ctx, u) == nil
	})
}

func TestPrimaryThatEndsIsReplacedUnderRisingTokens(t *testing.T) {
	f := newControlFleet(t)
	f.configure(1)
	observe := f.announce
	observe("p", keeper.LifecycleReady, keeper.RolePrimary, 1)
	observe("r1", keeper.LifecycleReady, keeper.RoleReplica, 1)
	observe("r2", keeper.LifecycleReady, keeper.RoleReplica, 1)
	observe("p", keeper.LifecycleDraining, keeper.RolePrimary, 2)
	first := <-f.promotionRequests
	qt.Assert(t, first.Candidate, qt.Equals, "r1")
	observe("r1", keeper.LifecycleReady, keeper.RolePrimary, 2)
	observe("r1", keeper.LifecycleDraining, keeper.RolePrimary, 3)
	second := <-f.promotionRequests
	qt.Assert(t, second.Candidate, qt.Equals, "r2")
	qt.Assert(t, second.Token > first.Token, qt.IsTrue)
}

// Voters that are not founders have member IDs from their data directories, which
// are no addresses. When all processes restart and the seeds do not help, the
// voters must still find each other.
func TestFleetOfReplacedHostsStartsAgain(t *testing.T) {
	f := newControlFleet(t)
	f.configure(5)
	for range 2 {
		lost := ""
		for node, h := range f.hosts {
			if node != f.leader() && contains(f.founders, h.ID()) {
				lost = node
			}
		}
		address, old := f.hosts[lost].address, f.hosts[lost].ID()
		f.stop(lost)
		fresh := f.start(lost, listen(t, address), t.TempDir(), false)
		waitFor(t, "the vote of "+fresh.ID(), func() bool { return f.haveVoters(fresh.ID(), old) })
	}
	f.configure(6)
	type stoppedHost struct{ node, dir, address string }
	var stoppedHosts []stoppedHost
	for node, h := range f.hosts {
		stoppedHosts = append(stoppedHosts, stoppedHost{node, h.dir, h.address})
	}
	for _, p := range stoppedHosts {
		f.stop(p.node)
	}
	f.founders = []string{"127.0.0.1:1"}
	for _, p := range stoppedHosts {
		f.start(p.node, listen(t, p.address), p.dir, false)
	}
	qt.Assert(t, f.readDocument(), qt.Equals, "6")
}
