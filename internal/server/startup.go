package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// errStartupEnded means that the connection ended without a session.
var errStartupEnded = errors.New("server: connection closed during startup")

// openRouteOrganisation is charged for requests on open routes.
const openRouteOrganisation = "open"

// serveConn serves one client connection from startup to close.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	c := s.newSession(conn)
	s.serveSession(ctx, c, c.startup)
}

func (s *Server) newSession(conn net.Conn) *session {
	return &session{server: s, conn: conn, settings: map[string]string{}}
}

// serveSession runs a session from startup to close.
func (s *Server) serveSession(ctx context.Context, c *session, startup func(ctx context.Context) error) {
	defer func() {
		_ = c.conn.Close()
		c.detachWorkspace()
	}()
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(s.Limits.StartupTimeout))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	err := startup(ctx)
	stop()
	if err != nil {
		if r := refuser.AsRefusal(err); r != nil {
			s.Meter.AddRefusal(r)
			c.backend.Send(r.ErrorResponse())
			_ = c.backend.Flush()
		}
		return
	}
	_ = conn.SetDeadline(time.Time{})
	c.detachWorkspace()
	if c.ownerConn != nil {
		c.relay(ctx)
		return
	}
	defer s.sessions.remove(c)
	c.run(ctx)
}

// startup handles messages up to the first ReadyForQuery.
func (c *session) startup(ctx context.Context) error {
	c.attachWorkspace(nil)
	c.framer.startup = true
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return errStartupEnded
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if err := c.startTLS(ctx); err != nil {
				return err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return errStartupEnded
			}
		case *pgproto3.CancelRequest:
			c.server.cancel(ctx, m.ProcessID, m.SecretKey)
			return errStartupEnded
		case *pgproto3.StartupMessage:
			c.framer.startup = false
			return c.login(ctx, m.Parameters)
		default:
			return errStartupEnded
		}
	}
}

func (c *session) startTLS(ctx context.Context) error {
	if c.server.TLS == nil {
		if _, err := c.conn.Write([]byte{'N'}); err != nil {
			return errStartupEnded
		}
		return nil
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return errStartupEnded
	}
	t := tls.Server(c.conn, c.server.TLS)
	if err := t.HandshakeContext(ctx); err != nil {
		return errStartupEnded
	}
	c.conn = t
	c.workspace.conn = t
	c.framer.reset(t, nil)
	return nil
}

// login authenticates the client and opens its session.
func (c *session) login(ctx context.Context, parameters map[string]string) error {
	if c.server.draining.Load() {
		return refuser.New(refuser.ReasonShuttingDown, "")
	}
	state := c.server.State()
	if !state.Routes[parameters["database"]].Open {
		if err := c.authenticate(state, parameters["user"]); err != nil {
			return err
		}
	}
	return c.openSession(ctx, state, parameters)
}

// openSession checks that the route admits the client, then completes the login
// or hands the session off to another host.
func (c *session) openSession(ctx context.Context, state *configurer.State, parameters map[string]string) error {
	c.routeID = parameters["database"]
	route, ok := state.Routes[c.routeID]
	if !ok {
		return refuser.New(refuser.ReasonRouteUnknown, "route "+c.routeID)
	}
	if route.Open {
		c.organisation = openRouteOrganisation
	}
	c.openRoute = route.Open
	c.group = route.Group
	if r := c.checkAccess(state); r != nil {
		return r
	}
	if c.origin == "" {
		if handedOff, err := c.openHandoff(ctx, parameters); handedOff || err != nil {
			return err
		}
	}
	if err := c.applyStartupSettings(parameters); err != nil {
		return err
	}
	if err := c.server.sessions.add(c, c.server.HostNumber.Load()); err != nil {
		return errStartupEnded
	}
	if c.server.draining.Load() {
		// The drain may have begun before the session was registered, and then
		// has not revoked it.
		c.server.sessions.remove(c)
		return refuser.New(refuser.ReasonShuttingDown, "")
	}
	return c.sendLoginComplete(ctx)
}

func (c *session) authenticate(state *configurer.State, user string) error {
	if !c.server.LeaseValid() {
		return refuser.New(refuser.ReasonNoAuthority, "key cannot be checked")
	}
	a := authenticator.Authenticator{Verifier: func(name string) (string, bool) {
		k, ok := state.Keys[name]
		return k.Verifier, ok && !k.Withdrawn
	}}
	err := a.Authenticate(c.backend, user)
	if errors.Is(err, authenticator.ErrRejected) {
		return refuser.New(refuser.ReasonKeyRejected, "")
	}
	if err != nil {
		return errStartupEnded
	}
	c.keyID = user
	c.organisation = state.Keys[user].Organisation
	return nil
}

// ignoredParameters are the startup parameters that are not session settings.
var ignoredParameters = map[string]bool{"user": true, "database": true, "options": true, "replication": true}

// applyStartupSettings stores the settings of the startup message, including
// those in options of the form "-c name=value".
func (c *session) applyStartupSettings(parameters map[string]string) error {
	for name, value := range parameters {
		name = strings.ToLower(name)
		if ignoredParameters[name] || strings.HasPrefix(name, "_pq_.") {
			continue
		}
		if err := c.applySetting(name, value); err != nil {
			return err
		}
	}
	fields := strings.Fields(strings.ReplaceAll(parameters["options"], "--", "-c "))
	for i, f := range fields {
		f = strings.TrimPrefix(f, "-c")
		name, value, ok := strings.Cut(f, "=")
		if !ok || i > 0 && name == "" {
			continue
		}
		if err := c.applySetting(strings.ToLower(strings.ReplaceAll(name, "-", "_")), value); err != nil {
			return err
		}
	}
	return nil
}

// reportedParameters are reported to a client at login, spelled as in
// PostgreSQL, each with the value that is used when the session does not set
// it.
var reportedParameters = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"application_name", ""},
}

// sendLoginComplete sends the messages that complete the login.
func (c *session) sendLoginComplete(context.Context) error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		value := p[1]
		if v, ok := c.settings[strings.ToLower(p[0])]; ok {
			value = v
		}
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: value})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	if err := c.backend.Flush(); err != nil {
		return errStartupEnded
	}
	return nil
}
