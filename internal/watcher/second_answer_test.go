package watcher

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// serveProbes answers queries on a connection with rising positions. The response to the
// first query is sent again after the second has arrived.
func serveProbes(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	var late []byte
	setting := ""
	for n := 1; ; n++ {
		msg, err := backend.Receive()
		query, ok := msg.(*pgproto3.Query)
		if err != nil || !ok {
			return
		}
		var response []byte
		for _, statement := range strings.Split(query.String, ";") {
			if _, set, ok := strings.Cut(statement, "SET "); ok {
				_, quoted, _ := strings.Cut(set, "= ")
				setting = strings.Trim(quoted, "'")
				if response, err = (&pgproto3.CommandComplete{CommandTag: []byte("SET")}).Encode(response); err != nil {
					return
				}
				continue
			}
			value := setting
			if strings.Contains(statement, "SHOW upstream_position") {
				value = fmt.Sprintf("1/%d", n)
			}
			for _, m := range []pgproto3.BackendMessage{
				&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}},
				&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
			} {
				if response, err = m.Encode(response); err != nil {
					return
				}
			}
		}
		if response, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(response); err != nil {
			return
		}
		if _, err := conn.Write(append(late, response...)); err != nil {
			return
		}
		if late = nil; n == 1 {
			late = response
		}
	}
}

// A position from before a probe was taken for the one at its time, so reads could miss
// commits.
func TestSecondAnswerIsNotTakenForALaterProbe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			serveProbes(conn)
		}
	}()
	conn, err := pgconn.Connect(t.Context(), "postgres://u@"+l.Addr().String()+"/d?sslmode=disable")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close(context.Background()) }()
	m := &Monitor{Upstream: "u", GroupStatus: &GroupStatus{}, Timeout: 10 * time.Second, IsPrimary: func() bool { return true }}
	qt.Assert(t, m.probe(t.Context(), conn), qt.IsNil)
	qt.Assert(t, m.GroupStatus.Statuses()["u"].Position, qt.Equals, tracker.Position{Term: 1, Offset: 1})
	if err := m.probe(t.Context(), conn); err == nil {
		qt.Assert(t, m.GroupStatus.Statuses()["u"].Position, qt.Equals, tracker.Position{Term: 1, Offset: 2})
	}
}
