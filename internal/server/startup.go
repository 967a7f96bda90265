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
var errStartupEnded = errors.New("server: connection ended during startup")

// openOrganisation is charged for requests on open routes.
const openOrganisation = "open"

// serveConn runs one caller's connection from startup to its end.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	c := s.newSession(conn)
	s.serveSession(ctx, c, c.startup)
}

func (s *Server) newSession(conn net.Conn) *session {
	return &session{server: s, conn: conn, settings: map[string]string{}}
}

// serveSession runs a session from its startup to its end.
func (s *Server) serveSession(ctx context.Context, c *session, startup func(ctx context.Context) error) {
	defer func() {
		_ = c.conn.Close()
		c.detachWorkspace()
	}()
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(s.Bounds.StartupTimeout))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	err := startup(ctx)
	stop()
	if err != nil {
		if r := refuser.From(err); r != nil {
			s.Meter.Refused(r)
			c.backend.Send(r.Response())
			_ = c.backend.Flush()
		}
		return
	}
	_ = conn.SetDeadline(time.Time{})
	c.detachWorkspace()
	if c.owner != nil {
		c.relay(ctx)
		return
	}
	defer s.sessions.remove(c)
	c.run(ctx)
}

// startup runs the exchange up to the first ReadyForQuery.
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

// login authenticates the caller and finds its route.
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
	return c.enter(ctx, state, parameters)
}

// enter checks that the route admits the caller, and greets it or hands it to
// another host.
func (c *session) enter(ctx context.Context, state *configurer.State, parameters map[string]string) error {
	c.routeID = parameters["database"]
	route, ok := state.Routes[c.routeID]
	if !ok {
		return refuser.New(refuser.ReasonRouteUnknown, "route "+c.routeID)
	}
	if route.Open {
		c.organisation = openOrganisation
	}
	c.open = route.Open
	c.group = route.Group
	if r := c.standing(state); r != nil {
		return r
	}
	if c.from == "" {
		if handed, err := c.handOff(ctx, parameters); handed || err != nil {
			return err
		}
	}
	if err := c.takeStartupSettings(parameters); err != nil {
		return err
	}
	if err := c.server.sessions.add(c, c.server.HostNumber.Load()); err != nil {
		return errStartupEnded
	}
	if c.server.draining.Load() {
		// The drain may have begun before the session could be told of it.
		c.server.sessions.remove(c)
		return refuser.New(refuser.ReasonShuttingDown, "")
	}
	return c.greet(ctx)
}

func (c *session) authenticate(state *configurer.State, user string) error {
	if !c.server.Authority() {
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

// startupSkipped are startup parameters that are not session settings.
var startupSkipped = map[string]bool{"user": true, "database": true, "options": true, "replication": true}

// takeStartupSettings stores the settings of the startup message, among them
// those in options of the form "-c name=value".
func (c *session) takeStartupSettings(parameters map[string]string) error {
	for name, value := range parameters {
		name = strings.ToLower(name)
		if startupSkipped[name] || strings.HasPrefix(name, "_pq_.") {
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

// reportedParameters are told to a caller at login, with their names as
// PostgreSQL spells them and a value for the case that no upstream answers.
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

// greet completes the login.
func (c *session) greet(context.Context) error {
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
