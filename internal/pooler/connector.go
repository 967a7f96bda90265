package pooler

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// Connector opens connections to upstreams with the proxy's own credential.
type Connector struct {
	User     string
	Password string
	// Dial opens TCP connections; nil means a dialer with keep-alive probes.
	Dial pgconn.DialFunc
}

// keepAlive finds connections whose other end has gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// DialFunc returns the function that opens TCP connections.
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
		return nil, fmt.Errorf("pooler: address of upstream %s: %w", u.ID, err)
	}
	cfg.User = c.User
	cfg.Password = c.Password
	cfg.DialFunc = c.DialFunc()
	return cfg, nil
}

// Open opens a connection for traffic.
func (c Connector) Open(ctx context.Context, u configurer.Upstream) (*Conn, error) {
	cfg, err := c.config(u)
	if err != nil {
		return nil, err
	}
	return Open(ctx, cfg)
}

// OpenMonitor opens a connection for probes.
func (c Connector) OpenMonitor(ctx context.Context, u configurer.Upstream) (*pgconn.PgConn, error) {
	cfg, err := c.config(u)
	if err != nil {
		return nil, err
	}
	return pgconn.ConnectConfig(ctx, cfg)
}
