package transactor

import (
	"context"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// silenceBeforeProbe is how long an upstream may leave every request
	// unanswered before a probe asks whether it is there. It is several times
	// the time of a usual statement.
	silenceBeforeProbe = 300 * time.Millisecond
	// probeTimeout bounds a probe: several round trips between regions.
	probeTimeout = 350 * time.Millisecond
	// probeInterval is the pause between probes of a suspect upstream.
	probeInterval = 150 * time.Millisecond
	// watchInterval is how often outstanding requests are looked at.
	watchInterval = 50 * time.Millisecond
	// minLagging and maxLagging bound the time for which a refusal as lagging
	// is believed.
	minLagging = 40 * time.Millisecond
	maxLagging = 640 * time.Millisecond
	// serviceWeight is the weight of the newest statement in the mean time.
	serviceWeight = 0.1
)

// Board holds what an entry host has seen of upstreams.
type Board struct {
	// Now is a clock that counts suspensions.
	Now func() time.Time
	// Connect tries to reach an address; nil means a TCP connection.
	Connect func(ctx context.Context, address string) error
	// SightsChanged is called when an upstream became suspect or came back.
	SightsChanged func()
	Log           *logger.Logger

	mu        sync.Mutex
	upstreams map[string]*sight
	floors    map[string]*tracker.Floors
	// leads are the upstreams that took what only a primary takes although the
	// view names another one, by service.
	leads map[string]lead
}

// lead is an upstream that led while a view was the newest.
type lead struct {
	upstream string
	revision uint64
}

// Leader returns the upstream to ask as the primary of a service: the one that
// the view names, or one that has shown since that it leads.
func (b *Board) Leader(service string, view *keeper.View) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, ok := b.leads[service]; ok && l.revision == view.Revision {
		return l.upstream
	}
	return view.Primaries[service]
}

// Led notes that an upstream took what only a primary takes.
func (b *Board) Led(service, id string, view *keeper.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if view.Primaries[service] == id {
		delete(b.leads, service)
		return
	}
	if b.leads == nil {
		b.leads = map[string]lead{}
	}
	b.leads[service] = lead{id, view.Revision}
}

// Update takes the upstreams of a view.
func (b *Board) Update(upstreams map[string]keeper.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.upstreams == nil {
		b.upstreams, b.floors = map[string]*sight{}, map[string]*tracker.Floors{}
	}
	for id, s := range b.upstreams {
		if u, ok := upstreams[id]; !ok || u.Born != s.upstream.Born || u.Address != s.upstream.Address {
			delete(b.upstreams, id)
		}
	}
	for id, u := range upstreams {
		if s := b.upstreams[id]; s != nil {
			s.upstream = u
			continue
		}
		b.upstreams[id] = &sight{upstream: u}
	}
}

// Floor returns the position that a read must find.
func (b *Board) Floor(service string, arrived time.Time, maxAge time.Duration, own tracker.Position) (tracker.Position, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.floors[service]
	if f == nil {
		return tracker.Position{}, false
	}
	return f.Floor(arrived, maxAge, own)
}

// Latest returns the newest sample of a service's primary.
func (b *Board) Latest(service string) (tracker.Sample, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.floors[service]
	if f == nil {
		return tracker.Sample{}, false
	}
	return f.Latest()
}

// Sampled records a position of a service's primary that proved its lead by
// the answer to a request sent at or after at.
func (b *Board) Sampled(service string, at time.Time, p tracker.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.floors == nil {
		return
	}
	f := b.floors[service]
	if f == nil {
		f = &tracker.Floors{}
		b.floors[service] = f
	}
	f.Add(at, p)
}

// Asked notes that a request was sent.
func (b *Board) Asked(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[id]
	if s == nil {
		return
	}
	if s.outstanding == 0 {
		s.silentSince = b.Now()
	}
	s.outstanding++
}

// Heard notes that a request ended; answered is false when it ended without an
// answer.
func (b *Board) Heard(id string, answered bool, took time.Duration, p tracker.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[id]
	if s == nil {
		return
	}
	s.outstanding = max(0, s.outstanding-1)
	if !answered {
		return
	}
	s.silentSince = b.Now()
	s.heardAt = s.silentSince
	if !p.IsZero() {
		s.position = p
		if !p.Less(s.laggedFloor) {
			s.laggedFor = 0
		}
	}
	if took > 0 {
		if s.service == 0 {
			s.service = took
		}
		s.service += time.Duration(serviceWeight * float64(took-s.service))
	}
}

// Lagged notes that an upstream lacked a position.
func (b *Board) Lagged(id string, floor tracker.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[id]
	if s == nil {
		return
	}
	now := b.Now()
	if now.Before(s.laggedUntil) && floor.Less(s.laggedFloor) {
		s.laggedFloor = floor
	} else if !now.Before(s.laggedUntil) {
		s.laggedFor = min(max(2*s.laggedFor, minLagging), maxLagging)
		s.laggedFloor, s.laggedUntil = floor, now.Add(s.laggedFor)
	}
}

// Describe fills in what was seen of an upstream.
func (b *Board) Describe(c *balancer.Candidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[c.ID]
	if s == nil {
		return
	}
	c.Position, c.LaggedFloor, c.LaggedUntil = s.position, s.laggedFloor, s.laggedUntil
	c.Service, c.Outstanding = s.service, s.outstanding
}

// minService is the time of a statement that is kept for an upstream of which
// nothing was measured.
const minService = 50 * time.Millisecond

// maxService bounds it for a slow upstream.
const maxService = 250 * time.Millisecond

// Service returns the time that a statement must have left when it is sent to
// an upstream: with less it would be worked on in vain.
func (b *Board) Service(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.upstreams[id]; s != nil {
		return max(minService, min(2*s.service, maxService))
	}
	return minService
}

// IsSuspect reports whether an upstream does not accept connections.
func (b *Board) IsSuspect(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[id]
	return s != nil && s.suspect
}

// Sights returns what was seen of all upstreams.
func (b *Board) Sights() []Sight {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	sights := make([]Sight, 0, len(b.upstreams))
	for id, s := range b.upstreams {
		one := Sight{Upstream: id, Reachable: !s.suspect, Heard: now.Sub(s.heardAt), Position: s.position}
		if s.suspect {
			one.For = now.Sub(s.suspectAt)
		}
		sights = append(sights, one)
	}
	return sights
}
