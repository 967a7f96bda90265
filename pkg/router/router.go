// Package router chooses the upstream that serves a request.
//
// Reads go to the nearest replica that has reached the session's floor and has
// free capacity. If no replica in the host's region has reached it yet, a read
// waits briefly for one to catch up before it goes elsewhere. All other
// requests go to the primary.
//
// # Usage
//
//	r := router.Router{Region: "sask", DataCentre: "regina-a", CatchUpWait: 150 * time.Millisecond}
//	choice := r.Choose(request, group, candidates)
//
// Choose is a pure function: the same arguments give the same choice.
package router

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Router holds the host's location and the limits on waiting.
type Router struct {
	Region     string
	DataCentre string
	// CatchUpWait limits the time that a read waits for a replica to catch up.
	CatchUpWait time.Duration
	// PrimaryWait limits the time that a request waits for a primary.
	PrimaryWait time.Duration
}

// Request holds the properties of a request that affect routing.
type Request struct {
	// NeedPrimary is true unless the request is a read that a replica may
	// serve.
	NeedPrimary bool
	// Floor is the position that a replica must have reached.
	Floor tracker.Position
	// Waited is how long the request has waited so far.
	Waited time.Duration
	// Excluded are the upstreams on which the request has failed.
	Excluded map[string]bool
}

// Choose returns the action for a request to a group.
func (r Router) Choose(q Request, g configurer.Group, candidates []Candidate) Choice {
	if q.NeedPrimary {
		return r.choosePrimary(q, g, candidates)
	}
	best := -1
	catchingUp := false
	for i, c := range candidates {
		if c.ID == g.Primary || !c.Serving || q.Excluded[c.ID] || g.Lineage.HasDiverged(c.Position) {
			continue
		}
		if !g.Lineage.Includes(c.Position, q.Floor) {
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

// The distance classes of an upstream, nearest first.
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

// better reports whether a is preferred to b. A full replica ranks below one
// with free capacity in the same region, but load is never balanced over the
// link between regions.
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
