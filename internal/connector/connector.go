// Package connector holds an entry host's connections to upstreams, whatever
// protocol they speak: a Codec says how requests look.
//
// A connection belongs to one organisation and, while in use, to one
// transaction. Session values and prepared statements are replayed before a
// statement; a connection in doubt is closed and never handed out again.
//
// # Usage
//
//	set := &connector.Set{Dialer: &connector.Dialer{Codec: codec}}
//	set.Update(upstreams, limits)
//	lease := set.Lease("i-1", "prairie_1")
//	answers, err := lease.Run(ctx, limits, batch)
//	lease.End()
package connector

import (
	"sync"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// Set holds a pool for each upstream. Dialer must be set.
type Set struct {
	Dialer *Dialer

	mu    sync.Mutex
	pools map[string]*Pool
}

// Update makes the set hold a pool for each upstream, with a limit of
// connections each.
func (s *Set) Update(upstreams map[string]keeper.Upstream, limit func(u keeper.Upstream) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = map[string]*Pool{}
	}
	for id, p := range s.pools {
		u, ok := upstreams[id]
		if !ok || u.Address != p.upstream.Address || u.Born != p.upstream.Born {
			p.Close()
			delete(s.pools, id)
		}
	}
	for id, u := range upstreams {
		if p := s.pools[id]; p != nil {
			p.SetLimit(limit(u))
			continue
		}
		s.pools[id] = newPool(s.Dialer, u, limit(u))
	}
}

// Pool returns the pool of an upstream, or nil.
func (s *Set) Pool(id string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[id]
}

// Opened returns the number of connections opened so far by the pools of now.
func (s *Set) Opened() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := uint64(0)
	for _, p := range s.pools {
		n += p.Opened()
	}
	return n
}
