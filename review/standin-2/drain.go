package main

import (
	"fmt"
	"time"
)

// The times of the case.
const (
	// platformDown is how long the platform answers nothing.
	platformDown = 14 * time.Second
	// serveLonger is how long the primary serves after drainTime: a little longer.
	serveLonger = 3 * time.Second
)

// drainCase replaces a primary while the platform is down.
func drainCase(rec *record, f *fleet, p *platform, trouble bool) (bool, error) {
	g := newGroup(rec, f, "service-1")
	p.groups[g.service] = g
	for _, h := range f.hosts() {
		if err := f.start(h); err != nil {
			return false, err
		}
	}
	if err := f.configure(7, configuration); err != nil {
		return false, err
	}
	var backends []*backend
	for i, zone := range zones {
		b, err := g.add(fmt.Sprintf("i-%d", i+1), zone)
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	rec.say("clients: begin")
	l := startLoad(rec, f, "ledger", 6, 120*time.Millisecond)
	time.Sleep(6 * time.Second)
	if trouble {
		p.setDown(true)
		time.AfterFunc(platformDown, func() { p.setDown(false) })
	}
	time.Sleep(500 * time.Millisecond)
	// The primary is replaced: the new backend starts first, the old one drains.
	if _, err := g.add("i-4", zones[0]); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	old := backends[0]
	old.drain()
	acked := time.Time{}
	for end := time.Now().Add(10 * time.Second); acked.IsZero(); time.Sleep(10 * time.Millisecond) {
		g.mu.Lock()
		acked = old.drainAcked
		g.mu.Unlock()
		if time.Now().After(end) {
			return false, fmt.Errorf("the draining was not acknowledged")
		}
	}
	time.Sleep(time.Until(acked.Add(drainTime + serveLonger)))
	old.leave()
	time.Sleep(8 * time.Second)
	l.end()
	return judgeDrain(rec, g, l, old, acked), nil
}

// judgeDrain reports whether the rule held: no statement that counts reached the old primary
// later than drainTime after the acknowledgement.
func judgeDrain(rec *record, g *group, l *load, old *backend, acked time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	sent := map[string]outcome{}
	codes := map[string]int{}
	for _, o := range l.outcomes {
		sent[o.id] = o
		code := o.reply.code
		if o.reply.err != nil {
			code = "no answer"
		}
		codes[code]++
	}
	late, cut := 0, 0
	var last time.Duration
	for _, a := range g.arrivals {
		if a.backend != old.id || !a.first || a.at.Sub(acked) <= drainTime {
			continue
		}
		late++
		last = a.at.Sub(acked)
		o := sent[a.id]
		if o.write && !promises[o.reply.code] && o.reply.code != "" {
			cut++
		}
		if late <= 20 {
			rec.add("late: %s %q reached %s %d ms after the acknowledgement, %d ms after it was sent; the client got %s", a.id, a.text, a.backend, a.at.Sub(acked).Milliseconds(), a.at.Sub(o.sent).Milliseconds(), o.reply)
		}
	}
	rec.say("operations by answer (empty: success): %v", codes)
	rec.say("statements that reached %s later than %d ms after the acknowledgement: %d, the last %d ms after it; of them writes left in doubt: %d", old.id, drainTime.Milliseconds(), late, last.Milliseconds(), cut)
	return late == 0
}
