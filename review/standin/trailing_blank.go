package main

import (
	"fmt"
	"sync"
	"time"
)

// trailingBlank writes data that ends with a blank through a prepared statement. It checks
// that the backend gets the data that the client sent.
func trailingBlank(r *record, trouble bool) (broken bool, err error) {
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
	c := configuration{
		Version: 7, Routes: []map[string]any{route("w", "ledger", "primary", "s", 1000)},
		Services: []map[string]any{service("s", 0)}, Limits: limits(), Tenants: []map[string]any{tenant("t", "k", 100)},
	}
	if err := f.put(c, 20*time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	want, ran, changed := map[string]string{}, 0, 0
	g.onRun = func(u *upstream, id, _, text string) {
		mu.Lock()
		defer mu.Unlock()
		ran++
		if text != want[id] {
			changed++
			r.logf("UNASKED: backend %s runs %s %q, the client sent %q", u.id, id, text, want[id])
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
	s, err := connect(f.frontAddress(front), "ledger", "k")
	if err != nil {
		return false, err
	}
	defer s.close()
	end := ""
	if trouble {
		end = "  "
	}
	if a := s.query("p", "PREPARE s1 WRITE q2c", 3*time.Second); a.code != "COMPLETE" {
		return false, fmt.Errorf("PREPARE was answered with %q", a.code)
	}
	for n := range 10 {
		id, text := fmt.Sprintf("q%d", n), fmt.Sprintf("item%d first line"+end, n)
		mu.Lock()
		want[id] = "WRITE " + text
		mu.Unlock()
		a := s.query(id, "EXECUTE s1 "+text, 3*time.Second)
		r.logf("client: %s %q: %s %s", id, "EXECUTE s1 "+text, a.code, a.detail)
	}
	mu.Lock()
	defer mu.Unlock()
	r.logf("%d statements run, %d with other text than sent", ran, changed)
	if ran == 0 {
		return false, fmt.Errorf("no statement was run")
	}
	return changed > 0, nil
}
