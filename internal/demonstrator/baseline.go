package demonstrator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/shallotstage/shallotstage/internal/emulator"
	"github.com/shallotstage/shallotstage/internal/pauser"
)

// runBaseline loads the same upstreams without a proxy: callers connect to the
// primary, nobody limits them, and nobody replaces a primary.
func (d *Demo) runBaseline(ctx context.Context) (Measures, error) {
	duration := d.Duration / 3
	d.say("baseline without the proxy for %s", duration)
	f := &Fleet{Layout: d.Layout}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.Network = f.network()
	if err := f.startUpstreams(ctx); err != nil {
		return Measures{}, err
	}
	defer f.wg.Wait()
	defer cancel()
	ledger := &Ledger{}
	primaries := map[string]*emulator.Upstream{}
	for _, u := range f.Upstreams {
		if u.Role == emulator.RolePrimary {
			primaries[u.Group] = u
		}
	}
	callers := d.makeCallers(ledger, func(c *Caller) func(context.Context, string) (*pgx.Conn, error) {
		return func(ctx context.Context, _ string) (*pgx.Conn, error) {
			due := time.Now()
			conn, err := f.connectUpstream(ctx, primaries[c.Group], c.DataCentre)
			if err != nil {
				c.observe(OperationRead, 1, due, due, err)
			}
			return conn, err
		}
	})
	for group, u := range primaries {
		conn, err := f.connectUpstream(ctx, u, u.DataCentre)
		if err != nil {
			return Measures{}, fmt.Errorf("demonstrator: connect to primary: %w", err)
		}
		err = fillTables(ctx, conn, group, callers)
		_ = conn.Close(ctx)
		if err != nil {
			return Measures{}, err
		}
	}
	var faults []Fault
	loadCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Add(1)
		go func() { defer wg.Done(); c.Run(loadCtx) }()
	}
	if d.Failovers > 0 && pauser.Pause(loadCtx, duration/3) == nil {
		group := d.Layout.GroupNames()[0]
		faults = append(faults, Fault{Kind: "primary_cut_off", Group: group, At: time.Now(), End: time.Now().Add(cutOffTime)})
		primaries[group].SetCutOff(true)
		_ = pauser.Pause(loadCtx, cutOffTime)
		primaries[group].SetCutOff(false)
	}
	wg.Wait()
	m := measure(ledger.Observations(), faults, d.Layout.Organisations, duration)
	m.ReplicaReadShare = f.replicaShare()
	m.LinkBytesPerRequest = float64(f.Network.LinkBytes()) / float64(max(1, m.Requests))
	return m, nil
}

// connectUpstream opens a connection straight to an upstream.
func (f *Fleet) connectUpstream(ctx context.Context, u *emulator.Upstream, dataCentre string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", f.addresses[u.ID], u.Group))
	if err != nil {
		return nil, fmt.Errorf("demonstrator: address: %w", err)
	}
	cfg.User, cfg.Password = upstreamUser, upstreamKey
	cfg.ConnectTimeout = connectTimeout
	cfg.DialFunc = f.Network.Dialer(clientPrefix + dataCentre)
	return pgx.ConnectConfig(ctx, cfg)
}
