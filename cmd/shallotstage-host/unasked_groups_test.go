package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// strictGroup is a service of which all upstreams show each commit at once.
type strictGroup struct {
	ledger    *strictLedger
	service   string
	upstreams []*strictUpstream

	mu sync.Mutex
	// term and offset are the newest position; primary is the index of the upstream that leads.
	term, offset, primary int
	items                 map[string]string
	draining              map[int]bool
}

// leads reports whether an upstream is the primary.
func (u *strictUpstream) leads() bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	return u.group.upstreams[u.group.primary] == u
}

// promote makes the named upstream the primary. It reports whether it is of the group.
func (g *strictGroup) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, u := range g.upstreams {
		if u.id == id && u.isEnded() {
			return false
		}
		if u.id == id {
			if i != g.primary {
				g.primary = i
				g.term++
			}
			return true
		}
	}
	return false
}

// drainPrimary makes the primary announce its end, or all of them that they go on.
func (g *strictGroup) drainPrimary(drain bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.draining)
	if drain {
		g.draining[g.primary] = true
	}
}

func newStrictGroup(t *testing.T, l *strictLedger, service string, zones []string) *strictGroup {
	g := &strictGroup{ledger: l, service: service, term: 1, items: map[string]string{}, draining: map[int]bool{}}
	for i, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		u := &strictUpstream{group: g, id: fmt.Sprintf("i-%s-%d", service, i), zone: zone, listener: listener, born: time.Now().UnixMilli()}
		g.upstreams = append(g.upstreams, u)
		t.Cleanup(u.end)
		go u.accept()
	}
	return g
}

// promotions returns the number of promotions.
func (g *strictGroup) promotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term - 1
}

// all returns the present upstreams.
func (g *strictGroup) all() []*strictUpstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.upstreams)
}

// replaceReplica ends a replica and returns its address and zone, which others may use again.
func (g *strictGroup) replaceReplica() (former *strictUpstream, index int) {
	g.mu.Lock()
	index = (g.primary + 1) % len(g.upstreams)
	former = g.upstreams[index]
	g.mu.Unlock()
	former.end()
	return former, index
}

// crash ends the primary, and starts a replica at its address once another one leads.
func (g *strictGroup) crash(t *testing.T) {
	g.mu.Lock()
	index, promotions := g.primary, g.term
	former := g.upstreams[index]
	g.mu.Unlock()
	former.end()
	for deadline := time.Now().Add(waitTimeout); g.promotions() < promotions; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("no upstream was promoted in place of %s", former.id)
			break
		}
	}
	g.start(t, index, former, former.listener.Addr().String())
}

// start starts a replica with a new id at a former address of another one.
func (g *strictGroup) start(t *testing.T, index int, former *strictUpstream, address string) {
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	u := &strictUpstream{
		group: g, id: fmt.Sprintf("%s-%d", former.id, time.Now().UnixMilli()%1000), zone: former.zone, listener: listener, born: time.Now().UnixMilli(),
		stutter: former.stutter, lose: former.lose, work: former.work,
	}
	t.Cleanup(u.end)
	g.mu.Lock()
	g.upstreams[index] = u
	g.mu.Unlock()
	go u.accept()
}
