package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	recoverySeed    = flag.Uint64("recovery-seed", 1, "random seed of the faults of control hosts")
	recoverySeeds   = flag.Uint64("recovery-seeds", 1, "number of seeds, from -recovery-seed on")
	recoveryEntries = flag.Int("recovery-entries", 6, "number of entry hosts beside six control hosts")
	recoveryFaults  = flag.String("recovery-faults", "killed,wiped,acknowledged,leaders", "faults of control hosts, in this order; frozen, fleet, half, late and upstart are others")
	recoveryLogs    = flag.String("recovery-logs", "", "directory for the logs of a run that fails")
)

// recoveryFault runs a fault and returns the time without faults after which the configuration
// must be readable.
type recoveryFault func(f *recoveryFleet) time.Duration

var recoveryFaultsByName = map[string]recoveryFault{
	"killed": func(f *recoveryFleet) time.Duration {
		f.kill(f.controls...)
		f.startAgain("control", f.controls)
		return 2 * stableWindow
	},
	"wiped": func(f *recoveryFleet) time.Duration {
		f.kill(f.controls...)
		lost := f.rnd.Perm(recoveryControls)
		f.wipe(f.controls[lost[0]], f.controls[lost[1]])
		f.startAgain("control", f.controls)
		return 2 * stableWindow
	},
	"frozen": func(f *recoveryFleet) time.Duration {
		for range 8 {
			order := f.rnd.Perm(recoveryControls)
			hosts := make([]*hostProcess, 0, 2)
			for _, i := range order[:1+f.rnd.IntN(2)] {
				hosts = append(hosts, f.controls[i])
			}
			f.freeze(time.Duration(200+f.rnd.IntN(1300))*time.Millisecond, hosts...)
		}
		return stableWindow
	},
	"fleet": func(f *recoveryFleet) time.Duration {
		f.kill(append(append([]*hostProcess(nil), f.controls...), f.entries...)...)
		f.startAgain("control", f.controls)
		f.startAgain("entry", f.entries)
		return 2 * stableWindow
	},
	"acknowledged": func(f *recoveryFleet) time.Duration {
		f.waitFor("an acknowledgement", f.write)
		f.kill(f.controls...)
		lost := f.rnd.Perm(recoveryControls)
		f.wipe(f.controls[lost[0]], f.controls[lost[1]])
		f.startAgain("control", f.controls)
		return 2 * stableWindow
	},
	// leaders kills one host after the other, the next just after the last is back.
	"leaders": func(f *recoveryFleet) time.Duration {
		for range 8 {
			i := f.rnd.IntN(recoveryControls)
			f.kill(f.controls[i])
			f.startAgain("control", f.controls[i:i+1])
			time.Sleep(time.Duration(f.rnd.IntN(700)) * time.Millisecond)
		}
		return stableWindow
	},
	// half freezes all but two hosts, whose terms may rise.
	"half": func(f *recoveryFleet) time.Duration {
		f.freeze(4*time.Second, f.controls[2:]...)
		return 2 * stableWindow
	},
	// late starts hosts again one after the other, those without a disk first.
	"late": func(f *recoveryFleet) time.Duration {
		f.kill(f.controls...)
		f.wipe(f.controls[:2]...)
		for i := range f.controls {
			f.startAgain("control", f.controls[i:i+1])
			time.Sleep(time.Duration(f.rnd.IntN(1500)) * time.Millisecond)
		}
		return 2 * stableWindow
	},
	// upstart wipes a host while the others run, twice in a row.
	"upstart": func(f *recoveryFleet) time.Duration {
		for range 2 {
			i := f.rnd.IntN(recoveryControls)
			f.kill(f.controls[i])
			f.wipe(f.controls[i])
			f.startAgain("control", f.controls[i:i+1])
			time.Sleep(stableWindow)
		}
		return stableWindow
	},
}

// disturb runs a fault, waits until the configuration is readable, and watches it for a while.
func (f *recoveryFleet) disturb(name string) {
	f.noteCalm(time.Time{})
	bound := recoveryFaultsByName[name](f)
	end := time.Now()
	f.noteCalm(end)
	took, readable := f.readableAfter(end)
	for !readable && took < waitTimeout {
		time.Sleep(20 * time.Millisecond)
		took, readable = f.readableAfter(end)
	}
	f.t.Logf("%s: readable %s after the last fault (%t), %s after its end", name, took.Round(time.Millisecond), readable, time.Since(end).Round(time.Millisecond))
	if took > bound {
		f.violate("%s: not readable within %s without faults, but after %s (readable: %t)", name, bound, took.Round(time.Millisecond), readable)
	}
	time.Sleep(2 * time.Second)
}

// TestConfigurationIsReadableOnceControlHostsAreStable fails if the acknowledged configuration
// cannot be read, or comes back older or changed, after faults of control hosts.
//
//	go test ./cmd/shallotstage-host -run ConfigurationIsReadable -args -recovery-entries 50 -recovery-faults killed,wiped,frozen,fleet,acknowledged,leaders,half,late,upstart
func TestConfigurationIsReadableOnceControlHostsAreStable(t *testing.T) {
	for i := range *recoverySeeds {
		runRecovery(t, *recoverySeed+i)
	}
}

func runRecovery(t *testing.T, seed uint64) {
	f := newRecoveryFleet(t, seed, *recoveryEntries)
	for _, name := range strings.Split(*recoveryFaults, ",") {
		f.disturb(name)
	}
	f.end()
	for _, p := range f.entries {
		f.kill(p)
	}
	f.kill(f.controls...)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calmGap > stableWindow+f.longestSync {
		f.violations = append(f.violations, fmt.Sprintf("not readable for %s without faults", f.calmGap))
	}
	t.Logf("seed %d: %d versions sent, %d reads, longest time without a readable configuration %s, %s without faults after it was readable; %d slow syncs, the longest took %s",
		seed, f.sent, f.reads, f.gap.Round(time.Millisecond), f.calmGap.Round(time.Millisecond), f.slowSyncs, f.longestSync.Round(time.Millisecond))
	qt.Assert(t, f.violations, qt.HasLen, 0)
}

// keepLogs copies the logs of control hosts if the test failed.
func (f *recoveryFleet) keepLogs(seed uint64) {
	if !f.t.Failed() || *recoveryLogs == "" {
		return
	}
	f.t.Logf("%d slow syncs, the longest took %s", f.slowSyncs, f.longestSync)
	for _, p := range f.controls {
		body, err := os.ReadFile(p.log)
		qt.Check(f.t, err, qt.IsNil)
		qt.Check(f.t, os.WriteFile(filepath.Join(*recoveryLogs, fmt.Sprintf("%d-%s.log", seed, p.ip)), body, 0o600), qt.IsNil)
	}
}
