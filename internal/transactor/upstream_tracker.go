package transactor

import (
	"context"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spiller"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// silenceBeforeProbe is how long an upstream may leave all requests
	// unanswered before it is probed. It is several times the duration of a
	// typical statement.
	silenceBeforeProbe = 300 * time.Millisecond
	// probeTimeout bounds a probe. It allows several round trips between
	// regions.
	probeTimeout = 350 * time.Millisecond
	// probeInterval is the delay between probes of a suspect upstream.
	probeInterval = 150 * time.Millisecond
	// silenceCheckInterval is how often outstanding requests are checked.
	silenceCheckInterval = 50 * time.Millisecond
	// minLagBackoff and maxLagBackoff bound how long an upstream that refused a
	// read as lagging is passed over for reads with the same or a higher floor.
	minLagBackoff = 40 * time.Millisecond
	maxLagBackoff = 640 * time.Millisecond
	// latencyWeight is the weight of the newest statement in the moving average
	// of the latency.
	latencyWeight = 0.1
)

// UpstreamTracker tracks the health, latency and log positions of upstreams as
// one entry host observes them.
type UpstreamTracker struct {
	// Now returns the time of a clock that keeps running while the machine is
	// suspended.
	Now func() time.Time
	// Connect tests whether an address accepts connections; nil means a TCP
	// connection.
	Connect func(ctx context.Context, address string) error
	// ConnectRefused is called when an upstream's machine refuses a probe; nil disables it.
	ConnectRefused func(id string)
	// StatusChanged is called when an upstream becomes suspect or recovers.
	StatusChanged func()
	Log           *logger.Logger

	mu        sync.Mutex
	upstreams map[string]*upstreamState
	floors    map[string]*tracker.Floors
	// confirmedPrimaries holds, by service, an upstream that accepted a request
	// that only a primary accepts although the view names another primary.
	confirmedPrimaries map[string]confirmedPrimary
	roundTrips         spiller.RoundTrips
	spiller            spiller.Spiller
}

// confirmedPrimary is an upstream that acted as the primary under the view with the given
// revision and index. The next leader may use the same revision for another view.
type confirmedPrimary struct {
	upstream        string
	revision, index uint64
}

// Primary returns the upstream to use as the primary of a service: the one that
// the view names, or one that has acted as the primary under the same view.
func (t *UpstreamTracker) Primary(service string, view *keeper.View) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.confirmedPrimaries[service]; ok && l.revision == view.Revision && l.index == view.Index {
		return l.upstream
	}
	return view.Primaries[service]
}

// ConfirmPrimary records that an upstream accepted a request that only a
// primary accepts.
func (t *UpstreamTracker) ConfirmPrimary(service, id string, view *keeper.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view.Primaries[service] == id {
		delete(t.confirmedPrimaries, service)
		return
	}
	if t.confirmedPrimaries == nil {
		t.confirmedPrimaries = map[string]confirmedPrimary{}
	}
	t.confirmedPrimaries[service] = confirmedPrimary{id, view.Revision, view.Index}
}

// Update replaces the known upstreams with those of a view. State is kept for
// upstreams whose service, start time and address are unchanged.
func (t *UpstreamTracker) Update(upstreams map[string]keeper.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upstreams == nil {
		t.upstreams, t.floors = map[string]*upstreamState{}, map[string]*tracker.Floors{}
	}
	for id, s := range t.upstreams {
		if u, ok := upstreams[id]; !ok || u.Service != s.upstream.Service || u.IncarnationStart != s.upstream.IncarnationStart || u.Address != s.upstream.Address {
			delete(t.upstreams, id)
		}
	}
	services := map[string]bool{}
	for _, u := range upstreams {
		services[u.Service] = true
	}
	t.spiller.Retain(func(service string) bool { return services[service] })
	for id, u := range upstreams {
		if s := t.upstreams[id]; s != nil {
			s.upstream = u
			continue
		}
		t.upstreams[id] = &upstreamState{upstream: u}
	}
}

// Floor returns the minimum position that a read must see.
func (t *UpstreamTracker) Floor(service string, arrived time.Time, maxAge time.Duration, lastCommit tracker.Position) (tracker.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.floors[service]
	if f == nil {
		return tracker.Position{}, false
	}
	return f.Floor(arrived, maxAge, lastCommit)
}

// Latest returns the newest position sample of a service's primary.
func (t *UpstreamTracker) Latest(service string) (tracker.Sample, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.floors[service]
	if f == nil {
		return tracker.Sample{}, false
	}
	return f.LatestSample()
}

// AddSample records a position of a service's primary. The answer that carries it
// proves that the upstream was the primary at or after at, when the request was
// sent.
func (t *UpstreamTracker) AddSample(service string, at time.Time, p tracker.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.floors == nil {
		return
	}
	f := t.floors[service]
	if f == nil {
		f = &tracker.Floors{}
		t.floors[service] = f
	}
	f.AddSample(at, p)
}

// RequestStarted records that a request was sent.
func (t *UpstreamTracker) RequestStarted(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	if s == nil {
		return
	}
	if s.outstanding == 0 {
		s.silentSince = t.Now()
	}
	s.outstanding++
}

// RequestFinished records that a request ended; answered is false if it ended
// without an answer.
func (t *UpstreamTracker) RequestFinished(id string, answered bool, took time.Duration, p tracker.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	if s == nil {
		return
	}
	s.outstanding = max(0, s.outstanding-1)
	if !answered {
		return
	}
	s.silentSince = t.Now()
	s.lastAnswerAt = s.silentSince
	if !p.IsZero() {
		s.position = p
		if !p.Less(s.laggedFloor) {
			s.lagBackoff = 0
		}
	}
	if took > 0 {
		if s.meanLatency == 0 {
			s.meanLatency = took
		}
		s.meanLatency += time.Duration(latencyWeight * float64(took-s.meanLatency))
	}
}

// RecordLag records that an upstream had not yet reached a floor.
func (t *UpstreamTracker) RecordLag(id string, floor tracker.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	if s == nil {
		return
	}
	now := t.Now()
	if now.Before(s.laggedUntil) && floor.Less(s.laggedFloor) {
		s.laggedFloor = floor
	} else if !now.Before(s.laggedUntil) {
		s.lagBackoff = min(max(2*s.lagBackoff, minLagBackoff), maxLagBackoff)
		s.laggedFloor, s.laggedUntil = floor, now.Add(s.lagBackoff)
	}
}

// FillCandidate copies the observed state of an upstream into a candidate.
func (t *UpstreamTracker) FillCandidate(c *balancer.Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[c.ID]
	if s == nil {
		return
	}
	c.Position, c.LaggedFloor, c.LaggedUntil = s.position, s.laggedFloor, s.laggedUntil
	c.MeanServiceTime, c.InFlight = s.meanLatency, s.outstanding
	c.RoundTrip, _ = t.roundTrips.Of(s.upstream.DataCentre)
}

// minTimeReserve is the time reserved for a statement on an upstream without
// latency measurements.
const minTimeReserve = 50 * time.Millisecond

// maxTimeReserve bounds the reserve for a slow upstream.
const maxTimeReserve = 250 * time.Millisecond

// TimeReserve returns the time that a statement must have left when it is sent
// to an upstream. With less, its result would probably come after the deadline.
func (t *UpstreamTracker) TimeReserve(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return max(minTimeReserve, min(2*s.meanLatency, maxTimeReserve))
	}
	return minTimeReserve
}

// IsSuspect reports whether an upstream does not accept connections.
func (t *UpstreamTracker) IsSuspect(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	return s != nil && s.suspect
}

// Statuses returns the status of all upstreams.
func (t *UpstreamTracker) Statuses() []UpstreamStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	statuses := make([]UpstreamStatus, 0, len(t.upstreams))
	for id, s := range t.upstreams {
		status := UpstreamStatus{Upstream: id, Reachable: !s.suspect, SinceLastAnswer: now.Sub(s.lastAnswerAt), Position: s.position}
		if s.suspect {
			status.UnreachableFor = now.Sub(s.suspectSince)
		}
		statuses = append(statuses, status)
	}
	return statuses
}
