package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/internal/operator"
	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// processBound bounds every wait for something that processes bring about.
const processBound = 40 * time.Second

// fleet is a fleet of separate processes.
type fleet struct {
	c       *qt.C
	binary  string
	dir     string
	certs   string
	running map[string]*exec.Cmd

	controls []string
	links    map[string]string
	pages    map[string]string
	callers  map[string]string
	// announce and reported are the arguments with the entry hosts' pages.
	announce  []string
	reported  []string
	initial   string
	operators string
	// controlArgs are further arguments of every control host.
	controlArgs []string
}

func newFleet(t *testing.T) *fleet {
	c := qt.New(t)
	f := &fleet{
		c: c, dir: t.TempDir(), running: map[string]*exec.Cmd{}, controls: []string{"control-1", "control-2", "control-3"},
		links: map[string]string{}, pages: map[string]string{}, callers: map[string]string{}, controlArgs: []string{"--lease", "1s"},
	}
	f.binary = filepath.Join(f.dir, "shallotstage")
	out, err := exec.Command("go", "build", "-o", f.binary, "../..").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	f.certs = filepath.Join(f.dir, "certificates")
	names := []string{"control-1", "control-2", "control-3", "control-4", "entry-1", "entry-2"}
	out, err = exec.Command(f.binary, append([]string{"certificate", "--dir", f.certs}, names...)...).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	t.Cleanup(func() {
		for _, cmd := range f.running {
			_ = cmd.Process.Kill()
			_, _ = cmd.Process.Wait()
		}
	})
	return f
}

// start runs a process and returns the first line of its output when wanted.
func (f *fleet) start(name string, firstLine bool, args ...string) string {
	cmd := exec.Command(f.binary, args...)
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	f.c.Assert(err, qt.IsNil)
	cmd.Stderr = log
	line := ""
	if firstLine {
		out, err := cmd.StdoutPipe()
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(cmd.Start(), qt.IsNil)
		line, err = bufio.NewReader(out).ReadString('\n')
		f.c.Assert(err, qt.IsNil)
	} else {
		f.c.Assert(cmd.Start(), qt.IsNil)
	}
	f.running[name] = cmd
	return line
}

// kill ends a process without a warning.
func (f *fleet) kill(name string) {
	f.c.Assert(f.running[name].Process.Signal(syscall.SIGKILL), qt.IsNil)
	_, _ = f.running[name].Process.Wait()
	delete(f.running, name)
}

func (f *fleet) link(name string) []string {
	return []string{
		"--link-cert", filepath.Join(f.certs, name+".crt"), "--link-key", filepath.Join(f.certs, name+".key"),
		"--link-authority", filepath.Join(f.certs, "authority.crt"),
	}
}

// nextPort is the last port that freeAddress gave out. The ports lie below those
// that the system gives to outgoing connections, which could otherwise take the
// port of a process while it is down.
var nextPort atomic.Uint32

const (
	firstPort = 20000
	lastPort  = 32000
)

// freeAddress returns an address that nobody listens on and that is given out
// once.
func (f *fleet) freeAddress() string {
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	f.c.Fatal("no free port")
	return ""
}

func (f *fleet) writeJSON(name string, v any) string {
	body, err := json.Marshal(v)
	f.c.Assert(err, qt.IsNil)
	file := filepath.Join(f.dir, name)
	f.c.Assert(os.WriteFile(file, body, 0o600), qt.IsNil)
	return file
}

// eventually repeats f until it returns nil.
func (f *fleet) eventually(try func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), processBound)
	defer cancel()
	for {
		err := try(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			f.c.Fatalf("not in %s: %v", processBound, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// startControls starts the control hosts of a new fleet.
func (f *fleet) startControls() {
	verifier, err := authenticator.NewVerifier("secret")
	f.c.Assert(err, qt.IsNil)
	f.initial = f.writeJSON("initial.json", initialConfiguration{
		Organisations: []configurer.Organisation{{ID: "prairie_1", Rate: 1000, Burst: 1000}},
		Keys:          []configurer.Key{{ID: "key_1", Organisation: "prairie_1", Verifier: verifier}},
		Routes:        []configurer.Route{{ID: "audit", Group: "ledger"}},
	})
	f.operators = f.writeJSON("operators.json", []operator.Credential{
		{Operator: "vesna", TokenSHA256: operator.Digest("v")}, {Operator: "marko", TokenSHA256: operator.Digest("m")},
	})
	for _, id := range f.controls {
		f.links[id], f.pages[id] = f.freeAddress(), f.freeAddress()
	}
	for _, id := range f.controls {
		f.startControl(id)
	}
}

// startControl starts a control host.
func (f *fleet) startControl(id string, more ...string) {
	args := []string{
		"control", "--id", id, "--data", filepath.Join(f.dir, id), "--links", f.links[id], "--operators", f.pages[id],
		"--initial", f.initial, "--credentials", f.operators, "--platform-token", "p",
	}
	for _, other := range f.controls {
		if other != id {
			args = append(args, "--peer", other+"="+f.links[other])
		}
	}
	args = slices.Concat(args, f.controlArgs, f.link(id), more)
	f.start(id, false, args...)
}

// startEntry starts an entry host.
func (f *fleet) startEntry(id string) {
	f.callers[id] = f.freeAddress()
	page := f.freeAddress()
	f.announce = append(f.announce, "--announce", "http://"+page)
	f.reported = append(f.reported, "--host", "http://"+page)
	args := []string{
		"serve", "--host", id, "--data-centre", "regina-a", "--region", "sask", "--callers", f.callers[id], "--pages", page,
		"--peers", f.freeAddress(), "--upstream-user", "shallotstage", "--upstream-password", "pw", "--announce-token", "p",
		"--hosts-per-upstream", "2",
	}
	for _, ctl := range f.controls {
		args = append(args, "--control", f.links[ctl])
	}
	f.start(id, false, append(args, f.link(id)...)...)
}

// startUpstreams starts a primary and two replicas.
func (f *fleet) startUpstreams() {
	platform := ""
	for i := range 3 {
		args := []string{
			"upstream", "--id", fmt.Sprintf("ledger-%d", i), "--group", "ledger", "--data-centre", "regina-a", "--region", "sask",
			"--password", "pw", "--platform-token", "p", "--lag", "5ms",
		}
		if i == 0 {
			args = append(args, "--primary")
		} else {
			args = append(args, "--follow", platform)
		}
		line := f.start(fmt.Sprintf("ledger-%d", i), true, append(args, f.announce...)...)
		var addresses struct{ SQL, Platform string }
		f.c.Assert(json.Unmarshal([]byte(line), &addresses), qt.IsNil)
		if i == 0 {
			platform = addresses.Platform
		}
	}
}

// try returns a function that runs a statement through an entry host.
func (f *fleet) try(entry, sql string) func(context.Context) error {
	return func(ctx context.Context) error {
		conn, err := pgx.Connect(ctx, "postgres://key_1:secret@"+f.callers[entry]+"/audit?sslmode=disable")
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(ctx) }()
		_, err = conn.Exec(ctx, sql)
		return err
	}
}

// operator returns an operator's client that asks the given control hosts, or
// all.
func (f *fleet) operator(token string, controls ...string) *operator.Client {
	o := &operator.Client{Token: token}
	if len(controls) == 0 {
		controls = f.controls
	}
	for _, id := range controls {
		o.Addresses = append(o.Addresses, "http://"+f.pages[id])
	}
	return o
}

// leader returns the control host that answers the operators.
func (f *fleet) leader() string {
	leader := ""
	f.eventually(func(ctx context.Context) error {
		for _, id := range f.controls {
			if _, err := f.operator("v", id).Record(ctx, "fleet"); err == nil {
				leader = id
				return nil
			}
		}
		return errors.New("no control host leads")
	})
	return leader
}
