package admitter

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/avoider"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

// treasurer is a host with tokens.
type treasurer struct {
	Treasurer
	tokens, asked atomic.Int64
}

func (h *treasurer) admit(keeper.Organisation, time.Duration) spender.Admission {
	h.asked.Add(1)
	if h.tokens.Add(-1) >= 0 {
		return spender.Admission{Admitted: true}
	}
	return spender.Admission{RetryAfter: time.Hour}
}

var organisation = keeper.Organisation{Name: "prairie_1", Rate: 10}

func startTreasurer(t testing.TB, name string, tokens int64) *treasurer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	h := &treasurer{Treasurer: Treasurer{Host: name, Address: l.Addr().String()}}
	h.tokens.Store(tokens)
	a := &Admitter{Local: h.admit, Organisation: func(string) (keeper.Organisation, bool) { return organisation, true }}
	f := &forwarder.Forwarder{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Serve(ctx, l, func(header []byte) func(context.Context, net.Conn) { return a.Accept(header[1:]) })
	return h
}

func newAsker(t testing.TB, local *treasurer, treasurers ...Treasurer) *Admitter {
	f := &forwarder.Forwarder{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
	t.Cleanup(f.Close)
	return &Admitter{
		Local: local.admit, Forwarder: f, Avoider: avoider.Avoider{First: FirstAvoided}, Hosts: func() int { return 100 },
		Treasurers: func(string) []Treasurer { return treasurers },
	}
}

func TestAnotherTreasurerIsAskedWhenOneHasNoToken(t *testing.T) {
	dry, rich := startTreasurer(t, "dry", 0), startTreasurer(t, "rich", 2)
	a := newAsker(t, &treasurer{}, Treasurer{Host: "gone", Address: "127.0.0.1:1"}, dry.Treasurer, rich.Treasurer)
	for range 2 {
		qt.Assert(t, a.Admit(organisation, 0).Admitted, qt.IsTrue)
	}
	qt.Assert(t, a.Admit(organisation, 0).Admitted, qt.IsFalse)
	qt.Assert(t, rich.asked.Load(), qt.Equals, int64(3))
}

// An organisation beyond its rate costs few questions.
func TestRefusalsAreRemembered(t *testing.T) {
	var all []Treasurer
	var hosts []*treasurer
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		h := startTreasurer(t, name, 0)
		hosts, all = append(hosts, h), append(all, h.Treasurer)
	}
	local := &treasurer{}
	a := newAsker(t, local, all...)
	begin, operations := time.Now(), 0
	for ; operations < 200; operations++ {
		qt.Assert(t, a.Admit(organisation, 0).Admitted, qt.IsFalse)
	}
	asked := int64(0)
	for _, h := range hosts {
		asked += h.asked.Load()
	}
	rounds := int64(time.Since(begin)/maxDry) + 1
	qt.Assert(t, asked <= rounds*int64(len(hosts)), qt.IsTrue, qt.Commentf("%d questions for %d operations", asked, operations))
	qt.Assert(t, local.asked.Load(), qt.Equals, int64(operations), qt.Commentf("the base of the host itself is tried"))
}

// A treasurer asks others too, and does not spend its own tokens twice.
func TestTreasurerWithoutTokensAsksOthers(t *testing.T) {
	rich := startTreasurer(t, "rich", 1)
	local := &treasurer{}
	local.tokens.Store(1)
	a := newAsker(t, local, Treasurer{Host: "self"}, rich.Treasurer)
	qt.Assert(t, a.Admit(organisation, 0).Admitted, qt.IsTrue)
	qt.Assert(t, a.Admit(organisation, 0).Admitted, qt.IsTrue)
	qt.Assert(t, a.Admit(organisation, 0).Admitted, qt.IsFalse)
	qt.Assert(t, rich.asked.Load(), qt.Equals, int64(2))
	qt.Assert(t, local.tokens.Load() <= 0, qt.IsTrue)
}

// An operation waits for tokens that are on their way, and not for others.
func TestOperationWaitsForItsFirstTokens(t *testing.T) {
	local := &treasurer{}
	a := newAsker(t, local)
	news := make(chan struct{})
	a.Settling = func(string) <-chan struct{} {
		local.tokens.Store(1)
		close(news)
		return news
	}
	qt.Assert(t, a.Admit(organisation, time.Minute).Admitted, qt.IsTrue)
	a.Settling = func(string) <-chan struct{} { return nil }
	qt.Assert(t, a.Admit(organisation, time.Minute).Admitted, qt.IsFalse)
}

func BenchmarkAskATreasurer(b *testing.B) {
	h := startTreasurer(b, "rich", 1<<62)
	a := newAsker(b, &treasurer{}, h.Treasurer)
	b.ReportAllocs()
	for b.Loop() {
		a.Admit(organisation, 0)
	}
}
