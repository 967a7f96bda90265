package fencer

import (
	"sort"
	"time"
)

// Granter is the leading control host's side of all leases.
type Granter struct {
	// TTL is the length of a lease as the holder counts it.
	TTL time.Duration
	// Drift bounds how much faster one clock runs than another, as a part of
	// elapsed time.
	Drift float64

	// unknownUntil is when leases granted by an earlier leader have ended.
	unknownUntil time.Time
	grants       map[string]*grant
}

// grant is the lease of one holder.
type grant struct {
	version uint64
	until   time.Time
}

// span is the time after which a granted lease has certainly ended.
func (g *Granter) span() time.Duration {
	return time.Duration(float64(g.TTL) * (1 + g.Drift))
}

// Lead begins a new leadership: leases of an earlier one may still hold.
func (g *Granter) Lead(now time.Time) {
	g.grants = map[string]*grant{}
	g.unknownUntil = now.Add(g.span())
}

// Grant gives or renews the lease of a holder that has the version in force. A
// holder is one incarnation of a host: the lease of an earlier incarnation
// lasts until it ends by itself.
func (g *Granter) Grant(holder string, version uint64, now time.Time) {
	if g.grants == nil {
		g.grants = map[string]*grant{}
	}
	l := g.grants[holder]
	if l == nil {
		l = &grant{}
		g.grants[holder] = l
	}
	l.version = max(l.version, version)
	l.until = now.Add(g.span())
}

// Expire forgets the holders whose leases ended and returns their names.
func (g *Granter) Expire(now time.Time) []string {
	var ended []string
	for holder, l := range g.grants {
		if !now.Before(l.until) {
			ended = append(ended, holder)
			delete(g.grants, holder)
		}
	}
	sort.Strings(ended)
	return ended
}

// InForce reports whether no holder can act on a configuration below version.
func (g *Granter) InForce(version uint64, now time.Time) bool {
	return !now.Before(g.unknownUntil) && len(g.Behind(version, now)) == 0
}

// Behind returns the holders whose leases hold and that have not reported
// version.
func (g *Granter) Behind(version uint64, now time.Time) []string {
	var behind []string
	for holder, l := range g.grants {
		if now.Before(l.until) && l.version < version {
			behind = append(behind, holder)
		}
	}
	sort.Strings(behind)
	return behind
}

// Count returns the number of holders whose leases hold.
func (g *Granter) Count(now time.Time) int {
	n := 0
	for _, l := range g.grants {
		if now.Before(l.until) {
			n++
		}
	}
	return n
}
