package connector

import "context"

// AcquireIdle removes an idle connection of any organisation from the pool,
// without a slot. It returns nil if there is none.
func (p *Pool) AcquireIdle() *Conn {
	for {
		c := p.popIdle()
		if c == nil || c.isUsable() {
			return c
		}
		c.broken = true
		p.Release(c)
	}
}

func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	c.positionOnly = true
	return c
}

// replace closes a connection that holds a slot and opens a new one in its place.
func (p *Pool) replace(ctx context.Context, c *Conn) (*Conn, error) {
	_ = c.net.Close()
	p.mu.Lock()
	p.opening++
	p.mu.Unlock()
	return p.dial(ctx, c.Organisation)
}
