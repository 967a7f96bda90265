package transactor

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// sight is what was seen of one upstream.
type sight struct {
	upstream keeper.Upstream
	position tracker.Position
	heardAt  time.Time
	// laggedFloor and laggedUntil keep reads away from an upstream that refused
	// one as lagging; the time doubles while it goes on.
	laggedFloor tracker.Position
	laggedUntil time.Time
	laggedFor   time.Duration
	service     time.Duration
	// outstanding are the requests without an answer; silentSince is when the
	// oldest silence among them began.
	outstanding int
	silentSince time.Time
	probing     bool
	suspect     bool
	suspectAt   time.Time
}

// Sight is what a host tells control hosts of an upstream.
type Sight struct {
	Upstream string
	// Reachable is false while the upstream does not accept connections.
	Reachable bool
	// For is the time since Reachable became false.
	For time.Duration
	// Heard is the time since it last answered.
	Heard time.Duration
	// Position is the last known position of its log.
	Position tracker.Position
}
