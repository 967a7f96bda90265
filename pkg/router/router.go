// Package router chooses the upstream that serves a request.
//
// Reads go to the nearest replica that holds the session's floor and has room;
// when none holds it yet, the router weighs a short wait against the primary.
// Everything else goes to the primary.
//
// # Usage
//
//	r := router.Router{Region: "sask", DataCentre: "regina-a", CatchUpWait: 150 * time.Millisecond}
//	choice := r.Choose(request, group, candidates)
//
// The router is pure: the same arguments give the same choice.
package router

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Router holds the place of the host and its bounds.
type Router struct {
	Region     string
	DataCentre string
	// CatchUpWait bounds the time that a read waits for a replica.
	CatchUpWait time.Duration
	// PrimaryWait bounds the time that a request waits for a primary.
	PrimaryWait time.Duration
}

// Request is what the router must know of a request.
type Request struct {
	// NeedPrimary is true for all but certain reads.
	NeedPrimary bool
	// Floor is the position that a replica must hold.
	Floor tracker.Position
	// Waited is the time that the request has already waited.
	Waited time.Duration
	// Excluded are upstreams that failed this request.
	Excluded map[string]bool
}

// Choose returns what to do with a request of a group.
func (r Router) Choose(q Request, g configurer.Group, candidates []Candidate) Choice {
	if q.NeedPrimary {
		return r.choosePrimary(q, g, candidates)
	}
	best := -1
	catchingUp := false
	for i, c := range candidates {
		if c.ID == g.Primary || !c.Serving || q.Excluded[c.ID] || g.Lineage.Divergent(c.Position) {
			continue
		}
		if !g.Lineage.Holds(c.Position, q.Floor) {
			catchingUp = catchingUp || c.Region == r.Region
			continue
		}
		if best < 0 || r.better(c, candidates[best]) {
			best = i
		}
	}
	if best >= 0 && (candidates[best].Region == r.Region || !catchingUp || q.Waited >= r.CatchUpWait) {
		return Choice{Action: ActionReplica, Upstream: candidates[best].ID}
	}
	if (catchingUp || best >= 0) && q.Waited < r.CatchUpWait {
		return Choice{Action: ActionWait, Wait: r.CatchUpWait - q.Waited}
	}
	return r.choosePrimary(q, g, candidates)
}

func (r Router) choosePrimary(q Request, g configurer.Group, candidates []Candidate) Choice {
	if g.Phase == configurer.PhaseServing {
		for _, c := range candidates {
			if c.ID == g.Primary && c.Serving && !q.Excluded[c.ID] {
				return Choice{Action: ActionPrimary, Upstream: c.ID}
			}
		}
	}
	if q.Waited < r.PrimaryWait {
		return Choice{Action: ActionWait, Wait: r.PrimaryWait - q.Waited}
	}
	return Choice{Action: ActionRefuse}
}

// distance classes of an upstream.
const (
	distanceDataCentre = iota
	distanceRegion
	distanceFar
)

func (r Router) distance(c Candidate) int {
	switch {
	case c.DataCentre == r.DataCentre:
		return distanceDataCentre
	case c.Region == r.Region:
		return distanceRegion
	}
	return distanceFar
}

// better reports whether a is the better replica. A full replica gives way to
// one with room in the same region; the link between regions is never taken
// to balance load.
func (r Router) better(a, b Candidate) bool {
	da, db := r.distance(a), r.distance(b)
	if (da == distanceFar) != (db == distanceFar) {
		return db == distanceFar
	}
	fullA, fullB := a.load() >= 1, b.load() >= 1
	if fullA != fullB {
		return fullB
	}
	if da != db {
		return da < db
	}
	if a.load() != b.load() {
		return a.load() < b.load()
	}
	if a.Latency != b.Latency {
		return a.Latency < b.Latency
	}
	return a.ID < b.ID
}
