package pooler

import (
	"context"
	"sync"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Set holds one pool for each upstream.
type Set struct {
	Connector Connector
	// Share returns the part of an upstream's connections and slots that this
	// host may use.
	Share func(u configurer.Upstream) (connections, slots int)

	// Opened is told the position that a new connection reported.
	Opened func(u configurer.Upstream, p tracker.Position)

	mu    sync.RWMutex
	pools map[string]*member
}

type member struct {
	pool *Pool
	stop context.CancelFunc
}

// Pool returns the pool of an upstream, or nil.
func (s *Set) Pool(upstream string) *Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if m := s.pools[upstream]; m != nil {
		return m.pool
	}
	return nil
}

// Break ends whatever waits for an upstream that cannot be reached.
func (s *Set) Break(upstream string) {
	if p := s.Pool(upstream); p != nil {
		p.Break()
	}
}

// Update starts and stops pools so that they fit the state's upstreams. Pools
// end with ctx at the latest.
func (s *Set) Update(ctx context.Context, state *configurer.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = map[string]*member{}
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

func (s *Set) start(ctx context.Context, u configurer.Upstream) *member {
	ctx, cancel := context.WithCancel(ctx)
	connections, slots := s.Share(u)
	p := &Pool{
		Upstream: u, Connections: connections, Slots: slots,
		Connect: func(ctx context.Context) (*Conn, error) { return s.open(ctx, u) },
	}
	go p.Run(ctx)
	return &member{pool: p, stop: cancel}
}

func (s *Set) open(ctx context.Context, u configurer.Upstream) (*Conn, error) {
	c, err := s.Connector.Open(ctx, u)
	if err != nil {
		return nil, err
	}
	if s.Opened != nil {
		s.Opened(u, c.Position())
	}
	return c, nil
}
