package balancer_test

import (
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/spiller"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

type host struct {
	dataCentre int
	inFlight   []int
	latency    []time.Duration
	suspect    []bool
	reports    []loadReport
	spiller    spiller.Spiller
}

// loadReport is the newest report of an owner.
type loadReport struct {
	load queuer.Load
	at   time.Duration
	// idle is the organisation that the report is for.
	idle string
}

// candidate returns the host's view of an upstream.
func (s *simulation) candidate(st *statement, u *upstream) balancer.Candidate {
	c := balancer.Candidate{
		ID: u.id, Primary: u.primary, Slots: slots, InFlight: st.host.inFlight[u.index], MeanServiceTime: st.host.latency[u.index],
		Position: tracker.Position{Term: 1}, Suspect: st.host.suspect[u.index],
	}
	switch {
	case u.dataCentre == st.host.dataCentre:
		c.Distance = balancer.DistanceDataCentre
	case u.dataCentre/dataCentresARegion == st.host.dataCentre/dataCentresARegion:
		c.Distance = balancer.DistanceRegion
	default:
		c.Distance = balancer.DistanceFar
	}
	if r := st.host.reports[u.index]; s.reports {
		c.Load, c.LoadAge = r.load, s.now-r.at
		c.RoundTrip = 2 * oneWay(st.host.dataCentre, u.dataCentre)
		c.Load.HasIdle = r.load.HasIdle && r.idle == st.organisation.name && c.LoadAge <= 500*time.Millisecond
	}
	if s.placement {
		c.Affinity = s.placements[st.service].Rank(st.organisation.name, u.id)
	}
	return c
}

// choose returns the upstream for a statement, or nil.
func (s *simulation) choose(st *statement) *upstream {
	var candidates []balancer.Candidate
	var chosen []*upstream
	for _, u := range s.ofService(st.service) {
		if st.excluded[u.index] || !s.isKnown(u) {
			continue
		}
		if st.kind.primary && u.primary {
			return u
		}
		candidates = append(candidates, s.candidate(st, u))
		chosen = append(chosen, u)
	}
	if sites, ok := balancer.Sites(candidates); ok && s.spill {
		share := st.host.spiller.Share(fmt.Sprint(st.service), s.time(), sites)
		random := s.rnd.Float64()
		for i := range candidates {
			candidates[i].Held = candidates[i].Distance == balancer.DistanceFar && random >= share
		}
	}
	if i := balancer.ChooseSpread(tracker.Position{}, s.time(), candidates, s.rnd.Float64()); i >= 0 && !st.kind.primary {
		return chosen[i]
	}
	return nil
}
