package transactor

import (
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/pkg/evacuator"
	"github.com/shallotstage/shallotstage/pkg/fencer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// PrimaryGate applies a host's topology and lease to its work at primaries. It is
// safe for concurrent use.
type PrimaryGate struct {
	// Gate must be set before use.
	Gate fencer.Gate
	// HoldsLease reports whether this host holds the lease to act at primaries; nil
	// means that none is needed.
	HoldsLease func() bool
	// Now returns the time of a clock that keeps running while the machine is
	// suspended.
	Now func() time.Time
	// Evacuations extends planned changes of primaries that are evacuated, up to the
	// limit of the evacuation and maxEvacuationHandOver; nil extends none.
	Evacuations *Evacuations
	// Released is called when this host has let go of a primary that hands over.
	Released func()

	mu sync.Mutex
}

// maxEvacuationHandOver bounds how long work in progress may hold up new work while a
// primary leaves an evacuated data centre: until the default limit. A host that lets go
// later than its lease of 10 s ends would lose all primaries.
const maxEvacuationHandOver = evacuator.DefaultLimit - evacuator.DeliveryMargin

// SetTopology applies the primaries and promotions of a view.
func (g *PrimaryGate) SetTopology(view *keeper.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	wait := time.Duration(0)
	for service, s := range view.Configuration.Services {
		primary := view.Primaries[service]
		var h *fencer.HandOver
		if p, ok := view.Promotion(service); ok {
			h = &fencer.HandOver{Former: primary, Token: p.Token, Planned: p.Planned, Timeout: min(g.Evacuations.remaining(view.Upstreams[primary]), maxEvacuationHandOver)}
			// The candidate was chosen by what it had received: a later commit may be
			// with another replica only.
			h.AbandonsFormer = !p.Planned && !g.Gate.Exclusive && s.SyncReplicas > 0
			primary = p.Candidate
		}
		wait = max(wait, g.Gate.SetPrimary(service, primary, h, now))
	}
	if wait > 0 && g.Released != nil {
		time.AfterFunc(wait+releaseMargin, g.Released)
	}
}

// releaseMargin makes sure that a release is due when its timer fires: the timer and Now
// are different clocks.
const releaseMargin = 5 * time.Millisecond

// LeaseEnded records that this host's lease has ended. It must be called before the
// next one is used.
func (g *PrimaryGate) LeaseEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Gate.LeaseEnded()
}

// ReleasedIndex returns the log index up to which this host has followed the
// topology with the given index.
func (g *PrimaryGate) ReleasedIndex(index uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Gate.Release(index, g.Now())
}

// isExclusive reports whether work passes only to the upstream that the topology
// names.
func (g *PrimaryGate) isExclusive() bool { return g != nil && g.Gate.Exclusive }

// holds reports whether new work waits for a change of primary of a service.
func (g *PrimaryGate) holds(service string) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Gate.Holds(service, g.Now())
}

func (g *PrimaryGate) hasLease() bool { return g == nil || g.HoldsLease == nil || g.HoldsLease() }

// primaryUse is work in progress at a primary. A nil one is not guarded by a gate.
type primaryUse struct {
	gate *PrimaryGate
	use  fencer.Use
}

// guard returns a lease of a connection to a primary that counts as work at it until
// it is released, or false if no work may pass to the upstream.
func (g *PrimaryGate) guard(service string, l *connector.Lease) (*connector.Lease, *primaryUse, bool) {
	if g == nil {
		return l, nil, true
	}
	g.mu.Lock()
	use, ok := fencer.Use{}, g.hasLease()
	if ok {
		use, ok = g.Gate.Begin(service, l.Upstream, g.Now())
	}
	g.mu.Unlock()
	if !ok {
		return nil, nil, false
	}
	end := sync.OnceFunc(func() {
		g.mu.Lock()
		last := g.Gate.End(use)
		g.mu.Unlock()
		if last && g.Released != nil {
			g.Released()
		}
	})
	release := l.Release
	return &connector.Lease{Upstream: l.Upstream, Run: l.Run, Release: func() {
		release()
		end()
	}}, &primaryUse{gate: g, use: use}, true
}

// mayAcknowledge reports whether an answer that has just arrived may be passed on as
// that of the primary.
func (u *primaryUse) mayAcknowledge() bool {
	if u == nil {
		return true
	}
	u.gate.mu.Lock()
	defer u.gate.mu.Unlock()
	return u.gate.hasLease() && u.gate.Gate.MayAcknowledge(u.use)
}
