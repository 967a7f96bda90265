package pooler

import (
	"errors"
	"time"
)

// acquireIdle acquires an idle connection, or returns nil if there is none.
func (p *Pool) acquireIdle(organisation string, since time.Time) *Conn {
	c := p.settledIdle()
	if c == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acquired[c] = holder{organisation: organisation, since: since}
	return c
}

// settledIdle returns an idle connection on which nothing is unread, or nil. It closes the
// others that it finds.
func (p *Pool) settledIdle() *Conn {
	for {
		p.mu.Lock()
		c := p.popIdle()
		p.mu.Unlock()
		if c == nil {
			return nil
		}
		err := c.settleIdle()
		if err == nil {
			return c
		}
		p.reportStray(err)
		c.close()
		p.mu.Lock()
		p.countClosed()
		p.mu.Unlock()
	}
}

func (p *Pool) reportStray(err error) {
	var stray *StrayResponseError
	if errors.As(err, &stray) && p.OnStrayResponse != nil {
		p.OnStrayResponse(stray)
	}
}

// popIdle returns the most recently used idle connection, or nil. The caller
// holds p.mu.
func (p *Pool) popIdle() *Conn {
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	if n == 1 {
		p.wakeMaintenance()
	}
	return c
}
