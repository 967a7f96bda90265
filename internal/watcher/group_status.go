package watcher

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// UpstreamStatus is the last known state of an upstream.
type UpstreamStatus struct {
	Position tracker.Position
	// Reachable is set by a successful probe and reset by a failed connection
	// attempt.
	Reachable bool
	// Latency is the moving average of the probe round-trip time.
	Latency time.Duration
	// Since is the time at which Reachable last changed.
	Since time.Time
	// ReportedAt is the time of the last position recorded by Report.
	ReportedAt time.Time
}

// GroupStatus holds the status of one group's upstreams and notifies callers that
// wait for a change. The zero value is ready for use.
type GroupStatus struct {
	mu       sync.Mutex
	statuses map[string]UpstreamStatus
	changed  chan struct{}
	history  tracker.PositionHistory
	waiters  int
	wake     chan struct{}
}

// Statuses returns a copy of the statuses, keyed by upstream ID.
func (g *GroupStatus) Statuses() map[string]UpstreamStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.statuses)
}

// Changed returns a channel that is closed when a position or reachability
// changes or a sample is added.
func (g *GroupStatus) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changedChan()
}

func (g *GroupStatus) changedChan() chan struct{} {
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// update applies f to the status of an upstream. The caller must not hold g.mu.
func (g *GroupStatus) update(id string, f func(*UpstreamStatus)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.statuses == nil {
		g.statuses = map[string]UpstreamStatus{}
	}
	old := g.statuses[id]
	s := old
	f(&s)
	g.statuses[id] = s
	if s.Position != old.Position || s.Reachable != old.Reachable {
		close(g.changedChan())
		g.changed = make(chan struct{})
	}
}

// Report records a position that an upstream reported on a pooled connection.
func (g *GroupStatus) Report(id string, p tracker.Position) {
	now := time.Now()
	g.update(id, func(s *UpstreamStatus) {
		s.Position = p
		s.ReportedAt = now
	})
}

// reportedSince reports whether Report was called for an upstream after t.
func (g *GroupStatus) reportedSince(id string, t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statuses[id].ReportedAt.After(t)
}

// Position returns the last reported position of an upstream.
func (g *GroupStatus) Position(id string) tracker.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statuses[id].Position
}

// Remove deletes the status of an upstream that left the group.
func (g *GroupStatus) Remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.statuses, id)
}

func (g *GroupStatus) addSample(s tracker.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history.Add(s)
	close(g.changedChan())
	g.changed = make(chan struct{})
}

// MinReadPosition returns the lowest position of the primary that is at most
// maxAge old at now. It returns false if no sample is that recent.
func (g *GroupStatus) MinReadPosition(now time.Time, maxAge time.Duration) (tracker.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.history.Floor(now, maxAge)
}

// WaitPrimaryPosition waits for a position that the primary reported to a probe
// sent at or after since.
func (g *GroupStatus) WaitPrimaryPosition(ctx context.Context, since time.Time) (tracker.Position, error) {
	defer g.ExpediteProbes()()
	for {
		changed := g.Changed()
		g.mu.Lock()
		p, ok := g.history.Floor(since, 0)
		g.mu.Unlock()
		if ok {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return tracker.Position{}, ctx.Err()
		}
	}
}

// WaitQuorum waits until a quorum of the group's members has reached floor. It
// calls group again after every change, since a failover may add a term to the
// group's lineage.
func (g *GroupStatus) WaitQuorum(ctx context.Context, group func() configurer.Group, floor tracker.Position) error {
	defer g.ExpediteProbes()()
	for {
		changed := g.Changed()
		if group().HasQuorumFor(floor, g.positions()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *GroupStatus) positions() map[string]tracker.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	positions := make(map[string]tracker.Position, len(g.statuses))
	for id, s := range g.statuses {
		positions[id] = s.Position
	}
	return positions
}

// ExpediteProbes makes the monitors probe at urgentProbeInterval until the
// returned function is called.
func (g *GroupStatus) ExpediteProbes() func() {
	g.mu.Lock()
	g.waiters++
	close(g.wakeChan())
	g.wake = make(chan struct{})
	g.mu.Unlock()
	return func() {
		g.mu.Lock()
		g.waiters--
		g.mu.Unlock()
	}
}

func (g *GroupStatus) wakeChan() chan struct{} {
	if g.wake == nil {
		g.wake = make(chan struct{})
	}
	return g.wake
}

// hasWaiters reports whether any caller waits for a position, and returns a
// channel that is closed when the next caller starts to wait.
func (g *GroupStatus) hasWaiters() (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiters > 0, g.wakeChan()
}
