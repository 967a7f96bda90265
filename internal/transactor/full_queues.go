package transactor

import (
	"errors"
	"time"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// fullQueues holds the expected waits at the upstreams that refused a read
// although it may wait there. The zero value is empty.
type fullQueues struct {
	expected map[string]time.Duration
}

// add records the refusal of an upstream. One that says that the read may not
// wait replaces an earlier one.
func (f *fullQueues) add(upstream string, refusal *refuser.Refusal) {
	delete(f.expected, upstream)
	var queueErr *connector.QueueError
	if refusal.Reason != refuser.ReasonPoolFull || !errors.As(refusal, &queueErr) || !queueErr.MayWait {
		return
	}
	if f.expected == nil {
		f.expected = map[string]time.Duration{}
	}
	f.expected[upstream] = queueErr.ExpectedWait
}

// shortest returns the upstream with the shortest expected wait, or false if
// there is none at which the read may wait.
func (f *fullQueues) shortest() (string, bool) {
	best := ""
	for id, wait := range f.expected {
		if best == "" || wait < f.expected[best] || (wait == f.expected[best] && id < best) {
			best = id
		}
	}
	return best, best != ""
}
