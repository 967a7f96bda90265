package transactor

import (
	"time"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// refusedEarly returns the refusal that an upstream's owner would give according to
// its last load report, or nil.
func (r *request) refusedEarly(upstream string) *refuser.Refusal {
	load := r.session.server.Load
	if load == nil || r.isProbe {
		return nil
	}
	report, age := load(upstream, r.organisation)
	roomIn, refuse := queuer.RefuseEarly(report, age, r.answerWithin(), time.Until(r.deadline))
	if !refuse {
		return nil
	}
	return refuser.Wrap(refuser.ReasonPoolFull, "upstream "+upstream, &connector.QueueError{Upstream: upstream, RoomIn: roomIn, Early: true})
}

// withRoom returns the candidates that would not refuse the request. If there were
// candidates and all would, it returns the refusal that tells the earliest return.
func (r *request) withRoom(candidates []balancer.Candidate) ([]balancer.Candidate, *refuser.Refusal) {
	var earliest *refuser.Refusal
	kept := candidates[:0]
	for _, c := range candidates {
		refusal := r.refusedEarly(c.ID)
		if refusal == nil {
			kept = append(kept, c)
		} else if earliest == nil || roomIn(refusal) < roomIn(earliest) {
			earliest = refusal
		}
	}
	if len(kept) > 0 {
		return kept, nil
	}
	return kept, earliest
}
