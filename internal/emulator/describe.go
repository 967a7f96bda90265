package emulator

import (
	"context"
	"database/sql"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/pkg/classifier"
)

func (u *Upstream) db() *sql.DB {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.engine.db
}

// hasNoResultColumns reports whether a statement has no result columns.
func hasNoResultColumns(s classifier.Statement) bool {
	switch s.Class {
	case classifier.ClassRead, classifier.ClassShow:
		return false
	case classifier.ClassWrite:
		return !returningPattern.MatchString(s.Text)
	}
	return true
}

// describeStatement determines the result columns. It runs a read with NULL
// parameters, and for a write a SELECT of the columns in its RETURNING clause.
func (s *sqlSession) describeStatement(p *prepared) ([]pgproto3.FieldDescription, error) {
	if p.fields != nil || hasNoResultColumns(p.statement) {
		return p.fields, nil
	}
	if p.statement.Class == classifier.ClassShow {
		return showFields(p.statement.Setting), nil
	}
	text := stripCasts(p.statement.Text)
	if sleepPattern.MatchString(text) {
		return showFields("pg_sleep"), nil
	}
	if writingFunctionPattern.MatchString(text) {
		return showFields("record_visit"), nil
	}
	args := make([]any, len(p.oids))
	if m := returningPattern.FindStringSubmatch(text); p.statement.Class == classifier.ClassWrite && m != nil {
		text, args = fmt.Sprintf("SELECT %s FROM %s LIMIT 1", m[2], m[1]), nil
	}
	fields, err := describeRead(s.ctx, s.upstream.db(), text, args)
	if err != nil {
		return nil, err
	}
	p.fields = fields
	return fields, nil
}

func describeRead(ctx context.Context, db *sql.DB, text string, args []any) ([]pgproto3.FieldDescription, error) {
	rows, err := db.QueryContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, fmt.Errorf("emulator: column types: %w", err)
	}
	values := make([]any, len(types))
	if rows.Next() {
		targets := make([]any, len(types))
		for i := range values {
			targets[i] = &values[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, fmt.Errorf("emulator: scan row: %w", err)
		}
	}
	return describeColumns(types, values), nil
}
