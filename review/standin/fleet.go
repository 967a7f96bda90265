package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the project's own program, as the deploy file builds it.
const program = "target/shallotstage-host"

// The zones of the small deployment that the cases use, and their regions.
var zoneNames = []string{"regina-a", "winnipeg-a", "saskatoon-a"}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: file, begin: time.Now()}, nil
}

// logf writes one line with the time since the start.
func (r *record) logf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, arguments...))
}

// host is one host of the fleet: a process of the project's program with a loopback
// address of its own.
type host struct {
	role, ip, zone string
	extra          string
	cmd            *exec.Cmd
	starts         int
	exited         chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record *record
	dir    string
	// base is the first of the five ports that all hosts use on their own address.
	base int
	// platform is the address of the stand-in of the platform's API.
	platform string
	// fencing is the value of require_fencing.
	fencing bool
	seeds   []string
	hosts   []*host
}

func newFleet(r *record, addressCount int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	f := &fleet{record: r, dir: dir, platform: "127.0.0.1:1", fencing: true}
	for f.base = 21000 + os.Getpid()%9000; !portsFree(f.base, addressCount); f.base += 10 {
		if f.base > 32000 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	return f, nil
}

func portsFree(base, addressCount int) bool {
	for port := base; port < base+5; port++ {
		for i := range addressCount {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", 2+i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (h *host) name() string { return h.role + "-" + h.ip }

func (f *fleet) controlAddress(h *host) string { return fmt.Sprintf("%s:%d", h.ip, f.base+2) }
func (f *fleet) frontAddress(h *host) string   { return fmt.Sprintf("%s:%d", h.ip, f.base+3) }
func (f *fleet) readyAddress(h *host) string   { return fmt.Sprintf("%s:%d", h.ip, f.base+4) }

// add adds a host without starting it.
func (f *fleet) add(role, zone string) *host {
	h := &host{role: role, ip: fmt.Sprintf("127.0.0.%d", 2+len(f.hosts)), zone: zone}
	f.hosts = append(f.hosts, h)
	if role == "control" && len(f.seeds) < 3 {
		f.seeds = append(f.seeds, f.controlAddress(h))
	}
	return h
}

// settings returns the settings file of a host. The bounds are those of the sheet of the
// small deployment pmsaa-audit.
func (f *fleet) settings(h *host) string {
	listen, class, data := "", "front", ""
	if h.role == "control" {
		class = "core"
		listen = fmt.Sprintf("control = %q\n", f.controlAddress(h))
		data = fmt.Sprintf("data_dir = %q\n", filepath.Join(f.dir, h.ip))
	} else {
		listen = fmt.Sprintf("front = %q\nready = %q\n", f.frontAddress(h), f.readyAddress(h))
	}
	return fmt.Sprintf(settingsText, h.name(), h.role, class, map[string]string{"front": "front", "core": "control"}[class], h.ip, h.zone, regionOf(h.zone), f.base, f.base+1,
		strings.Join(f.seeds, `","`), h.starts == 0 && h.role == "control", h.role == "control", data, listen, f.fencing, f.platform)
}

func regionOf(zone string) string {
	if zone == "winnipeg-a" {
		return "manitoba"
	}
	return "sask"
}

// start starts a host's process with the command of the deploy file.
func (f *fleet) start(h *host) error {
	path := filepath.Join(f.dir, h.ip+".toml")
	if err := os.WriteFile(path, []byte(f.settings(h)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.ip+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	h.cmd = exec.Command(program, h.role)
	h.cmd.Env = []string{"SHALLOTSTAGE_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name(), err)
	}
	h.starts++
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(h.cmd, h.exited)
	f.record.logf("started %s, start %d", h.name(), h.starts)
	return nil
}

// kill kills a host's process and waits for its end.
func (f *fleet) kill(h *host) {
	f.record.logf("SIGKILL %s", h.name())
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.exited
}

func (f *fleet) signal(h *host, s syscall.Signal) {
	f.record.logf("signal %d to %s", s, h.name())
	_ = h.cmd.Process.Signal(s)
}

// end kills all processes and removes the folder of the fleet.
func (f *fleet) end() {
	for _, h := range f.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// waitFor polls until ok returns true.
func waitFor(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for %s", what)
}
