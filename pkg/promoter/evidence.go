package promoter

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// ReachabilityReport is the last report of one host on one upstream.
type ReachabilityReport struct {
	Host      string
	Upstream  string
	Reachable bool
	Position  tracker.Position
	// ChangedAt is when Reachable last changed, by the control host's clock.
	ChangedAt time.Time
	// ReceivedAt is when the report was received.
	ReceivedAt time.Time
}

// UpstreamStatus is an upstream's response to a fence, promote or inspect action.
type UpstreamStatus struct {
	Upstream   string
	Instance   string
	Position   tracker.Position
	FencedTerm uint64
	Primary    bool
	Lineage    tracker.Lineage
}

// Evidence is the observed state on which decisions are based.
type Evidence struct {
	Now time.Time
	// Reports are the latest reports of all hosts on this group's upstreams.
	Reports []ReachabilityReport
	// Statuses are the latest responses, by upstream.
	Statuses map[string]UpstreamStatus
	// EarlierTermReleased is true when no host can still act under the group's
	// earlier term.
	EarlierTermReleased bool
	// Announcements are the latest announcements of the group's upstreams, by
	// upstream.
	Announcements map[string]configurer.Announcement
	// Instances are the members' data identities as last announced, by upstream.
	Instances map[string]string
	// Draining is the set of upstreams that accept no new work.
	Draining map[string]bool
}
