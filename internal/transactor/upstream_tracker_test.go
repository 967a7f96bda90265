package transactor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// Each leader counts its revisions anew. An upstream that had acted as the primary under
// one leader was used as such under the next one's view of the same revision.
func TestConfirmedPrimaryEndsWithItsView(t *testing.T) {
	tracker := &UpstreamTracker{Now: time.Now}
	view := &keeper.View{Revision: 7, Index: 40, Primaries: map[string]string{"s": "a"}}
	tracker.ConfirmPrimary("s", "b", view)
	qt.Assert(t, tracker.Primary("s", view), qt.Equals, "b")
	next := &keeper.View{Revision: 7, Index: 52, Primaries: map[string]string{"s": "c"}}
	qt.Assert(t, tracker.Primary("s", next), qt.Equals, "c")
}

// A probe read the upstream while a new view changed it; -race tells.
func TestUpstreamIsProbedWhileItIsUpdated(t *testing.T) {
	probed, updated := make(chan struct{}, 100), make(chan struct{})
	tracker := &UpstreamTracker{Now: time.Now, Connect: func(context.Context, string) error {
		probed <- struct{}{}
		return nil
	}}
	update := func(slots int) {
		tracker.Update(map[string]keeper.Upstream{"u": {ID: "u", Address: "127.0.0.1:1", Slots: slots}})
	}
	update(1)
	go func() {
		defer close(updated)
		for n := range 100 {
			update(n)
		}
	}()
	for range 100 {
		tracker.StartProbe(t.Context(), "u")
	}
	<-probed
	<-updated
}
