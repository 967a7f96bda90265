package launcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds the reading of request headers.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds idle HTTP connections.
	idleTimeout = 60 * time.Second
)

// serveHTTP serves a handler until ctx ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	return serve(ctx, listener, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
}

// serveSingleRequests is like serveHTTP, but closes each connection after its response.
// Upstreams by the thousand announce themselves once a second to one control host after
// another: their idle connections would hold more memory than all of its state.
func serveSingleRequests(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	server.SetKeepAlivesEnabled(false)
	return serve(ctx, listener, server)
}

func serve(ctx context.Context, listener net.Listener, server *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
