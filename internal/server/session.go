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

// revokeMode says when a revoked session ends.
type revokeMode string

const (
	// revokeNow ends a running request too.
	revokeNow revokeMode = "now"
	// revokeAfterWork lets the request and its transaction end first.
	revokeAfterWork revokeMode = "after_work"
)

// binding is an upstream connection that belongs to a session for longer than
// one unit.
type binding struct {
	conn   *pooler.Conn
	pool   *pooler.Pool
	target target
	// pinned is true once the connection holds state that cannot be replayed.
	pinned bool
	// open is true inside a transaction, and between a Flush and its Sync.
	open bool
	// implicit is true while the open transaction is not a block of the
	// caller's own and will be committed by its Sync.
	implicit bool
	// pending are the statements of the open transaction.
	pending []classifier.Statement
}

// session is one caller's connection. Its goroutine owns all fields but those
// behind a mutex.
type session struct {
	server *Server
	conn   net.Conn
	*workspace
	// first is where the first byte of a unit is read.
	first [1]byte

	keyID        string
	organisation string
	routeID      string
	group        string
	open         bool
	pid          uint32
	secret       []byte

	// from is the host that handed the session off, or empty.
	from string
	// owner is the connection to the host that serves the session, or nil.
	owner net.Conn

	settings   map[string]string
	statements map[string]*statement
	portals    map[string]classifier.Statement
	// floor is the position that the session's reads must hold. It is known
	// after the first write, a token, or a question to the primary.
	floor      tracker.Position
	floorKnown bool
	maxAge     time.Duration

	// unitStart is when the present unit was complete.
	unitStart time.Time
	owed      owed

	bound *binding
	// aborted is true while the caller is in a transaction that the proxy
	// ended.
	aborted bool
	// skipping drops messages after a failure until the next Sync.
	skipping bool

	cancelMu         sync.Mutex
	running          *pooler.Conn
	runningCancelled bool

	mu            sync.Mutex
	revoked       *refuser.Refusal
	mode          revokeMode
	busy          bool
	inTransaction bool
	interrupt     context.CancelFunc
}

// standing returns a refusal when the state does not admit the session.
func (c *session) standing(state *configurer.State) *refuser.Refusal {
	route, ok := state.Routes[c.routeID]
	if !ok {
		return refuser.New(refuser.ReasonRouteUnknown, "route "+c.routeID)
	}
	if c.open {
		if !route.Open {
			return refuser.New(refuser.ReasonRouteForbidden, "route "+c.routeID+" is no longer open")
		}
		return nil
	}
	key, ok := state.Keys[c.keyID]
	if !ok || key.Withdrawn || key.Organisation != c.organisation {
		return refuser.New(refuser.ReasonKeyWithdrawn, "key "+c.keyID)
	}
	if _, ok := state.Organisations[c.organisation]; !ok || !route.Admits(c.organisation) {
		return refuser.New(refuser.ReasonRouteForbidden, "organisation "+c.organisation)
	}
	return nil
}

// run serves units until the connection or the session ends.
func (c *session) run(ctx context.Context) {
	defer c.dropBinding()
	for {
		err := c.awaitWork()
		if err == nil {
			err = c.readUnit()
		}
		if err != nil {
			c.reportReadError(err)
			return
		}
		unitCtx, cancel := context.WithCancel(ctx)
		if !c.setInterrupt(cancel) {
			cancel()
			return
		}
		c.unitStart = time.Now()
		err = c.serve(unitCtx, &c.unit)
		cancel()
		c.detachWorkspace()
		if r := c.endWork(); r != nil {
			c.say(r)
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *session) reportReadError(err error) {
	if r := refuser.From(err); r != nil {
		c.server.Meter.Refused(r)
		c.say(r)
	}
}

// say writes a refusal outside of any unit's answer.
func (c *session) say(r *refuser.Refusal) {
	b, err := r.Response().Encode(nil)
	if err != nil {
		return
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = c.conn.Write(b)
}

// beginWork marks the session busy. It returns false when it was revoked.
func (c *session) beginWork() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked != nil && (c.mode == revokeNow || !c.inTransaction) {
		return false
	}
	c.busy = true
	return true
}

// setInterrupt stores how to interrupt the running unit. It returns false when
// the session was revoked at once.
func (c *session) setInterrupt(cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupt = cancel
	return c.revoked == nil || c.mode != revokeNow
}

// endWork marks the session idle. It returns a refusal when the session must
// end now.
func (c *session) endWork() *refuser.Refusal {
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

// revocation returns the refusal that revoked the session, or nil.
func (c *session) revocation() *refuser.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode != revokeNow {
		return nil
	}
	return c.revoked
}

// revoke ends the session, at once or after its work.
func (c *session) revoke(r *refuser.Refusal, mode revokeMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked != nil && c.mode == revokeNow {
		return
	}
	c.revoked = r
	c.mode = mode
	c.server.Log.Info(logger.EventSessionEnded, zap.String("reason", string(r.Reason)),
		zap.String("organisation", c.organisation), zap.String("key", c.keyID))
	switch {
	case c.busy && mode == revokeNow:
		if c.interrupt != nil {
			c.interrupt()
		}
	case !c.busy && (mode == revokeNow || !c.inTransaction):
		if b, err := r.Response().Encode(nil); err == nil {
			_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = c.conn.Write(b)
		}
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// dropBinding closes the upstream connection that the session still holds.
func (c *session) dropBinding() {
	if c.bound == nil {
		return
	}
	c.clearRunning()
	c.bound.pool.Discard(c.bound.conn)
	c.bound = nil
}

// txStatus returns the state that the caller's transaction is in.
func (c *session) txStatus() byte {
	switch {
	case c.aborted:
		return txFailed
	case c.bound != nil && c.bound.open:
		return txOpen
	}
	return txIdle
}

// emit appends a message to the answer.
func (c *session) emit(m pgproto3.BackendMessage) error {
	b, err := m.Encode(c.out)
	if err != nil {
		return err
	}
	c.out = b
	return nil
}

// flush writes the answer.
func (c *session) flush() error { return c.flushTo(len(c.out)) }

// flushTo writes the first n bytes of the answer.
func (c *session) flushTo(n int) error {
	if n == 0 {
		return nil
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.Bounds.WriteTimeout))
	if _, err := c.conn.Write(c.out[:n]); err != nil {
		return &callerError{err}
	}
	rest := copy(c.out, c.out[n:])
	c.out = c.out[:rest]
	return nil
}

// callerError means that the caller's connection failed.
type callerError struct{ err error }

func (e *callerError) Error() string { return "server: write to caller: " + e.err.Error() }

func (e *callerError) Unwrap() error { return e.err }
