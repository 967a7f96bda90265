package watcher

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Sight is what the host last saw of one upstream.
type Sight struct {
	Position tracker.Position
	// Reachable is true while probes are answered.
	Reachable bool
	// Latency is the smoothed round trip of a probe.
	Latency time.Duration
	// Since is the time at which Reachable last changed.
	Since time.Time
	// Heard is the time at which traffic last brought a position.
	Heard time.Time
}

// Board holds the host's sights of one group's upstreams and wakes those who
// wait for a change. The zero value is ready for use.
type Board struct {
	mu      sync.Mutex
	sights  map[string]Sight
	changed chan struct{}
	sampler tracker.Sampler
	demand  int
	kick    chan struct{}
}

// Sights returns a copy of all sights by upstream.
func (b *Board) Sights() map[string]Sight {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.sights)
}

// Changed returns a channel that is closed at the next change.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes()
}

func (b *Board) changes() chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// update changes one sight. The caller must not hold b.mu.
func (b *Board) update(id string, f func(*Sight)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sights == nil {
		b.sights = map[string]Sight{}
	}
	old := b.sights[id]
	s := old
	f(&s)
	b.sights[id] = s
	if s.Position != old.Position || s.Reachable != old.Reachable {
		close(b.changes())
		b.changed = make(chan struct{})
	}
}

// Report records a position that an upstream reported on any connection.
func (b *Board) Report(id string, p tracker.Position) {
	now := time.Now()
	b.update(id, func(s *Sight) {
		s.Position = p
		s.Heard = now
	})
}

// heardSince reports whether traffic has brought a position after t.
func (b *Board) heardSince(id string, t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sights[id].Heard.After(t)
}

// Position returns the last reported position of an upstream.
func (b *Board) Position(id string) tracker.Position {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sights[id].Position
}

// Forget drops the sight of an upstream that left the group.
func (b *Board) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.sights, id)
}

func (b *Board) addSample(s tracker.Sample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sampler.Add(s)
	close(b.changes())
	b.changed = make(chan struct{})
}

// AgeFloor returns the lowest position that is at most maxAge old at now.
func (b *Board) AgeFloor(now time.Time, maxAge time.Duration) (tracker.Position, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sampler.Floor(now, maxAge)
}

// FloorSince waits until the primary has told a position after since.
func (b *Board) FloorSince(ctx context.Context, since time.Time) (tracker.Position, error) {
	defer b.Demand()()
	for {
		changed := b.Changed()
		b.mu.Lock()
		p, ok := b.sampler.Floor(since, 0)
		b.mu.Unlock()
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

// WaitSafe waits until a quorum of the group's members holds floor. The group
// is asked again after every change, since its line of terms may grow.
func (b *Board) WaitSafe(ctx context.Context, group func() configurer.Group, floor tracker.Position) error {
	defer b.Demand()()
	for {
		changed := b.Changed()
		if group().IsSafe(floor, b.positions()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *Board) positions() map[string]tracker.Position {
	b.mu.Lock()
	defer b.mu.Unlock()
	positions := make(map[string]tracker.Position, len(b.sights))
	for id, s := range b.sights {
		positions[id] = s.Position
	}
	return positions
}

// Demand makes monitors probe in close succession until the returned function
// is called.
func (b *Board) Demand() func() {
	b.mu.Lock()
	b.demand++
	close(b.kicks())
	b.kick = make(chan struct{})
	b.mu.Unlock()
	return func() {
		b.mu.Lock()
		b.demand--
		b.mu.Unlock()
	}
}

func (b *Board) kicks() chan struct{} {
	if b.kick == nil {
		b.kick = make(chan struct{})
	}
	return b.kick
}

// pending returns whether someone waits, and a channel that is closed when
// the next one begins to wait.
func (b *Board) pending() (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.demand > 0, b.kicks()
}
