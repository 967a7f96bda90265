package demonstrator

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
)

func TestFleetServesReadAfterWrite(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	f := &Fleet{Layout: Association()}
	c.Assert(f.Start(ctx), qt.IsNil)
	defer f.Stop()
	org := f.Layout.Organisations[0].ID
	url := fmt.Sprintf("postgres://%s:%s@%s/%s", org, f.Keys[org], f.Entries[0].Address, RouteOf(f.Layout.GroupNames()[0]))
	conn, err := pgx.Connect(context.Background(), url)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "CREATE TABLE findings (id text PRIMARY KEY, n bigint)")
	c.Assert(err, qt.IsNil)
	_, err = conn.Exec(ctx, "INSERT INTO findings (id, n) VALUES ($1, $2)", "a", 7)
	c.Assert(err, qt.IsNil)
	var n int
	c.Assert(conn.QueryRow(ctx, "SELECT n FROM findings WHERE id = $1", "a").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, 7)
	fmt.Println(conn.PgConn().ParameterStatus("shallotstage.token"))
}
