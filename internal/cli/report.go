package cli

import (
	"context"
	"io"
	"slices"

	"github.com/shallotstage/shallotstage/internal/reporter"
)

// reportCommand prints the error budget report.
type reportCommand struct {
	operatorSettings
	Hosts  []string `arg:"--host,separate,env:SHALLOTSTAGE_REPORT_HOSTS" placeholder:"URL" help:"base URL of an entry host's pages; repeat for each"`
	Format string   `arg:"--format,env:SHALLOTSTAGE_REPORT_FORMAT" default:"text" help:"text, json or html"`
}

func (c *reportCommand) check() error {
	hostsErr := error(nil)
	if len(c.Hosts) == 0 {
		hostsErr = &SettingError{Setting: "--host", Allowed: "at least one URL such as http://127.0.0.1:6480"}
	}
	formatErr := error(nil)
	if !slices.Contains(reporter.Formats(), reporter.Format(c.Format)) {
		formatErr = &SettingError{Setting: "--format", Value: c.Format, Allowed: "text, json, html"}
	}
	return firstError(c.operatorSettings.check(), hostsErr, formatErr)
}

func (c *reportCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	r := &reporter.Reporter{Hosts: c.Hosts, Operator: c.client()}
	report, err := r.Build(ctx)
	if err != nil {
		return err
	}
	return reporter.Write(stdout, reporter.Format(c.Format), report)
}
