package transactor

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

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
}

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

// Watch probes upstreams that leave every request unanswered, until ctx ends.
func (b *Board) Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range b.silent() {
			b.Doubt(ctx, id)
		}
	}
}

func (b *Board) silent() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	now := b.Now()
	for id, s := range b.upstreams {
		if s.outstanding > 0 && !s.probing && now.Sub(s.silentSince) > silenceBeforeProbe {
			ids = append(ids, id)
		}
	}
	return ids
}

// Doubt probes an upstream and, while it does not accept a connection, holds it
// suspect. It returns at once.
func (b *Board) Doubt(ctx context.Context, id string) {
	b.mu.Lock()
	s := b.upstreams[id]
	if s == nil || s.probing {
		b.mu.Unlock()
		return
	}
	s.probing = true
	b.mu.Unlock()
	go b.probe(ctx, id, s)
}

func (b *Board) probe(ctx context.Context, id string, s *sight) {
	connect := b.Connect
	if connect == nil {
		connect = connectTCP
	}
	for ctx.Err() == nil {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := connect(probeCtx, s.upstream.Address)
		cancel()
		if b.judge(id, s, err) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// judge takes the outcome of a probe. It returns true when probing ends.
func (b *Board) judge(id string, s *sight, err error) bool {
	b.mu.Lock()
	changed := s.suspect != (err != nil)
	s.suspect = err != nil
	if changed && s.suspect {
		s.suspectAt = b.Now()
	}
	current := b.upstreams[id] == s
	if err == nil || !current {
		s.probing = false
		s.silentSince = b.Now()
	}
	done := !s.probing
	b.mu.Unlock()
	if changed && current {
		b.tell(id, err)
	}
	return done
}

func (b *Board) tell(id string, err error) {
	if err != nil {
		b.Log.Warn(logger.EventUpstreamSuspect, zap.String("upstream", id), zap.Error(err))
	} else {
		b.Log.Info(logger.EventUpstreamBack, zap.String("upstream", id))
	}
	if b.SightsChanged != nil {
		b.SightsChanged()
	}
}

func connectTCP(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
