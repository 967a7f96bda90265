package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	ledgerStutter  = flag.Int("ledger-stutter", 300, "one answer in this many is sent twice")
	ledgerDuration = flag.Duration("ledger", 5*time.Second, "duration of the comparison of what clients sent with what upstreams ran")
	ledgerSeed     = flag.Uint64("ledger-seed", 1, "its random seed")
	ledgerProgram  = flag.String("ledger-program", "", "program to run in place of this build")
	ledgerFaults   = flag.String("ledger-faults", "", "any of term,hup,kill,freeze,stutter,lose,drain,keys,rest,replace,crash")
	ledgerHostile  = flag.Bool("ledger-hostile", true, "whether a quarter of the clients misbehaves")
	ledgerAlphabet = flag.String("ledger-alphabet", "abcdefghijklm     \t.", "characters of the data")
	ledgerWork     = flag.Duration("ledger-work", 0, "time that an upstream takes for a statement")
	ledgerCallers  = flag.Int("ledger-callers", 32, "number of clients")
)

// ledgerTxIdle is how long a transaction may stay idle.
const ledgerTxIdle = time.Second

// ledgerKeys is the number of keys and organisations.
const ledgerKeys = 8

// TestUpstreamsRunOnlyWhatClientsSent compares each statement that upstreams get with what
// clients sent, byte for byte.
//
//	go test ./cmd/shallotstage-host -run OnlyWhatClientsSent -args -ledger 70s -ledger-faults term,stutter -ledger-seed 7
func TestUpstreamsRunOnlyWhatClientsSent(t *testing.T) {
	const controls, entries, services = 3, 6, 3
	f := newFleetOfSize(t, controls+entries)
	if *ledgerProgram != "" {
		f.program = *ledgerProgram
	}
	rnd := rand.New(rand.NewPCG(*ledgerSeed, 9))
	l := &strictLedger{sent: map[string][]strictStatement{}, holders: map[string][]holder{}}
	for i := range ledgerKeys {
		l.moveKey(fmt.Sprintf("k%d", i), fmt.Sprintf("t%d", i))
	}
	zones := []string{"a", "b", "c"}
	f.zones = map[string]string{}
	var groups []*strictGroup
	for i := range services {
		groups = append(groups, newStrictGroup(t, l, fmt.Sprintf("s%d", i), zones))
	}
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var order struct{ ID string }
		if json.NewDecoder(r.Body).Decode(&order) == nil {
			for _, g := range groups {
				if g.promote(order.ID) {
					return
				}
			}
		}
		w.WriteHeader(http.StatusConflict)
	}))
	t.Cleanup(platform.Close)
	f.platformAddress = strings.TrimPrefix(platform.URL, "http://")
	for _, g := range groups {
		for _, u := range g.upstreams {
			u.work = *ledgerWork
			if strings.Contains(*ledgerFaults, "lose") {
				var mu sync.Mutex
				u.lose = func() (lost, end bool) {
					mu.Lock()
					defer mu.Unlock()
					n := rnd.IntN(400)
					return n == 0, n == 1
				}
			}
		}
	}
	if strings.Contains(*ledgerFaults, "stutter") {
		for _, g := range groups {
			for _, u := range g.upstreams {
				var mu sync.Mutex
				u.stutter = func() time.Duration {
					mu.Lock()
					defer mu.Unlock()
					if rnd.IntN(*ledgerStutter) > 0 {
						return 0
					}
					return time.Duration(1+rnd.IntN(300)) * time.Millisecond
				}
			}
		}
	}
	var entryHosts []*hostProcess
	var addresses []string
	for i := range controls + entries {
		f.zones[soakIP(i)] = zones[i%3]
	}
	for i := range controls {
		f.start("control", soakIP(i))
	}
	for i := range entries {
		p := f.start("entry", soakIP(controls+i))
		entryHosts = append(entryHosts, p)
		addresses = append(addresses, f.address(p.ip, portCaller))
	}
	control := func(i int) string { return "http://" + f.address(soakIP(i%controls), portControl) }
	f.waitFor("the configuration", func() bool {
		return call("PUT", control(rnd.IntN(controls))+"/config", ledgerConfiguration(3, services, 0)) == 200
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	end := sync.OnceFunc(func() { close(stop); wg.Wait() })
	t.Cleanup(end)
	wg.Go(func() {
		for sequence := 1; ; sequence++ {
			for _, g := range groups {
				for _, u := range g.all() {
					if u.isEnded() {
						continue
					}
					for i := range controls {
						if call("PUT", control(sequence+i)+"/instances/"+u.id, u.heartbeat(sequence)) == 200 {
							break
						}
					}
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	for _, p := range entryHosts {
		f.waitFor("readiness", func() bool { return call("GET", "http://"+f.address(p.ip, portReady)+"/ready", "") == 200 })
	}
	var callers []*strictCaller
	for i := range *ledgerCallers {
		c := &strictCaller{
			name: fmt.Sprintf("c%d", i), key: fmt.Sprintf("k%d", i%8), addresses: addresses, ledger: l,
			rnd: rand.New(rand.NewPCG(*ledgerSeed, uint64(100+i))), services: services, alphabet: *ledgerAlphabet, splits: i%2 == 0, rests: strings.Contains(*ledgerFaults, "rest"), hostile: *ledgerHostile && i%4 == 3, largest: 100 << 10, codes: map[string]int{},
		}
		callers = append(callers, c)
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(1+c.rnd.IntN(40)) * time.Millisecond):
				}
				c.step()
			}
		})
	}
	round, shift := 0, 0
	for deadline := time.Now().Add(*ledgerDuration); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		round++
		p := entryHosts[rnd.IntN(entries)]
		if strings.Contains(*ledgerFaults, "term") {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
			_, _ = p.cmd.Process.Wait()
			p.cmd = f.start("entry", p.ip).cmd
		}
		if strings.Contains(*ledgerFaults, "hup") {
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
		}
		if strings.Contains(*ledgerFaults, "freeze") {
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rnd.IntN(2500)) * time.Millisecond)
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
		if strings.Contains(*ledgerFaults, "drain") && round%8 == 0 {
			groups[rnd.IntN(services)].drainPrimary(round%16 == 0)
		}
		if strings.Contains(*ledgerFaults, "crash") && round%10 == 0 {
			groups[rnd.IntN(services)].crash(t)
		}
		if strings.Contains(*ledgerFaults, "replace") && round%4 == 0 {
			one, other := groups[round/4%services], groups[(round/4+1)%services]
			formerOne, i := one.replaceReplica()
			formerOther, j := other.replaceReplica()
			one.start(t, i, formerOne, formerOther.listener.Addr().String())
			other.start(t, j, formerOther, formerOne.listener.Addr().String())
		}
		if strings.Contains(*ledgerFaults, "keys") && round%8 == 0 {
			shift++
			for i := range ledgerKeys {
				l.moveKey(fmt.Sprintf("k%d", i), fmt.Sprintf("t%d", (i+shift)%ledgerKeys))
			}
			if call("PUT", control(rnd.IntN(controls))+"/config", ledgerConfiguration(3+shift, services, shift)) == 200 {
				for i := range ledgerKeys {
					l.keyMoved(fmt.Sprintf("k%d", i))
				}
			}
		}
		if strings.Contains(*ledgerFaults, "kill") {
			_ = p.cmd.Process.Kill()
			_, _ = p.cmd.Process.Wait()
			p.cmd = f.start("entry", p.ip).cmd
		}
	}
	end()
	codes, served := map[string]int{}, 0
	for _, c := range callers {
		served += c.served
		for code, n := range c.codes {
			codes[code] += n
		}
	}
	sent, ran, violations := l.counts()
	promotions := 0
	for _, g := range groups {
		promotions += g.promotions()
	}
	t.Logf("seed %d: %d promotions, %d operations served, %d statements sent, %d run, %d not as sent, answers %v", *ledgerSeed, promotions, served, sent, ran, violations, codes)
	for _, what := range l.foreign[:min(20, len(l.foreign))] {
		t.Error(what)
	}
	logs, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	qt.Assert(t, err, qt.IsNil)
	for _, path := range logs {
		body, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		for _, sign := range []string{"DATA RACE", "panic:", "fatal error:", "panic_recovered"} {
			if i := strings.Index(string(body), sign); i >= 0 {
				t.Errorf("%s: %.2000s", path, body[i:])
			}
		}
	}
	qt.Assert(t, ran > 0, qt.IsTrue)
	for _, v := range l.violations[:min(20, violations)] {
		t.Error(v)
	}
}

// ledgerConfiguration returns a configuration in which the keys are shifted by some
// organisations.
func ledgerConfiguration(version, services, shift int) string {
	var routes, names, tenants []string
	for i := range services {
		names = append(names, fmt.Sprintf(`{"name":"s%d","max_conns":32}`, i))
		for host, kind := range map[string]string{"primary": "primary", "bounded": "bounded_staleness", "own": "read_your_writes"} {
			routes = append(routes, fmt.Sprintf(`{"name":"r-%s%d","host":"%s%d","path_prefix":"/","type":"%s","timeout_ms":2000,"target_latency_ms":1500,"max_staleness_ms":1500,"service":"s%d"}`, host, i, host, i, kind, i))
		}
	}
	for i := range 8 {
		// One organisation is over its rate most of the time.
		rate := 10000
		if i == 7 {
			rate = 4
		}
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","api_keys":["k%d"],"rate_per_s":%d,"burst":%d}`, (i+shift)%ledgerKeys, i, rate, rate))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[`, version) + strings.Join(routes, ",") + `],"services":[` + strings.Join(names, ",") + fmt.Sprintf(`],"limits":{"tx_idle_ms":%d},"tenants":[`, ledgerTxIdle.Milliseconds()) + strings.Join(tenants, ",") + `]}`
}
