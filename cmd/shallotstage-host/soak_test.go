package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	soakDuration = flag.Duration("soak", 10*time.Second, "duration of the fault injection")
	soakSeed     = flag.Uint64("soak-seed", 1, "random seed of the faults")
	soakEntries  = flag.Int("soak-entries", 4, "number of entry hosts")
)

const (
	soakControls = 3
	soakCallers  = 24
	// recoveryLimit is the time within which the fleet must serve all callers
	// after the last fault.
	recoveryLimit = 15 * time.Second
)

// soak is a fleet of processes with injected faults.
type soak struct {
	*fleet
	rnd      *rand.Rand
	group    *fakeGroup
	history  *history
	controls []*hostProcess
	entries  []*hostProcess
	// version is the latest configuration version that was sent, acknowledged
	// the latest that was acknowledged.
	version      int
	acknowledged atomic.Int64
	// entryCount is the number of entry hosts, evacuations that of evacuations so far.
	entryCount, evacuations int
	// served counts the operations of each caller that succeeded.
	served []atomic.Int64
}

func soakIP(i int) string { return fmt.Sprintf("127.0.0.%d", i+2) }

func (s *soak) control(i int) string {
	return "http://" + s.address(s.controls[i].ip, portControl)
}

// configure sends a new configuration once or twice, each time to a random
// control host.
func (s *soak) configure() {
	s.version += 1 + s.rnd.IntN(3)
	route := `{"name":"%s","host":"%s","path_prefix":"/","type":"%s","timeout_ms":1500,"max_staleness_ms":1000,"service":"s"}`
	body := fmt.Sprintf(`{"version":%d,"routes":[`+route+`,`+route+`],"services":[{"name":"s","max_conns":60}],"tenants":[{"name":"t","api_keys":["k"],"rate_per_s":100000,"burst":100000}]}`,
		s.version, "r1", "all", "primary", "r2", "own", "read_your_writes")
	for range 1 + s.rnd.IntN(2) {
		if status := call("PUT", s.control(s.rnd.IntN(soakControls))+"/config", body); status == 200 {
			s.acknowledged.Store(max(s.acknowledged.Load(), int64(s.version)))
		} else if status >= 400 && status < 500 {
			s.history.addViolation("version %d was refused with HTTP status %d", s.version, status)
		}
	}
}

// checkConfiguration checks that a random control host returns no configuration
// older than the latest acknowledged one.
func (s *soak) checkConfiguration() {
	minimum := s.acknowledged.Load()
	client := http.Client{Timeout: 2 * time.Second}
	answer, err := client.Get(s.control(s.rnd.IntN(soakControls)) + "/config")
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != 200 {
		return
	}
	_, rest, _ := strings.Cut(string(body), `"version":`)
	number, _, _ := strings.Cut(rest, ",")
	if got, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64); err != nil || got < minimum {
		s.history.addViolation("read version %q after version %d was acknowledged", number, minimum)
	}
}

// announce sends the upstreams' heartbeats until stop is closed.
func (s *soak) announce(stop <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		for _, u := range s.group.upstreams {
			if u.isDown() {
				continue
			}
			for i := range soakControls {
				if call("PUT", s.control((sequence+i)%soakControls)+"/instances/"+u.id(), u.heartbeat(sequence)) == 200 {
					break
				}
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// injectFault injects one random fault and reverts it, or submits a new
// configuration.
func (s *soak) injectFault() {
	entry, control := s.entries[s.rnd.IntN(len(s.entries))], s.controls[s.rnd.IntN(soakControls)]
	pause := time.Duration(200+s.rnd.IntN(1300)) * time.Millisecond
	switch kind := s.rnd.IntN(17); kind {
	case 0, 1:
		s.kill(entry, syscall.SIGKILL)
		s.restart("entry", entry)
	case 2:
		s.kill(entry, syscall.SIGTERM)
		s.restart("entry", entry)
	case 3:
		s.suspend(entry, pause)
	case 4:
		s.kill(control, syscall.SIGKILL)
		s.restart("control", control)
	case 5:
		s.suspend(control, pause)
	case 6:
		for _, p := range s.controls {
			s.kill(p, syscall.SIGKILL)
		}
		for _, p := range s.controls {
			s.restart("control", p)
		}
	case 7:
		u := s.group.currentPrimary()
		u.crash(s.t)
		time.Sleep(2 * pause)
		u.resume(s.t)
	case 8:
		// The primary announces its end and goes on serving.
		u := s.group.currentPrimary()
		u.setDraining(true)
		time.Sleep(2 * pause)
		u.setDraining(false)
	case 9:
		_ = entry.cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(pause / 4)
		s.kill(entry, syscall.SIGHUP)
		s.restart("entry", entry)
	case 10:
		s.sendGarbage(entry, portPeer, portMetrics, portCaller, portReady)
		s.sendGarbage(control, portPeer, portMetrics, portControl)
	case 11:
		s.evacuate(soakZones[s.rnd.IntN(len(soakZones))])
	case 12:
		// Upstreams answer twice.
		s.group.setRepeats(soakRepeats)
		time.Sleep(2 * pause)
		s.group.setRepeats(0)
	case 13:
		s.disturbInSeries(entry, control)
	default:
		s.configure()
		s.checkConfiguration()
	}
}

// sendGarbage sends random bytes, and a message that is cut off, to ports of a host.
func (s *soak) sendGarbage(p *hostProcess, ports ...int) {
	for _, port := range ports {
		for _, size := range []int{1, 40, 5000} {
			body := make([]byte, size)
			for i := range body {
				body[i] = byte(s.rnd.IntN(256))
			}
			conn, err := net.DialTimeout("tcp", s.address(p.ip, port), time.Second)
			if err != nil {
				continue
			}
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			_, _ = conn.Write(body)
			_ = conn.Close()
		}
	}
}

// checkLogs checks that no process ended by an error of its own.
func (s *soak) checkLogs() {
	for _, p := range append(append([]*hostProcess(nil), s.controls...), s.entries...) {
		body, err := os.ReadFile(p.log)
		if err != nil {
			s.history.addViolation("no log of %s: %v", p.ip, err)
		}
		for _, sign := range []string{"panic:", "fatal error:"} {
			if i := strings.Index(string(body), sign); i >= 0 {
				s.history.addViolation("%s: %.300s", p.ip, body[i:])
			}
		}
	}
}

func (s *soak) kill(p *hostProcess, signal syscall.Signal) {
	_ = p.cmd.Process.Signal(signal)
	_, _ = p.cmd.Process.Wait()
}

func (s *soak) restart(role string, p *hostProcess) { p.cmd = s.start(role, p.ip).cmd }

func (s *soak) suspend(p *hostProcess, pause time.Duration) {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(pause)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// check compares the answers that callers received with the group's log.
func (s *soak) check() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	times := map[string]int{}
	for _, c := range s.group.log {
		times[c.id]++
		if times[c.id] > 1 {
			s.history.addViolation("%s was applied %d times", c.id, times[c.id])
		}
		if s.history.rejected[c.id] {
			s.history.addViolation("%s was applied although its error code promised that it had no effect", c.id)
		}
	}
	for id := range s.history.committed {
		if times[id] == 0 {
			s.history.addViolation("%s was acknowledged but is lost", id)
		}
	}
}

// TestSoak runs a fleet of processes under random faults: single hosts are killed,
// stopped or suspended, all control hosts are killed at once, primaries crash or
// announce their end, settings change during shutdowns, garbage is sent to all ports,
// data centres are evacuated, upstreams answer twice, signals come in series and at once, and configurations are submitted twice.
// Replaced primaries go on until they are told. It checks the answers to callers and
// operators, and that all callers are served again after the faults.
//
//	go test ./cmd/shallotstage-host -run Soak -args -soak 10m -soak-entries 24 -soak-seed 7
func TestSoak(t *testing.T) {
	s := newSoak(t, *soakEntries, soakZones)
	s.evacuateMS = soakEvacuateMS
	end := s.startFleet()
	defer end()
	s.waitFor("all callers to be served", s.allServed)
	// At least one evacuation, whatever faults the seed selects.
	s.evacuate(soakZones[s.rnd.IntN(len(soakZones))])
	for end := time.Now().Add(*soakDuration); time.Now().Before(end); {
		s.injectFault()
	}
	begin := time.Now()
	s.waitForCallers("all callers to be served after the faults")
	took := time.Since(begin)
	end()
	s.check()
	s.checkLogs()
	s.group.mu.Lock()
	t.Logf("seed %d: %d writes committed, answers %v, %d promotions, %d commits at replaced primaries, %d demotions, %d evacuations, %d answers sent again, all callers served %s after the last fault",
		*soakSeed, len(s.history.committed), s.history.answers, s.group.promotions, s.group.strayCommits, s.group.demotions, s.evacuations, s.group.repeated, took)
	s.group.mu.Unlock()
	qt.Assert(t, s.history.allViolations(), qt.HasLen, 0)
	qt.Assert(t, took < recoveryLimit, qt.IsTrue, qt.Commentf("%s", took))
}

// newSoak returns a fleet that is not started yet, with an upstream in each of the given
// data centres.
func newSoak(t *testing.T, entries int, zones []string) *soak {
	s := &soak{
		fleet: newFleetOfSize(t, soakControls+entries), rnd: rand.New(rand.NewPCG(*soakSeed, 5)),
		history:    &history{committed: map[string]bool{}, rejected: map[string]bool{}, answers: map[string]int{}},
		entryCount: entries, served: make([]atomic.Int64, soakCallers),
	}
	s.group = newFakeGroup(t, zones, s.history)
	platform := httptest.NewServer(http.HandlerFunc(s.group.promote))
	t.Cleanup(platform.Close)
	s.platformAddress = strings.TrimPrefix(platform.URL, "http://")
	return s
}

// startFleet starts the processes, the announcements and the callers. end stops the
// announcements and the callers.
func (s *soak) startFleet() (end func()) {
	for i := range soakControls {
		s.controls = append(s.controls, s.start("control", soakIP(i)))
	}
	var addresses []string
	for i := range s.entryCount {
		p := s.start("entry", soakIP(soakControls+i))
		s.entries = append(s.entries, p)
		addresses = append(addresses, s.address(p.ip, portCaller))
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	end = sync.OnceFunc(func() {
		close(stop)
		wg.Wait()
	})
	s.t.Cleanup(end)
	s.waitFor("the first configuration", func() bool {
		s.configure()
		return s.acknowledged.Load() > 0
	})
	wg.Go(func() { s.announce(stop) })
	for i := range soakCallers {
		c := &soakCaller{name: fmt.Sprintf("c%d", i), route: []string{"all", "own"}[i%2], addresses: addresses, history: s.history, rnd: rand.New(rand.NewPCG(*soakSeed, uint64(i)))}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if c.step() {
					s.served[i].Add(1)
				}
			}
		})
	}
	return end
}

// allServed reports whether each caller was served since the counts were last reset.
func (s *soak) allServed() bool {
	for i := range s.served {
		if s.served[i].Load() == 0 {
			return false
		}
	}
	return true
}

// waitForCallers waits until each caller is served from now on.
func (s *soak) waitForCallers(what string) {
	s.t.Helper()
	for i := range s.served {
		s.served[i].Store(0)
	}
	s.waitFor(what, s.allServed)
}
