package warmer

import (
	"slices"
	"time"
)

// Granter is the control leader's side of the grants.
type Granter struct {
	// TTL is the duration of a grant by the holder's clock.
	TTL time.Duration
	// MaxClockDrift is the maximum difference in rate between two clocks, as a fraction
	// of elapsed time.
	MaxClockDrift float64

	// earlierExpireAt is when all grants of earlier leaders have expired.
	earlierExpireAt time.Time
	// holders are the latest holders by upstream.
	holders map[string]grantHolder
}

// grantHolder is the host to which an upstream was granted last.
type grantHolder struct {
	host      string
	expiresAt time.Time
}

func (g *Granter) maxDuration() time.Duration {
	return time.Duration(float64(g.TTL) * (1 + g.MaxClockDrift))
}

// Reset resets the granter when its host becomes the leader. Grants of earlier leaders
// may still be valid.
func (g *Granter) Reset(now time.Time) {
	g.holders = map[string]grantHolder{}
	g.earlierExpireAt = now.Add(g.maxDuration())
}

// HandleReport records a host's report, which lists all upstreams that the host wants to
// hold. The host has returned all others.
func (g *Granter) HandleReport(host string, wanted []string) {
	for upstream, holder := range g.holders {
		if holder.host == host && !slices.Contains(wanted, upstream) {
			delete(g.holders, upstream)
		}
	}
}

// Release records that the process of a host has ended, and its grants with it.
func (g *Granter) Release(host string) { g.HandleReport(host, nil) }

// Grant grants an upstream to a host, or renews the host's grant. It returns false while
// another host may hold it.
func (g *Granter) Grant(upstream, host string, now time.Time) bool {
	holder, held := g.holders[upstream]
	if now.Before(g.earlierExpireAt) || held && holder.host != host && now.Before(holder.expiresAt) {
		return false
	}
	if g.holders == nil {
		g.holders = map[string]grantHolder{}
	}
	g.holders[upstream] = grantHolder{host: host, expiresAt: now.Add(g.maxDuration())}
	return true
}
