// Package demonstrator runs a whole fleet in one process, puts it under load,
// injects faults and checks invariants from the callers' side.
//
// # Usage
//
//	d := &demonstrator.Demo{Layout: demonstrator.Association(), Duration: 30 * time.Second, Seed: 1, Out: os.Stdout}
//	report, err := d.Run(ctx)
//
// All checks are based on what callers sent and received, not on the proxy's
// counters.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

// Demo is one demonstration. Exported fields are set before Run.
type Demo struct {
	Layout   Layout
	Duration time.Duration
	Seed     uint64
	// Failovers is the number of times that a primary is isolated.
	Failovers int
	// Partition enables a temporary partition of the last data centre.
	Partition bool
	// Out receives progress messages; nil discards them.
	Out io.Writer
	Log *logger.Logger

	fleet           *Fleet
	recorder        *Recorder
	callers         []*Caller
	mu              sync.Mutex
	faults          []Fault
	inForce         []float64
	keyLastAccepted []float64
}

// Report is the result of a demonstration.
type Report struct {
	Layout          string              `json:"layout"`
	Seed            uint64              `json:"seed"`
	DurationSeconds float64             `json:"duration_seconds"`
	Invariants      map[Invariant]Check `json:"musts"`
	Metrics         Metrics             `json:"measures"`
	Baseline        Metrics             `json:"baseline"`
	Faults          []Fault             `json:"faults"`
}

// ViolatedInvariants returns the invariants that were violated.
func (r *Report) ViolatedInvariants() []Invariant {
	var broken []Invariant
	for _, name := range Invariants() {
		if r.Invariants[name].Violations > 0 {
			broken = append(broken, name)
		}
	}
	return broken
}

// Run runs the demonstration and the baseline.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	d.recorder = &Recorder{}
	d.fleet = &Fleet{Layout: d.Layout, Log: d.Log}
	d.progressf("starting %d data centres, %d entry hosts, %d groups of %d upstreams",
		len(d.Layout.DataCentres), d.fleet.entryCount(), d.Layout.Groups, len(d.Layout.DataCentres))
	if err := d.fleet.Start(ctx); err != nil {
		return nil, err
	}
	defer d.fleet.Stop()
	d.callers = d.makeCallers(d.recorder, d.connect)
	if err := d.createTables(ctx, d.callers); err != nil {
		return nil, err
	}
	d.progressf("loading with %d callers for %s", len(d.callers), d.Duration)
	linkBefore := d.fleet.Network.LinkBytes()
	start := time.Now()
	d.load(ctx)
	elapsed := time.Since(start)
	linkBytes := d.fleet.Network.LinkBytes() - linkBefore
	replicaShare := d.fleet.replicaShare()
	d.progressf("auditing")
	if err := d.auditAll(ctx); err != nil {
		return nil, err
	}
	observations := d.recorder.Observations()
	checkRates(observations, d.Layout.Organisations, d.recorder)
	report := &Report{
		Layout: d.Layout.Name, Seed: d.Seed, DurationSeconds: d.Duration.Seconds(),
		Metrics: computeMetrics(observations, d.faults, d.Layout.Organisations, elapsed), Faults: d.faults,
	}
	report.Invariants = d.recorder.Checks()
	report.Metrics.ReplicaReadShare = replicaShare
	report.Metrics.InForceMS, report.Metrics.KeyLastAcceptedMS = d.inForce, d.keyLastAccepted
	report.Metrics.LinkBytesPerRequest = float64(linkBytes) / float64(max(1, len(observations)))
	baseline, err := d.runBaseline(ctx)
	if err != nil {
		return nil, err
	}
	report.Baseline = baseline
	return report, nil
}

func (d *Demo) progressf(format string, args ...any) {
	if d.Out != nil {
		_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
	}
}

// callersPerOrganisation is the number of callers of an organisation. An
// organisation whose demand exceeds its rate has proportionally more.
const callersPerOrganisation = 12

// makeCallers distributes the organisations' callers over groups and data centres.
// Most are in the organisation's own data centre.
func (d *Demo) makeCallers(l *Recorder, connect func(c *Caller) func(context.Context, string) (*pgx.Conn, error)) []*Caller {
	rnd := rand.New(rand.NewPCG(d.Seed, 1))
	groups := d.Layout.GroupNames()
	dcs := d.Layout.DataCentres
	var callers []*Caller
	for i, o := range d.Layout.Organisations {
		n := callersPerOrganisation
		if o.Demand > 1 {
			n *= int(o.Demand)
		}
		for k := range n {
			dc := dcs[i%len(dcs)]
			if rnd.Float64() < 0.4 {
				dc = dcs[rnd.IntN(len(dcs))]
			}
			c := &Caller{
				ID: fmt.Sprintf("%s-%d", o.ID, k), Organisation: o.ID, Group: groups[k%len(groups)], DataCentre: dc.Name,
				Interval: time.Duration(float64(n) / (o.Rate * o.Demand) * float64(time.Second)),
				Rand:     rand.New(rand.NewPCG(d.Seed, uint64(1000*i+k))), Ledger: l,
			}
			c.Connect = connect(c)
			callers = append(callers, c)
		}
	}
	return callers
}

// connect returns the connect function of a caller, which mostly chooses an entry
// host of the caller's data centre, and sometimes any entry host.
func (d *Demo) connect(c *Caller) func(context.Context, string) (*pgx.Conn, error) {
	return func(ctx context.Context, token string) (*pgx.Conn, error) {
		var localHosts []*EntryHost
		for _, e := range d.fleet.Entries {
			if e.DataCentre == c.DataCentre {
				localHosts = append(localHosts, e)
			}
		}
		e := localHosts[c.Rand.IntN(len(localHosts))]
		if c.Rand.Float64() < 0.2 {
			e = d.fleet.Entries[c.Rand.IntN(len(d.fleet.Entries))]
		}
		return d.fleet.Connect(ctx, e, c.DataCentre, c.Organisation, c.Group, token)
	}
}

// connectTimeout is the timeout of connecting and logging in.
const connectTimeout = 5 * time.Second

// Connect opens a caller's connection to an entry host.
func (f *Fleet) Connect(ctx context.Context, e *EntryHost, dataCentre, key, route, token string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", e.Address, route))
	if err != nil {
		return nil, fmt.Errorf("demonstrator: parse connection string: %w", err)
	}
	cfg.User, cfg.Password = key, f.Keys[key]
	cfg.ConnectTimeout = connectTimeout
	cfg.DialFunc = f.Network.Dialer(clientPrefix + dataCentre)
	if token != "" {
		cfg.RuntimeParams["shallotstage.token"] = token
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// createTables creates the tables of each group and the row of each caller.
func (d *Demo) createTables(ctx context.Context, callers []*Caller) error {
	for _, group := range d.Layout.GroupNames() {
		conn, err := d.fleet.Connect(ctx, d.fleet.Entries[0], d.fleet.Entries[0].DataCentre, d.Layout.Organisations[0].ID, group, "")
		if err != nil {
			return fmt.Errorf("demonstrator: connect: %w", err)
		}
		err = initTables(ctx, conn, group, callers)
		_ = conn.Close(ctx)
		if err != nil {
			return err
		}
	}
	return nil
}

func initTables(ctx context.Context, conn *pgx.Conn, group string, callers []*Caller) error {
	for _, text := range []string{
		"CREATE TABLE counters (id text PRIMARY KEY, n bigint)",
		"CREATE TABLE findings (id text PRIMARY KEY, pair text)",
	} {
		if _, err := conn.Exec(ctx, text); err != nil {
			return fmt.Errorf("demonstrator: create table: %w", err)
		}
	}
	var rows []string
	for _, c := range callers {
		if c.Group == group {
			rows = append(rows, "('"+c.ID+"', 0)")
		}
	}
	if _, err := conn.Exec(ctx, "INSERT INTO counters (id, n) VALUES "+strings.Join(rows, ", ")); err != nil {
		return fmt.Errorf("demonstrator: insert counters: %w", err)
	}
	return nil
}

// load runs the callers and injects faults for the configured duration.
func (d *Demo) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, c := range d.callers {
		wg.Add(1)
		go func() { defer wg.Done(); c.Run(ctx) }()
	}
	wg.Add(1)
	go func() { defer wg.Done(); d.injectFaults(ctx) }()
	wg.Add(1)
	go func() { defer wg.Done(); d.measureKeyWithdrawal(ctx) }()
	ticker := time.NewTicker(max(d.Duration/10, 2*time.Second))
	defer ticker.Stop()
	start := time.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			d.progressf("%4.0f s: %d requests, %d faults", time.Since(start).Seconds(), d.recorder.Count(), d.faultCount())
		}
	}
	wg.Wait()
}

func (d *Demo) faultCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.faults)
}

func (d *Demo) addFault(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, f)
}

// auditAll audits every group over a new connection.
func (d *Demo) auditAll(ctx context.Context) error {
	d.fleet.Network.Heal()
	if err := d.fleet.waitReady(ctx); err != nil {
		return err
	}
	for _, group := range d.Layout.GroupNames() {
		var groupCallers []*Caller
		for _, c := range d.callers {
			if c.Group == group {
				groupCallers = append(groupCallers, c)
			}
		}
		if err := d.auditGroup(ctx, group, groupCallers); err != nil {
			return err
		}
	}
	return nil
}

// auditGroup audits a group in a read-write transaction, so that its reads are
// routed to the primary.
func (d *Demo) auditGroup(ctx context.Context, group string, callers []*Caller) error {
	e := d.fleet.Entries[0]
	conn, err := d.fleet.Connect(ctx, e, e.DataCentre, d.Layout.Organisations[0].ID, group, "")
	if err != nil {
		return fmt.Errorf("demonstrator: connect to audit: %w", err)
	}
	defer func() { _ = conn.Close(ctx) }()
	tx, err := conn.Begin(ctx)
	if err != nil {
		return fmt.Errorf("demonstrator: begin audit: %w", err)
	}
	defer func() { _ = tx.Rollback(ctx) }()
	return audit(ctx, conn, callers, d.recorder)
}

// Leader returns the leading control host, or nil if there is none.
func (f *Fleet) Leader(ctx context.Context) *ControlHost {
	for _, c := range f.Controls {
		s, err := c.Controller.Status(ctx)
		if err == nil && s.Leader == c.Controller.ID {
			return c
		}
	}
	return nil
}

// ProposeOperation proposes an operation to the leading control host.
func (f *Fleet) ProposeOperation(ctx context.Context, o planner.Operation) (planner.Plan, error) {
	leader := f.Leader(ctx)
	if leader == nil {
		return planner.Plan{}, fmt.Errorf("demonstrator: control hosts have no leader")
	}
	return leader.Controller.Propose(ctx, o)
}

// Group returns the state of a group as the first entry host has applied it.
func (f *Fleet) Group(id string) configurer.Group { return f.Entries[0].State().Groups[id] }
