package balancer_test

import (
	"slices"
	"time"

	"github.com/shallotstage/shallotstage/pkg/evictor"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

type connection struct {
	organisation string
	use          evictor.Use
}

// pool is the connections of one owner to an upstream.
type pool struct {
	upstream *upstream
	limit    int
	queue    queuer.Queue
	idle     []*connection
	open     int
}

type upstream struct {
	id         string
	index      int
	service    int
	dataCentre int
	primary    bool
	// affected is true if the fault applies to the upstream.
	affected bool
	pools    [2]*pool
	// free is the number of free slots, pending the work that waits for one.
	free       int
	pending    []func()
	statements int
	opened     int
	// refused counts the connections refused at the upstream's limit.
	refused int
}

// take removes the newest idle connection of an organisation.
func (p *pool) take(organisation string) *connection {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.organisation == organisation {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// dispatch does what connector.Pool does.
func (s *simulation) dispatch(p *pool) {
	fit := func(w *queuer.Waiter) queuer.Availability {
		switch {
		case slices.ContainsFunc(p.idle, func(c *connection) bool { return c.organisation == w.Organisation }):
			return queuer.IdleAvailable
		case p.open < p.limit || len(p.idle) > 0:
			return queuer.OpenAllowed
		}
		return queuer.Unavailable
	}
	for w := p.queue.Pop(s.time(), fit); w != nil; w = p.queue.Pop(s.time(), fit) {
		p.queue.Start()
		start := s.starts[w]
		delete(s.starts, w)
		if c := p.take(w.Organisation); c != nil {
			start(c)
			continue
		}
		if p.open >= p.limit {
			s.evict(p)
		}
		p.open++
		s.open(p, &connection{organisation: w.Organisation}, start)
	}
}

func (s *simulation) evict(p *pool) {
	i := 0
	if s.evictByUse {
		uses := make([]evictor.Use, len(p.idle))
		for j, c := range p.idle {
			uses[j] = c.use
		}
		i = evictor.Choose(uses)
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
}

// open opens a connection. If the upstream refuses it, the statement is
// sent elsewhere.
func (s *simulation) open(p *pool, c *connection, start func(c *connection)) {
	u := p.upstream
	u.opened++
	s.occupy(u, openingTime, func() {
		if u.pools[0].open+u.pools[1].open <= maxConnections {
			start(c)
			return
		}
		u.refused++
		p.open--
		p.queue.Stop()
		start(nil)
		s.dispatch(p)
	})
}

// occupy runs work on one of the upstream's slots, first come, first served.
func (s *simulation) occupy(u *upstream, d time.Duration, done func()) {
	run := func() {
		if s.fault == upstreamSlow && u.affected && s.isFaulty() {
			d *= slowFactor
		}
		s.after(d, func() {
			u.free++
			if len(u.pending) > 0 {
				next := u.pending[0]
				u.pending = u.pending[1:]
				u.free--
				next()
			}
			s.after(upstreamLatency, done)
		})
	}
	s.after(upstreamLatency, func() {
		if u.free == 0 {
			u.pending = append(u.pending, run)
			return
		}
		u.free--
		run()
	})
}
