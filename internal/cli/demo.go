package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/shallotstage/shallotstage/internal/demonstrator"
	"github.com/shallotstage/shallotstage/internal/logger"
)

// demoCommand runs a complete fleet in this process.
type demoCommand struct {
	Zupcanik  bool          `arg:"--zupcanik,env:SHALLOTSTAGE_DEMO_ZUPCANIK" help:"use the sizes of Zupčanik Grupa in place of the Association's"`
	Duration  time.Duration `arg:"--duration,env:SHALLOTSTAGE_DEMO_DURATION" default:"30s" help:"time under load"`
	Seed      uint64        `arg:"--seed,env:SHALLOTSTAGE_DEMO_SEED" default:"1" help:"seed of the load and the faults"`
	Failovers int           `arg:"--failovers,env:SHALLOTSTAGE_DEMO_FAILOVERS" default:"2" help:"number of primaries that are cut off"`
	Owners    int           `arg:"--owners-per-data-centre,env:SHALLOTSTAGE_OWNERS_PER_DATA_CENTRE" help:"entry hosts of each data centre that connect to a group's upstreams; 0 means all"`
	Partition bool          `arg:"--partition,env:SHALLOTSTAGE_DEMO_PARTITION" help:"cut the last data centre off for a while"`
	Report    string        `arg:"--report,env:SHALLOTSTAGE_DEMO_REPORT" placeholder:"FILE" help:"write the report as JSON"`
	Serve     bool          `arg:"--serve,env:SHALLOTSTAGE_DEMO_SERVE" help:"keep the fleet up until a signal and print how to connect"`
	LogLevel  string        `arg:"--log-level,env:SHALLOTSTAGE_LOG_LEVEL" default:"error" help:"debug, info, warn or error"`
}

// minDemoDuration leaves enough time for every kind of fault.
const minDemoDuration = 5 * time.Second

func (c *demoCommand) check() error {
	if c.Duration < minDemoDuration {
		return &SettingError{Setting: "--duration", Value: c.Duration.String(), Allowed: "at least " + minDemoDuration.String()}
	}
	if c.Failovers < 0 {
		return &SettingError{Setting: "--failovers", Value: fmt.Sprint(c.Failovers), Allowed: "0 or more"}
	}
	if c.Owners < 0 {
		return &SettingError{Setting: "--owners-per-data-centre", Value: fmt.Sprint(c.Owners), Allowed: "0 or more"}
	}
	return checkLogLevel(c.LogLevel)
}

func (c *demoCommand) layout() demonstrator.Layout {
	layout := demonstrator.Association()
	if c.Zupcanik {
		layout = demonstrator.Zupcanik()
	}
	layout.Owners = c.Owners
	return layout
}

func (c *demoCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	log, err := logger.Open(c.LogLevel)
	if err != nil {
		return err
	}
	if c.Serve {
		return c.serve(ctx, stdout, log)
	}
	d := &demonstrator.Demo{
		Layout: c.layout(), Duration: c.Duration, Seed: c.Seed, Failovers: c.Failovers, Partition: c.Partition, Out: stdout, Log: log,
	}
	report, err := d.Run(ctx)
	if err != nil {
		return err
	}
	if err := report.WriteTable(stdout); err != nil {
		return fmt.Errorf("cli: write table: %w", err)
	}
	if c.Report != "" {
		body, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return fmt.Errorf("cli: encode report: %w", err)
		}
		if err := os.WriteFile(c.Report, append(body, '\n'), 0o644); err != nil {
			return fmt.Errorf("cli: write report: %w", err)
		}
	}
	if violated := report.ViolatedInvariants(); len(violated) > 0 {
		return fmt.Errorf("cli: broken: %v", violated)
	}
	return nil
}

// serve runs the fleet until ctx ends.
func (c *demoCommand) serve(ctx context.Context, stdout io.Writer, log *logger.Logger) error {
	f := &demonstrator.Fleet{Layout: c.layout(), Log: log}
	if err := f.Start(ctx); err != nil {
		return err
	}
	defer f.Stop()
	body, err := json.Marshal(f.ConnectionInfo())
	if err != nil {
		return fmt.Errorf("cli: encode directory: %w", err)
	}
	if _, err := fmt.Fprintln(stdout, string(body)); err != nil {
		return fmt.Errorf("cli: write directory: %w", err)
	}
	<-ctx.Done()
	return nil
}
