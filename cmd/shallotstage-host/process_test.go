package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const waitTimeout = 30 * time.Second

// hostProcess is a host of the fleet, run as a process with its own loopback
// address.
type hostProcess struct {
	ip       string
	settings string
	log      string
	cmd      *exec.Cmd
	// adjust changes the text of the settings; nil leaves it as it is.
	adjust func(settings string) string
}

// fleet is a fleet of host processes on the local machine.
type fleet struct {
	t       *testing.T
	program string
	dir     string
	ports   [5]int
	// addressCount is the number of loopback addresses, platformAddress the
	// address of the platform's API.
	addressCount    int
	platformAddress string
	// zones holds the data centres of hosts that are not in data centre a, by address.
	zones map[string]string
	// evacuateMS is the setting of the same name; zero leaves it out.
	evacuateMS int
	// memoryMB and maxFDs are the limits in the settings of all hosts.
	memoryMB, maxFDs int
}

// Indexes into fleet.ports. All hosts use the same ports.
const (
	portPeer = iota
	portMetrics
	portControl
	portCaller
	portReady
)

func newFleet(t *testing.T) *fleet { return newFleetOfSize(t, 5) }

func newFleetOfSize(t *testing.T, addressCount int) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), addressCount: addressCount, platformAddress: "127.0.0.1:1", memoryMB: 284, maxFDs: 4300}
	f.program = filepath.Join(f.dir, "host")
	out, err := exec.Command("go", "build", "-o", f.program, ".").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	// The metrics port must follow the peer port, and all ports must be free on
	// all addresses.
	for base := 20000 + os.Getpid()%20000; ; base += 10 {
		if f.portsFree(base) {
			for i := range f.ports {
				f.ports[i] = base + i
			}
			return f
		}
	}
}

func (f *fleet) portsFree(base int) bool {
	for i := range len(f.ports) {
		for host := 2; host < 2+f.addressCount; host++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", host, base+i))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) address(ip string, use int) string { return fmt.Sprintf("%s:%d", ip, f.ports[use]) }

// writeSettings writes the settings file of a host.
func (f *fleet) writeSettings(p *hostProcess, seeds ...string) {
	var quoted []string
	for _, s := range seeds {
		quoted = append(quoted, `"`+f.address(s, portControl)+`"`)
	}
	zone, bounds := "a", ""
	if other, ok := f.zones[p.ip]; ok {
		zone = other
	}
	if f.evacuateMS > 0 {
		bounds = fmt.Sprintf("evacuate_ms = %d\n", f.evacuateMS)
	}
	text := fmt.Sprintf(`node = "node-%s"
ip = "%s"
zone = "%s"
region = "r"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = true
data_dir = "%s"
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "%s"
ready = "%s"
control = "%s"
[limits]
memory_mb = %d
max_fds = %d
[fault_tolerance]
machines = 1
[bounds]
grace_s = 4
%s[cloud]
address = "%s"
`, p.ip, p.ip, zone, f.ports[portPeer], f.ports[portMetrics], strings.Join(quoted, ","), filepath.Join(f.dir, p.ip),
		f.address(p.ip, portCaller), f.address(p.ip, portReady), f.address(p.ip, portControl), f.memoryMB, f.maxFDs, bounds, f.platformAddress)
	if p.adjust != nil {
		text = p.adjust(text)
	}
	qt.Assert(f.t, os.WriteFile(p.settings, []byte(text), 0o600), qt.IsNil)
}

func (f *fleet) start(role, ip string) *hostProcess { return f.startAdjusted(role, ip, nil) }

// startAdjusted starts a host with changed settings.
func (f *fleet) startAdjusted(role, ip string, adjust func(settings string) string) *hostProcess {
	p := &hostProcess{ip: ip, settings: filepath.Join(f.dir, ip+".toml"), log: filepath.Join(f.dir, ip+".log"), adjust: adjust}
	f.writeSettings(p, "127.0.0.2", "127.0.0.3", "127.0.0.4")
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	qt.Assert(f.t, err, qt.IsNil)
	p.cmd = exec.Command(f.program, role)
	p.cmd.Env = []string{"SHALLOTSTAGE_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	qt.Assert(f.t, p.cmd.Start(), qt.IsNil)
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_, _ = p.cmd.Process.Wait()
		_ = log.Close()
	})
	return p
}

func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s", what)
}

// call sends an HTTP request and returns the status code, or zero on failure.
func call(method, url, body string) int {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	client := http.Client{Timeout: 2 * time.Second}
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// startFakeUpstream runs a fake primary that answers every statement.
func startFakeUpstream(t *testing.T) string { return startUpstream(t, serveFakeUpstream) }

// startUpstream runs a stand-in upstream with a function that serves one connection. It
// returns the address.
func startUpstream(t *testing.T, serve func(conn net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// signatures counts the executions of all stand-in upstreams.
var signatures atomic.Int64

// newSignature returns the signature of one execution, which no other has.
func newSignature() string { return fmt.Sprintf("sig.%d", signatures.Add(1)) }

func serveFakeUpstream(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	state := "I"
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		switch {
		case first:
			_, err = fmt.Fprint(conn, "READY I 1.7\r\n")
		case strings.Contains(line, " BEGIN"):
			state = "T"
			_, err = fmt.Fprint(conn, "COMPLETE -\r\nREADY T 1.7\r\n")
		case strings.Contains(line, " ROLLBACK"), strings.Contains(line, " RESET"):
			state = "I"
			_, err = fmt.Fprint(conn, "COMPLETE -\r\nREADY I 1.7\r\n")
		default:
			_, err = fmt.Fprintf(conn, "ROW one\r\nCOMPLETE %s\r\nREADY %s 1.7\r\n", newSignature(), state)
		}
		if err != nil {
			return
		}
	}
}

// startServingFleet starts three control hosts and an entry host, and waits until it
// serves callers of one upstream. ready is the URL of its readiness probe.
func startServingFleet(t *testing.T) (f *fleet, entry *hostProcess, ready string) {
	f = newFleet(t)
	for _, ip := range []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"} {
		f.start("control", ip)
	}
	entry = f.start("entry", "127.0.0.5")
	control := "http://" + f.address("127.0.0.3", portControl)
	configuration := `{"version":3,"routes":[{"name":"r","host":"db","path_prefix":"/","type":"primary","timeout_ms":2000,"service":"s"}],
"services":[{"name":"s","max_conns":20}],"tenants":[{"name":"t","api_keys":["k"],"rate_per_s":1000,"burst":1000}]}`
	f.waitFor("the configuration's acknowledgement", func() bool { return call("PUT", control+"/config", configuration) == 200 })
	qt.Assert(t, call("PUT", control+"/config", configuration[:40]), qt.Equals, 400)
	f.waitFor("the configuration", func() bool { return call("GET", control+"/config", "") == 200 })
	heartbeat := fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":4,"state":"ready","db_role":"primary","seq":1,"born":5}`, startFakeUpstream(t))
	f.waitFor("the heartbeat's acknowledgement", func() bool { return call("PUT", control+"/instances/i-1", heartbeat) == 200 })
	ready = "http://" + f.address(entry.ip, portReady) + "/ready"
	f.waitFor("readiness", func() bool { return call("GET", ready, "") == 200 })
	return f, entry, ready
}

// TestFleetOfProcesses runs three control hosts and an entry host as processes.
// It submits a configuration and an upstream, serves a caller, changes the seeds
// with SIGHUP, and stops the entry host with SIGTERM.
func TestFleetOfProcesses(t *testing.T) {
	f, entry, ready := startServingFleet(t)
	conn, err := net.Dial("tcp", f.address(entry.ip, portCaller))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	r := bufio.NewReader(conn)
	_, err = fmt.Fprint(conn, "STARTUP db k\r\nQUERY a1 READ x\r\n")
	qt.Assert(t, err, qt.IsNil)
	// The proxy wraps the read in its own transaction, which must not be visible
	// to callers.
	for _, want := range []string{"READY I -", "ROW one", `COMPLETE sig\.\d+`, `READY I 1\.7`} {
		line, err := r.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, strings.TrimSpace(line), qt.Matches, want)
	}
	qt.Assert(t, call("GET", "http://"+f.address(entry.ip, portMetrics)+"/metrics", ""), qt.Equals, 200)
	qt.Assert(t, call("GET", "http://"+f.address("127.0.0.2", portMetrics)+"/metrics", ""), qt.Equals, 200)
	explained, err := exec.Command(f.program, "route-explain", "--address", f.address(entry.ip, portMetrics), "--route", "db", "--organisation", "t").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", explained))
	qt.Assert(t, string(explained), qt.Contains, `"upstream": "i-1"`)
	explained, err = exec.Command(f.program, "route-explain", "--address", f.address(entry.ip, portMetrics), "--route", "missing").CombinedOutput()
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", explained))

	f.writeSettings(entry, "127.0.0.4")
	qt.Assert(t, entry.cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	f.waitFor("the new seeds", func() bool {
		body, err := os.ReadFile(entry.log)
		return err == nil && strings.Contains(string(body), `"settings_read"`)
	})
	qt.Assert(t, entry.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	f.waitFor("the end of readiness", func() bool { return call("GET", ready, "") != 200 })
	state, err := entry.cmd.Process.Wait()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state.ExitCode(), qt.Equals, 0)
}

// A hang-up tells of changed settings. While a process shuts down it must not end it:
// callers whose requests were taken would get no answer.
func TestHangUpDuringAShutdownCutsNobody(t *testing.T) {
	f, entry, _ := startServingFleet(t)
	conn, err := net.Dial("tcp", f.address(entry.ip, portCaller))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	r := bufio.NewReader(conn)
	query := func(text, want string) {
		_, err := fmt.Fprintf(conn, "%s\r\n", text)
		qt.Assert(t, err, qt.IsNil)
		for {
			line, err := r.ReadString('\n')
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
			if strings.HasPrefix(line, "READY") {
				qt.Assert(t, strings.TrimSpace(line), qt.Equals, want)
				return
			}
		}
	}
	query("STARTUP db k", "READY I -")
	query("QUERY a1 BEGIN", "READY T -")
	query("QUERY a2 READ x", "READY T 1.7")
	qt.Assert(t, entry.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	f.waitFor("the shutdown", func() bool {
		body, err := os.ReadFile(entry.log)
		return err == nil && strings.Contains(string(body), `"process_draining"`)
	})
	qt.Assert(t, entry.cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	f.waitFor("the settings to be read again", func() bool {
		body, err := os.ReadFile(entry.log)
		return err == nil && strings.Contains(string(body), `"settings_read"`)
	})
	query("QUERY a3 READ x", "READY T 1.7")
	query("QUERY a4 ROLLBACK", "READY I -")
	state, err := entry.cmd.Process.Wait()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state.ExitCode(), qt.Equals, 0)
}

func TestBadSettings(t *testing.T) {
	f := newFleet(t)
	path := filepath.Join(f.dir, "bad.toml")
	qt.Assert(t, os.WriteFile(path, []byte("node = 7\n"), 0o600), qt.IsNil)
	for _, config := range []string{path, filepath.Join(f.dir, "missing.toml")} {
		cmd := exec.Command(f.program, "--config", config, "entry")
		out, _ := cmd.CombinedOutput()
		qt.Assert(t, cmd.ProcessState.ExitCode(), qt.Equals, exitUsage)
		qt.Assert(t, string(out), qt.Contains, "settings")
	}
}
