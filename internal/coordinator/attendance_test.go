package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"

	"github.com/shallotstage/shallotstage/internal/attender"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

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
	var dials atomic.Int64
	begin := time.Now()
	a := &attender.Attender{
		Host: "entry-1", Incarnation: 1, DataCentre: "a", PeerAddress: "127.0.0.1:1",
		Seeds: func() []string { return []string{places[0].address} },
		Dial: func(ctx context.Context, address string) (*drpcconn.Conn, error) {
			dials.Add(1)
			return linker.Linker{}.Dial(ctx, address)
		},
		Now: time.Now, Shares: &spender.Spender{Now: time.Now},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	waitFor(t, "the first question", func() bool { return time.Since(begin) > holdLimit/2 })
	f.start(places[1].node, listen(t, places[1].address), places[1].dir, false)
	waitFor(t, "the configuration", func() bool {
		view, _ := a.View()
		return view.Configuration.Version == 7
	})
	// One question for each time that a report is held, and two to follow the
	// leader.
	most := int64(time.Since(begin)/holdLimit) + 3
	qt.Assert(t, dials.Load() <= most, qt.IsTrue, qt.Commentf("%d questions, at most %d expected", dials.Load(), most))
}
