package transactor

import (
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
