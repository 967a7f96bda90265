package server

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/pkg/classifier"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// revokeMode determines when a revoked session ends.
type revokeMode string

const (
	// revokeNow interrupts a running request.
	revokeNow revokeMode = "now"
	// revokeAfterRequest lets the current request and its transaction finish.
	revokeAfterRequest revokeMode = "after_work"
)

// binding is an upstream connection that stays assigned to a session beyond one
// request.
type binding struct {
	conn   *pooler.Conn
	pool   *pooler.Pool
	target target
	// pinned is true once the connection has state that cannot be replayed on
	// another one.
	pinned bool
	// open is true inside a transaction, and between a Flush and its Sync.
	open bool
	// implicit is true while the open transaction is not a block that the
	// client began, and will be committed by Sync.
	implicit bool
	// pending are the statements of the open transaction.
	pending []classifier.Statement
}

// session is the connection of one client. Its goroutine owns all fields that
// are not guarded by a mutex.
type session struct {
	server *Server
	conn   net.Conn
	*workspace
	// firstByte receives the first byte of a request.
	firstByte [1]byte

	keyID        string
	organisation string
	routeID      string
	group        string
	openRoute    bool
	pid          uint32
	secret       []byte

	// origin is the host that handed the session off, or empty.
	origin string
	// ownerConn is the connection to the host that serves the session, or nil.
	ownerConn net.Conn

	settings   map[string]string
	statements map[string]*statement
	portals    map[string]classifier.Statement
	// floor is the position that upstreams must have reached to serve the
	// session's reads. It is known after the first write, from a token, or
	// after a query of the primary's position.
	floor      tracker.Position
	floorKnown bool
	maxAge     time.Duration

	// requestStart is when the current request was completely received.
	requestStart    time.Time
	cachedObjective cachedObjective

	bound *binding
	// aborted is true while the client is in a transaction that the proxy has
	// aborted.
	aborted bool
	// skippingToSync is true while messages are discarded after a failure,
	// until the next Sync.
	skippingToSync bool

	cancelMu     sync.Mutex
	cancelTarget *pooler.Conn
	cancelSent   bool

	mu            sync.Mutex
	revoked       *refuser.Refusal
	mode          revokeMode
	busy          bool
	inTransaction bool
	interrupt     context.CancelFunc
}

// checkAccess returns a refusal when the configuration does not allow the
// session.
func (c *session) checkAccess(state *configurer.State) *refuser.Refusal {
	route, ok := state.Routes[c.routeID]
	if !ok {
		return refuser.New(refuser.ReasonRouteUnknown, "route "+c.routeID)
	}
	if c.openRoute {
		if !route.Open {
			return refuser.New(refuser.ReasonRouteForbidden, "route "+c.routeID+" is no longer open")
		}
		return nil
	}
	key, ok := state.Keys[c.keyID]
	if !ok || key.Withdrawn || key.Organisation != c.organisation {
		return refuser.New(refuser.ReasonKeyWithdrawn, "key "+c.keyID)
	}
	if _, ok := state.Organisations[c.organisation]; !ok || !route.Allows(c.organisation) {
		return refuser.New(refuser.ReasonRouteForbidden, "organisation "+c.organisation)
	}
	return nil
}

// run serves requests until the connection or the session ends.
func (c *session) run(ctx context.Context) {
	defer c.closeBinding()
	for {
		err := c.awaitRequest()
		if err == nil {
			err = c.readRequest()
		}
		if err != nil {
			c.reportReadError(err)
			return
		}
		requestCtx, cancel := context.WithCancel(ctx)
		if !c.setInterrupt(cancel) {
			cancel()
			return
		}
		c.requestStart = time.Now()
		err = c.serve(requestCtx, &c.request)
		cancel()
		c.detachWorkspace()
		if r := c.endRequest(); r != nil {
			c.writeRefusal(r)
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *session) reportReadError(err error) {
	if r := refuser.AsRefusal(err); r != nil {
		c.server.Meter.AddRefusal(r)
		c.writeRefusal(r)
	}
}

// writeRefusal writes a refusal that belongs to no request's response.
func (c *session) writeRefusal(r *refuser.Refusal) {
	b, err := r.ErrorResponse().Encode(nil)
	if err != nil {
		return
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = c.conn.Write(b)
}

// beginRequest marks the session as busy. It returns false when the session was
// revoked.
func (c *session) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked != nil && (c.mode == revokeNow || !c.inTransaction) {
		return false
	}
	c.busy = true
	return true
}

// setInterrupt stores the function that interrupts the running request. It
// returns false when the session was revoked with immediate effect.
func (c *session) setInterrupt(cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupt = cancel
	return c.revoked == nil || c.mode != revokeNow
}

// endRequest marks the session as idle. It returns a refusal when the session
// must end now.
func (c *session) endRequest() *refuser.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.interrupt = nil
	c.inTransaction = c.bound != nil && c.bound.open
	if c.revoked != nil && (c.mode == revokeNow || !c.inTransaction) {
		return c.revoked
	}
	return nil
}

// revocation returns the refusal that revoked the session with immediate
// effect, or nil.
func (c *session) revocation() *refuser.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode != revokeNow {
		return nil
	}
	return c.revoked
}

// revoke ends the session, immediately or after its request and transaction.
func (c *session) revoke(r *refuser.Refusal, mode revokeMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked != nil && c.mode == revokeNow {
		return
	}
	c.revoked = r
	c.mode = mode
	c.server.Log.Info(logger.EventSessionEndedByProxy, zap.String("reason", string(r.Reason)),
		zap.String("organisation", c.organisation), zap.String("key", c.keyID))
	switch {
	case c.busy && mode == revokeNow:
		if c.interrupt != nil {
			c.interrupt()
		}
	case !c.busy && (mode == revokeNow || !c.inTransaction):
		if b, err := r.ErrorResponse().Encode(nil); err == nil {
			_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = c.conn.Write(b)
		}
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeBinding closes the upstream connection that is bound to the session, if
// any.
func (c *session) closeBinding() {
	if c.bound == nil {
		return
	}
	c.clearCancelTarget()
	c.bound.pool.Discard(c.bound.conn)
	c.bound = nil
}

// txStatus returns the client's transaction status for ReadyForQuery.
func (c *session) txStatus() byte {
	switch {
	case c.aborted:
		return txFailed
	case c.bound != nil && c.bound.open:
		return txOpen
	}
	return txIdle
}

// emit appends a message to the response.
func (c *session) emit(m pgproto3.BackendMessage) error {
	b, err := m.Encode(c.response)
	if err != nil {
		return err
	}
	c.response = b
	return nil
}

// flush writes the response.
func (c *session) flush() error { return c.flushTo(len(c.response)) }

// flushTo writes the first n bytes of the response.
func (c *session) flushTo(n int) error {
	if n == 0 {
		return nil
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.Limits.WriteTimeout))
	if _, err := c.conn.Write(c.response[:n]); err != nil {
		return &clientError{err}
	}
	rest := copy(c.response, c.response[n:])
	c.response = c.response[:rest]
	return nil
}

// clientError means that writing to the client failed.
type clientError struct{ err error }

func (e *clientError) Error() string { return "server: write to client: " + e.err.Error() }

func (e *clientError) Unwrap() error { return e.err }
