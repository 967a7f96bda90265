package server

import (
	"context"
	"net"

	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// Handoff describes an authenticated session that another host serves.
type Handoff struct {
	// From is the host that the client is connected to.
	From  string `json:"from"`
	KeyID string `json:"key_id,omitempty"`
	// Parameters are those of the client's startup message.
	Parameters map[string]string `json:"parameters"`
}

// HandoffFunc opens a connection to a host that owns the group and has accepted
// the session. It returns nil when this host itself owns the group.
type HandoffFunc func(ctx context.Context, group string, h Handoff) (net.Conn, *refuser.Refusal)

// openHandoff hands the session off to an owner of its group. It returns false
// when this host serves the session.
func (c *session) openHandoff(ctx context.Context, parameters map[string]string) (bool, error) {
	if c.server.OpenHandoff == nil {
		return false, nil
	}
	conn, r := c.server.OpenHandoff(ctx, c.group, Handoff{KeyID: c.keyID, Parameters: parameters})
	if r != nil {
		return false, r
	}
	if conn == nil {
		return false, nil
	}
	// The end of the authentication must precede the owner's messages.
	c.ownerConn = conn
	if err := c.backend.Flush(); err != nil {
		_ = conn.Close()
		return false, errStartupEnded
	}
	return true, nil
}

// relay copies bytes between the client and the owner until either side closes
// or ctx ends. At a graceful shutdown the owner ends the session.
func (c *session) relay(ctx context.Context) {
	c.server.relays.Add(1)
	defer c.server.relays.Add(-1)
	stop := context.AfterFunc(ctx, func() {
		_ = c.conn.Close()
		_ = c.ownerConn.Close()
	})
	defer stop()
	forwarder.Relay(c.conn, c.ownerConn)
}

// AcceptHandoff reports whether this host accepts a handed-off session now. If
// so, ServeHandoff must be called.
func (s *Server) AcceptHandoff() bool {
	s.drainMu.Lock()
	defer s.drainMu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.handoffs.Add(1)
	return true
}

// ServeHandoff serves a session that another host has authenticated, and closes
// the connection.
func (s *Server) ServeHandoff(ctx context.Context, conn net.Conn, h Handoff) {
	c := s.newSession(conn)
	c.origin = h.From
	defer s.handoffs.Done()
	s.serveSession(ctx, c, func(ctx context.Context) error {
		c.attachWorkspace(nil)
		c.keyID = h.KeyID
		state := s.State()
		c.organisation = state.Keys[h.KeyID].Organisation
		return c.openSession(ctx, state, h.Parameters)
	})
}

// EndHandoffsFrom ends the sessions that a host has handed off, each after its
// request or transaction. It is called when that host shuts down.
func (s *Server) EndHandoffsFrom(from string) {
	s.sessions.each(func(c *session) {
		if c.origin == from {
			c.revoke(refuser.New(refuser.ReasonShuttingDown, "host "+from), revokeAfterRequest)
		}
	})
}

// EndGroupSessions ends the sessions of a group that this host no longer owns,
// each after its request or transaction.
func (s *Server) EndGroupSessions(group string) {
	s.sessions.each(func(c *session) {
		if c.group == group {
			c.revoke(refuser.New(refuser.ReasonShuttingDown, "group "+group+" has other owners"), revokeAfterRequest)
		}
	})
}
