// Package allocator implements a distributed token bucket for each organisation.
// It grants tokens to hosts so that the fleet as a whole stays within the
// organisation's rate and burst.
//
// The limit is exact, not estimated. Tokens that were granted and not yet
// reported as spent or returned are outstanding, and level + outstanding never
// exceeds the burst. In any window of length w the fleet therefore spends at most
// burst + rate*w: the tokens outstanding at its start, those in the bucket, and
// those refilled during the window.
//
// Each host reports the number of tokens it wants, and the level is divided among
// the hosts by max-min fairness.
//
// # Usage
//
//	a := &allocator.Allocator{}
//	a.SetOrganisation("prairie_1", 100, 50, now)
//	a.Report(allocator.Report{Host: "regina-a-1/42", Organisation: "prairie_1", Wanted: 10}, now)
//	for _, g := range a.GrantAll(now) { ... }
//
// An Allocator is not safe for concurrent use: the caller serialises the calls.
package allocator

import (
	"math"
	"sort"
	"time"
)

// Allocator grants the tokens of all organisations to hosts.
type Allocator struct {
	buckets map[string]*bucket
	// unmetDemand is the set of organisations for which some host wants tokens.
	unmetDemand map[string]bool
	// recovering is true while hosts that have not reported yet may hold tokens
	// of an earlier allocator.
	recovering bool
}

// StartRecovery resets the allocator after a change of leader. Hosts may still
// hold tokens granted by an earlier allocator, up to the whole burst, so
// nothing is granted until FinishRecovery is called.
func (a *Allocator) StartRecovery() {
	a.buckets, a.unmetDemand = nil, nil
	a.recovering = true
}

// FinishRecovery resumes grants after StartRecovery. It is called once every
// host that may hold tokens has reported them or can no longer spend them.
func (a *Allocator) FinishRecovery(now time.Time) {
	if !a.recovering {
		return
	}
	a.recovering = false
	for _, b := range a.buckets {
		b.refilledAt = now
	}
}

// Report states the token usage of one organisation on one incarnation of a host.
// Totals are cumulative since the start of the incarnation.
type Report struct {
	// Host identifies the host and its incarnation.
	Host          string
	Organisation  string
	SpentTotal    float64
	ReturnedTotal float64
	ReceivedTotal float64
	// Wanted is the number of tokens the host wants in addition to
	// ReceivedTotal.
	Wanted float64
}

// Grant is the cumulative number of tokens granted to a host.
type Grant struct {
	Host         string
	Organisation string
	GrantedTotal float64
}

// bucket is the token bucket of one organisation.
type bucket struct {
	rate, burst  float64
	level        float64
	refilledAt   time.Time
	tokensByHost map[string]*hostTokens
	// outstanding is the sum over tokensByHost.
	outstanding float64
}

// hostTokens counts the tokens of one incarnation of a host.
type hostTokens struct {
	granted, spent, returned float64
	wanted                   float64
}

func (h *hostTokens) outstanding() float64 { return math.Max(0, h.granted-h.spent-h.returned) }

// update applies f, which changes h, and keeps the sum of outstanding tokens up
// to date.
func (b *bucket) update(h *hostTokens, f func()) {
	before := h.outstanding()
	f()
	b.outstanding += h.outstanding() - before
}

// refill adds the tokens for the elapsed time. The level and the outstanding
// tokens together are limited by the burst.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed > 0 {
		b.level += b.rate * elapsed
		b.refilledAt = now
	}
	b.level = math.Min(b.level, b.burst-b.outstanding)
}

// SetOrganisation sets the rate in tokens per second and the burst in tokens. A
// new organisation starts with an empty bucket, because an earlier allocator may
// have granted its whole burst.
func (a *Allocator) SetOrganisation(organisation string, rate, burst float64, now time.Time) {
	if a.buckets == nil {
		a.buckets, a.unmetDemand = map[string]*bucket{}, map[string]bool{}
	}
	b := a.buckets[organisation]
	if b == nil {
		b = &bucket{refilledAt: now, tokensByHost: map[string]*hostTokens{}}
		a.buckets[organisation] = b
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.refill(now)
}

// RemoveOrganisation removes the bucket of an organisation.
func (a *Allocator) RemoveOrganisation(organisation string) { delete(a.buckets, organisation) }

// Report processes the report of a host. Decreasing totals are ignored, so that
// reports may arrive late or more than once.
func (a *Allocator) Report(r Report, now time.Time) {
	b := a.buckets[r.Organisation]
	if b == nil || !isValid(r) {
		return
	}
	b.refill(now)
	h := b.tokensByHost[r.Host]
	if h == nil {
		// The host may hold tokens granted by an earlier allocator.
		h = &hostTokens{granted: r.ReceivedTotal, spent: r.SpentTotal, returned: r.ReturnedTotal}
		b.tokensByHost[r.Host] = h
		b.outstanding += h.outstanding()
	}
	b.update(h, func() { h.spent = math.Max(h.spent, r.SpentTotal) })
	if returned := r.ReturnedTotal - h.returned; returned > 0 {
		b.update(h, func() { h.returned = r.ReturnedTotal })
		b.level += returned
	}
	inTransit := h.granted - r.ReceivedTotal
	h.wanted = math.Max(0, r.Wanted-math.Max(0, inTransit))
	if h.wanted > 0 {
		a.unmetDemand[r.Organisation] = true
	}
	b.refill(now)
}

func isValid(r Report) bool {
	for _, v := range []float64{r.SpentTotal, r.ReturnedTotal, r.ReceivedTotal, r.Wanted} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}

// ExpireHost removes an incarnation of a host that can no longer spend tokens.
// Its outstanding tokens count as spent.
func (a *Allocator) ExpireHost(host string) {
	for _, b := range a.buckets {
		if h := b.tokensByHost[host]; h != nil {
			b.outstanding -= h.outstanding()
			delete(b.tokensByHost, host)
		}
	}
}

// GrantAll grants the available tokens of all organisations to the hosts that
// want them. The returned grants are sorted by organisation, and within each by
// the number of tokens wanted.
func (a *Allocator) GrantAll(now time.Time) []Grant {
	if a.recovering {
		return nil
	}
	organisations := make([]string, 0, len(a.unmetDemand))
	for organisation := range a.unmetDemand {
		organisations = append(organisations, organisation)
	}
	sort.Strings(organisations)
	var grants []Grant
	for _, organisation := range organisations {
		grants = append(grants, a.GrantOrganisation(organisation, now)...)
	}
	return grants
}

// GrantOrganisation grants the available tokens of one organisation.
func (a *Allocator) GrantOrganisation(organisation string, now time.Time) []Grant {
	b := a.buckets[organisation]
	if a.recovering || !a.unmetDemand[organisation] {
		return nil
	}
	if b == nil {
		delete(a.unmetDemand, organisation)
		return nil
	}
	grants, unmetDemand := b.distribute(organisation, now)
	if !unmetDemand {
		delete(a.unmetDemand, organisation)
	}
	return grants
}

// distribute grants the available tokens by max-min fairness. It also reports
// whether some host still wants tokens.
func (b *bucket) distribute(organisation string, now time.Time) (grants []Grant, unmetDemand bool) {
	b.refill(now)
	hosts := make([]string, 0, len(b.tokensByHost))
	for host, h := range b.tokensByHost {
		if h.wanted > 0 {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 || b.level < minGrant {
		return nil, len(hosts) > 0
	}
	sort.Slice(hosts, func(i, j int) bool {
		wi, wj := b.tokensByHost[hosts[i]].wanted, b.tokensByHost[hosts[j]].wanted
		if wi != wj {
			return wi < wj
		}
		return hosts[i] < hosts[j]
	})
	for i, host := range hosts {
		h := b.tokensByHost[host]
		share := math.Min(h.wanted, b.level/float64(len(hosts)-i))
		if share <= 0 {
			continue
		}
		b.update(h, func() { h.granted += share })
		h.wanted -= share
		unmetDemand = unmetDemand || h.wanted > 0
		b.level -= share
		grants = append(grants, Grant{Host: host, Organisation: organisation, GrantedTotal: h.granted})
	}
	return grants, unmetDemand
}

// minGrant is the level in tokens below which nothing is granted, which avoids
// negligible grants.
const minGrant = 0.01

// Level returns the tokens available in the bucket and the outstanding tokens.
func (a *Allocator) Level(organisation string) (level, outstanding float64) {
	b := a.buckets[organisation]
	if b == nil {
		return 0, 0
	}
	return b.level, b.outstanding
}
