package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The deployment and its bounds.
const (
	recoveryControls  = 6
	recoveryUpstreams = 24
	recoveryPoll      = 100 * time.Millisecond
	recoveryWrites    = 300 * time.Millisecond
	// stableWindow is the time without faults after which the configuration must be
	// readable. After a fault of most control hosts it is twice as long.
	stableWindow = 6 * time.Second
	// slowSync is the time from which a sync of the disk counts as a fault of it, as no bound
	// holds on machines whose disks are disturbed.
	slowSync = 500 * time.Millisecond
	// maxControlStartGap is the time within which hosts that lost power together start.
	maxControlStartGap = 300 * time.Millisecond
)

// recoveryFleet is a fleet whose configuration is written and read while control hosts fail.
type recoveryFleet struct {
	*fleet
	rnd      *rand.Rand
	controls []*hostProcess
	entries  []*hostProcess
	stop     chan struct{}
	wg       sync.WaitGroup

	mu sync.Mutex
	// sent is the latest version that was sent, acknowledged the latest acknowledged one.
	sent, acknowledged int
	acknowledgedAt     time.Time
	// lastRead is when a configuration was last read from any control host, calmSince when
	// the last fault ended; zero during a fault.
	lastRead, calmSince time.Time
	reads               int
	// gap is the longest time without a readable configuration since the beginning, calmGap
	// the longest in a calm stretch in which it had been readable.
	gap, calmGap time.Duration
	// slowSyncs counts the syncs of the test's own disk that took longer than slowSync, of which
	// the last ended at slowUntil; longestSync is the longest. syncBegan is when the present one
	// began; zero between syncs.
	slowSyncs   int
	slowUntil   time.Time
	syncBegan   time.Time
	longestSync time.Duration
	violations  []string
}

// newRecoveryFleet starts control hosts, entry hosts, announcements, a writer and readers.
func newRecoveryFleet(t *testing.T, seed uint64, entries int) *recoveryFleet {
	f := &recoveryFleet{fleet: newFleetOfSize(t, recoveryControls+entries), rnd: rand.New(rand.NewPCG(seed, 3)), stop: make(chan struct{})}
	f.wg.Go(f.keepSyncing)
	t.Cleanup(func() { f.keepLogs(seed) })
	t.Cleanup(f.end)
	for i := range recoveryControls {
		f.controls = append(f.controls, f.startAdjusted("control", soakIP(i), f.settingsOf(i, true)))
	}
	for i := range entries {
		f.entries = append(f.entries, f.startAdjusted("entry", soakIP(recoveryControls+i), f.settingsOf(i, true)))
	}
	f.waitFor("the first configuration", f.write)
	f.waitFor("a readable configuration", func() bool { return f.read(0) })
	f.wg.Go(f.keepWriting)
	f.wg.Go(f.keepAnnouncing)
	for i := range recoveryControls {
		f.wg.Go(func() { f.keepReading(i) })
	}
	return f
}

// end stops the writer and the readers.
func (f *recoveryFleet) end() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.wg.Wait()
}

// settingsOf returns the change of the settings of host i.
func (f *recoveryFleet) settingsOf(i int, bootstrap bool) func(settings string) string {
	zones := []string{"a", "b", "c", "d", "e", "g"}
	return func(settings string) string {
		settings = strings.Replace(settings, `zone = "a"`, fmt.Sprintf("zone = %q", zones[i%len(zones)]), 1)
		settings = strings.Replace(settings, "c = \"r\"\n", "c = \"r\"\nd = \"r\"\ne = \"r\"\ng = \"r\"\n", 1)
		settings = strings.Replace(settings, "machines = 1", "machines = 2", 1)
		return strings.Replace(settings, "bootstrap = true", fmt.Sprintf("bootstrap = %t", bootstrap), 1)
	}
}

func (f *recoveryFleet) isStopped(pause time.Duration) bool {
	select {
	case <-f.stop:
		return true
	case <-time.After(pause):
		return false
	}
}

// configuration returns the configuration with a version, which its key repeats.
func (f *recoveryFleet) configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"db","path_prefix":"/","type":"primary","timeout_ms":2000,"service":"s"}],"services":[{"name":"s","max_conns":60}],"tenants":[{"name":"t","api_keys":["key-%d"],"rate_per_s":1000,"burst":1000}]}`, version, version)
}

// write sends the next version to control hosts until one acknowledges it.
func (f *recoveryFleet) write() bool {
	f.mu.Lock()
	f.sent++
	version := f.sent
	f.mu.Unlock()
	for i := range recoveryControls {
		status := call("PUT", f.controlURL(version+i)+"/config", f.configuration(version))
		if status >= 400 && status < 500 {
			f.violate("version %d was refused with status %d", version, status)
		}
		if status == 200 {
			f.mu.Lock()
			f.acknowledged, f.acknowledgedAt = version, time.Now()
			f.mu.Unlock()
			return true
		}
	}
	return false
}

func (f *recoveryFleet) controlURL(i int) string {
	return "http://" + f.address(soakIP(i%recoveryControls), portControl)
}

func (f *recoveryFleet) violate(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, arguments...))
}

func (f *recoveryFleet) keepWriting() {
	for !f.isStopped(recoveryWrites) {
		f.write()
	}
}

// keepAnnouncing sends the heartbeats of upstreams that nothing connects to.
func (f *recoveryFleet) keepAnnouncing() {
	for n := 1; !f.isStopped(time.Second); n++ {
		for i := range recoveryUpstreams {
			body := fmt.Sprintf(`{"service":"s","address":"127.0.0.1:%d","zone":"a","slots":4,"state":"ready","db_role":"replica","seq":%d,"born":5}`, 1+i, n)
			for j := range recoveryControls {
				if call("PUT", fmt.Sprintf("%s/instances/i-%d", f.controlURL(n+i+j), i), body) == 200 {
					break
				}
			}
		}
	}
}

func (f *recoveryFleet) keepReading(i int) {
	for !f.isStopped(recoveryPoll) {
		f.read(i)
	}
}

// read reads the configuration from control host i, or from where it sends readers, and checks
// it.
func (f *recoveryFleet) read(i int) bool {
	f.mu.Lock()
	minimum := 0
	if time.Since(f.acknowledgedAt) > configurationApplies {
		minimum = f.acknowledged
	}
	f.mu.Unlock()
	client := http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	answer, err := client.Get(f.controlURL(i) + "/config")
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK {
		return false
	}
	var got struct {
		Version int
		Tenants []struct {
			Keys []string `json:"api_keys"`
		}
	}
	if err := json.Unmarshal(body, &got); err != nil || len(got.Tenants) != 1 || len(got.Tenants[0].Keys) != 1 || got.Tenants[0].Keys[0] != fmt.Sprintf("key-%d", got.Version) {
		f.violate("control host %d answered with other content: %.300s", i, body)
	}
	if got.Version < minimum {
		f.violate("control host %d answered with version %d after version %d was acknowledged", i, got.Version, minimum)
	}
	f.noteRead()
	return true
}

// noteRead notes that a configuration was read just now.
func (f *recoveryFleet) noteRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.lastRead.IsZero() {
		f.gap = max(f.gap, now.Sub(f.lastRead))
		if !f.calmSince.IsZero() && f.lastRead.After(f.calmSince) {
			f.calmGap = max(f.calmGap, now.Sub(f.lastRead))
		}
	}
	f.lastRead = now
	f.reads++
}

// keepSyncing measures how long the disk of the control hosts takes to make a new file durable.
func (f *recoveryFleet) keepSyncing() {
	for !f.isStopped(recoveryPoll) {
		begin := time.Now()
		f.mu.Lock()
		f.syncBegan = begin
		f.mu.Unlock()
		if err := f.syncNewFile(); err != nil {
			f.violate("sync: %v", err)
			return
		}
		took := time.Since(begin)
		f.mu.Lock()
		f.syncBegan = time.Time{}
		f.longestSync = max(f.longestSync, took)
		if took > slowSync {
			f.slowSyncs++
			f.slowUntil = time.Now()
		}
		f.mu.Unlock()
	}
}

func (f *recoveryFleet) syncNewFile() error {
	file, err := os.CreateTemp(f.dir, "sync")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }()
	if _, err := file.Write(make([]byte, 4<<10)); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return file.Close()
}

// noteCalm notes the begin of a stretch without faults; zero means that a fault began.
func (f *recoveryFleet) noteCalm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calmSince = at
}

// readableAfter returns for how long no configuration could be read since a fault's end, or
// since the disk was slow last, and whether it can be read now.
func (f *recoveryFleet) readableAfter(end time.Time) (took time.Duration, readable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	calm := end
	if f.slowUntil.After(end) {
		calm = f.slowUntil
	}
	if !f.syncBegan.IsZero() && time.Since(f.syncBegan) > slowSync {
		calm = time.Now()
	}
	if f.lastRead.After(end) {
		return max(0, f.lastRead.Sub(calm)), true
	}
	return max(0, time.Since(calm)), false
}

// kill ends hosts at once.
func (f *recoveryFleet) kill(hosts ...*hostProcess) {
	for _, p := range hosts {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range hosts {
		_, _ = p.cmd.Process.Wait()
	}
}

// startAgain starts hosts again, in any order within maxControlStartGap.
func (f *recoveryFleet) startAgain(role string, hosts []*hostProcess) {
	for _, i := range f.rnd.Perm(len(hosts)) {
		hosts[i].cmd = f.startAdjusted(role, hosts[i].ip, f.settingsOf(i, false)).cmd
		time.Sleep(time.Duration(f.rnd.Int64N(int64(maxControlStartGap) / int64(len(hosts)))))
	}
}

// wipe removes the data of hosts that are not running.
func (f *recoveryFleet) wipe(hosts ...*hostProcess) {
	for _, p := range hosts {
		_ = os.RemoveAll(filepath.Join(f.dir, p.ip))
	}
}

// freeze suspends hosts for a while.
func (f *recoveryFleet) freeze(pause time.Duration, hosts ...*hostProcess) {
	for _, p := range hosts {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(pause)
	for _, p := range hosts {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}
