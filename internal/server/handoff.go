package server

import (
	"context"
	"net"

	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// Handoff is an authenticated session that another host serves.
type Handoff struct {
	// From is the host that the caller is connected to.
	From  string `json:"from"`
	KeyID string `json:"key_id,omitempty"`
	// Parameters are those of the caller's startup message.
	Parameters map[string]string `json:"parameters"`
}

// HandOff opens a connection to a host that owns the group and has taken the
// session. It returns nil when this host owns the group itself.
type HandOff func(ctx context.Context, group string, h Handoff) (net.Conn, *refuser.Refusal)

// handOff gives the session to an owner of its group. It reports false when
// this host serves it.
func (c *session) handOff(ctx context.Context, parameters map[string]string) (bool, error) {
	if c.server.HandOff == nil {
		return false, nil
	}
	conn, r := c.server.HandOff(ctx, c.group, Handoff{KeyID: c.keyID, Parameters: parameters})
	if r != nil {
		return false, r
	}
	if conn == nil {
		return false, nil
	}
	// The end of the authentication goes before what the owner sends.
	c.owner = conn
	if err := c.backend.Flush(); err != nil {
		_ = conn.Close()
		return false, errStartupEnded
	}
	return true, nil
}

// relay carries the session's bytes to and from its owner until either end
// closes or ctx ends. At a graceful shutdown the owner ends the session.
func (c *session) relay(ctx context.Context) {
	c.server.relays.Add(1)
	defer c.server.relays.Add(-1)
	stop := context.AfterFunc(ctx, func() {
		_ = c.conn.Close()
		_ = c.owner.Close()
	})
	defer stop()
	forwarder.Relay(c.conn, c.owner)
}

// AcceptHandoff reports whether a handed-off session is taken now. ServeHandoff
// must follow.
func (s *Server) AcceptHandoff() bool {
	s.drainMu.Lock()
	defer s.drainMu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.handed.Add(1)
	return true
}

// ServeHandoff serves a session that another host has authenticated, and closes
// the connection.
func (s *Server) ServeHandoff(ctx context.Context, conn net.Conn, h Handoff) {
	c := s.newSession(conn)
	c.from = h.From
	defer s.handed.Done()
	s.serveSession(ctx, c, func(ctx context.Context) error {
		c.attachWorkspace(nil)
		c.keyID = h.KeyID
		state := s.State()
		c.organisation = state.Keys[h.KeyID].Organisation
		return c.enter(ctx, state, h.Parameters)
	})
}

// EndHandoffs ends the sessions that a host has handed off, each after its
// request or transaction. The host is shutting down.
func (s *Server) EndHandoffs(from string) {
	s.sessions.each(func(c *session) {
		if c.from == from {
			c.revoke(refuser.New(refuser.ReasonShuttingDown, "host "+from), revokeAfterWork)
		}
	})
}

// Release ends the sessions of a group that this host no longer owns, each after
// its request or transaction.
func (s *Server) Release(group string) {
	s.sessions.each(func(c *session) {
		if c.group == group {
			c.revoke(refuser.New(refuser.ReasonShuttingDown, "group "+group+" has other owners"), revokeAfterWork)
		}
	})
}
