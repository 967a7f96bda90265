package transactor

import (
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/evacuator"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// candidates returns the upstreams of the route's service that may serve a
// read. Those of an evacuated data centre are left out as long as others may answer.
func (r *request) candidates(view *keeper.View, excluded map[string]bool) []balancer.Candidate {
	server := r.session.server
	upstreams := view.ByService(r.route.Service)
	candidates := make([]balancer.Candidate, 0, len(upstreams))
	var avoided []balancer.Candidate
	answering := false
	for _, u := range upstreams {
		decision := server.Evacuations.decide(u)
		if u.Lifecycle != keeper.LifecycleReady || excluded[u.ID] || decision == evacuator.Refuse || !r.mayRunAt(u) {
			continue
		}
		c := balancer.Candidate{
			ID: u.ID, Distance: server.Location.DistanceTo(u.DataCentre), Primary: view.Primaries[r.route.Service] == u.ID, Slots: u.Slots,
		}
		if server.Affinity != nil {
			c.Affinity = server.Affinity(u, r.connectionOrganisation())
		}
		server.Upstreams.FillCandidate(&c)
		c.Load, c.LoadAge = server.Upstreams.Load(u.ID, r.connectionOrganisation())
		c.Suspect = server.isSuspect(u)
		if decision == evacuator.Avoid {
			avoided = append(avoided, c)
			continue
		}
		answering = answering || !c.Suspect
		candidates = append(candidates, c)
	}
	if !answering {
		candidates = append(candidates, avoided...)
	}
	return candidates
}
