package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"

	"github.com/shallotstage/shallotstage/internal/controlclient"
	"github.com/shallotstage/shallotstage/internal/storer"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

// The control hosts of a takeover, and the versions in the data of the first: the one in
// its snapshot and the newest in its log.
const (
	takeoverLeader  = "127.0.0.1:1"
	takeoverVoter   = "127.0.0.1:2"
	snapshotVersion = 1
	loggedVersion   = 9
)

// takeover is a control host that led before it restarted, with a log that is newer than
// its snapshot. The test plays the voter that elects it again.
type takeover struct {
	*Coordinator
	t *testing.T
	// logged is the index of the last entry in its log.
	logged uint64
	// toVoter receives the host's messages.
	toVoter chan elector.Message
}

// newTakeover starts the host. Its log has the configurations after the snapshot and then
// the given commands.
func newTakeover(t *testing.T, snapshot *keeper.State, commands ...keeper.Command) *takeover {
	dir := t.TempDir()
	store, err := storer.Open(dir, "c0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, store.SetMemberID(takeoverLeader), qt.IsNil)
	body, err := snapshot.Marshal()
	qt.Assert(t, err, qt.IsNil)
	first := elector.Snapshot{Index: 1, Membership: elector.Membership{Voters: []string{takeoverLeader, takeoverVoter, "127.0.0.1:3"}}, Data: body}
	qt.Assert(t, store.SaveSnapshot(first), qt.IsNil)
	out := elector.Output{HardState: &elector.HardState{Term: 1, VotedFor: takeoverLeader, Leader: takeoverLeader}}
	var logged []keeper.Command
	for version := uint64(snapshotVersion + 1); version <= loggedVersion; version++ {
		logged = append(logged, keeper.Command{Kind: keeper.CommandConfigure, Version: version, Document: []byte(fmt.Sprint(version))})
	}
	for i, command := range append(logged, commands...) {
		data, err := json.Marshal(command)
		qt.Assert(t, err, qt.IsNil)
		out.Entries = append(out.Entries, elector.Entry{Index: first.Index + uint64(i) + 1, Term: 1, Kind: elector.EntryCommand, Data: data})
	}
	qt.Assert(t, store.Save(out), qt.IsNil)
	qt.Assert(t, store.Close(), qt.IsNil)
	h := &takeover{t: t, logged: first.Index + uint64(len(out.Entries)), toVoter: make(chan elector.Message, sendQueueSize), Coordinator: &Coordinator{
		Settings: Settings{Node: "c0", DataDir: dir, PeerAddress: takeoverLeader, Voters: 3},
		Seeds:    func() []string { return nil }, Decode: decodeVersion, Now: time.Now,
		Dial: func(context.Context, string) (*drpcconn.Conn, error) {
			return nil, errors.New("no other control host runs in this test")
		},
	}}
	qt.Assert(t, h.Open(), qt.IsNil)
	h.transport.queues[takeoverVoter] = h.toVoter
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return h
}

// step handles a message of the voter and then calls f, before anything else is done.
func (h *takeover) step(m elector.Message, f func()) {
	m.From, m.To = takeoverVoter, takeoverLeader
	done := make(chan struct{})
	qt.Assert(h.t, h.submit(func() {
		defer close(done)
		h.elector.Step(m, h.Now())
		f()
	}), qt.IsTrue)
	<-done
}

// elect votes for the host and confirms its entries. afterEach is called after each
// answer to it, before the answer has any other effect.
func (h *takeover) elect(afterEach func()) {
	timeout := time.After(waitTimeout)
	for {
		select {
		case m := <-h.toVoter:
			switch m.Kind {
			case elector.MessagePreVote:
				h.step(elector.Message{Kind: elector.MessagePreVoteResponse, Term: m.Term}, afterEach)
			case elector.MessageVote:
				h.step(elector.Message{Kind: elector.MessageVoteResponse, Term: m.Term}, afterEach)
			case elector.MessageAppend:
				last := m.Index + uint64(len(m.Entries))
				h.step(elector.Message{Kind: elector.MessageAppendResponse, Term: m.Term, Index: last, Round: m.Round}, afterEach)
				if last > h.logged {
					return
				}
			}
		case <-timeout:
			h.t.Fatal("the host was not elected")
		}
	}
}

func snapshotState() *keeper.State {
	state := keeper.New(decodeVersion)
	state.Apply(keeper.Command{Kind: keeper.CommandConfigure, Version: snapshotVersion, Document: []byte(fmt.Sprint(snapshotVersion))}, 1)
	return state
}

// A leader that had just restarted answered a read with the configuration of its last
// snapshot: the read came after the answer that committed the log and before that was
// applied.
func TestRestartedLeaderAnswersWithItsLogApplied(t *testing.T) {
	h := newTakeover(t, snapshotState())
	h.elect(func() {
		document, err := h.currentDocument()
		if err == nil {
			qt.Check(t, string(document), qt.Equals, fmt.Sprint(loggedVersion))
		} else {
			qt.Check(t, err, qt.Equals, ErrNotLeader)
		}
	})
	waitFor(t, "the newest version", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		document, err := h.ConfigurationDocument(ctx)
		return err == nil && string(document) == fmt.Sprint(loggedVersion)
	})
}

// report handles the report of an entry host and returns the update in answer.
func (h *takeover) report(r controlclient.Report) controlclient.Update {
	updates := make(chan controlclient.Update, 1)
	qt.Assert(h.t, h.submit(func() {
		a := &hostStream{cancel: func() {}, updateNeeded: make(chan struct{}, 1), statuses: map[string]controlclient.UpstreamStatus{}}
		h.handleReport(a, r)
		updates <- h.buildUpdate(a)
	}), qt.IsTrue)
	return <-updates
}

// A leader that had just restarted granted a host the whole rate of an organisation while
// another host, cut off at the time, still held its share: the leader took the hosts of its
// last snapshot for all that may hold one.
func TestRestartedLeaderGrantsNoShareThatAnotherHostHolds(t *testing.T) {
	joined := func(host string) keeper.Command {
		return keeper.Command{Kind: keeper.CommandHostJoined, Host: host, Peer: keeper.Peer{Address: host + ":1", DataCentre: "a"}}
	}
	h := newTakeover(t, snapshotState(), joined("entry-1"), joined("cut-off"))
	h.elect(func() {})
	report := controlclient.Report{
		Sequence: 1, Host: "entry-1", Incarnation: 1, DataCentre: "a", PeerAddress: "entry-1:1", AcceptsChanges: true,
		Shares: spender.Report{Demands: map[string]float64{"o": 50}},
	}
	u := h.report(report)
	for u.GrantNumber == 0 {
		report.Sequence++
		u = h.report(report)
	}
	qt.Assert(t, u.Extras["o"], qt.Equals, 0.0)
	report.Host, report.PeerAddress, report.Shares = "cut-off", "cut-off:1", spender.Report{Extras: map[string]float64{"o": 0.9}}
	h.report(report)
	report.Host, report.PeerAddress, report.Shares = "entry-1", "entry-1:1", spender.Report{Demands: map[string]float64{"o": 50}}
	qt.Assert(t, h.report(report).Extras["o"] <= 0.06, qt.IsTrue, qt.Commentf("the rest of the rate is the other host's"))
}

// When all hosts had restarted, a new leader divided the rates and connections by the few
// hosts that had reported first, so each of these took more than its share.
func TestRestartedLeaderCountsTheAgreedHosts(t *testing.T) {
	var joined []keeper.Command
	for _, host := range []string{"entry-1", "entry-2", "entry-3"} {
		joined = append(joined, keeper.Command{Kind: keeper.CommandHostJoined, Host: host, Peer: keeper.Peer{Address: host + ":1", DataCentre: "a"}})
	}
	h := newTakeover(t, snapshotState(), joined...)
	report := controlclient.Report{Sequence: 1, Host: "entry-1", Incarnation: 1, DataCentre: "a", PeerAddress: "entry-1:1"}
	h.elect(func() {
		if h.leadership.leading && !h.leadership.knowsEarlierHolders {
			qt.Check(t, h.countHosts(h.Now()), qt.Equals, 0, qt.Commentf("the log is not applied"))
		}
	})
	u := h.report(report)
	for u.Hosts == 0 {
		u = h.report(report)
	}
	qt.Assert(t, u.Hosts, qt.Equals, 3)
}
