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
	// requestTimeout bounds a request for metrics or readiness, and its answer.
	requestTimeout = 10 * time.Second
	// operatorTimeout bounds an operator's request, and its answer: a configuration
	// of 8 MiB over a link of 2 Mbit/s takes half of it.
	operatorTimeout = 60 * time.Second
	// maxRequestHeaderBytes bounds the headers of a request.
	maxRequestHeaderBytes = 8 << 10
)

// serveHTTP serves a handler until ctx ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	return serve(ctx, listener, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxRequestHeaderBytes,
	})
}

// serveSingleRequests is like serveHTTP, but closes each connection after its response.
// Upstreams by the thousand announce themselves once a second to one control host after
// another: their idle connections would hold more memory than all of its state.
func serveSingleRequests(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: operatorTimeout, WriteTimeout: operatorTimeout, MaxHeaderBytes: maxRequestHeaderBytes,
	}
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
