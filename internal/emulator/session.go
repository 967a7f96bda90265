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

// parameterConnection is the run-time parameter that identifies the connection.
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
	// ignoreTillSync is true after an error until the next Sync message.
	ignoreTillSync bool

	mu         sync.Mutex
	cancelFunc context.CancelFunc
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
			u.openConns.add(conn)
			defer u.openConns.remove(conn)
			defer func() { _ = conn.Close() }()
			u.serveConn(ctx, conn, verifier)
		}()
	}
}

func (u *Upstream) serveConn(ctx context.Context, conn net.Conn, verifier string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if u.isolated.Load() {
		return
	}
	s := &sqlSession{
		upstream: u, ctx: ctx, conn: conn, backend: pgproto3.NewBackend(conn, conn), types: pgtype.NewMap(),
		settings: map[string]string{}, statements: map[string]*prepared{}, portals: map[string]execution{},
	}
	if action := u.Faults.actionAt(FaultAccept, ""); action != FaultNone {
		_ = s.injectFault(action)
		return
	}
	if !s.startup(verifier) {
		return
	}
	if u.conns.Add(1) > int64(u.Connections) {
		u.conns.Add(-1)
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: stateTooManyConnections, Message: "too many connections"})
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
	if s.sendStartup(pid) != nil {
		return
	}
	s.serveMessages()
}

// startup handles the messages up to the end of authentication.
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
			if pauser.Sleep(s.ctx, s.upstream.ConnectDelay) != nil {
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

func (s *sqlSession) sendStartup(pid uint32) error {
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
	s.sendPosition(s.upstream.currentPosition())
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: binary.BigEndian.AppendUint32(nil, pid)})
	s.sendReady()
	return s.backend.Flush()
}

func (s *sqlSession) sendPosition(p tracker.Position) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: ParameterPosition, Value: p.String()})
}

func (s *sqlSession) sendComplete(tag string) {
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *sqlSession) sendReady() {
	status := byte('I')
	if s.tx != nil && s.tx.explicit {
		status = 'T'
		if s.tx.failed {
			status = 'E'
		}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// injectFault executes a fault. Messages that were not flushed are dropped.
func (s *sqlSession) injectFault(action FaultAction) error {
	if action == FaultStall {
		_, _ = io.Copy(io.Discard, s.conn)
	}
	return errConnClosed
}

func (s *sqlSession) serveMessages() {
	// Expire the deadline so that reads and writes in progress return when ctx is done.
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

// handle processes one message. It returns only errConnClosed and write errors.
func (s *sqlSession) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.handleQuery(m.String)
	case *pgproto3.Sync:
		s.ignoreTillSync = false
		return s.endBatch()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.ignoreTillSync {
		return nil
	}
	err := s.handleExtended(msg)
	if err == nil {
		return nil
	}
	if errors.Is(err, errConnClosed) {
		return err
	}
	s.sendError(err)
	s.ignoreTillSync = true
	return nil
}

// sendError sends an error, rolls an implicit transaction back and marks an
// explicit one as failed.
func (s *sqlSession) sendError(err error) {
	s.backend.Send(toSQLError(err).response())
	if s.tx == nil {
		return
	}
	s.tx.failed = true
	if !s.tx.explicit {
		s.tx.rollback()
		s.tx = nil
	}
}

// endBatch commits the implicit transaction and sends ReadyForQuery.
func (s *sqlSession) endBatch() error {
	if s.tx != nil && !s.tx.explicit {
		tx := s.tx
		s.tx = nil
		if err := s.commit(tx); errors.Is(err, errConnClosed) {
			return err
		} else if err != nil {
			s.backend.Send(toSQLError(err).response())
		}
	}
	if s.tx == nil {
		clear(s.portals)
	}
	s.sendReady()
	return s.backend.Flush()
}

func (s *sqlSession) handleQuery(text string) error {
	for _, statement := range classifier.Split(text) {
		err := s.run(execution{statement: statement, describe: true})
		if errors.Is(err, errConnClosed) {
			return err
		}
		if err != nil {
			s.sendError(err)
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
			return &sqlError{stateInvalidCursorName, "portal " + m.Portal + " does not exist"}
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
	return &sqlError{stateFeatureNotSupported, "message is not supported by the stand-in"}
}

func (s *sqlSession) handleParse(m *pgproto3.Parse) error {
	statements := classifier.Split(m.Query)
	if len(statements) > 1 {
		return &sqlError{stateSyntaxError, "cannot insert multiple commands into a prepared statement"}
	}
	if _, ok := s.statements[m.Name]; ok && m.Name != "" {
		return &sqlError{"42P05", "prepared statement " + m.Name + " already exists"}
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
		return &sqlError{stateInvalidStatementName, "prepared statement " + m.PreparedStatement + " does not exist"}
	}
	if len(m.Parameters) != len(p.oids) {
		return &sqlError{"08P01", "bind message has the wrong number of parameters"}
	}
	x := execution{statement: p.statement, formats: append([]int16(nil), m.ResultFormatCodes...), fields: p.fields}
	for i, src := range m.Parameters {
		v, err := decodeParameter(s.types, p.oids[i], formatAt(m.ParameterFormatCodes, i), src)
		if err != nil {
			return &sqlError{"22P03", err.Error()}
		}
		x.args = append(x.args, v)
	}
	if x.fields == nil && !hasNoResultColumns(x.statement) {
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
			return &sqlError{stateInvalidCursorName, "portal " + m.Name + " does not exist"}
		}
		s.sendFields(withFormats(x.fields, x.formats))
		return nil
	}
	p, ok := s.statements[m.Name]
	if !ok {
		return &sqlError{stateInvalidStatementName, "prepared statement " + m.Name + " does not exist"}
	}
	if action := s.upstream.Faults.actionAt(FaultDescribe, p.statement.Text); action != FaultNone {
		_ = s.backend.Flush()
		return s.injectFault(action)
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
