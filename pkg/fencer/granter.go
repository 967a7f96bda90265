package fencer

import (
	"sort"
	"time"
)

// Granter is the control leader's side of all leases.
type Granter struct {
	// TTL is the duration of a lease by the holder's clock.
	TTL time.Duration
	// MaxClockDrift is the maximum difference in rate between two clocks, as a
	// fraction of elapsed time.
	MaxClockDrift float64

	// earlierLeasesExpireAt is when all leases granted by earlier leaders have
	// expired.
	earlierLeasesExpireAt time.Time
	leases                map[string]*lease
}

// lease is the lease of one holder.
type lease struct {
	version   uint64
	expiresAt time.Time
}

// maxDuration is the time after which a granted lease has expired on any holder's
// clock.
func (g *Granter) maxDuration() time.Duration {
	return time.Duration(float64(g.TTL) * (1 + g.MaxClockDrift))
}

// Reset resets the granter when its host becomes the leader. Leases granted by
// earlier leaders may still be valid.
func (g *Granter) Reset(now time.Time) {
	g.leases = map[string]*lease{}
	g.earlierLeasesExpireAt = now.Add(g.maxDuration())
}

// SetKnownHolders ends the wait for all leases granted by earlier leaders: only the
// named holders may have one. InForce then waits for those that have not reported.
func (g *Granter) SetKnownHolders(holders []string) {
	for _, holder := range holders {
		if g.leases[holder] == nil {
			g.leases[holder] = &lease{expiresAt: g.earlierLeasesExpireAt}
		}
	}
	g.earlierLeasesExpireAt = time.Time{}
}

// RecordVersion records that a holder acts on version, or a later one, from now on.
// It extends no lease.
func (g *Granter) RecordVersion(holder string, version uint64) {
	l := g.leases[holder]
	if l == nil {
		l = &lease{expiresAt: g.earlierLeasesExpireAt}
		g.leases[holder] = l
	}
	l.version = max(l.version, version)
}

// Release records that a holder has no lease. It must not have been granted one since
// it said so.
func (g *Granter) Release(holder string) { g.leases[holder] = &lease{} }

// Grant grants or renews the lease of a holder that has applied version. A holder
// is one incarnation of a host: the lease of an earlier incarnation stays valid
// until it expires.
func (g *Granter) Grant(holder string, version uint64, now time.Time) {
	if g.leases == nil {
		g.leases = map[string]*lease{}
	}
	l := g.leases[holder]
	if l == nil {
		l = &lease{}
		g.leases[holder] = l
	}
	l.version = max(l.version, version)
	l.expiresAt = now.Add(g.maxDuration())
}

// Expire removes expired leases and returns the names of their holders.
func (g *Granter) Expire(now time.Time) []string {
	var expired []string
	for holder, l := range g.leases {
		if !now.Before(l.expiresAt) {
			expired = append(expired, holder)
			delete(g.leases, holder)
		}
	}
	sort.Strings(expired)
	return expired
}

// InForce reports whether no holder can still act on a configuration older than
// version.
func (g *Granter) InForce(version uint64, now time.Time) bool {
	return !now.Before(g.earlierLeasesExpireAt) && len(g.OutdatedHolders(version, now)) == 0
}

// OutdatedHolders returns the holders with a valid lease that have not reported
// version.
func (g *Granter) OutdatedHolders(version uint64, now time.Time) []string {
	var behind []string
	for holder, l := range g.leases {
		if now.Before(l.expiresAt) && l.version < version {
			behind = append(behind, holder)
		}
	}
	sort.Strings(behind)
	return behind
}

// Holders returns the holders with a valid lease.
func (g *Granter) Holders(now time.Time) []string {
	var holders []string
	for holder, l := range g.leases {
		if now.Before(l.expiresAt) {
			holders = append(holders, holder)
		}
	}
	sort.Strings(holders)
	return holders
}

// ValidLeaseCount returns the number of holders with a valid lease.
func (g *Granter) ValidLeaseCount(now time.Time) int {
	n := 0
	for _, l := range g.leases {
		if now.Before(l.expiresAt) {
			n++
		}
	}
	return n
}
