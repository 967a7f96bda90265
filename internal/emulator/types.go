package emulator

import (
	"context"
	"database/sql"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

var (
	castPattern      = regexp.MustCompile(`\$(\d+)::(\w+)`)
	anyCastPattern   = regexp.MustCompile(`::\w+`)
	comparePattern   = regexp.MustCompile(`(\w+)\s*(?:=|<>|<=|>=|<|>|\+|-)\s*\$(\d+)`)
	limitPattern     = regexp.MustCompile(`(?i)(?:limit|offset)\s+\$(\d+)`)
	insertPattern    = regexp.MustCompile(`(?is)insert\s+into\s+(\w+)\s*\(([^)]*)\)\s*values\s*\(([^)]*)\)`)
	returningPattern = regexp.MustCompile(`(?is)(?:into|update|delete\s+from)\s+(\w+).*\sreturning\s+(.*)$`)
	integerResult    = regexp.MustCompile(`(?i)^(count|sum|max|min|length|coalesce|abs|total)\b`)
	placeholder      = regexp.MustCompile(`\$(\d+)`)
)

var oidsByType = map[string]uint32{
	"int": pgtype.Int8OID, "integer": pgtype.Int8OID, "bigint": pgtype.Int8OID, "int8": pgtype.Int8OID,
	"int4": pgtype.Int8OID, "smallint": pgtype.Int8OID, "serial": pgtype.Int8OID, "bigserial": pgtype.Int8OID,
	"real": pgtype.Float8OID, "double": pgtype.Float8OID, "double precision": pgtype.Float8OID,
	"float8": pgtype.Float8OID, "numeric": pgtype.Float8OID,
	"boolean": pgtype.BoolOID, "bool": pgtype.BoolOID,
	"blob": pgtype.ByteaOID, "bytea": pgtype.ByteaOID,
	"text": pgtype.TextOID, "varchar": pgtype.TextOID,
}

// stripCasts removes PostgreSQL casts, which SQLite does not support.
func stripCasts(text string) string {
	if !strings.Contains(text, "::") {
		return text
	}
	return anyCastPattern.ReplaceAllString(text, "")
}

// parameterOIDs infers the types of a statement's parameters from the declared
// types, casts, compared columns and inserted columns; the default is text.
func parameterOIDs(text string, declared []uint32, columns map[string]uint32) []uint32 {
	count := 0
	for _, m := range placeholder.FindAllStringSubmatch(text, -1) {
		if n, _ := strconv.Atoi(m[1]); n > count {
			count = n
		}
	}
	oids := make([]uint32, count)
	set := func(number string, oid uint32) {
		n, err := strconv.Atoi(strings.TrimPrefix(strings.TrimSpace(number), "$"))
		if err == nil && n >= 1 && n <= count && oids[n-1] == 0 {
			oids[n-1] = oid
		}
	}
	for i, oid := range declared {
		if i < count {
			oids[i] = oid
		}
	}
	for _, m := range castPattern.FindAllStringSubmatch(text, -1) {
		set(m[1], oidsByType[strings.ToLower(m[2])])
	}
	for _, m := range comparePattern.FindAllStringSubmatch(text, -1) {
		set(m[2], columns[strings.ToLower(m[1])])
	}
	for _, m := range limitPattern.FindAllStringSubmatch(text, -1) {
		set(m[1], pgtype.Int8OID)
	}
	if m := insertPattern.FindStringSubmatch(text); m != nil {
		names, values := strings.Split(m[2], ","), strings.Split(m[3], ",")
		for i := range min(len(names), len(values)) {
			set(values[i], columns[strings.ToLower(strings.TrimSpace(names[i]))])
		}
	}
	for i := range oids {
		if oids[i] == 0 {
			oids[i] = pgtype.TextOID
		}
	}
	return oids
}

// columnOIDs returns the type of each column of any table by name.
func columnOIDs(ctx context.Context, db *sql.DB) (map[string]uint32, error) {
	rows, err := db.QueryContext(ctx, `SELECT lower(c.name), lower(c.type) FROM sqlite_master t, pragma_table_info(t.name) c WHERE t.type = 'table'`)
	if err != nil {
		return nil, fmt.Errorf("emulator: list columns: %w", err)
	}
	defer func() { _ = rows.Close() }()
	columns := map[string]uint32{}
	for rows.Next() {
		var name, typ string
		if err := rows.Scan(&name, &typ); err != nil {
			return nil, fmt.Errorf("emulator: scan column: %w", err)
		}
		columns[name] = oidsByType[typ]
	}
	return columns, rows.Err()
}

// resultOID infers the type of a result column from its declared type, its value
// in the first row, and its name.
func resultOID(declared, name string, value any) uint32 {
	if oid, ok := oidsByType[strings.ToLower(declared)]; ok {
		return oid
	}
	switch value.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case []byte:
		return pgtype.ByteaOID
	case bool:
		return pgtype.BoolOID
	}
	if integerResult.MatchString(name) {
		return pgtype.Int8OID
	}
	return pgtype.TextOID
}

// encodeValue encodes a result value. It returns nil for NULL.
func encodeValue(m *pgtype.Map, oid uint32, format int16, value any) []byte {
	if value == nil {
		return nil
	}
	if oid == pgtype.BoolOID {
		if n, ok := value.(int64); ok {
			value = n != 0
		}
	}
	if b, err := m.Encode(oid, format, value, make([]byte, 0, 16)); err == nil {
		return b
	}
	return fmt.Append(nil, value)
}

// decodeParameter decodes a bound parameter into a value that SQLite accepts.
func decodeParameter(m *pgtype.Map, oid uint32, format int16, src []byte) (any, error) {
	if src == nil {
		return nil, nil
	}
	t, ok := m.TypeForOID(oid)
	if !ok {
		return string(src), nil
	}
	v, err := t.Codec.DecodeDatabaseSQLValue(m, oid, format, src)
	if err != nil {
		return nil, fmt.Errorf("emulator: decode parameter of type %d: %w", oid, err)
	}
	if b, ok := v.([]byte); ok {
		return append([]byte(nil), b...), nil
	}
	return v, nil
}
