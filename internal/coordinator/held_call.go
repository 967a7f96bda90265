package coordinator

import (
	"context"
	"time"

	"github.com/shallotstage/shallotstage/pkg/elector"
)

// maxLeaseWait bounds how long a call waits for the lease of a host that leads. Callers try
// another host after a second.
const maxLeaseWait = 500 * time.Millisecond

// heldCall is a call that waits for the lease of this host.
type heldCall struct {
	ctx   context.Context
	since time.Time
	run   func()
	fail  func(error)
}

// callLeader is call for work that only a certain leader may do. A host that leads without
// a lease, as after its election or after a suspension, mostly gets it with the next
// heartbeat, so the call waits for that. Any other host returns ErrNotLeader at once.
func (c *Coordinator) callLeader(ctx context.Context, f func(done func(error))) error {
	return c.call(ctx, func(done func(error)) {
		h := heldCall{ctx: ctx, since: c.Now(), run: func() { f(done) }, fail: done}
		if !c.settleCall(h, h.since) {
			c.heldCalls = append(c.heldCalls, h)
		}
	})
}

// settleCall runs or refuses a call, and returns false if it must wait.
func (c *Coordinator) settleCall(h heldCall, now time.Time) bool {
	switch {
	case h.ctx.Err() != nil:
		// Its caller has gone.
	case c.elector.HasLease(now):
		h.run()
	case c.elector.Role() != elector.RoleLeader || now.Sub(h.since) >= maxLeaseWait:
		h.fail(ErrNotLeader)
	default:
		return false
	}
	return true
}

// releaseHeldCalls settles the calls that need not wait any longer.
func (c *Coordinator) releaseHeldCalls(now time.Time) {
	held := c.heldCalls
	c.heldCalls = nil
	for _, h := range held {
		if !c.settleCall(h, now) {
			c.heldCalls = append(c.heldCalls, h)
		}
	}
}
