package router

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Candidate is an upstream as the host sees it at the time of a choice.
type Candidate struct {
	ID         string
	Region     string
	DataCentre string
	// Serving is true when the upstream takes new work and answers probes.
	Serving  bool
	Position tracker.Position
	// InFlight and Limit are this host's requests at the upstream.
	InFlight int
	Limit    int
	// Latency is the measured time of a probe's round trip.
	Latency time.Duration
}

// load returns the used part of the limit.
func (c Candidate) load() float64 {
	if c.Limit < 1 {
		return 1
	}
	return float64(c.InFlight) / float64(c.Limit)
}
