package transactor

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// upstreamState is the observed state of one upstream.
type upstreamState struct {
	upstream     keeper.Upstream
	position     tracker.Position
	lastAnswerAt time.Time
	// laggedFloor and laggedUntil keep reads away from an upstream that refused
	// one as lagging. lagBackoff is the length of that time; it doubles while
	// the refusals continue.
	laggedFloor tracker.Position
	laggedUntil time.Time
	lagBackoff  time.Duration
	meanLatency time.Duration
	loads       loadReports
	// outstanding is the number of requests without an answer; silentSince is
	// when the upstream last answered a request or accepted a probe, or when
	// the first of these requests was sent.
	outstanding  int
	silentSince  time.Time
	probing      bool
	suspect      bool
	suspectSince time.Time
}

// UpstreamStatus is the status of an upstream that an entry host reports to
// control hosts.
type UpstreamStatus struct {
	Upstream string
	// Reachable is false while the upstream does not accept connections.
	Reachable bool
	// UnreachableFor is the time since Reachable became false.
	UnreachableFor time.Duration
	// SinceLastAnswer is the time since the upstream last answered.
	SinceLastAnswer time.Duration
	// Position is the last known position of the upstream's log.
	Position tracker.Position
}
