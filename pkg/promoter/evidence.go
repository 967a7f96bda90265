package promoter

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Sight is what one host last reported of one upstream.
type Sight struct {
	Host      string
	Upstream  string
	Reachable bool
	Position  tracker.Position
	// Since is when Reachable last changed, by the clock of the control host.
	Since time.Time
	// At is when the report arrived.
	At time.Time
}

// Answer is an upstream's answer to a fence or promote order.
type Answer struct {
	Upstream   string
	Instance   string
	Position   tracker.Position
	FencedTerm uint64
	Primary    bool
	Lineage    tracker.Lineage
}

// Evidence is everything a decision rests on.
type Evidence struct {
	Now time.Time
	// Sights are the newest reports by host, of this group's upstreams.
	Sights []Sight
	// Answers are the newest answers to orders by upstream.
	Answers map[string]Answer
	// Released is true when no host can act on the group's earlier term.
	Released bool
	// Announced are the upstreams of the group that have announced themselves.
	Announced map[string]configurer.Announcement
	// Instances are the data that the members last announced.
	Instances map[string]string
	// Draining are the upstreams that take no new work.
	Draining map[string]bool
}
