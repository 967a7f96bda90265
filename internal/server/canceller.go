package server

import (
	"context"
	"time"

	"github.com/shallotstage/shallotstage/internal/pooler"
)

// cancelTimeout bounds a cancel request to an upstream.
const cancelTimeout = 2 * time.Second

// Cancel stops the running statement of the session with the cancel key. It
// reports whether the key belongs to this host.
func (s *Server) Cancel(ctx context.Context, pid uint32, secret []byte) bool {
	c := s.sessions.find(pid, secret)
	if c == nil {
		return false
	}
	c.cancelRunning(ctx)
	return true
}

// HostOf returns the number of the host that gave out a cancel key.
func HostOf(pid uint32) uint32 { return pid >> pidBits }

func (s *Server) cancel(ctx context.Context, pid uint32, secret []byte) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if HostOf(pid) == s.HostNumber.Load() {
		s.Cancel(ctx, pid, secret)
		return
	}
	if s.ForwardCancel != nil {
		s.ForwardCancel(ctx, pid, secret)
	}
}

// cancelRunning asks the upstream to stop the running statement. The lock is
// held until the upstream has taken the request, so that the connection can
// serve nobody else meanwhile; afterwards it is not used again.
func (c *session) cancelRunning(ctx context.Context) {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if c.running == nil {
		return
	}
	c.runningCancelled = true
	_ = c.running.Cancel(ctx, c.server.Dial)
}

// setRunning makes a connection the target of cancel requests.
func (c *session) setRunning(conn *pooler.Conn) {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	c.running = conn
	c.runningCancelled = false
}

// clearRunning ends that, and reports whether a cancel request was made.
func (c *session) clearRunning() bool {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	c.running = nil
	return c.runningCancelled
}
