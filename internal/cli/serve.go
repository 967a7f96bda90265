package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/internal/runner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// serveCommand runs an entry host.
type serveCommand struct {
	Host       string   `arg:"--host,env:SHALLOTSTAGE_HOST" help:"name of this host, unique in the fleet"`
	DataCentre string   `arg:"--data-centre,env:SHALLOTSTAGE_DATA_CENTRE" help:"data centre of this host"`
	Region     string   `arg:"--region,env:SHALLOTSTAGE_REGION" help:"region of the data centre"`
	Callers    string   `arg:"--callers,env:SHALLOTSTAGE_CALLERS" default:"127.0.0.1:6432" help:"address for callers"`
	Pages      string   `arg:"--pages,env:SHALLOTSTAGE_PAGES" default:"127.0.0.1:6480" help:"address for announcements, metrics and health"`
	Peers      string   `arg:"--peers,env:SHALLOTSTAGE_PEERS" default:"127.0.0.1:6481" help:"address for other entry hosts"`
	Controls   []string `arg:"--control,separate,env:SHALLOTSTAGE_CONTROLS" help:"address of a control host; repeat for each"`
	linkSettings
	UpstreamUser     string        `arg:"--upstream-user,env:SHALLOTSTAGE_UPSTREAM_USER" help:"the proxy's own user at the upstreams"`
	UpstreamPassword string        `arg:"--upstream-password,env:SHALLOTSTAGE_UPSTREAM_PASSWORD" help:"its password"`
	AnnounceToken    string        `arg:"--announce-token,env:SHALLOTSTAGE_ANNOUNCE_TOKEN" help:"token that announcements must carry"`
	TLSCert          string        `arg:"--tls-cert,env:SHALLOTSTAGE_TLS_CERT" placeholder:"FILE" help:"certificate towards callers; read again when it changes"`
	TLSKey           string        `arg:"--tls-key,env:SHALLOTSTAGE_TLS_KEY" placeholder:"FILE" help:"its key"`
	HostsPerUpstream int           `arg:"--hosts-per-upstream,env:SHALLOTSTAGE_HOSTS_PER_UPSTREAM" default:"6" help:"number of entry hosts that share an upstream's connections"`
	Owners           int           `arg:"--owners-per-data-centre,env:SHALLOTSTAGE_OWNERS_PER_DATA_CENTRE" default:"2" help:"entry hosts of each data centre that connect to a group's upstreams; the others hand sessions to them; 0 means all"`
	DrainTimeout     time.Duration `arg:"--drain-timeout,env:SHALLOTSTAGE_DRAIN_TIMEOUT" default:"30s" help:"bound of a graceful shutdown"`
	ProbeInterval    time.Duration `arg:"--probe-interval,env:SHALLOTSTAGE_PROBE_INTERVAL" default:"200ms" help:"time between probes of an upstream"`
	ProbeTimeout     time.Duration `arg:"--probe-timeout,env:SHALLOTSTAGE_PROBE_TIMEOUT" default:"500ms" help:"bound of a probe"`
	CatchUpWait      time.Duration `arg:"--catch-up-wait,env:SHALLOTSTAGE_CATCH_UP_WAIT" default:"150ms" help:"how long a read waits for a replica"`
	PrimaryWait      time.Duration `arg:"--primary-wait,env:SHALLOTSTAGE_PRIMARY_WAIT" default:"8s" help:"how long a request waits for a primary"`
	LogLevel         string        `arg:"--log-level,env:SHALLOTSTAGE_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

func (c *serveCommand) check() error {
	controlsErr := error(nil)
	if len(c.Controls) == 0 {
		controlsErr = &SettingError{Setting: "--control", Allowed: "at least one HOST:PORT"}
	}
	for _, address := range c.Controls {
		controlsErr = firstError(controlsErr, checkAddress("--control", address))
	}
	hostsErr := error(nil)
	if c.HostsPerUpstream < 1 {
		hostsErr = &SettingError{Setting: "--hosts-per-upstream", Value: "below 1", Allowed: "1 or more"}
	}
	if c.Owners < 0 {
		hostsErr = &SettingError{Setting: "--owners-per-data-centre", Value: fmt.Sprint(c.Owners), Allowed: "0 or more"}
	}
	return firstError(
		checkNotEmpty("--host", c.Host), checkNotEmpty("--data-centre", c.DataCentre), checkNotEmpty("--region", c.Region),
		checkAddress("--callers", c.Callers), checkAddress("--pages", c.Pages), checkAddress("--peers", c.Peers),
		controlsErr, c.linkSettings.check(),
		checkNotEmpty("--upstream-user", c.UpstreamUser), checkNotEmpty("--announce-token", c.AnnounceToken),
		checkPositive("--drain-timeout", c.DrainTimeout), checkPositive("--probe-interval", c.ProbeInterval),
		checkPositive("--probe-timeout", c.ProbeTimeout), checkPositive("--catch-up-wait", c.CatchUpWait),
		checkPositive("--primary-wait", c.PrimaryWait), hostsErr, checkLogLevel(c.LogLevel),
	)
}

func (c *serveCommand) run(ctx context.Context, _, _ io.Writer) error {
	log, link, err := newLoggerAndLinker(c.LogLevel, c.linkSettings)
	if err != nil {
		return err
	}
	callersTLS, err := serverTLS(c.TLSCert, c.TLSKey)
	if err != nil {
		return err
	}
	callerListener, err := listen("--callers", c.Callers)
	if err != nil {
		return err
	}
	httpListener, err := listen("--pages", c.Pages)
	if err != nil {
		return err
	}
	peerListener, err := listen("--peers", c.Peers)
	if err != nil {
		return err
	}
	h := &runner.EntryHost{
		Host:     configurer.Host{ID: c.Host, DataCentre: c.DataCentre, Region: c.Region, PeerAddress: peerListener.Addr().String()},
		Controls: c.Controls, Connector: pooler.Connector{User: c.UpstreamUser, Password: c.UpstreamPassword},
		Linker: link, AnnounceToken: c.AnnounceToken, DrainTimeout: c.DrainTimeout,
		ProbeInterval: c.ProbeInterval, ProbeTimeout: c.ProbeTimeout, CatchUpWait: c.CatchUpWait, PrimaryWait: c.PrimaryWait,
		HostsPerUpstream: c.HostsPerUpstream, OwnersPerDataCentre: c.Owners, TLS: callersTLS, Log: log,
	}
	if err := h.Prepare(); err != nil {
		return err
	}
	return h.Run(ctx, callerListener, httpListener, peerListener)
}
