package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/pooler"
)

// cancelTimeout is the timeout of a cancel request to an upstream.
const cancelTimeout = 2 * time.Second

// CancelStatement stops the running statement of the session that has the
// cancel key. It reports whether the key belongs to this host.
func (s *Server) CancelStatement(ctx context.Context, pid uint32, secret []byte) bool {
	c := s.sessions.find(pid, secret)
	if c == nil {
		return false
	}
	c.cancelRunning(ctx)
	return true
}

// CancelKeyHost returns the number of the host that issued a cancel key.
func CancelKeyHost(pid uint32) uint32 { return pid >> pidBits }

func (s *Server) cancel(ctx context.Context, pid uint32, secret []byte) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if CancelKeyHost(pid) == s.HostNumber.Load() {
		if !s.CancelStatement(ctx, pid, secret) {
			s.Log.Info(logger.EventCancelNotDelivered, zap.Uint32("pid", pid), zap.String("reason", "this host has no such session"))
		}
		return
	}
	if s.ForwardCancel != nil {
		s.ForwardCancel(ctx, pid, secret)
	}
}

// cancelRunning asks the upstream to stop the running statement. The lock is
// held until the upstream has accepted the request, so that the connection
// cannot serve another session in the meantime. The connection is not reused
// afterwards.
func (c *session) cancelRunning(ctx context.Context) {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if c.cancelTarget == nil {
		c.server.Log.Info(logger.EventCancelNotDelivered, zap.Uint32("pid", c.pid), zap.String("reason", "the session runs no statement"))
		return
	}
	c.cancelSent = true
	if err := c.cancelTarget.Cancel(ctx, c.server.Dial); err != nil {
		c.server.Log.Info(logger.EventCancelNotDelivered, zap.Uint32("pid", c.pid), zap.String("reason", "the upstream did not take it"), zap.Error(err))
	}
}

// setCancelTarget makes a connection the target of cancel requests.
func (c *session) setCancelTarget(conn *pooler.Conn) {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	c.cancelTarget = conn
	c.cancelSent = false
}

// clearCancelTarget removes the target of cancel requests and reports whether a
// cancel request was sent to it.
func (c *session) clearCancelTarget() bool {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	c.cancelTarget = nil
	return c.cancelSent
}
