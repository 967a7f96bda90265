package main

import (
	"fmt"
	"time"
)

// oddCase lets heartbeats of another writer arrive: fields are missing.
func oddCase(rec *record, f *fleet, p *platform, trouble bool) (bool, error) {
	return otherWriter(rec, f, p, trouble, func(g *group) (*group, string) {
		other := newGroup(rec, f, g.service)
		other.odd = true
		return other, "x-1"
	})
}

// unnamedCase lets heartbeats of another writer arrive: they name a service that no
// configuration names, and the id of a backend.
func unnamedCase(rec *record, f *fleet, p *platform, trouble bool) (bool, error) {
	return otherWriter(rec, f, p, trouble, func(*group) (*group, string) { return newGroup(rec, f, "service-9"), "i-1" })
}

// otherWriter runs a service with three backends, and lets a server of another writer send
// heartbeats. It is no backend of this deployment. It checks the service and the id of a
// STARTUP, and answers as a database does, from a log of its own.
func otherWriter(rec *record, f *fleet, p *platform, trouble bool, server func(g *group) (other *group, id string)) (bool, error) {
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
	for i, zone := range zones {
		if _, err := g.add(fmt.Sprintf("i-%d", i+1), zone); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	rec.say("clients: begin")
	l := startLoad(rec, f, "ledger", 4, 200*time.Millisecond)
	time.Sleep(5 * time.Second)
	other, id := server(g)
	if trouble {
		if _, err := other.add(id, zones[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	l.end()
	return judgeOdd(rec, g, other, l), nil
}

// judgeOdd reports whether the rule held: every success carries the signature of a backend of
// the service for that statement, every acknowledged write is in the service's log, and no
// statement of a client ran at the server of another writer.
func judgeOdd(rec *record, g, other *group, l *load) bool {
	other.mu.Lock()
	elsewhere := len(other.signatures)
	other.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	codes := map[string]int{}
	foreign, lost, writes, reads := 0, 0, 0, 0
	for _, o := range l.outcomes {
		code := o.reply.code
		if o.reply.err != nil {
			code = "no answer"
		}
		codes[code]++
		if code != "" {
			continue
		}
		signed := g.signatures[o.reply.sig] == o.id
		if o.write {
			writes++
		} else {
			reads++
		}
		if !signed {
			foreign++
			if foreign <= 20 {
				rec.add("foreign: %s (write %t) got a success with the signature %s, which no backend of %s gave", o.id, o.write, o.reply.sig, g.service)
			}
		}
		if o.write && g.runs[o.id] == 0 {
			lost++
			if lost <= 20 {
				rec.add("lost: the write %s was acknowledged, and is not in the log of %s", o.id, g.service)
			}
		}
	}
	rec.say("operations by answer (empty: success): %v; writes acknowledged: %d, reads answered: %d", codes, writes, reads)
	rec.say("successes without the signature of a backend of the service: %d; acknowledged writes that are not in the log of the service: %d", foreign, lost)
	rec.say("statements that ran at the server of another writer: %d", elsewhere)
	return foreign == 0 && lost == 0 && elsewhere == 0
}
