package pooler

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// Connector opens connections to upstreams with the proxy's own credentials.
type Connector struct {
	User     string
	Password string
	// Dial opens TCP connections; nil selects a dialer with TCP keep-alive.
	Dial pgconn.DialFunc
}

// keepAlive detects connections whose peer no longer answers.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// DialFunc returns Dial, or the default dialer if Dial is nil.
func (c Connector) DialFunc() pgconn.DialFunc {
	if c.Dial != nil {
		return c.Dial
	}
	d := &net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext
}

func (c Connector) config(u configurer.Upstream) (*pgconn.Config, error) {
	cfg, err := pgconn.ParseConfig("postgres://" + u.Address + "/" + u.Group + "?sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("pooler: parse address of upstream %s: %w", u.ID, err)
	}
	cfg.User = c.User
	cfg.Password = c.Password
	cfg.DialFunc = c.DialFunc()
	return cfg, nil
}

// Open opens a connection that serves requests.
func (c Connector) Open(ctx context.Context, u configurer.Upstream) (*Conn, error) {
	cfg, err := c.config(u)
	if err != nil {
		return nil, err
	}
	accepted := recordAccepted(cfg)
	conn, err := Open(ctx, cfg)
	return conn, loginError(u, err, accepted)
}

// OpenMonitor opens a connection that serves health probes.
func (c Connector) OpenMonitor(ctx context.Context, u configurer.Upstream) (*pgconn.PgConn, error) {
	cfg, err := c.config(u)
	if err != nil {
		return nil, err
	}
	accepted := recordAccepted(cfg)
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	return conn, loginError(u, err, accepted)
}

// recordAccepted sets the result once the upstream has accepted the connection.
func recordAccepted(cfg *pgconn.Config) *atomic.Bool {
	var accepted atomic.Bool
	dial := cfg.DialFunc
	cfg.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil {
			accepted.Store(true)
		}
		return conn, err
	}
	return &accepted
}

// loginError returns err as a HandshakeError if the upstream had accepted the
// connection.
func loginError(u configurer.Upstream, err error, accepted *atomic.Bool) error {
	if err == nil || !accepted.Load() {
		return err
	}
	return &HandshakeError{Upstream: u.ID, Err: err}
}
