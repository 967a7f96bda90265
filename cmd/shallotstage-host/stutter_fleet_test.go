package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// The deployment of the fleet of a stuttering service.
const (
	stutterControls      = 3
	stutterEntries       = 6
	stutterServices      = 3
	stutterOrganisations = 8
	stutterCallers       = 80
	// stutterThink is the longest pause between the operations of a caller.
	stutterThink = 500 * time.Millisecond
	// configurationApplies is the time after which an acknowledged configuration must be in
	// force.
	configurationApplies = 4 * time.Second
)

// stutterFleet is a fleet of processes before stuttering upstreams.
type stutterFleet struct {
	*fleet
	seed     uint64
	rnd      *rand.Rand
	ledger   *ledger
	services []*stutterService
	controls []*hostProcess
	entries  []*hostProcess
	wg       sync.WaitGroup
	stop     chan struct{}

	// configuring is held while the configuration is changed.
	configuring sync.Mutex

	mu     sync.Mutex
	routes []*stutterRoute
	// organisations are the present holders of the keys.
	organisations map[string]string
	version       int
	// rate is the rate of each organisation in operations a second.
	rate int
}

// newStutterFleet starts a fleet whose upstreams answer as faults says, and waits until it
// is ready.
func newStutterFleet(t *testing.T, seed uint64, faults answerFaults) *stutterFleet {
	f := &stutterFleet{
		fleet: newFleetOfSize(t, stutterControls+stutterEntries), seed: seed, rnd: rand.New(rand.NewPCG(seed, 11)),
		ledger: newLedger(), stop: make(chan struct{}), organisations: map[string]string{}, rate: 10000,
	}
	f.zones = map[string]string{}
	for i := range stutterControls + stutterEntries {
		f.zones[soakIP(i)] = soakZones[i%len(soakZones)]
	}
	for i := range stutterServices {
		s := newStutterService(t, fmt.Sprintf("s%d", i), soakZones, faults, seed+uint64(i)<<32, f.ledger)
		f.services = append(f.services, s)
		f.routes = append(f.routes,
			&stutterRoute{database: "findings" + s.name, kind: "primary", service: s.name, writes: 0.35, transactions: 0.25, allCommits: true, targetMS: 1000},
			&stutterRoute{database: "rankings" + s.name, kind: "bounded_staleness", service: s.name, transactions: 0.1, targetMS: 1500, stalenessMS: 1500},
			&stutterRoute{database: "plans" + s.name, kind: "read_your_writes", service: s.name, writes: 0.12, transactions: 0.12, ownCommits: true, targetMS: 2000, stalenessMS: 2500})
	}
	for i := range 2 * stutterOrganisations {
		f.organisations[fmt.Sprintf("key%d", i)] = fmt.Sprintf("organisation%d", i%stutterOrganisations)
	}
	platform := httptest.NewServer(http.HandlerFunc(f.promote))
	t.Cleanup(platform.Close)
	f.platformAddress = strings.TrimPrefix(platform.URL, "http://")
	for i := range stutterControls {
		f.controls = append(f.controls, f.start("control", soakIP(i)))
	}
	for i := range stutterEntries {
		f.entries = append(f.entries, f.start("entry", soakIP(stutterControls+i)))
	}
	f.waitFor("the configuration", func() bool { return f.configure(func() {}) })
	f.wg.Go(f.announce)
	for _, p := range f.entries {
		f.waitFor("readiness", func() bool { return call("GET", "http://"+f.address(p.ip, portReady)+"/ready", "") == 200 })
	}
	return f
}

func (f *stutterFleet) promote(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, s := range f.services {
		if s.name == order.Service {
			s.promote(w, order.ID)
		}
	}
}

// announce sends the upstreams' heartbeats.
func (f *stutterFleet) announce() {
	for n := 0; ; n++ {
		for _, s := range f.services {
			for _, u := range s.upstreams {
				f.sendHeartbeat(u, n)
			}
		}
		select {
		case <-f.stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (f *stutterFleet) sendHeartbeat(u *stutterUpstream, first int) {
	for i := range stutterControls {
		body := u.heartbeat()
		if body == "" || call("PUT", f.controlURL(first+i)+"/instances/"+u.id, body) == 200 {
			return
		}
	}
}

func (f *stutterFleet) controlURL(i int) string {
	return "http://" + f.address(soakIP(i%stutterControls), portControl)
}

// configure changes routes, keys or rates, sends them under a new version, and reports whether
// it was acknowledged. Changes are made one after the other.
func (f *stutterFleet) configure(change func()) bool {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	f.mu.Lock()
	change()
	f.version++
	first, body := f.version, f.configuration()
	f.mu.Unlock()
	sent := time.Now()
	f.hold(sent, time.Time{})
	for i := range 2 * stutterControls {
		if call("PUT", f.controlURL(i+first)+"/config", body) == 200 {
			f.hold(sent, time.Now())
			return true
		}
	}
	return false
}

// hold records the holders of all keys from a time, and, once the version is acknowledged,
// the end of the former ones.
func (f *stutterFleet) hold(from, acknowledged time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	for key, organisation := range f.organisations {
		held, present := f.ledger.holders[key], false
		for i := range held {
			if held[i].organisation == organisation && held[i].until.IsZero() {
				present = true
			} else if held[i].until.IsZero() && !acknowledged.IsZero() {
				held[i].until = acknowledged.Add(configurationApplies)
			}
		}
		if !present && organisation != "" {
			f.ledger.holders[key] = append(held, holding{organisation: organisation, from: from})
		}
	}
}

// configuration returns the body of a configuration. The caller must hold the lock.
func (f *stutterFleet) configuration() string {
	var routes, services, tenants []string
	for i, r := range f.routes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"%s","path_prefix":"/","type":"%s","timeout_ms":4000,"target_latency_ms":%d,"max_staleness_ms":%d,"max_attempts":2,"service":"%s","public":%t}`,
			i, r.database, r.kind, r.targetMS, r.stalenessMS, r.service, r.public))
	}
	for _, s := range f.services {
		services = append(services, fmt.Sprintf(`{"name":"%s","health_check":"/health","max_conns":%d,"sync_replicas":0}`, s.name, stutterMaxConns))
	}
	for i := range stutterOrganisations {
		var keys []string
		for key, organisation := range f.organisations {
			if organisation == fmt.Sprintf("organisation%d", i) {
				keys = append(keys, `"`+key+`"`)
			}
		}
		tenants = append(tenants, fmt.Sprintf(`{"name":"organisation%d","api_keys":[%s],"rate_per_s":%d,"burst":%d}`, i, strings.Join(keys, ","), f.rate, f.rate))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"tx_idle_ms":3000},"tenants":[%s]}`,
		f.version, strings.Join(routes, ","), strings.Join(services, ","), strings.Join(tenants, ","))
}

func (f *stutterFleet) drawRoute(rnd *rand.Rand) *stutterRoute {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The rates of the three kinds of routes are as 3, 3 and 14.
	kind := 2
	switch n := rnd.IntN(20); {
	case n < 3:
		kind = 0
	case n < 6:
		kind = 1
	}
	r := *f.routes[3*rnd.IntN(stutterServices)+kind]
	return &r
}

func (f *stutterFleet) drawKey(rnd *rand.Rand) string {
	return fmt.Sprintf("key%d", rnd.IntN(2*stutterOrganisations))
}

func (f *stutterFleet) drawEntry(rnd *rand.Rand) string {
	return f.address(soakIP(stutterControls+rnd.IntN(stutterEntries)), portCaller)
}

// serve runs the callers until stop is called, which waits for them.
func (f *stutterFleet) serve(habits callerHabits) (stop func()) {
	for i := range stutterCallers {
		c := &stutterCaller{name: fmt.Sprintf("c%d", i), rnd: rand.New(rand.NewPCG(f.seed, 1000+uint64(i))), fleet: f, habits: habits}
		f.wg.Go(func() {
			defer c.close()
			for {
				select {
				case <-f.stop:
					return
				default:
				}
				c.step()
				c.pause(stutterThink)
			}
		})
	}
	return sync.OnceFunc(func() {
		close(f.stop)
		f.wg.Wait()
	})
}
