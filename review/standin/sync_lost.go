package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	syncWriters = 6
	syncReaders = 40
	// deafBefore is how long the replica has received nothing when the primary crashes.
	deafBefore = 3 * time.Second
)

// syncLost has a service with sync_replicas 1. One replica receives nothing for a while
// and the primary crashes meanwhile. It checks that each acknowledged write is in the log
// of the backend that is promoted.
func syncLost(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 6)
	if err != nil {
		return false, err
	}
	defer f.end()
	g := newGroup(f, "s", 1)
	defer g.end()
	if err := f.servePlatform(g); err != nil {
		return false, err
	}
	for _, zone := range zoneNames {
		f.add("control", zone)
	}
	var fronts []*host
	for _, zone := range zoneNames {
		fronts = append(fronts, f.add("entry", zone))
	}
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return false, err
		}
	}
	c := configuration{
		Version: 7, Routes: []map[string]any{route("w", "ledger", "primary", "s", 1000), route("b", "lookups", word("bounded"), "s", 3000)},
		Services: []map[string]any{service("s", 1)}, Limits: limits(), Tenants: []map[string]any{tenant("t", "k", 5000)},
	}
	if err := f.put(c, 20*time.Second); err != nil {
		return false, err
	}
	// One way: 1.4 ms between zones, 30 ms between regions.
	primary, err := g.add("i-1", "regina-a", 0, 0, 11*time.Millisecond, 5)
	if err != nil {
		return false, err
	}
	if _, err := g.add("i-2", "saskatoon-a", 2*time.Millisecond, 60*time.Millisecond, 11*time.Millisecond, 5); err != nil {
		return false, err
	}
	deaf, err := g.add("i-3", "winnipeg-a", 30*time.Millisecond, 60*time.Millisecond, 11*time.Millisecond, 5)
	if err != nil {
		return false, err
	}
	for _, h := range fronts {
		if err := waitFor("readiness of "+h.name(), 20*time.Second, func() bool {
			status, _ := call("GET", "http://"+f.readyAddress(h)+"/ready", "")
			return status == 200
		}); err != nil {
			return false, err
		}
	}
	var mu sync.Mutex
	acknowledged := map[string]bool{}
	var lost []string
	g.onPromoted = func(u *upstream) {
		has := map[string]bool{}
		for _, c := range u.log {
			for _, id := range c.ids {
				has[id] = true
			}
		}
		mu.Lock()
		defer mu.Unlock()
		for id := range acknowledged {
			if !has[id] {
				lost = append(lost, id)
				r.logf("LOST: write %s was acknowledged to its client and is not in the log of %s", id, u.id)
			}
		}
	}
	var stop atomic.Bool
	var wait sync.WaitGroup
	var reads atomic.Int64
	session := func(n int, database string, step func(c *client, id string) bool) {
		wait.Go(func() {
			for i := 0; !stop.Load(); i++ {
				c, err := connect(f.frontAddress(fronts[(n+i)%len(fronts)]), database, "k")
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				for j := 0; !stop.Load() && step(c, fmt.Sprintf("%s-%d-%d-%d", database, n, i, j)); j++ {
				}
				c.close()
			}
		})
	}
	for n := range syncWriters {
		session(n, "ledger", func(c *client, id string) bool {
			a := c.query(id, "WRITE "+fmt.Sprint(rand.IntN(100))+" "+id, 3*time.Second)
			if a.code == "COMPLETE" {
				mu.Lock()
				acknowledged[id] = true
				mu.Unlock()
			}
			r.logf("client: WRITE %s: %s %s", id, a.code, a.detail)
			time.Sleep(100 * time.Millisecond)
			return a.code != "" && a.state == "I"
		})
	}
	for n := range syncReaders {
		session(n, "lookups", func(c *client, id string) bool {
			a := c.query(id, "READ "+fmt.Sprint(rand.IntN(100)), 4*time.Second)
			if a.code == "COMPLETE" {
				reads.Add(1)
				return true
			}
			time.Sleep(50 * time.Millisecond)
			return a.code != "" && a.state == "I"
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		deaf.setDeaf(true)
	}
	time.Sleep(deafBefore)
	if trouble {
		primary.crash()
	}
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		deaf.setDeaf(false)
	}
	time.Sleep(3 * time.Second)
	stop.Store(true)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.logf("%d writes were acknowledged, %d reads answered, %d acknowledged writes lost by a promotion", len(acknowledged), reads.Load(), len(lost))
	if len(acknowledged) == 0 || reads.Load() == 0 {
		return false, fmt.Errorf("no work was served")
	}
	return len(lost) > 0, nil
}
