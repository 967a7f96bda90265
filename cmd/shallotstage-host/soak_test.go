package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
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
	soakTime    = flag.Duration("soak", 10*time.Second, "time of the soak's faults")
	soakSeed    = flag.Uint64("soak-seed", 1, "seed of the soak's faults")
	soakEntries = flag.Int("soak-entries", 4, "entry hosts of the soak")
)

const (
	soakControls  = 3
	soakUpstreams = 3
	soakCallers   = 24
	// recovery is the time within which the fleet serves all again.
	recovery = 15 * time.Second
)

// soak is a fleet of processes under faults.
type soak struct {
	*fleet
	rnd      *rand.Rand
	group    *soakGroup
	ledger   *ledger
	controls []*machine
	entries  []*machine
	// version is the newest that was sent, acknowledged the newest that was
	// acknowledged.
	version      int
	acknowledged atomic.Int64
}

func soakIP(i int) string { return fmt.Sprintf("127.0.0.%d", i+2) }

func (s *soak) control(i int) string {
	return "http://" + s.address(s.controls[i].ip, portControl)
}

// configure sends a new configuration to any control host, perhaps twice.
func (s *soak) configure() {
	s.version += 1 + s.rnd.IntN(3)
	route := `{"name":"%s","host":"%s","path_prefix":"/","type":"%s","timeout_ms":1500,"max_staleness_ms":1000,"service":"s"}`
	body := fmt.Sprintf(`{"version":%d,"routes":[`+route+`,`+route+`],"services":[{"name":"s","max_conns":60}],"tenants":[{"name":"t","api_keys":["k"],"rate_per_s":100000,"burst":100000}]}`,
		s.version, "r1", "all", "primary", "r2", "own", "read_your_writes")
	for range 1 + s.rnd.IntN(2) {
		if status := call("PUT", s.control(s.rnd.IntN(soakControls))+"/config", body); status == 200 {
			s.acknowledged.Store(max(s.acknowledged.Load(), int64(s.version)))
		} else if status >= 400 && status < 500 {
			s.ledger.fail("version %d was refused with %d", s.version, status)
		}
	}
}

// read checks that no control host tells an older configuration than was
// acknowledged before.
func (s *soak) read() {
	least := s.acknowledged.Load()
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
	if got, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64); err != nil || got < least {
		s.ledger.fail("version %q was read, %d was acknowledged", number, least)
	}
}

// announce sends upstreams' heartbeats until stop is closed.
func (s *soak) announce(stop <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		for _, u := range s.group.upstreams {
			if u.isDown() {
				continue
			}
			for i := range soakControls {
				if call("PUT", s.control((sequence+i)%soakControls)+"/instances/"+u.id(), u.beat(sequence)) == 200 {
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

// fault brings one fault about and undoes it.
func (s *soak) fault() {
	entry, control := s.entries[s.rnd.IntN(len(s.entries))], s.controls[s.rnd.IntN(soakControls)]
	pause := time.Duration(200+s.rnd.IntN(1300)) * time.Millisecond
	switch kind := s.rnd.IntN(10); kind {
	case 0, 1:
		s.kill(entry, syscall.SIGKILL)
		s.restart("entry", entry)
	case 2:
		s.kill(entry, syscall.SIGTERM)
		s.restart("entry", entry)
	case 3:
		s.freeze(entry, pause)
	case 4:
		s.kill(control, syscall.SIGKILL)
		s.restart("control", control)
	case 5:
		s.freeze(control, pause)
	case 6:
		for _, m := range s.controls {
			s.kill(m, syscall.SIGKILL)
		}
		for _, m := range s.controls {
			s.restart("control", m)
		}
	case 7:
		u := s.group.leading()
		u.crash(s.t)
		time.Sleep(2 * pause)
		u.comeBack(s.t)
	default:
		s.configure()
		s.read()
	}
}

func (s *soak) kill(m *machine, signal syscall.Signal) {
	_ = m.cmd.Process.Signal(signal)
	_, _ = m.cmd.Process.Wait()
}

func (s *soak) restart(role string, m *machine) { m.cmd = s.start(role, m.ip).cmd }

func (s *soak) freeze(m *machine, pause time.Duration) {
	_ = m.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(pause)
	_ = m.cmd.Process.Signal(syscall.SIGCONT)
}

// check compares what callers were told with the group's log.
func (s *soak) check() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	times := map[string]int{}
	for _, c := range s.group.log {
		times[c.id]++
		if times[c.id] > 1 {
			s.ledger.fail("%s took effect %d times", c.id, times[c.id])
		}
		if s.ledger.dropped[c.id] {
			s.ledger.fail("%s is kept, a promise said that it is not", c.id)
		}
	}
	for id := range s.ledger.kept {
		if times[id] == 0 {
			s.ledger.fail("%s was acknowledged and is lost", id)
		}
	}
}

// TestSoak runs a fleet of processes under random faults: hosts that are killed,
// stopped and frozen, all control hosts at once, primaries that crash,
// configurations that are sent twice. It checks what callers and operators were
// told, and that the fleet serves all of them afterwards.
//
//	go test ./cmd/shallotstage-host -run Soak -args -soak 10m -soak-entries 24 -soak-seed 7
func TestSoak(t *testing.T) {
	s := &soak{
		fleet: newFleetOf(t, soakControls+*soakEntries), rnd: rand.New(rand.NewPCG(*soakSeed, 5)), group: newSoakGroup(t, soakUpstreams),
		ledger: &ledger{kept: map[string]bool{}, dropped: map[string]bool{}, answers: map[string]int{}},
	}
	platform := httptest.NewServer(http.HandlerFunc(s.group.promote))
	defer platform.Close()
	s.cloud = strings.TrimPrefix(platform.URL, "http://")
	for i := range soakControls {
		s.controls = append(s.controls, s.start("control", soakIP(i)))
	}
	var addresses []string
	for i := range *soakEntries {
		m := s.start("entry", soakIP(soakControls+i))
		s.entries = append(s.entries, m)
		addresses = append(addresses, s.address(m.ip, portCaller))
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	end := sync.OnceFunc(func() {
		close(stop)
		wait.Wait()
	})
	defer end()
	s.waitFor("the first configuration", func() bool {
		s.configure()
		return s.acknowledged.Load() > 0
	})
	wait.Go(func() { s.announce(stop) })
	served := make([]atomic.Int64, soakCallers)
	for i := range soakCallers {
		c := &soakCaller{name: fmt.Sprintf("c%d", i), route: []string{"all", "own"}[i%2], addresses: addresses, ledger: s.ledger, rnd: rand.New(rand.NewPCG(*soakSeed, uint64(i)))}
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if c.turn() {
					served[i].Add(1)
				}
			}
		})
	}
	all := func() bool {
		for i := range served {
			if served[i].Load() == 0 {
				return false
			}
		}
		return true
	}
	s.waitFor("service for all callers", all)
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.fault()
	}
	for i := range served {
		served[i].Store(0)
	}
	begin := time.Now()
	s.waitFor("service after the faults", all)
	took := time.Since(begin)
	end()
	s.check()
	t.Logf("seed %d: %d writes kept, answers %v, %d promotions, served all %s after the last fault", *soakSeed, len(s.ledger.kept), s.ledger.answers, s.group.promoted, took)
	qt.Assert(t, s.ledger.broken, qt.HasLen, 0)
	qt.Assert(t, took < recovery, qt.IsTrue, qt.Commentf("%s", took))
}
