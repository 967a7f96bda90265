package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/shallotstage/shallotstage/internal/loader"
)

// loadCommand generates an open-loop load and prints the measurements.
type loadCommand struct {
	URLs    []string      `arg:"--url,separate,required" help:"where callers connect; repeat for several hosts, between which callers roam"`
	Against []string      `arg:"--against,separate" help:"a second set of URLs, measured in turn with the first"`
	Profile string        `arg:"--profile" placeholder:"FILE" help:"profile as JSON, in place of the flags below"`
	Rate    float64       `arg:"--rate" default:"200" help:"requests a second"`
	Callers int           `arg:"--callers" default:"16" help:"connections"`
	Writes  float64       `arg:"--writes" default:"0.2" help:"part of requests that write"`
	Roams   float64       `arg:"--roams" default:"0.01" help:"part of requests before which a caller reconnects"`
	MaxAge  time.Duration `arg:"--max-age" help:"age that reads accept"`
	Time    time.Duration `arg:"--duration" default:"10s" help:"time of one run"`
	Repeat  int           `arg:"--repeat" default:"1" help:"runs of each set"`
	Seed    uint64        `arg:"--seed" default:"1"`
	JSON    string        `arg:"--json" placeholder:"FILE" help:"write the results as JSON"`
	HTML    string        `arg:"--html" placeholder:"FILE" help:"write a page with plots"`
}

func (c *loadCommand) profile() (loader.Profile, error) {
	p := loader.Profile{Rate: c.Rate, Callers: c.Callers, WriteShare: c.Writes, ReconnectShare: c.Roams, DurationSeconds: c.Time.Seconds(), MaxStalenessMS: int(c.MaxAge.Milliseconds())}
	if c.Profile != "" {
		p = loader.Profile{}
		if err := readJSON(c.Profile, &p); err != nil {
			return p, err
		}
	}
	return p, p.Validate()
}

func (c *loadCommand) check() error {
	if c.Repeat < 1 {
		return &SettingError{Setting: "--repeat", Value: fmt.Sprint(c.Repeat), Allowed: "1 or more"}
	}
	_, err := c.profile()
	return err
}

func (c *loadCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	p, err := c.profile()
	if err != nil {
		return err
	}
	var results []*loader.Result
	for i := range c.Repeat {
		for _, target := range []struct {
			name string
			urls []string
		}{{"first", c.URLs}, {"against", c.Against}} {
			if len(target.urls) == 0 {
				continue
			}
			l := &loader.Loader{Name: fmt.Sprintf("%s-%d", target.name, i+1), URLs: target.urls, Profile: p, Seed: c.Seed + uint64(i)}
			r, err := l.Run(ctx)
			if err != nil {
				return err
			}
			results = append(results, r)
		}
	}
	if err := writeResults(stdout, results); err != nil {
		return err
	}
	if err := c.writeFiles(results); err != nil {
		return err
	}
	for _, r := range results {
		if r.StaleReads > 0 || r.DuplicateWrites > 0 {
			return fmt.Errorf("cli: run %s: %d stale reads, %d doubled writes", r.Name, r.StaleReads, r.DuplicateWrites)
		}
	}
	return nil
}

func writeResults(w io.Writer, results []*loader.Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "run\treads\tp50 ms\tp99 ms\twrites\tp50 ms\tp99 ms\trefused\tunknown\tstale\tdoubled\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%d\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t\n", r.Name, r.Reads.Count, r.Reads.P50, r.Reads.P99,
			r.Writes.Count, r.Writes.P50, r.Writes.P99, r.Refused, r.Unknown, r.StaleReads, r.DuplicateWrites)
	}
	return t.Flush()
}

func (c *loadCommand) writeFiles(results []*loader.Result) error {
	if c.JSON != "" {
		f, err := os.Create(c.JSON)
		if err != nil {
			return fmt.Errorf("cli: create file: %w", err)
		}
		if err := firstError(printJSON(f, results), f.Close()); err != nil {
			return err
		}
	}
	if c.HTML == "" {
		return nil
	}
	f, err := os.Create(c.HTML)
	if err != nil {
		return fmt.Errorf("cli: create file: %w", err)
	}
	return firstError(loader.WriteHTML(f, results), f.Close())
}
