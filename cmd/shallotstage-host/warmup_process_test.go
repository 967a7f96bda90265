package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	warmupRate = 12
	// warmupBound is warmupRate x cold_overshoot + cold_slack with their defaults.
	warmupBound = warmupRate*3/2 + 5
	warmupTime  = 18 * time.Second
	warmupHosts = 4
	warmupUsers = 12
)

// isCallersStatement reports whether a line of the protocol is a caller's statement.
func isCallersStatement(text string) bool {
	verb, _, _ := strings.Cut(text, " ")
	return verb == "READ" || verb == "WRITE" || verb == "COMMIT"
}

// mostInASecond returns the largest number of callers' statements in any second, which
// slides, and their number by second, of those received before end.
func mostInASecond(statements []meteredStatement, end time.Time) (most int, bySecond map[int64]int) {
	bySecond = map[int64]int{}
	var window []time.Time
	for _, s := range statements {
		if !isCallersStatement(s.text) || s.at.After(end) {
			continue
		}
		bySecond[s.at.Unix()]++
		window = append(window, s.at)
		for s.at.Sub(window[0]) >= time.Second {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most, bySecond
}

// keepReading sends reads, writes and transactions until stop is closed, on a new session
// whenever one fails.
func keepReading(address string, user int, stop <-chan struct{}) {
	var c *lineCaller
	closeSession := func() {
		if c != nil {
			_ = c.conn.Close()
			c = nil
		}
	}
	defer closeSession()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(4 * time.Millisecond):
		}
		if c == nil {
			route := []string{"reads", "writes"}[user%2]
			var err error
			if c, err = dialCaller(address, route, "k"); err != nil {
				closeSession()
				continue
			}
		}
		text := "READ x"
		if user%2 == 1 {
			text = []string{"WRITE x 1", "BEGIN", "WRITE x 2", "COMMIT"}[i%4]
		}
		if _, err := c.query(text); err != nil {
			closeSession()
		}
	}
}

// TestWarmupOfAnUpstreamOfProcesses sends many more statements than its rate to a cold
// primary, through entry hosts that are killed, suspended and restarted together, and under
// a leader that is killed. More statements in a second than the bound overload it while it
// is slow.
func TestWarmupOfAnUpstreamOfProcesses(t *testing.T) {
	f := newFleetOfSize(t, 3+warmupHosts)
	service := &meteredService{}
	cold := service.add(t, "i-0", "a")
	service.add(t, "i-1", "a")
	var controls []string
	hosts := map[string]*hostProcess{}
	for i := range 3 {
		ip := fmt.Sprintf("127.0.0.%d", 2+i)
		controls = append(controls, ip)
		hosts[ip] = f.start("control", ip)
	}
	var entries []string
	for i := range warmupHosts {
		ip := fmt.Sprintf("127.0.0.%d", 5+i)
		entries = append(entries, ip)
		hosts[ip] = f.start("entry", ip)
	}
	route := `{"name":"%s","host":"%s","path_prefix":"/","type":"%s","timeout_ms":1000,"target_latency_ms":600,"max_staleness_ms":1000,"service":"s"}`
	f.configureFleet(controls[1], fmt.Sprintf(`{"version":3,"routes":[`+route+","+route+`],
"services":[{"name":"s","max_conns":60,"cold_start_s":18,"cold_per_s":%d}],"tenants":[{"name":"t","api_keys":["k"],"rate_per_s":100000,"burst":100000}]}`,
		"r1", "reads", "read_your_writes", "r2", "writes", "primary", warmupRate))
	begin := time.Now()
	service.locked(func() { cold.coldUntil = begin.Add(warmupTime) })
	stop := make(chan struct{})
	var users sync.WaitGroup
	end := sync.OnceFunc(func() { close(stop); users.Wait() })
	defer end()
	service.announce(f, controls, stop)
	for i := range warmupUsers {
		address := f.address(entries[i%warmupHosts], portCaller)
		users.Go(func() { keepReading(address, i, stop) })
	}
	kill := func(ip string) {
		_ = hosts[ip].cmd.Process.Kill()
		_, _ = hosts[ip].cmd.Process.Wait()
	}
	restart := func(ip string) func() {
		return func() {
			kill(ip)
			hosts[ip] = f.start("control", ip)
		}
	}
	for _, fault := range []func(){
		func() { time.Sleep(4 * time.Second) },
		// One of the control hosts leads.
		restart(controls[0]), restart(controls[1]), restart(controls[2]),
		func() {
			// One of the entry hosts holds the grant.
			for _, ip := range entries {
				_ = hosts[ip].cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(400 * time.Millisecond)
				_ = hosts[ip].cmd.Process.Signal(syscall.SIGCONT)
			}
		},
		func() {
			for _, ip := range entries {
				kill(ip)
			}
			for _, ip := range entries {
				hosts[ip] = f.start("entry", ip)
			}
		},
	} {
		fault()
		time.Sleep(time.Second)
	}
	time.Sleep(time.Until(begin.Add(warmupTime)))
	warmAt := time.Now()
	most, bySecond := mostInASecond(cold.received(), begin.Add(warmupTime))
	total := 0
	for _, n := range bySecond {
		total += n
	}
	f.waitFor("more statements than the bound once the upstream is warm", func() bool {
		later, _ := mostInASecond(cold.received(), time.Now())
		return later > 2*warmupBound
	})
	t.Logf("%d statements while the upstream was cold, %d in a second of %d allowed; by second: %v; warm load seen after %s", total, most, warmupBound, bySecond, time.Since(warmAt))
	qt.Assert(t, most <= warmupBound, qt.IsTrue, qt.Commentf("%d statements in a second", most))
	qt.Assert(t, total >= warmupRate*2, qt.IsTrue, qt.Commentf("%d statements: a cold upstream is used", total))
}
