package main

import (
	"fmt"
	"sync"
	"time"
)

// keyStep is the time between two statements of the transaction; the idle time of a transaction is 3 s.
const keyStep = 1500 * time.Millisecond

// keyMoved gives the key of a client in a transaction to another tenant. It checks that
// the backend runs a statement only on behalf of a tenant that may hold the client's key.
func keyMoved(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 4)
	if err != nil {
		return false, err
	}
	defer f.end()
	g := newGroup(f, "s", 0)
	defer g.end()
	if err := f.servePlatform(g); err != nil {
		return false, err
	}
	for _, zone := range zoneNames {
		f.add("control", zone)
	}
	front := f.add("entry", "regina-a")
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return false, err
		}
	}
	first, second := tenant("shop-1", "key-1", 100), tenant("shop-2", "key-2", 100)
	c := configuration{
		Version: 7, Routes: []map[string]any{route("w", "ledger", "primary", "s", 1000)},
		Services: []map[string]any{service("s", 0)}, Limits: limits(), Tenants: []map[string]any{first, second},
	}
	if err := f.put(c, 20*time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var acknowledgedAt time.Time
	sentAt, ran, unasked := map[string]time.Time{}, 0, 0
	g.onRun = func(u *upstream, id, tenant, text string) {
		mu.Lock()
		defer mu.Unlock()
		ran++
		r.logf("backend %s runs %s %q for tenant %s", u.id, id, text, tenant)
		old := !acknowledgedAt.IsZero() && sentAt[id].Sub(acknowledgedAt) > configApply
		if tenant == "shop-1" && old {
			unasked++
			r.logf("UNASKED: %s was sent %s after shop-2 held the client's key, and runs for shop-1", id, sentAt[id].Sub(acknowledgedAt).Round(time.Millisecond))
		}
	}
	if _, err := g.add("i-1", "regina-a", 0, 0, 11*time.Millisecond, 5); err != nil {
		return false, err
	}
	if err := waitFor("readiness", 20*time.Second, func() bool {
		status, _ := call("GET", "http://"+f.readyAddress(front)+"/ready", "")
		return status == 200
	}); err != nil {
		return false, err
	}
	s, err := connect(f.frontAddress(front), "ledger", "key-1")
	if err != nil {
		return false, err
	}
	defer s.close()
	step := func(n int, text string) answer {
		id := fmt.Sprintf("q%d", n)
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		a := s.query(id, text, 3*time.Second)
		r.logf("client: %s %s: %s %s, state %s", id, text, a.code, a.detail, a.state)
		return a
	}
	if a := step(0, "BEGIN"); a.state != "T" {
		return false, fmt.Errorf("BEGIN was answered with %q", a.code)
	}
	if a := step(1, "WRITE a 1"); a.code != "COMPLETE" {
		return false, fmt.Errorf("WRITE was answered with %q", a.code)
	}
	if trouble {
		c.Version = 9
		first[word("keys")], second[word("keys")] = []string{"key-3"}, []string{"key-2", "key-1"}
		if err := f.put(c, 20*time.Second); err != nil {
			return false, err
		}
		mu.Lock()
		acknowledgedAt = time.Now()
		mu.Unlock()
	}
	for n := range 6 {
		time.Sleep(keyStep)
		if a := step(2+n, fmt.Sprintf("WRITE b%d 2", n)); a.state != "T" {
			break
		}
	}
	step(9, "ROLLBACK")
	mu.Lock()
	defer mu.Unlock()
	r.logf("%d statements run, %d of them for a tenant that no longer held the client's key", ran, unasked)
	return unasked > 0, nil
}
