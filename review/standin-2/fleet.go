package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The deployment: that of the small sites.
const (
	controlCount = 3
	frontCount   = 6
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// host is one process of the system under review.
type host struct {
	role, name, ip, zone string
	settings             string
	cmd                  *exec.Cmd
	log                  *os.File
}

// fleet is the system under review: separate processes on loopback addresses.
type fleet struct {
	rec      *record
	dir      string
	program  string
	port     int
	platform string
	controls []*host
	fronts   []*host
}

// The ports of a host, counted from fleet.port. The first and the second are internal.
const (
	portInternal = 0
	portControl  = 16
	portFront    = 17
	portReady    = 18
	portsOfHost  = 19
)

func (f *fleet) address(h *host, port int) string {
	return net.JoinHostPort(h.ip, fmt.Sprint(f.port+port))
}

// newFleet prepares the hosts. It starts none.
func newFleet(rec *record, dir, platform string) (*fleet, error) {
	f := &fleet{rec: rec, dir: dir, platform: platform}
	var err error
	if f.program, err = filepath.Abs("target/shallotstage-host"); err != nil {
		return nil, err
	}
	if _, err := os.Stat(f.program); err != nil {
		return nil, err
	}
	for i := range controlCount {
		f.controls = append(f.controls, &host{role: "control", name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("127.91.1.%d", i+1), zone: zones[i%len(zones)]})
	}
	for i := range frontCount {
		f.fronts = append(f.fronts, &host{role: "entry", name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.91.2.%d", i+1), zone: zones[i%len(zones)]})
	}
	for try := range 200 {
		f.port = 21000 + (os.Getpid()*31+try*41)%20000
		if f.portsAreFree() {
			return f, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (f *fleet) hosts() []*host { return append(append([]*host(nil), f.controls...), f.fronts...) }

func (f *fleet) portsAreFree() bool {
	for _, h := range f.hosts() {
		for _, p := range []int{portInternal, portInternal + 1, portControl, portFront, portReady} {
			l, err := net.Listen("tcp", f.address(h, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settingsOf returns the settings file of a host, with the bounds of the small sites.
func (f *fleet) settingsOf(h *host) string {
	var seeds []string
	for _, c := range f.controls {
		seeds = append(seeds, `"`+f.address(c, portControl)+`"`)
	}
	class, serves, listen, limits, disk, counts := "front", "front", fmt.Sprintf("front = %q\nready = %q\n", f.address(h, portFront), f.address(h, portReady)), "cpu_share = 0.4\nmemory_mb = 284\nmax_fds = 4300\ndisk_mb = 0", "", "false"
	if h.role == "control" {
		class, serves, listen, limits, counts = "core", "control", fmt.Sprintf("control = %q\n", f.address(h, portControl)), "cpu_share = 0.48\nmemory_mb = 280\nmax_fds = 4096\ndisk_mb = 128", "true"
		disk = fmt.Sprintf("data_dir = %q\n", filepath.Join(f.dir, h.name))
	}
	return fmt.Sprintf(settingsText, h.name, h.role, class, serves, h.ip, h.zone, f.port+portInternal, f.port+portInternal+15, strings.Join(seeds, ","), counts, disk, listen, limits, drainTime.Milliseconds(), f.platform)
}

// start starts a host with the command of the deploy file.
func (f *fleet) start(h *host) error {
	h.settings = filepath.Join(f.dir, h.name+".toml")
	if err := os.WriteFile(h.settings, []byte(f.settingsOf(h)), 0o600); err != nil {
		return err
	}
	var err error
	if h.log, err = os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	h.cmd = exec.Command(f.program, h.role)
	h.cmd.Env = []string{"SHALLOTSTAGE_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.cmd.Start()
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	for _, h := range f.hosts() {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			_, _ = h.cmd.Process.Wait()
			h.cmd = nil
		}
		if h.log != nil {
			_ = h.log.Close()
		}
	}
}

// waitReady waits until all fronts are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range f.fronts {
			if status, _, _ := call("GET", "http://"+f.address(h, portReady)+"/ready", ""); status == 200 {
				ready++
			}
		}
		if ready == len(f.fronts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d fronts are ready", ready, len(f.fronts))
		}
	}
}
