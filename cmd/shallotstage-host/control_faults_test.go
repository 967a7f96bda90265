package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// controlHostCount is five voters and a spare.
	controlHostCount = 6
	entryHostCount   = 24
	// calmBeforeReads is the time after the end of a fault by which an operator gets the
	// configuration.
	calmBeforeReads = 6 * time.Second
)

// controlFaults is a fleet whose control hosts fail together.
type controlFaults struct {
	*fleet
	controls, entries []*hostProcess
}

func startControlFaults(t *testing.T) *controlFaults {
	f := &controlFaults{fleet: newFleetOfSize(t, controlHostCount+entryHostCount)}
	for i := range controlHostCount {
		f.controls = append(f.controls, f.startAdjusted("control", fmt.Sprintf("127.0.0.%d", 2+i), f.fiveVoters(true)))
	}
	for i := range entryHostCount {
		f.entries = append(f.entries, f.startAdjusted("entry", fmt.Sprintf("127.0.0.%d", 2+controlHostCount+i), f.fiveVoters(false)))
	}
	configuration := `{"version":3,"routes":[{"name":"r","host":"db","path_prefix":"/","type":"primary","timeout_ms":2000,"service":"s"}],
"services":[{"name":"s","max_conns":20}],"tenants":[{"name":"t","api_keys":["k"],"rate_per_s":1000,"burst":1000}]}`
	f.waitFor("the configuration's acknowledgement", func() bool {
		return call("PUT", "http://"+f.address(f.controls[1].ip, portControl)+"/config", configuration) == 200
	})
	return f
}

// fiveVoters names five seeds, and sets whether the host founds the fleet.
func (f *controlFaults) fiveVoters(bootstrap bool) func(string) string {
	return func(settings string) string {
		var seeds []string
		for i := range 5 {
			seeds = append(seeds, `"`+f.address(fmt.Sprintf("127.0.0.%d", 2+i), portControl)+`"`)
		}
		lines := strings.Split(settings, "\n")
		for i, line := range lines {
			switch {
			case strings.HasPrefix(line, "seeds = "):
				lines[i] = "seeds = [" + strings.Join(seeds, ",") + "]"
			case strings.HasPrefix(line, "machines = "):
				lines[i] = "machines = 2"
			case strings.HasPrefix(line, "bootstrap = "):
				lines[i] = fmt.Sprintf("bootstrap = %t", bootstrap)
			}
		}
		return strings.Join(lines, "\n")
	}
}

// restart kills hosts at the same moment and starts them again. Those in wiped come back
// with an empty data folder.
func (f *controlFaults) restart(hosts []*hostProcess, wiped map[string]bool) {
	for _, p := range hosts {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range hosts {
		_, _ = p.cmd.Process.Wait()
		role := "entry"
		if slices.Contains(f.controls, p) {
			role = "control"
		}
		adjust := p.adjust
		if wiped[p.ip] {
			qt.Assert(f.t, os.RemoveAll(filepath.Join(f.dir, p.ip)), qt.IsNil)
			adjust = f.fiveVoters(false)
		}
		*p = *f.startAdjusted(role, p.ip, adjust)
	}
}

// signal sends a signal to hosts.
func (f *controlFaults) signal(s syscall.Signal, hosts ...*hostProcess) {
	for _, p := range hosts {
		qt.Assert(f.t, p.cmd.Process.Signal(s), qt.IsNil)
	}
}

// lastLine returns the last line of a host's log that contains text.
func lastLine(p *hostProcess, text string) string {
	body, _ := os.ReadFile(p.log)
	i := strings.LastIndex(string(body), text)
	if i < 0 {
		return ""
	}
	line, _, _ := strings.Cut(string(body[i:]), "\n")
	return line
}

// member returns the ID of a control host in the consensus group.
func (f *controlFaults) member(p *hostProcess) string {
	_, id, _ := strings.Cut(lastLine(p, `"process_started"`), `"member":"`)
	id, _, _ = strings.Cut(id, `"`)
	qt.Assert(f.t, id, qt.Not(qt.Equals), "")
	return id
}

// voters returns the newest voters that a control host has applied.
func (f *controlFaults) voters() []string {
	var newest struct {
		Index  int
		Voters []string
	}
	for _, p := range f.controls {
		next := newest
		_, line, _ := strings.Cut(lastLine(p, `"control_members_changed"`), ",")
		if json.Unmarshal([]byte("{"+line), &next) == nil && next.Index > newest.Index {
			newest = next
		}
	}
	return newest.Voters
}

// isReadable reports whether a control host answers with the configuration.
func (f *controlFaults) isReadable() bool {
	client := http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, p := range f.controls {
		r, err := client.Get("http://" + f.address(p.ip, portControl) + "/config")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// checkReadable waits until the configuration can be read, and fails if that is not within
// the stable window.
func (f *controlFaults) checkReadable(fault string) {
	begun := time.Now()
	f.waitFor("the configuration after "+fault, f.isReadable)
	took := time.Since(begun)
	f.t.Logf("%s: readable after %s", fault, took.Round(time.Millisecond))
	qt.Check(f.t, took < calmBeforeReads, qt.IsTrue, qt.Commentf("%s: %s", fault, took))
}

// The configuration could not be read after faults of all control hosts at once.
func TestConfigurationIsReadableAfterFaultsOfAllControlHosts(t *testing.T) {
	f := startControlFaults(t)
	f.checkReadable("the start")
	for round := range 3 {
		f.restart(f.controls, nil)
		f.checkReadable("a kill of all control hosts")
		f.restart(append(append([]*hostProcess(nil), f.controls...), f.entries...), nil)
		f.checkReadable("a kill of all hosts")
		lost := []*hostProcess{f.controls[round], f.controls[(round+2)%5]}
		ids := []string{f.member(lost[0]), f.member(lost[1])}
		f.restart(f.controls, map[string]bool{lost[0].ip: true, lost[1].ip: true})
		f.checkReadable("a loss of two disks and of all power")
		f.waitFor("the replacement of the lost voters", func() bool {
			voters := f.voters()
			return len(voters) == 5 && !slices.Contains(voters, ids[0]) && !slices.Contains(voters, ids[1])
		})
		f.signal(syscall.SIGSTOP, f.controls...)
		<-time.After(2 * time.Second)
		f.signal(syscall.SIGCONT, f.controls...)
		f.checkReadable("a freeze of all control hosts")
		f.restart(f.controls[:3], nil)
		f.checkReadable("a kill of a quorum")
	}
}
