// Package allocator hands out the tokens of each organisation to hosts so that
// the fleet as a whole stays within the organisation's rate and burst.
//
// Tokens are handed out, never estimated. What was handed out and not reported
// as spent counts as held, and level + held never exceeds the burst. In any
// window of length w the fleet therefore spends at most burst + rate*w: what
// was held at its start, what was in the level, and what was refilled.
//
// Demand moves the tokens: each host reports what it lacks, and the level is
// divided by max-min fairness over these wants.
//
// # Usage
//
//	a := &allocator.Allocator{}
//	a.SetOrganisation("prairie_1", 100, 50, now)
//	a.Report(allocator.Report{Host: "regina-a-1/42", Organisation: "prairie_1", Wanted: 10}, now)
//	for _, g := range a.Allot(now) { ... }
//
// An Allocator is plain state: its user serialises the calls.
package allocator

import (
	"math"
	"sort"
	"time"
)

// Allocator divides the tokens of all organisations.
type Allocator struct {
	buckets map[string]*bucket
	// hungry are the organisations of which some host wants tokens.
	hungry map[string]bool
	// pending is true while unknown hosts may hold tokens of an earlier
	// allocator.
	pending bool
}

// Lead begins a new leadership: hosts may hold tokens that an earlier
// allocator handed out, up to the whole burst. Nothing is handed out until
// Settle.
func (a *Allocator) Lead() {
	a.buckets, a.hungry = nil, nil
	a.pending = true
}

// Settle ends the wait that Lead began: every host that may hold tokens has
// reported them, or can spend no more.
func (a *Allocator) Settle(now time.Time) {
	if !a.pending {
		return
	}
	a.pending = false
	for _, b := range a.buckets {
		b.at = now
	}
}

// Report tells of one organisation's tokens at one incarnation of a host.
// Totals count from the start of the incarnation.
type Report struct {
	// Host names the host and its incarnation.
	Host          string
	Organisation  string
	SpentTotal    float64
	ReturnedTotal float64
	ReceivedTotal float64
	// Wanted is what the host lacks beyond ReceivedTotal.
	Wanted float64
}

// Grant tells how many tokens a host was granted in total.
type Grant struct {
	Host         string
	Organisation string
	GrantedTotal float64
}

// bucket is the state of one organisation.
type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
	holdings    map[string]*holding
	// held is the sum over the holdings.
	held float64
}

// holding is what one incarnation of a host was handed out.
type holding struct {
	granted, spent, returned float64
	wanted                   float64
}

func (h *holding) held() float64 { return math.Max(0, h.granted-h.spent-h.returned) }

// update changes a holding and keeps the sum.
func (b *bucket) update(h *holding, f func()) {
	before := h.held()
	f()
	b.held += h.held() - before
}

// refill adds the tokens of the elapsed time, within the burst.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed > 0 {
		b.level += b.rate * elapsed
		b.at = now
	}
	b.level = math.Min(b.level, b.burst-b.held)
}

// SetOrganisation sets the rate in tokens a second and the burst in tokens. A
// new organisation starts with an empty level, since an earlier allocator may
// have handed out its burst.
func (a *Allocator) SetOrganisation(organisation string, rate, burst float64, now time.Time) {
	if a.buckets == nil {
		a.buckets, a.hungry = map[string]*bucket{}, map[string]bool{}
	}
	b := a.buckets[organisation]
	if b == nil {
		b = &bucket{at: now, holdings: map[string]*holding{}}
		a.buckets[organisation] = b
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.refill(now)
}

// RemoveOrganisation forgets an organisation.
func (a *Allocator) RemoveOrganisation(organisation string) { delete(a.buckets, organisation) }

// Report takes a host's report. Totals that fall are ignored, so that reports
// may arrive late or twice.
func (a *Allocator) Report(r Report, now time.Time) {
	b := a.buckets[r.Organisation]
	if b == nil || !isValid(r) {
		return
	}
	b.refill(now)
	h := b.holdings[r.Host]
	if h == nil {
		// The host may hold tokens of an earlier allocator.
		h = &holding{granted: r.ReceivedTotal, spent: r.SpentTotal, returned: r.ReturnedTotal}
		b.holdings[r.Host] = h
		b.held += h.held()
	}
	b.update(h, func() { h.spent = math.Max(h.spent, r.SpentTotal) })
	if returned := r.ReturnedTotal - h.returned; returned > 0 {
		b.update(h, func() { h.returned = r.ReturnedTotal })
		b.level += returned
	}
	underway := h.granted - r.ReceivedTotal
	h.wanted = math.Max(0, r.Wanted-math.Max(0, underway))
	if h.wanted > 0 {
		a.hungry[r.Organisation] = true
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

// Expire forgets a host's incarnation, which can certainly spend no more. What
// it held counts as spent.
func (a *Allocator) Expire(host string) {
	for _, b := range a.buckets {
		if h := b.holdings[host]; h != nil {
			b.held -= h.held()
			delete(b.holdings, host)
		}
	}
}

// Allot hands out what the levels hold to those who want it, and returns the
// new totals in order of organisation and host.
func (a *Allocator) Allot(now time.Time) []Grant {
	if a.pending {
		return nil
	}
	names := make([]string, 0, len(a.hungry))
	for name := range a.hungry {
		names = append(names, name)
	}
	sort.Strings(names)
	var grants []Grant
	for _, name := range names {
		grants = append(grants, a.AllotTo(name, now)...)
	}
	return grants
}

// AllotTo is Allot for one organisation.
func (a *Allocator) AllotTo(organisation string, now time.Time) []Grant {
	b := a.buckets[organisation]
	if a.pending || !a.hungry[organisation] {
		return nil
	}
	if b == nil {
		delete(a.hungry, organisation)
		return nil
	}
	grants, hungry := b.allot(organisation, now)
	if !hungry {
		delete(a.hungry, organisation)
	}
	return grants
}

// allot returns the grants, and whether some host still wants tokens.
func (b *bucket) allot(name string, now time.Time) (grants []Grant, hungry bool) {
	b.refill(now)
	hosts := make([]string, 0, len(b.holdings))
	for host, h := range b.holdings {
		if h.wanted > 0 {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 || b.level < minGrant {
		return nil, len(hosts) > 0
	}
	sort.Slice(hosts, func(i, j int) bool {
		wi, wj := b.holdings[hosts[i]].wanted, b.holdings[hosts[j]].wanted
		if wi != wj {
			return wi < wj
		}
		return hosts[i] < hosts[j]
	})
	for i, host := range hosts {
		h := b.holdings[host]
		share := math.Min(h.wanted, b.level/float64(len(hosts)-i))
		if share <= 0 {
			continue
		}
		b.update(h, func() { h.granted += share })
		h.wanted -= share
		hungry = hungry || h.wanted > 0
		b.level -= share
		grants = append(grants, Grant{Host: host, Organisation: name, GrantedTotal: h.granted})
	}
	return grants, hungry
}

// minGrant keeps dust from being handed out.
const minGrant = 0.01

// Level returns what is left and what is handed out, in tokens.
func (a *Allocator) Level(organisation string) (level, held float64) {
	b := a.buckets[organisation]
	if b == nil {
		return 0, 0
	}
	return b.level, b.held
}
