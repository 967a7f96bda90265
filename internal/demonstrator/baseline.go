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

// runBaseline runs the same load without the proxy: callers connect directly to
// the primary, without rate limits and without failover.
func (d *Demo) runBaseline(ctx context.Context) (Metrics, error) {
	duration := d.Duration / 3
	d.progressf("baseline without the proxy for %s", duration)
	f := &Fleet{Layout: d.Layout}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.Network = f.newNetwork()
	if err := f.startUpstreams(ctx); err != nil {
		return Metrics{}, err
	}
	defer f.wg.Wait()
	defer cancel()
	recorder := &Recorder{}
	primaries := map[string]*emulator.Upstream{}
	for _, u := range f.Upstreams {
		if u.Role == emulator.RolePrimary {
			primaries[u.Group] = u
		}
	}
	callers := d.makeCallers(recorder, func(c *Caller) func(context.Context, string) (*pgx.Conn, error) {
		return func(ctx context.Context, _ string) (*pgx.Conn, error) {
			due := time.Now()
			conn, err := f.connectUpstream(ctx, primaries[c.Group], c.DataCentre)
			if err != nil {
				c.record(OperationRead, 1, due, due, err)
			}
			return conn, err
		}
	})
	for group, u := range primaries {
		conn, err := f.connectUpstream(ctx, u, u.DataCentre)
		if err != nil {
			return Metrics{}, fmt.Errorf("demonstrator: connect to primary: %w", err)
		}
		err = initTables(ctx, conn, group, callers)
		_ = conn.Close(ctx)
		if err != nil {
			return Metrics{}, err
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
	if d.Failovers > 0 && pauser.Sleep(loadCtx, duration/3) == nil {
		group := d.Layout.GroupNames()[0]
		faults = append(faults, Fault{Kind: "primary_cut_off", Group: group, At: time.Now(), End: time.Now().Add(isolationDuration)})
		primaries[group].SetIsolated(true)
		_ = pauser.Sleep(loadCtx, isolationDuration)
		primaries[group].SetIsolated(false)
	}
	wg.Wait()
	m := computeMetrics(recorder.Observations(), faults, d.Layout.Organisations, duration)
	m.ReplicaReadShare = f.replicaShare()
	m.LinkBytesPerRequest = float64(f.Network.LinkBytes()) / float64(max(1, m.Requests))
	return m, nil
}

// connectUpstream opens a direct connection to an upstream.
func (f *Fleet) connectUpstream(ctx context.Context, u *emulator.Upstream, dataCentre string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", f.addresses[u.ID], u.Group))
	if err != nil {
		return nil, fmt.Errorf("demonstrator: parse connection string: %w", err)
	}
	cfg.User, cfg.Password = upstreamUser, upstreamKey
	cfg.ConnectTimeout = connectTimeout
	cfg.DialFunc = f.Network.Dialer(clientPrefix + dataCentre)
	return pgx.ConnectConfig(ctx, cfg)
}
