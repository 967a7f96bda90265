package emulator

import (
	"context"
	"database/sql"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/shallotstage/shallotstage/internal/pauser"
	"github.com/shallotstage/shallotstage/pkg/classifier"
)

// flushRows is the number of rows after which a result is flushed.
const flushRows = 128

var (
	sleepPattern = regexp.MustCompile(`(?i)^select\s+pg_sleep\(([0-9.]+)\)$`)
	// writingFunctionPattern matches a SELECT of a function that writes.
	writingFunctionPattern = regexp.MustCompile(`(?i)^select\s+record_visit\((.*)\)$`)
)

// execution is a statement with its parameters and result formats.
type execution struct {
	statement classifier.Statement
	args      []any
	formats   []int16
	// describe is true if a row description must be sent.
	describe bool
	// fields are the result columns; nil if they are not known yet.
	fields []pgproto3.FieldDescription
}

// querier is implemented by *sql.DB and *sql.Conn.
type querier interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
}

// run executes one statement in the session's current transaction state and
// sends its result.
func (s *sqlSession) run(x execution) error {
	if action := s.upstream.Faults.actionAt(FaultStatement, x.statement.Text); action != FaultNone {
		return s.injectFault(action)
	}
	if s.tx != nil && s.tx.failed && x.statement.Class != classifier.ClassRollback && x.statement.Class != classifier.ClassCommit {
		return &sqlError{stateInFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch x.statement.Class {
	case classifier.ClassEmpty:
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	case classifier.ClassBegin, classifier.ClassBeginReadOnly:
		return s.runBegin(x.statement.Class == classifier.ClassBeginReadOnly)
	case classifier.ClassCommit:
		return s.runCommit()
	case classifier.ClassRollback:
		return s.runRollback()
	case classifier.ClassSet, classifier.ClassReset, classifier.ClassShow:
		return s.runSetting(x)
	case classifier.ClassUnsupported:
		return &sqlError{stateFeatureNotSupported, "statement is not supported by the stand-in"}
	}
	ctx, done := s.statementContext()
	defer done()
	if err := s.acquireSlot(ctx); err != nil {
		return err
	}
	defer s.releaseSlot()
	if m := sleepPattern.FindStringSubmatch(x.statement.Text); m != nil {
		return s.runSleep(ctx, m[1], x)
	}
	if m := writingFunctionPattern.FindStringSubmatch(x.statement.Text); m != nil {
		x.statement = classifier.Statement{Class: classifier.ClassWrite, Text: "INSERT INTO visits (name) VALUES (" + m[1] + ") RETURNING name"}
	}
	if x.statement.Class == classifier.ClassRead {
		return s.runRead(ctx, x)
	}
	return s.runWrite(ctx, x)
}

func (s *sqlSession) acquireSlot(ctx context.Context) error {
	select {
	case s.upstream.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.upstream.ServiceTime > 0 {
		return pauser.Sleep(ctx, s.upstream.ServiceTime)
	}
	return nil
}

func (s *sqlSession) releaseSlot() { <-s.upstream.slots }

func (s *sqlSession) runBegin(readOnly bool) error {
	if s.tx == nil {
		tx, err := s.upstream.begin(s.ctx, true, readOnly)
		if err != nil {
			return err
		}
		s.tx = tx
	}
	s.tx.explicit = true
	s.sendComplete("BEGIN")
	return nil
}

func (s *sqlSession) runCommit() error {
	tx := s.tx
	s.tx = nil
	if tx == nil {
		s.sendComplete("COMMIT")
		return nil
	}
	if tx.failed {
		tx.rollback()
		s.sendComplete("ROLLBACK")
		return nil
	}
	if err := s.commit(tx); err != nil {
		return err
	}
	s.sendComplete("COMMIT")
	return nil
}

// commit commits a transaction and, if it wrote, sends its log position.
func (s *sqlSession) commit(tx *transaction) error {
	writes := len(tx.writes)
	pos, err := s.upstream.commitAndLog(s.ctx, tx)
	if err != nil {
		return err
	}
	if writes == 0 {
		return nil
	}
	s.sendPosition(pos)
	if action := s.upstream.Faults.actionAt(FaultCommit, ""); action != FaultNone {
		return s.injectFault(action)
	}
	return nil
}

func (s *sqlSession) runRollback() error {
	if s.tx != nil {
		s.tx.rollback()
		s.tx = nil
	}
	s.sendComplete("ROLLBACK")
	return nil
}

func (s *sqlSession) runSetting(x execution) error {
	st := x.statement
	switch st.Class {
	case classifier.ClassSet:
		s.settings[st.Setting] = st.Value
		s.sendComplete("SET")
		return nil
	case classifier.ClassReset:
		if st.Setting == "all" {
			s.settings = map[string]string{}
		}
		delete(s.settings, st.Setting)
		s.sendComplete("RESET")
		return nil
	}
	value, ok := s.settings[st.Setting]
	if st.Setting == ParameterPosition {
		value, ok = s.upstream.currentPosition().String(), true
	}
	if !ok {
		return &sqlError{stateUndefinedObject, fmt.Sprintf("unrecognized configuration parameter %q", st.Setting)}
	}
	if x.describe {
		s.backend.Send(&pgproto3.RowDescription{Fields: showFields(st.Setting)})
	}
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.sendComplete("SHOW")
	return nil
}

func showFields(name string) []pgproto3.FieldDescription {
	return []pgproto3.FieldDescription{{Name: []byte(name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1}}
}

func (s *sqlSession) runSleep(ctx context.Context, seconds string, x execution) error {
	f, err := strconv.ParseFloat(seconds, 64)
	if err != nil {
		return &sqlError{stateSyntaxError, err.Error()}
	}
	if err := pauser.Sleep(ctx, time.Duration(f*float64(time.Second))); err != nil {
		return err
	}
	if x.describe {
		s.backend.Send(&pgproto3.RowDescription{Fields: showFields("pg_sleep")})
	}
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{{}}})
	s.sendComplete("SELECT 1")
	return nil
}

func (s *sqlSession) runRead(ctx context.Context, x execution) error {
	if s.upstream.isPrimary() {
		s.upstream.primaryReads.Add(1)
	} else {
		s.upstream.replicaReads.Add(1)
	}
	s.upstream.mu.Lock()
	var q querier = s.upstream.engine.db
	s.upstream.mu.Unlock()
	if s.tx != nil {
		q = s.tx.conn
		if len(s.tx.writes) > 0 && !s.tx.inTransaction {
			if err := s.tx.resume(ctx); err != nil {
				return err
			}
			defer s.tx.suspend()
		}
	}
	rows, err := q.QueryContext(ctx, stripCasts(x.statement.Text), x.args...)
	if err != nil {
		return err
	}
	defer func() { _ = rows.Close() }()
	n, err := s.sendRows(rows, x)
	if err != nil {
		return err
	}
	s.sendComplete(fmt.Sprintf("SELECT %d", n))
	return nil
}

func (s *sqlSession) runWrite(ctx context.Context, x execution) error {
	if !s.upstream.isPrimary() || s.tx != nil && s.tx.readOnly {
		verb, _, _ := strings.Cut(x.statement.Text, " ")
		return &sqlError{stateReadOnlyTransaction, "cannot execute " + strings.ToUpper(verb) + " in a read-only transaction"}
	}
	if s.tx == nil {
		tx, err := s.upstream.begin(ctx, false, false)
		if err != nil {
			return err
		}
		s.tx = tx
	}
	if err := s.tx.resume(ctx); err != nil {
		return err
	}
	if s.tx.explicit {
		defer s.tx.suspend()
	}
	text := stripCasts(x.statement.Text)
	tag, err := s.execWrite(ctx, text, x)
	if err != nil {
		return err
	}
	s.tx.writes = append(s.tx.writes, Write{SQL: text, Args: x.args})
	s.sendComplete(tag)
	return nil
}

func (s *sqlSession) execWrite(ctx context.Context, text string, x execution) (string, error) {
	verb := strings.ToUpper(strings.Fields(text)[0])
	var n int64
	if returningPattern.MatchString(text) {
		rows, err := s.tx.conn.QueryContext(ctx, text, x.args...)
		if err != nil {
			return "", err
		}
		defer func() { _ = rows.Close() }()
		count, err := s.sendRows(rows, x)
		if err != nil {
			return "", err
		}
		n = int64(count)
	} else {
		result, err := s.tx.conn.ExecContext(ctx, text, x.args...)
		if err != nil {
			return "", err
		}
		n, _ = result.RowsAffected()
	}
	switch verb {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", n), nil
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", verb, n), nil
	}
	return verb, nil
}

// sendRows sends all rows and returns how many there were.
func (s *sqlSession) sendRows(rows *sql.Rows, x execution) (int, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return 0, fmt.Errorf("emulator: column types: %w", err)
	}
	values := make([]any, len(types))
	targets := make([]any, len(types))
	for i := range values {
		targets[i] = &values[i]
	}
	n := 0
	row := &pgproto3.DataRow{Values: make([][]byte, len(types))}
	for rows.Next() {
		if err := rows.Scan(targets...); err != nil {
			return n, fmt.Errorf("emulator: scan row: %w", err)
		}
		if x.fields == nil {
			x.fields = describeColumns(types, values)
		}
		if n == 0 && x.describe {
			s.backend.Send(&pgproto3.RowDescription{Fields: withFormats(x.fields, x.formats)})
		}
		for i, v := range values {
			row.Values[i] = encodeValue(s.types, x.fields[i].DataTypeOID, formatAt(x.formats, i), v)
		}
		s.backend.Send(row)
		n++
		if n%flushRows == 0 {
			if err := s.flushRows(x); err != nil {
				return n, err
			}
		}
	}
	if err := rows.Err(); err != nil {
		return n, err
	}
	if n == 0 && x.describe {
		if x.fields == nil {
			x.fields = describeColumns(types, values)
		}
		s.backend.Send(&pgproto3.RowDescription{Fields: withFormats(x.fields, x.formats)})
	}
	return n, nil
}

func (s *sqlSession) flushRows(x execution) error {
	if err := s.backend.Flush(); err != nil {
		return errConnClosed
	}
	if action := s.upstream.Faults.actionAt(FaultRow, x.statement.Text); action != FaultNone {
		return s.injectFault(action)
	}
	return nil
}

func describeColumns(types []*sql.ColumnType, values []any) []pgproto3.FieldDescription {
	fields := make([]pgproto3.FieldDescription, len(types))
	for i, t := range types {
		fields[i] = pgproto3.FieldDescription{
			Name:        []byte(t.Name()),
			DataTypeOID: resultOID(t.DatabaseTypeName(), t.Name(), values[i]), DataTypeSize: -1, TypeModifier: -1,
		}
	}
	return fields
}

func withFormats(fields []pgproto3.FieldDescription, formats []int16) []pgproto3.FieldDescription {
	out := append([]pgproto3.FieldDescription(nil), fields...)
	for i := range out {
		out[i].Format = formatAt(formats, i)
	}
	return out
}

// formatAt returns the format code of column i according to the rules of the
// Bind message.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgproto3.TextFormat
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgproto3.TextFormat
}
