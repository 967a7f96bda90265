package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/shallotstage/shallotstage/internal/demonstrator"
)

// demoCommand runs a whole fleet in this process.
type demoCommand struct {
	Layout string `arg:"--layout,env:SHALLOTSTAGE_DEMO_LAYOUT" default:"association" help:"association or zupcanik"`
}

func (c *demoCommand) check() error {
	if c.Layout != "association" && c.Layout != "zupcanik" {
		return &SettingError{Setting: "--layout", Value: c.Layout, Allowed: "association, zupcanik"}
	}
	return nil
}

func (c *demoCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	f := &demonstrator.Fleet{Layout: demonstrator.Association()}
	if c.Layout == "zupcanik" {
		f.Layout = demonstrator.Zupcanik()
	}
	if err := f.Start(ctx); err != nil {
		return err
	}
	defer f.Stop()
	_, err := fmt.Fprintln(stdout, "fleet is ready")
	return err
}
