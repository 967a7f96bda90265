// Package linker provides the RPC transport between the processes of the fleet:
// DRPC over TCP, with mutual TLS if certificates are configured.
//
// # Usage
//
//	l := linker.Linker{TLS: cfg}
//	conn, err := l.Dial(ctx, "127.0.0.1:7001")
//	err = l.Serve(ctx, listener, func(mux *drpcmux.Mux) error { ... })
package linker

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// dialTimeout bounds the opening of a connection, with its TLS handshake.
const dialTimeout = 2 * time.Second

// maxMessageBytes bounds one message: a snapshot with a configuration of some
// thousand routes.
const maxMessageBytes = 32 << 20

var managerOptions = drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}

// keepAlive detects connections whose remote end has stopped responding.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Linker holds the connection settings. The zero value uses plain TCP.
type Linker struct {
	// TLS holds the host's certificate and the fleet's certificate authority; nil
	// disables TLS.
	TLS *tls.Config
	// DialNet opens the network connection; nil means a dialer with keep-alive
	// probes.
	DialNet func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dial opens an RPC connection to another process.
func (l Linker) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	conn, err := l.DialStream(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions}), nil
}

// WrapListener wraps the listener with the fleet's TLS if it is configured.
func (l Linker) WrapListener(listener net.Listener) net.Listener {
	if l.TLS == nil {
		return listener
	}
	return tls.NewListener(listener, l.TLS)
}

// DialStream opens a byte stream connection to another process.
func (l Linker) DialStream(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := l.DialNet
	if dial == nil {
		dial = (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("linker: connect to %s: %w", address, err)
	}
	if l.TLS == nil {
		return conn, nil
	}
	t := tls.Client(conn, l.TLS)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("linker: handshake with %s: %w", address, err)
	}
	return t, nil
}

// Serve serves the services added by register until ctx ends.
func (l Linker) Serve(ctx context.Context, listener net.Listener, register func(mux *drpcmux.Mux) error) error {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return fmt.Errorf("linker: register services: %w", err)
	}
	return l.ServeHandler(ctx, listener, mux)
}

// ServeHandler serves the handler's RPCs until ctx ends.
func (l Linker) ServeHandler(ctx context.Context, listener net.Listener, handler drpc.Handler) error {
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions})
	if err := server.Serve(ctx, l.WrapListener(listener)); err != nil && ctx.Err() == nil {
		return fmt.Errorf("linker: serve: %w", err)
	}
	return nil
}
