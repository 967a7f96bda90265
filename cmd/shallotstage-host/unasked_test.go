package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
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
	ledgerFaults   = flag.String("ledger-faults", "", "any of term,hup,kill,stutter")
	ledgerCallers  = flag.Int("ledger-callers", 32, "number of clients")
)

const ledgerAlphabet = "abcdefghijklm     \t."

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
	l := &strictLedger{sent: map[string][]strictStatement{}}
	zones := []string{"a", "b", "c"}
	f.zones = map[string]string{}
	var groups []*strictGroup
	for i := range services {
		groups = append(groups, newStrictGroup(t, l, fmt.Sprintf("s%d", i), zones))
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
		return call("PUT", control(rnd.IntN(controls))+"/config", ledgerConfiguration(services)) == 200
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	end := sync.OnceFunc(func() { close(stop); wg.Wait() })
	t.Cleanup(end)
	wg.Go(func() {
		for sequence := 1; ; sequence++ {
			for _, g := range groups {
				for _, u := range g.upstreams {
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
			name: fmt.Sprintf("c%d", i), organisation: fmt.Sprintf("t%d", i%8), key: fmt.Sprintf("k%d", i%8), addresses: addresses, ledger: l,
			rnd: rand.New(rand.NewPCG(*ledgerSeed, uint64(100+i))), services: services, alphabet: ledgerAlphabet, splits: i%2 == 0, largest: 100 << 10, codes: map[string]int{},
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
	for deadline := time.Now().Add(*ledgerDuration); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		p := entryHosts[rnd.IntN(entries)]
		if strings.Contains(*ledgerFaults, "term") {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
			_, _ = p.cmd.Process.Wait()
			p.cmd = f.start("entry", p.ip).cmd
		}
		if strings.Contains(*ledgerFaults, "hup") {
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
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
	t.Logf("seed %d: %d operations served, %d statements sent, %d run, %d not as sent, answers %v", *ledgerSeed, served, sent, ran, violations, codes)
	qt.Assert(t, ran > 0, qt.IsTrue)
	for _, v := range l.violations[:min(20, violations)] {
		t.Error(v)
	}
}

func ledgerConfiguration(services int) string {
	var routes, names, tenants []string
	for i := range services {
		names = append(names, fmt.Sprintf(`{"name":"s%d","max_conns":32}`, i))
		for host, kind := range map[string]string{"primary": "primary", "bounded": "bounded_staleness", "own": "read_your_writes"} {
			routes = append(routes, fmt.Sprintf(`{"name":"r-%s%d","host":"%s%d","path_prefix":"/","type":"%s","timeout_ms":2000,"target_latency_ms":1500,"max_staleness_ms":1500,"service":"s%d"}`, host, i, host, i, kind, i))
		}
	}
	for i := range 8 {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","api_keys":["k%d"],"rate_per_s":10000,"burst":10000}`, i, i))
	}
	return `{"version":3,"routes":[` + strings.Join(routes, ",") + `],"services":[` + strings.Join(names, ",") + `],"limits":{"tx_idle_ms":3000},"tenants":[` + strings.Join(tenants, ",") + `]}`
}
