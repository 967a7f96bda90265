package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/shallotstage/shallotstage/internal/emulator"
)

// upstreamCommand runs an emulated upstream for tests and demonstrations.
type upstreamCommand struct {
	ID            string        `arg:"--id,required" help:"name of the upstream"`
	Group         string        `arg:"--group,required" help:"its group"`
	DataCentre    string        `arg:"--data-centre,required"`
	Region        string        `arg:"--region,required"`
	Listen        string        `arg:"--listen" default:"127.0.0.1:0" help:"address of the PostgreSQL protocol"`
	Platform      string        `arg:"--platform" default:"127.0.0.1:0" help:"address of the platform's interface"`
	Primary       bool          `arg:"--primary" help:"start as primary of term 1"`
	Follow        string        `arg:"--follow" placeholder:"HOST:PORT" help:"platform address of the primary to follow"`
	Announce      []string      `arg:"--announce,separate" placeholder:"URL" help:"base URL that takes announcements; repeat for each"`
	User          string        `arg:"--user" default:"shallotstage"`
	Password      string        `arg:"--password,env:SHALLOTSTAGE_UPSTREAM_PASSWORD"`
	PlatformToken string        `arg:"--platform-token,env:SHALLOTSTAGE_PLATFORM_TOKEN"`
	Slots         int           `arg:"--slots" default:"5"`
	Connections   int           `arg:"--connections" default:"30"`
	ConnectDelay  time.Duration `arg:"--connect-delay" default:"10ms"`
	Lag           time.Duration `arg:"--lag" default:"20ms"`
}

func (c *upstreamCommand) check() error {
	if c.Primary == (c.Follow != "") {
		return &SettingError{Setting: "--primary", Value: fmt.Sprint(c.Primary), Allowed: "either --primary or --follow"}
	}
	if c.Slots < 1 || c.Connections < 1 {
		return &SettingError{Setting: "--slots", Value: fmt.Sprint(c.Slots), Allowed: "slots and connections of at least 1"}
	}
	return firstError(checkNotEmpty("--platform-token", c.PlatformToken), checkAddress("--listen", c.Listen), checkAddress("--platform", c.Platform))
}

func (c *upstreamCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	sqlListener, err := listen("--listen", c.Listen)
	if err != nil {
		return err
	}
	platformListener, err := listen("--platform", c.Platform)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(stdout, "{\"sql\":%q,\"platform\":%q}\n", sqlListener.Addr(), platformListener.Addr()); err != nil {
		return fmt.Errorf("cli: write addresses: %w", err)
	}
	u := &emulator.Upstream{
		ID: c.ID, Group: c.Group, DataCentre: c.DataCentre, Region: c.Region, Role: emulator.RoleReplica, Term: 1,
		PrimaryAddress: c.Follow, Slots: c.Slots, Connections: c.Connections, ConnectDelay: c.ConnectDelay, Lag: c.Lag,
		User: c.User, Password: c.Password, PlatformToken: c.PlatformToken, AnnounceAddresses: c.Announce,
	}
	if c.Primary {
		u.Role = emulator.RolePrimary
	}
	return u.Run(ctx, sqlListener, platformListener)
}
