// Package connector manages an entry host's connections to upstreams,
// independently of the wire protocol, which a Codec implements.
//
// A connection belongs to one organisation and, while in use, to one transaction.
// Session values and prepared statements are restored before a statement. A
// connection whose state is uncertain is closed and never reused.
//
// # Usage
//
//	set := &connector.PoolSet{Dialer: &connector.Dialer{Codec: codec}}
//	set.Update(upstreams, limits)
//	lease := set.Lease("i-1", "prairie_1")
//	answers, err := lease.Run(ctx, limits, batch)
//	lease.Release()
package connector

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

// PoolSet holds a connection pool for each upstream. Dialer must be set.
type PoolSet struct {
	Dialer *Dialer
	// Throttle bounds what is sent to cold upstreams; nil means no bound.
	Throttle *Throttle
	// MayForward reports whether callers' statements may be sent to an upstream; nil
	// means that they may. It is called right before each is sent.
	MayForward func(u keeper.Upstream) bool
	// Weight returns an organisation's weight when organisations compete for an
	// upstream; nil means that all are equal. It must be safe for concurrent use.
	Weight func(organisation string) float64
	// OnOverload is called when the queue of an upstream begins or ceases to
	// refuse statements; nil disables it.
	OnOverload func(c OverloadChange)

	mu    sync.Mutex
	pools map[string]*Pool

	refusals refusals
}

// PoolLimits limits the connections of a host to one upstream.
type PoolLimits struct {
	// MaxConnections is the maximum number of connections.
	MaxConnections int
	// IdleTimeout is how long an idle connection is kept open; zero means for
	// ever.
	IdleTimeout time.Duration
}

// Update creates, changes and removes pools so that the set holds one for each
// upstream, with the limits that allow returns.
func (s *PoolSet) Update(upstreams map[string]keeper.Upstream, allow func(u keeper.Upstream) PoolLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = map[string]*Pool{}
	}
	for id, p := range s.pools {
		u, ok := upstreams[id]
		if !ok || u.Service != p.upstream.Service || u.Address != p.upstream.Address || u.IncarnationStart != p.upstream.IncarnationStart {
			p.Close()
			delete(s.pools, id)
		}
	}
	for id, u := range upstreams {
		p := s.pools[id]
		if p == nil {
			p = newPool(s.Dialer, u)
			p.queue.Weight, p.refusals = s.Weight, &s.refusals
			s.pools[id] = p
		}
		p.Configure(u, allow(u))
	}
}

// sweepInterval is the time between checks for expired idle connections.
const sweepInterval = 500 * time.Millisecond

// Sweep closes expired idle connections and reports overloads until ctx is done.
func (s *PoolSet) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, p := range s.all() {
				p.sweep(now)
				if c, ok := p.overloadChange(now); ok && s.OnOverload != nil {
					s.OnOverload(c)
				}
			}
		}
	}
}

func (s *PoolSet) all() []*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.pools))
}

// Pool returns the pool of an upstream, or nil.
func (s *PoolSet) Pool(id string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[id]
}

// Load returns the state of an upstream's queue for an organisation, or false if
// the upstream is unknown.
func (s *PoolSet) Load(id, organisation string) (queuer.Load, bool) {
	p := s.Pool(id)
	if p == nil {
		return queuer.Load{}, false
	}
	return p.Load(organisation), true
}

// Opened returns the number of connections that the present pools have opened
// so far.
func (s *PoolSet) Opened() uint64 {
	n := uint64(0)
	for _, p := range s.all() {
		n += p.Opened()
	}
	return n
}
