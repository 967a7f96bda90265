package coordinator

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/controlclient"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// A report with one upstream status that cannot be decoded ended its stream, again with
// each new one.
func TestOddEntryOfAReportIsLeftOut(t *testing.T) {
	f := newControlFleet(t)
	f.configure(1)
	leader := f.hosts[f.leader()]
	conn, err := linker.Linker{}.Dial(t.Context(), leader.address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(t.Context(), controlclient.RPCPath, linker.JSONEncoding{})
	qt.Assert(t, err, qt.IsNil)
	report := map[string]any{
		"sequence": 1, "host": "entry-1", "incarnation": 1, "peer_address": "127.0.0.1:99999",
		"sights": []any{map[string]any{"upstream": "odd", "position": map[string]any{"term": 1e30}}, controlclient.UpstreamStatus{Upstream: "good", Reachable: true}},
		"shares": map[string]any{"grant": 0, "demands": map[string]any{"o": 4.5, "p": "many"}},
	}
	qt.Assert(t, stream.MsgSend(&report, linker.JSONEncoding{}), qt.IsNil)
	waitFor(t, "the report", func() bool {
		known := make(chan bool, 1)
		ok := leader.submit(func() {
			h := leader.leadership.hosts["entry-1"]
			known <- h != nil && len(h.statuses) == 1 && h.statuses["good"].Reachable && leader.leadership.peers["entry-1"].Address == ""
		})
		return ok && <-known
	})
}

// The announcement of a control host that nobody can reach would have replaced the address
// of a member.
func TestOddAnnouncementOfAControlHostIsRefused(t *testing.T) {
	f := newControlFleet(t)
	f.configure(1)
	leader := f.hosts[f.leader()]
	other := ""
	for node, h := range f.hosts {
		if node != leader.Node {
			other = h.ID()
		}
	}
	address := leader.transport.addressOf(other)
	conn, err := linker.Linker{}.Dial(t.Context(), leader.address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	for _, m := range []keeper.Member{{ID: other, PeerAddress: "127.0.0.1:99999"}, {ID: other}, {PeerAddress: address}} {
		var answer notice
		qt.Check(t, conn.Invoke(context.Background(), rpcAnnounce, linker.JSONEncoding{}, &notice{Member: m}, &answer), qt.Not(qt.IsNil), qt.Commentf("%+v", m))
	}
	qt.Assert(t, leader.transport.addressOf(other), qt.Equals, address)
}
