package connector

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/queuer"
)

// slotUse is the use of one slot by a running statement.
type slotUse struct {
	pool  *Pool
	kind  queuer.Kind
	ended bool
	timer *time.Timer
}

// startUse starts a timer for a granted slot. If no answer has arrived when it
// fires, the upstream has probably executed the statement and the answer is
// lost, so the slot counts as free again.
func (p *Pool) startUse(kind queuer.Kind) *slotUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &slotUse{pool: p, kind: kind}
	u.timer = time.AfterFunc(p.queue.OverdueAfter(), u.release)
	return u
}

// readTimeout returns how long to wait for the answer to a read.
func (p *Pool) readTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.ReadTimeout()
}

// recordReadTimeout records that a read was not answered in time.
func (p *Pool) recordReadTimeout() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.ObserveTimeout()
}

// end ends the use of the slot. took is the duration of the statement, or zero
// if it is not representative.
func (u *slotUse) end(took time.Duration) {
	u.timer.Stop()
	if took > 0 {
		u.pool.mu.Lock()
		u.pool.queue.ObserveStatement(u.kind, took)
		u.pool.mu.Unlock()
	}
	u.release()
}

// release frees the slot for other statements. Further calls do nothing.
func (u *slotUse) release() {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	u.pool.queue.Stop()
	u.pool.dispatch()
}
