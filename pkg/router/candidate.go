package router

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Candidate is the host's view of an upstream at the time of a choice.
type Candidate struct {
	ID         string
	Region     string
	DataCentre string
	// Serving is true when the upstream accepts new work and answers probes.
	Serving  bool
	Position tracker.Position
	// InFlight is the number of this host's requests at the upstream, and Limit
	// their maximum.
	InFlight int
	Limit    int
	// Latency is the measured round-trip time of a probe.
	Latency time.Duration
}

// load returns the used fraction of the limit.
func (c Candidate) load() float64 {
	if c.Limit < 1 {
		return 1
	}
	return float64(c.InFlight) / float64(c.Limit)
}
