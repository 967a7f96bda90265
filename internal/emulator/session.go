package emulator

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/internal/pauser"
	"github.com/shallotstage/shallotstage/pkg/classifier"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// parameterConnection is the parameter that names the connection.
const parameterConnection = "upstream_connection"

// sqlSession is one SQL connection.
type sqlSession struct {
	upstream *Upstream
	ctx      context.Context
	conn     net.Conn
	backend  *pgproto3.Backend
	types    *pgtype.Map
	settings map[string]string

	statements map[string]*prepared
	portals    map[string]execution
	tx         *transaction
	// skipping is true after an error until the next Sync.
	skipping bool

	mu   sync.Mutex
	stop context.CancelFunc
}

// prepared is a prepared statement.
type prepared struct {
	statement classifier.Statement
	oids      []uint32
	fields    []pgproto3.FieldDescription
}

// acceptAll serves SQL connections until the listener closes.
func (u *Upstream) acceptAll(ctx context.Context, l net.Listener, verifier string, wg *sync.WaitGroup) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			u.socks.add(conn)
			defer u.socks.remove(conn)
			defer func() { _ = conn.Close() }()
			u.serveConn(ctx, conn, verifier)
		}()
	}
}

func (u *Upstream) serveConn(ctx context.Context, conn net.Conn, verifier string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if u.cutOff.Load() {
		return
	}
	s := &sqlSession{
		upstream: u, ctx: ctx, conn: conn, backend: pgproto3.NewBackend(conn, conn), types: pgtype.NewMap(),
		settings: map[string]string{}, statements: map[string]*prepared{}, portals: map[string]execution{},
	}
	if action := u.Faults.strike(FaultAccept, ""); action != FaultNone {
		_ = s.suffer(action)
		return
	}
	if !s.startup(verifier) {
		return
	}
	if u.conns.Add(1) > int64(u.Connections) {
		u.conns.Add(-1)
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: stateTooMany, Message: "too many connections"})
		_ = s.backend.Flush()
		return
	}
	defer u.conns.Add(-1)
	defer func() {
		if s.tx != nil {
			s.tx.rollback()
		}
	}()
	pid := u.cancels.add(s)
	defer u.cancels.remove(pid)
	if s.greet(pid) != nil {
		return
	}
	s.loop()
}

// startup handles the messages up to authentication.
func (s *sqlSession) startup(verifier string) bool {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.upstream.cancels.cancel(m.ProcessID)
			return false
		case *pgproto3.StartupMessage:
			if pauser.Pause(s.ctx, s.upstream.ConnectDelay) != nil {
				return false
			}
			user := m.Parameters["user"]
			a := authenticator.Authenticator{Verifier: func(name string) (string, bool) { return verifier, name == s.upstream.User }}
			if err := a.Authenticate(s.backend, user); err != nil {
				s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"})
				_ = s.backend.Flush()
				return false
			}
			return true
		default:
			return false
		}
	}
}

func (s *sqlSession) greet(pid uint32) error {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.settings[parameterConnection] = fmt.Sprintf("%s/%d", s.upstream.ID, pid)
	for _, p := range [][2]string{
		{"server_version", "16.0 (stand-in)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		s.settings[strings.ToLower(p[0])] = p[1]
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.reportPosition(s.upstream.currentPosition())
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: binary.BigEndian.AppendUint32(nil, pid)})
	s.ready()
	return s.backend.Flush()
}

func (s *sqlSession) reportPosition(p tracker.Position) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: ParameterPosition, Value: p.String()})
}

func (s *sqlSession) complete(tag string) {
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *sqlSession) ready() {
	status := byte('I')
	if s.tx != nil && s.tx.explicit {
		status = 'T'
		if s.tx.failed {
			status = 'E'
		}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// suffer carries out a fault. Messages already flushed stay sent.
func (s *sqlSession) suffer(action FaultAction) error {
	if action == FaultStall {
		_, _ = io.Copy(io.Discard, s.conn)
	}
	return errLost
}

func (s *sqlSession) loop() {
	// A stalled or cut connection is closed under the session's hands.
	go func() {
		<-s.ctx.Done()
		_ = s.conn.SetDeadline(time.Unix(1, 0))
	}()
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handle(msg); err != nil {
			return
		}
	}
}

// handle processes one message. Only errLost and write errors are returned.
func (s *sqlSession) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.handleQuery(m.String)
	case *pgproto3.Sync:
		s.skipping = false
		return s.endBatch()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipping {
		return nil
	}
	err := s.handleExtended(msg)
	if err == nil {
		return nil
	}
	if errors.Is(err, errLost) {
		return err
	}
	s.fail(err)
	s.skipping = true
	return nil
}

// fail reports an error and ends or marks the transaction.
func (s *sqlSession) fail(err error) {
	s.backend.Send(asFailure(err).response())
	if s.tx == nil {
		return
	}
	s.tx.failed = true
	if !s.tx.explicit {
		s.tx.rollback()
		s.tx = nil
	}
}

// endBatch commits the implicit transaction and reports readiness.
func (s *sqlSession) endBatch() error {
	if s.tx != nil && !s.tx.explicit {
		tx := s.tx
		s.tx = nil
		if err := s.commit(tx); errors.Is(err, errLost) {
			return err
		} else if err != nil {
			s.backend.Send(asFailure(err).response())
		}
	}
	if s.tx == nil {
		clear(s.portals)
	}
	s.ready()
	return s.backend.Flush()
}

func (s *sqlSession) handleQuery(text string) error {
	for _, statement := range classifier.Split(text) {
		err := s.run(execution{statement: statement, describe: true})
		if errors.Is(err, errLost) {
			return err
		}
		if err != nil {
			s.fail(err)
			break
		}
	}
	return s.endBatch()
}

func (s *sqlSession) handleExtended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.handleParse(m)
	case *pgproto3.Bind:
		return s.handleBind(m)
	case *pgproto3.Describe:
		return s.handleDescribe(m)
	case *pgproto3.Execute:
		x, ok := s.portals[m.Portal]
		if !ok {
			return &failure{stateNoPortal, "portal " + m.Portal + " does not exist"}
		}
		return s.run(x)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return &failure{stateUnsupported, "message is not supported by the stand-in"}
}

func (s *sqlSession) handleParse(m *pgproto3.Parse) error {
	statements := classifier.Split(m.Query)
	if len(statements) > 1 {
		return &failure{stateSyntax, "cannot insert multiple commands into a prepared statement"}
	}
	if _, ok := s.statements[m.Name]; ok && m.Name != "" {
		return &failure{"42P05", "prepared statement " + m.Name + " already exists"}
	}
	columns, err := columnOIDs(s.ctx, s.upstream.db())
	if err != nil {
		return err
	}
	p := &prepared{statement: statements[0]}
	p.oids = parameterOIDs(p.statement.Text, m.ParameterOIDs, columns)
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *sqlSession) handleBind(m *pgproto3.Bind) error {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		return &failure{stateNoStatement, "prepared statement " + m.PreparedStatement + " does not exist"}
	}
	if len(m.Parameters) != len(p.oids) {
		return &failure{"08P01", "bind message has the wrong number of parameters"}
	}
	x := execution{statement: p.statement, formats: append([]int16(nil), m.ResultFormatCodes...), fields: p.fields}
	for i, src := range m.Parameters {
		v, err := decodeParameter(s.types, p.oids[i], formatAt(m.ParameterFormatCodes, i), src)
		if err != nil {
			return &failure{"22P03", err.Error()}
		}
		x.args = append(x.args, v)
	}
	if x.fields == nil && !returnsNothing(x.statement) {
		fields, err := s.describeStatement(p)
		if err != nil {
			return err
		}
		x.fields = fields
	}
	s.portals[m.DestinationPortal] = x
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *sqlSession) handleDescribe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		x, ok := s.portals[m.Name]
		if !ok {
			return &failure{stateNoPortal, "portal " + m.Name + " does not exist"}
		}
		s.sendFields(withFormats(x.fields, x.formats))
		return nil
	}
	p, ok := s.statements[m.Name]
	if !ok {
		return &failure{stateNoStatement, "prepared statement " + m.Name + " does not exist"}
	}
	if action := s.upstream.Faults.strike(FaultDescribe, p.statement.Text); action != FaultNone {
		_ = s.backend.Flush()
		return s.suffer(action)
	}
	fields, err := s.describeStatement(p)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
	s.sendFields(fields)
	return nil
}

func (s *sqlSession) sendFields(fields []pgproto3.FieldDescription) {
	if len(fields) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
}
