package connector

import "time"

// use is a slot in use.
type use struct {
	pool  *Pool
	ended bool
	timer *time.Timer
}

// begin watches a slot that was granted. When no answer has come for long, the
// upstream has probably run the statement and its answer is lost: the slot
// counts as free.
func (p *Pool) begin() *use {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &use{pool: p}
	u.timer = time.AfterFunc(p.queue.Overdue(), u.free)
	return u
}

// readPatience returns how long the answer to a read is waited for.
func (p *Pool) readPatience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.ReadPatience()
}

// missed notes that a read's answer was waited for in vain.
func (p *Pool) missed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Missed()
}

// end ends the use of the slot. took is the statement's time, or zero when it
// says nothing.
func (u *use) end(took time.Duration) {
	u.timer.Stop()
	if took > 0 {
		u.pool.mu.Lock()
		u.pool.queue.Served(took)
		u.pool.mu.Unlock()
	}
	u.free()
}

// free gives the slot to others, once.
func (u *use) free() {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	u.pool.queue.Stop()
	u.pool.dispatch()
}
