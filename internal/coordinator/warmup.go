package coordinator

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/warmer"
)

// warmupGrant is how long a host may send to a cold upstream after it reported: three
// reports, so that one that is lost does not interrupt it. For that time an upstream whose
// holder is lost warms up unused.
const warmupGrant = 3 * time.Second

// warmupChanged reports whether an announcement that changes nothing else must be
// replicated: the upstream becomes cold, is cold for longer than its countdown says, or
// is warm again. A new leader replicates the first one of a cold upstream, as it does not
// know the countdown.
func (c *Coordinator) warmupChanged(u keeper.Upstream) bool {
	old, known := c.state.Upstreams[u.ID]
	if c.state.Configuration().Services[u.Service].WarmupRate <= 0 || !known || old.IncarnationStart != u.IncarnationStart || u.Sequence <= old.Sequence {
		return false
	}
	if u.WarmupRemaining <= 0 {
		return old.WarmupRemaining > 0
	}
	return c.leadership.warmups.IsRise(u.ID, u.IncarnationStart, u.WarmupRemaining, c.Now())
}

// recordWarmup records the countdown of an announcement that is being replicated.
func (c *Coordinator) recordWarmup(u keeper.Upstream) {
	c.leadership.warmups.Set(u.ID, warmer.Announcement{Incarnation: u.IncarnationStart, Sequence: u.Sequence}, u.WarmupRemaining, c.Now())
}

// forgetWarmup removes the countdown of an announcement that was not replicated.
func (c *Coordinator) forgetWarmup(id string) {
	c.leadership.warmups.Retain(func(upstream string) bool { return upstream != id })
}

// grantWarmups returns the grants to send to the cold upstreams that a host wants.
func (c *Coordinator) grantWarmups(a *hostStream, now time.Time) map[string]warmer.Grant {
	var grants map[string]warmer.Grant
	for _, id := range a.warmupWanted {
		u, ok := c.state.Upstreams[id]
		if !ok || u.WarmupRemaining <= 0 {
			continue
		}
		grant := warmer.Budget(c.state.Configuration().Services[u.Service].WarmupRate, c.WarmupOvershoot, c.WarmupSlack)
		if grant.Rate <= 0 || !c.leadership.warmupGrants.Grant(id, a.name, now) {
			continue
		}
		grant.TTL = warmupGrant
		if grants == nil {
			grants = map[string]warmer.Grant{}
		}
		grants[id] = grant
	}
	return grants
}
