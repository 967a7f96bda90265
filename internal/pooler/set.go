package pooler

import (
	"context"
	"sync"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Set holds a connection pool for each upstream.
type Set struct {
	Connector Connector
	// Limits returns how many of an upstream's connections and statement slots
	// this host may use.
	Limits func(u configurer.Upstream) (connections, slots int)

	// OnOpen, if set, is called with the position that a new connection reported.
	OnOpen func(u configurer.Upstream, p tracker.Position)
	// OnStrayResponse is that of the pools.
	OnStrayResponse func(err *StrayResponseError)

	mu    sync.RWMutex
	pools map[string]*runningPool
}

type runningPool struct {
	pool *Pool
	stop context.CancelFunc
}

// Pool returns the pool of an upstream, or nil if there is none.
func (s *Set) Pool(upstream string) *Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if m := s.pools[upstream]; m != nil {
		return m.pool
	}
	return nil
}

// Abort aborts the requests in flight to an unreachable upstream.
func (s *Set) Abort(upstream string) {
	if p := s.Pool(upstream); p != nil {
		p.Abort()
	}
}

// Update starts and stops pools to match the upstreams in state. All pools stop
// when ctx ends.
func (s *Set) Update(ctx context.Context, state *configurer.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = map[string]*runningPool{}
	}
	for id, m := range s.pools {
		u, ok := state.Upstreams[id]
		if !ok || u.Address != m.pool.Upstream.Address || u.Lifecycle == configurer.LifecycleGone {
			m.stop()
			delete(s.pools, id)
		}
	}
	for id, u := range state.Upstreams {
		if s.pools[id] == nil && u.Lifecycle != configurer.LifecycleGone {
			s.pools[id] = s.start(ctx, u)
		}
	}
}

func (s *Set) start(ctx context.Context, u configurer.Upstream) *runningPool {
	ctx, cancel := context.WithCancel(ctx)
	connections, slots := s.Limits(u)
	p := &Pool{
		Upstream: u, Connections: connections, Slots: slots,
		OnStrayResponse: s.OnStrayResponse,
		Connect:         func(ctx context.Context) (*Conn, error) { return s.open(ctx, u) },
	}
	go p.Run(ctx)
	return &runningPool{pool: p, stop: cancel}
}

func (s *Set) open(ctx context.Context, u configurer.Upstream) (*Conn, error) {
	c, err := s.Connector.Open(ctx, u)
	if err != nil {
		return nil, err
	}
	if s.OnOpen != nil {
		s.OnOpen(u, c.Position())
	}
	return c, nil
}
