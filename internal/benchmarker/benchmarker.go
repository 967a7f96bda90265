// Package benchmarker measures the costs from which docs/CAPACITY.md is calculated:
// bytes, CPU time and memory per configuration entry, host, report and operation,
// at several sizes.
//
// # Usage
//
//	for _, row := range benchmarker.Measure() { fmt.Println(row) }
//
// It calls the production packages with the messages that the processes exchange,
// in the same encoding, but without any sockets.
package benchmarker

import (
	"fmt"
	"runtime"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/allocator"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/fencer"
	"github.com/shallotstage/shallotstage/pkg/limiter"
	"github.com/shallotstage/shallotstage/pkg/placer"
	"github.com/shallotstage/shallotstage/pkg/planner"
	"github.com/shallotstage/shallotstage/pkg/promoter"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Measurement is one measured value.
type Measurement struct {
	Name  string  `json:"name"`
	Size  int     `json:"size"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// String formats the measurement as a line of a text table.
func (m Measurement) String() string {
	return fmt.Sprintf("%-72s %6d  %12.4f %s", m.Name, m.Size, m.Value, m.Unit)
}

const (
	repeats         = 5
	organisations   = 400
	dataCentres     = 9
	membersPerGroup = 3
)

var (
	hostSizes  = []int{6, 30, 100, 300, 930}
	groupSizes = []int{100, 500, 1000, 1900}
)

// Measure runs all measurements.
func Measure() []Measurement {
	var rows []Measurement
	for _, n := range groupSizes {
		rows = append(rows, measureState(n)...)
		rows = append(rows, measurePromoter(n))
		rows = append(rows, measurePlacer(n)...)
	}
	for _, n := range hostSizes {
		rows = append(rows, measureGranter(n)...)
		rows = append(rows, measureAllocator(n)...)
	}
	for _, active := range []int{1, 10, 40, 100} {
		rows = append(rows, measureReport(active)...)
	}
	rows = append(rows, measureStateMachine()...)
	return append(rows, measureShares()...)
}

// median calls f several times and returns the median of its results.
func median(f func() float64) float64 {
	values := make([]float64, repeats)
	for i := range values {
		values[i] = f()
	}
	sort.Float64s(values)
	return values[repeats/2]
}

// medianMicroseconds returns the median, over several runs of n calls, of the mean
// time of a call of f in microseconds.
func medianMicroseconds(n int, f func()) float64 {
	return median(func() float64 {
		start := time.Now()
		for range n {
			f()
		}
		return float64(time.Since(start).Nanoseconds()) / 1000 / float64(n)
	})
}

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// buildConfiguration returns the configuration of a fleet as changes.
func buildConfiguration(groups int) []configurer.Change {
	var changes []configurer.Change
	add := func(kind configurer.Kind, id string, entry any) {
		c, err := configurer.Put(kind, id, entry)
		if err != nil {
			panic(err)
		}
		c.Version = 1
		changes = append(changes, c)
	}
	for i := range groups {
		g := configurer.Group{ID: fmt.Sprintf("audit-ledger-%d", i), Phase: configurer.PhaseServing, Term: 3, Lineage: tracker.Lineage{{Term: 1}, {Term: 2, Offset: 1000}, {Term: 3, Offset: 5000}}}
		for k := range membersPerGroup {
			u := configurer.Upstream{
				ID: fmt.Sprintf("%s-%d", g.ID, k), Group: g.ID, Address: "127.0.0.1:50000", PlatformAddress: "127.0.0.1:50001",
				DataCentre: fmt.Sprintf("data-centre-%d", k), Region: "sask", Slots: 5, Connections: 30, Lifecycle: configurer.LifecycleServing,
			}
			g.Members = append(g.Members, u.ID)
			add(configurer.KindUpstream, u.ID, u)
		}
		g.Primary = g.Members[0]
		add(configurer.KindGroup, g.ID, g)
		add(configurer.KindRoute, g.ID, configurer.Route{ID: g.ID, Group: g.ID})
	}
	for i := range organisations {
		id := fmt.Sprintf("organisation_%d", i)
		add(configurer.KindOrganisation, id, configurer.Organisation{ID: id, Rate: 100, Burst: 50})
		add(configurer.KindKey, id, configurer.Key{ID: id, Organisation: id, Verifier: "SCRAM-SHA-256$4096:MDEyMzQ1Njc4OWFiY2RlZg==$MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=:MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="})
	}
	for id, h := range buildHosts(930) {
		add(configurer.KindHost, id, h)
	}
	return changes
}

func buildHosts(n int) map[string]configurer.Host {
	hosts := map[string]configurer.Host{}
	for i := range n {
		id := fmt.Sprintf("entry-host-%d", i)
		hosts[id] = configurer.Host{ID: id, DataCentre: fmt.Sprintf("data-centre-%d", i%dataCentres), Region: "sask", PeerAddress: "127.0.0.1:6481", Number: uint32(i + 1)}
	}
	return hosts
}

// measureState measures a host's copy of the configuration.
func measureState(groups int) []Measurement {
	changes := buildConfiguration(groups)
	before := heapInUse()
	state, err := configurer.State{}.ApplyAll(changes)
	if err != nil {
		panic(err)
	}
	size := heapInUse() - before
	change := changes[1]
	version := uint64(1)
	apply := medianMicroseconds(20, func() {
		version++
		change.Version = version
		next, err := state.Apply(change)
		if err != nil {
			panic(err)
		}
		state = next
	})
	snapshot := &messenger.Snapshot{}
	for _, c := range changes {
		snapshot.Changes = append(snapshot.Changes, &messenger.Change{Version: c.Version, Kind: string(c.Kind), Id: c.ID, Body: c.Body})
	}
	body, err := proto.Marshal(snapshot)
	if err != nil {
		panic(err)
	}
	compressed, err := messenger.EncodeSnapshot(snapshot)
	if err != nil {
		panic(err)
	}
	rebuild := medianMicroseconds(1, func() {
		if _, err := (configurer.State{}).ApplyAll(changes); err != nil {
			panic(err)
		}
	})
	runtime.KeepAlive(state)
	return []Measurement{
		{"configuration in memory", groups, size / 1e6, "MB"},
		{"one change applied", groups, apply, "us"},
		{"snapshot as sent", groups, float64(len(body)) / 1e6, "MB"},
		{"snapshot compressed", groups, float64(len(compressed)) / 1e6, "MB"},
		{"snapshot applied", groups, rebuild / 1000, "ms"},
	}
}

// measurePromoter measures one round of promotion decisions over all groups, each
// with reports from all hosts that own it.
func measurePromoter(groups int) Measurement {
	p := promoter.Promoter{SuspectAfter: time.Second, MaxReportAge: 3 * time.Second, GroupSize: membersPerGroup}
	now := time.Now()
	g := configurer.Group{ID: "g", Phase: configurer.PhaseServing, Term: 3, Primary: "u0", Members: []string{"u0", "u1", "u2"}}
	var e promoter.Evidence
	e.Now = now
	for h := range dataCentres {
		for _, u := range g.Members {
			e.Reports = append(e.Reports, promoter.ReachabilityReport{Host: fmt.Sprint(h), Upstream: u, Reachable: true, ReceivedAt: now, ChangedAt: now, Position: tracker.Position{Term: 3}})
		}
	}
	round := medianMicroseconds(1, func() {
		for range groups {
			if actions := p.Decide(g, e); len(actions) != 0 {
				panic("benchmarker: promoter acted on a healthy group")
			}
		}
	})
	return Measurement{"promoter, one round over all groups", groups, round, "us"}
}

// measurePlacer measures owner sets with the maximum number of hosts.
func measurePlacer(groups int) []Measurement {
	hosts := buildHosts(930)
	p := placer.Placer{PerDataCentre: 1}
	load := map[string]int{}
	busiest := 0
	owners := 0
	each := medianMicroseconds(1, func() {
		clear(load)
		for i := range groups {
			set := p.Owners(fmt.Sprintf("audit-ledger-%d", i), hosts)
			owners = len(set)
			for _, o := range set {
				load[o]++
			}
		}
	})
	for _, n := range load {
		busiest = max(busiest, n)
	}
	return []Measurement{
		{"owner sets of all groups at 930 hosts", groups, each / 1000, "ms"},
		{"groups of the busiest host", groups, float64(busiest), "groups"},
		{"connections to an upstream (9 owners x 3)", groups, float64(owners * 3), "connections"},
	}
}

// measureGranter measures lease handling on the leading control host.
func measureGranter(hosts int) []Measurement {
	g := fencer.Granter{TTL: 3 * time.Second, MaxClockDrift: 0.01}
	now := time.Now()
	names := make([]string, hosts)
	for i := range names {
		names[i] = fmt.Sprintf("entry-host-%d/1234567890", i)
	}
	all := medianMicroseconds(10, func() {
		for _, name := range names {
			g.Grant(name, 7, now)
		}
	})
	inForce := medianMicroseconds(10, func() { g.InForce(7, now) })
	return []Measurement{
		{"one lease renewed", hosts, all / float64(hosts), "us"},
		{"in force on every host?", hosts, inForce, "us"},
	}
}

// measureAllocator measures token allocation when every host requests tokens for
// each organisation that is active on it.
func measureAllocator(hosts int) []Measurement {
	const activeOn = 20
	a := &allocator.Allocator{}
	now := time.Now()
	for i := range organisations {
		a.SetOrganisation(fmt.Sprint(i), 100000, 50000, now)
	}
	received := map[string]float64{}
	before := heapInUse()
	report := func() {
		now = now.Add(500 * time.Millisecond)
		for h := range hosts {
			name := fmt.Sprintf("entry-host-%d/1234567890", h)
			for k := range activeOn {
				org := fmt.Sprint((h + k*37) % organisations)
				total := received[name+org]
				a.Report(allocator.Report{Host: name, Organisation: org, SpentTotal: total, ReceivedTotal: total, Wanted: 5}, now)
			}
		}
	}
	each := medianMicroseconds(2, report) / float64(hosts)
	grantAll := median(func() float64 {
		report()
		start := time.Now()
		grants := a.GrantAll(now)
		elapsed := float64(time.Since(start).Nanoseconds()) / 1000
		for _, g := range grants {
			received[g.Host+g.Organisation] = g.GrantedTotal
		}
		return elapsed
	})
	size := heapInUse() - before
	runtime.KeepAlive(a)
	return []Measurement{
		{"tokens of one report (20 organisations)", hosts, each, "us"},
		{"one round of grants", hosts, grantAll, "us"},
		{"allocator in memory", hosts, size / 1e6, "MB"},
	}
}

// measureReport measures a host's report on the given number of active
// organisations and the upstreams of 18 owned groups.
func measureReport(active int) []Measurement {
	l := &limiter.Limiter{Now: time.Now, MaxWait: time.Second, MaxWaiters: 1}
	for i := range active {
		l.Grant(fmt.Sprintf("organisation_%d", i), 1000)
	}
	const owned = 18 * membersPerGroup
	makeReport := func() *messenger.HostReport {
		r := &messenger.HostReport{HostId: "entry-host-17", DataCentre: "data-centre-1", Region: "sask", PeerAddress: "127.0.0.1:6481", Incarnation: 1 << 60, Sequence: 1 << 20, ConfigVersion: 1 << 20}
		for _, t := range l.Reports() {
			r.Tokens = append(r.Tokens, &messenger.TokenReport{Organisation: t.Organisation, SpentTotal: 12345.5, ReturnedTotal: 12, ReceivedTotal: 13000, Wanted: 3})
		}
		for i := range owned {
			r.Sights = append(r.Sights, &messenger.Sight{Upstream: fmt.Sprintf("audit-ledger-%d-1", i), Reachable: true, Term: 3, Offset: 1 << 30, ForMs: 1 << 24})
		}
		return r
	}
	body, err := proto.Marshal(makeReport())
	if err != nil {
		panic(err)
	}
	encode := medianMicroseconds(200, func() {
		if _, err := proto.Marshal(makeReport()); err != nil {
			panic(err)
		}
	})
	decode := medianMicroseconds(200, func() {
		var r messenger.HostReport
		if err := proto.Unmarshal(body, &r); err != nil {
			panic(err)
		}
	})
	return []Measurement{
		{"report as sent (54 sights)", active, float64(len(body)), "bytes"},
		{"report made and encoded", active, encode, "us"},
		{"report decoded", active, decode, "us"},
	}
}

// measureStateMachine measures the replicated state of a control host as the
// record grows.
func measureStateMachine() []Measurement {
	var rows []Measurement
	for _, n := range []int{1000, 10000, 50000} {
		b := planner.NewStateMachine()
		before := heapInUse()
		start := time.Now()
		for i := range n {
			id := fmt.Sprint(i)
			_, err := b.Apply(planner.Operation{Kind: planner.OperationIntent, At: "2026-01-01T00:00:00.000000000Z", Intent: &planner.Intent{
				ID: "intent-" + id, Author: "vesna", Kind: planner.IntentAdmitOrganisation, Target: fmt.Sprintf("organisation_%d", i%1000), Rate: 10, Burst: 10, Reason: "a new shop was admitted",
			}}, uint64(3*i+1))
			if err != nil {
				panic(err)
			}
			if _, err := b.Apply(planner.Operation{Kind: planner.OperationConfirm, At: "2026-01-01T00:00:00.000000000Z", PlanID: "intent-" + id, Actor: "marko"}, uint64(3*i+2)); err != nil {
				panic(err)
			}
			if _, err := b.Apply(planner.Operation{Kind: planner.OperationInForce, At: "2026-01-01T00:00:00.000000000Z", Version: uint64(3*i + 2)}, uint64(3*i+3)); err != nil {
				panic(err)
			}
			// A control host moves the pages to disk.
			b.DrainSealedPages()
			if i%1000 == 999 {
				// Drop the organisations, which are not measured here.
				b.State = configurer.State{Version: b.State.Version}
			}
		}
		each := float64(time.Since(start).Microseconds()) / float64(n)
		size := heapInUse() - before
		var body []byte
		marshal := medianMicroseconds(1, func() {
			var err error
			if body, err = b.Marshal(); err != nil {
				panic(err)
			}
		})
		runtime.KeepAlive(b)
		rows = append(rows,
			Measurement{"one decided intent agreed", n, each, "us"},
			Measurement{"record and plans in memory", n, size / 1e6, "MB"},
			Measurement{"snapshot of a control host", n, float64(len(body)) / 1e6, "MB"},
			Measurement{"snapshot encoded", n, marshal / 1000, "ms"},
		)
	}
	return rows
}
