package transactor

import (
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/permitter"
)

// RouteExplanation is where a request would go now, and why.
type RouteExplanation struct {
	Host    string `json:"host"`
	Service string `json:"service"`
	// Upstream is empty if the request would wait or be refused.
	Upstream string `json:"upstream"`
	Reason   string `json:"reason"`
	// Floor is the position that the read must find, or empty if it would have to
	// be asked for first.
	Floor string `json:"floor,omitempty"`
	// LeavingShare is the fraction of the service's reads that may leave the
	// region for its load.
	LeavingShare float64                `json:"leaving_share"`
	Candidates   []CandidateExplanation `json:"candidates,omitempty"`
}

// CandidateExplanation is what the host knows of an upstream that may serve a read.
type CandidateExplanation struct {
	Upstream string `json:"upstream"`
	Distance string `json:"distance"`
	Primary  bool   `json:"primary"`
	// Rank is the rank in the placement of the organisation; zero is a home.
	Rank int `json:"rank"`
	// CostMillis is the estimated response time with all penalties; it is missing
	// for an upstream that does not answer or lags.
	CostMillis      *float64 `json:"cost_ms,omitempty"`
	Suspect         bool     `json:"suspect"`
	Position        string   `json:"position"`
	InFlight        int      `json:"in_flight"`
	RoundTripMillis float64  `json:"round_trip_ms"`
	// The rest is the owner's last report; it is missing without one.
	Report *ReportExplanation `json:"report,omitempty"`
}

// ReportExplanation is an owner's last report.
type ReportExplanation struct {
	AgeMillis         float64 `json:"age_ms"`
	Slots             int     `json:"slots"`
	Running           int     `json:"running"`
	Queued            int     `json:"queued"`
	Opening           int     `json:"opening"`
	MeanServiceMillis float64 `json:"mean_service_ms"`
	HasIdle           bool    `json:"has_idle"`
}

// ExplainRoute decides where a request would go now, as for a real one, and changes
// nothing. A read that may leave the region with a probability is decided as most
// reads are.
func (s *Server) ExplainRoute(routeName, organisation string, write bool) (RouteExplanation, error) {
	view, _ := s.View()
	route, ok := view.Configuration.Routes[routeName]
	if !ok {
		return RouteExplanation{}, fmt.Errorf("transactor: route %q is unknown", routeName)
	}
	if _, ok := view.Configuration.Organisations[organisation]; !ok && !route.Public {
		return RouteExplanation{}, fmt.Errorf("transactor: organisation %q is unknown", organisation)
	}
	r := &request{
		session: &session{server: s}, route: route, organisation: organisation,
		permitted: permitter.Effective(route.PermittedRegions, view.Configuration.Organisations[organisation].PermittedRegions),
	}
	explanation := RouteExplanation{Service: route.Service}
	if write || route.Consistency == keeper.ConsistencyPrimary {
		r.explainPrimary(view, &explanation)
	} else {
		r.explainRead(view, &explanation)
	}
	return explanation, nil
}

func (r *request) explainPrimary(view *keeper.View, explanation *RouteExplanation) {
	u, ok := r.choosePrimary(view, nil)
	if !ok {
		explanation.Reason = "the primary does not answer"
		return
	}
	if !r.mayRunAt(u) {
		explanation.Reason = r.primaryRegionRefusal(u).Detail
		return
	}
	explanation.Upstream, explanation.Reason = u.ID, "primary"
}

func (r *request) explainRead(view *keeper.View, explanation *RouteExplanation) {
	server := r.session.server
	if refusal := r.checkRegions(view); refusal != nil {
		explanation.Reason = refusal.Detail
		return
	}
	now := server.Now()
	floor, ok := server.Upstreams.Floor(r.route.Service, now, r.route.MaxStaleness, noFloor)
	if ok {
		explanation.Floor = floor.String()
	}
	candidates := r.candidates(view, nil)
	explanation.LeavingShare = server.Upstreams.leavingShare(r.route.Service)
	for i, c := range candidates {
		candidates[i].Held = c.Distance == balancer.DistanceFar && explanation.LeavingShare < 0.5
	}
	costs := balancer.Costs(floor, now, candidates)
	for i, c := range candidates {
		explanation.Candidates = append(explanation.Candidates, explainCandidate(c, costs[i]))
	}
	explanation.Reason = "no upstream answers and has reached the floor"
	if warm, ok := server.coldUpstreams.withoutCold(candidates); ok && balancer.Choose(floor, now, warm) >= 0 {
		candidates = warm
	}
	if i := balancer.Choose(floor, now, candidates); i >= 0 {
		explanation.Upstream, explanation.Reason = candidates[i].ID, string(balancer.ReasonOf(floor, now, candidates, i))
	}
}

func explainCandidate(c balancer.Candidate, cost time.Duration) CandidateExplanation {
	millis := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	explained := CandidateExplanation{
		Upstream: c.ID, Distance: string(c.Distance), Primary: c.Primary, Rank: c.Affinity, Suspect: c.Suspect,
		Position: c.Position.String(), InFlight: c.InFlight, RoundTripMillis: millis(c.RoundTrip),
	}
	if cost != balancer.Unusable {
		costMillis := millis(cost)
		explained.CostMillis = &costMillis
	}
	if l := c.Load; l.Slots > 0 {
		explained.Report = &ReportExplanation{
			AgeMillis: millis(c.LoadAge), Slots: l.Slots, Running: l.Running, Queued: l.Queued, Opening: l.Opening,
			MeanServiceMillis: millis(l.MeanServiceTime), HasIdle: l.HasIdle,
		}
	}
	return explained
}
