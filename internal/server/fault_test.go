package server

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/shallotstage/shallotstage/internal/emulator"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

const (
	updateText = "UPDATE t SET n = n + 1 WHERE id = 1"
	longRead   = "WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM c WHERE x < 50000) SELECT x, hex(zeroblob(50)) FROM c"
)

// faultCase is one fault, what the caller must see, and how often the work may
// have run by the upstreams' logs.
type faultCase struct {
	name string
	cfg  groupConfig
	// act brings the fault about and returns what the caller saw.
	act     func(g *group, conn *pgx.Conn) error
	code    string
	verdict refuser.Verdict
	runs    int
}

func run(conn *pgx.Conn, sql string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := conn.Exec(ctx, sql)
	return err
}

var faultCases = []faultCase{
	{
		name: "no fault", runs: 1,
		act: func(_ *group, conn *pgx.Conn) error { return run(conn, updateText) },
	},
	{
		name: "primary dies before the write", code: "08007", verdict: refuser.MayHaveRun, runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			g.faults[0].set(emulator.FaultStatement, updateText, emulator.FaultClose)
			return run(conn, updateText)
		},
	},
	{
		name: "primary dies after the commit and before its answer", code: "08007", verdict: refuser.MayHaveRun, runs: 1,
		act: func(g *group, conn *pgx.Conn) error {
			g.faults[0].set(emulator.FaultCommit, "", emulator.FaultClose)
			return run(conn, updateText)
		},
	},
	{
		name: "primary is silent after the commit", code: "08007", verdict: refuser.MayHaveRun, runs: 1,
		cfg: groupConfig{bounds: Bounds{StatementTimeout: 300 * time.Millisecond}},
		act: func(g *group, conn *pgx.Conn) error {
			g.faults[0].set(emulator.FaultCommit, "", emulator.FaultStall)
			return run(conn, updateText)
		},
	},
	{
		name: "primary dies after COMMIT of a transaction is sent", code: "08007", verdict: refuser.MayHaveRun, runs: 1,
		act: func(g *group, conn *pgx.Conn) error {
			return errors.Join(run(conn, "BEGIN"), run(conn, updateText), func() error {
				g.faults[0].set(emulator.FaultCommit, "", emulator.FaultClose)
				return run(conn, "COMMIT")
			}())
		},
	},
	{
		name: "primary dies inside a transaction", code: "40003", verdict: refuser.NotRun, runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			if err := run(conn, "BEGIN"); err != nil {
				return err
			}
			g.faults[0].set(emulator.FaultStatement, updateText, emulator.FaultClose)
			err := run(conn, updateText)
			g.c.Assert(conn.PgConn().TxStatus(), qt.Equals, byte('E'))
			g.c.Assert(run(conn, "ROLLBACK"), qt.IsNil)
			g.c.Assert(conn.PgConn().TxStatus(), qt.Equals, byte('I'))
			g.c.Assert(run(conn, "SELECT 1"), qt.IsNil)
			return err
		},
	},
	{
		name: "replica dies before a read, which is sent elsewhere", runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			g.faults[1].set(emulator.FaultStatement, "SELECT n FROM t", emulator.FaultClose)
			g.faults[2].set(emulator.FaultStatement, "SELECT n FROM t", emulator.FaultClose)
			return run(conn, "SELECT n FROM t")
		},
	},
	{
		name: "replica is silent, and the read is sent elsewhere", runs: 0,
		cfg: groupConfig{bounds: Bounds{StatementTimeout: 300 * time.Millisecond}},
		act: func(g *group, conn *pgx.Conn) error {
			g.faults[1].set(emulator.FaultStatement, "SELECT n FROM t", emulator.FaultStall)
			return run(conn, "SELECT n FROM t")
		},
	},
	{
		name: "replica dies in the middle of a large answer", code: "08007", verdict: refuser.MayHaveRun, runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			g.strikeLater(emulator.FaultRow, 100)
			return run(conn, longRead)
		},
	},
	{
		name: "function that writes is refused by the replica and runs on the primary", runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			g.exec(conn, "CREATE TABLE visits (name text)")
			err := run(conn, "SELECT record_visit('x')")
			g.c.Assert(g.count("INSERT INTO visits (name) VALUES ('x') RETURNING name"), qt.Equals, 1)
			return err
		},
	},
	{
		name: "primary was replaced before the acknowledgement", code: "08007", verdict: refuser.MayHaveRun, runs: 1,
		act: func(g *group, conn *pgx.Conn) error {
			g.onCommit(func() {
				g.change(func(s *configurer.State) {
					next := s.Groups[testGroup]
					next.Term, next.Phase, next.Primary = 2, configurer.PhaseFenced, ""
					s.Groups[testGroup] = next
				})
			})
			return run(conn, updateText)
		},
	},
	{
		name: "lease ended before the acknowledgement", code: "08007", verdict: refuser.MayHaveRun, runs: 1,
		act: func(g *group, conn *pgx.Conn) error {
			g.onCommit(func() { g.authority.Store(false) })
			return run(conn, updateText)
		},
	},
	{
		name: "host without authority", code: "57P03", verdict: refuser.NotRun, runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			g.authority.Store(false)
			return run(conn, updateText)
		},
	},
	{
		name: "no replica holds the commit", code: "08007", verdict: refuser.MayHaveRun, runs: 1,
		cfg: groupConfig{bounds: Bounds{SafeTimeout: 300 * time.Millisecond}},
		act: func(g *group, conn *pgx.Conn) error {
			g.upstreams[1].SetCutOff(true)
			g.upstreams[2].SetCutOff(true)
			return run(conn, updateText)
		},
	},
	{
		name: "no primary", code: "57P03", verdict: refuser.NotRun, runs: 0,
		cfg: groupConfig{wait: 300 * time.Millisecond},
		act: func(g *group, conn *pgx.Conn) error {
			g.upstreams[0].SetCutOff(true)
			g.until(func() bool { return !g.servers[0].Watcher.Board(testGroup).Sights()["ledger-0"].Reachable })
			return run(conn, updateText)
		},
	},
	{
		name: "key withdrawn while a statement runs", code: "28000", verdict: refuser.MayHaveRun, runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			done := make(chan error, 1)
			g.faults[0].set(emulator.FaultStatement, updateText, emulator.FaultStall)
			go func() { done <- run(conn, updateText) }()
			g.until(func() bool { return g.isRunning() })
			g.withdraw()
			return <-done
		},
	},
	{
		name: "key withdrawn on an idle connection", code: "28000", verdict: refuser.NotRun, runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			g.withdraw()
			return run(conn, updateText)
		},
	},
	{
		name: "organisation over its rate", code: "53400", verdict: refuser.NotRun, runs: 0,
		cfg: groupConfig{admit: setupStatements},
		act: func(_ *group, conn *pgx.Conn) error { return run(conn, updateText) },
	},
	{
		name: "all slots taken", code: "53300", verdict: refuser.NotRun, runs: 0,
		cfg: groupConfig{slots: 1, bounds: Bounds{QueueTimeout: 200 * time.Millisecond}},
		act: func(g *group, conn *pgx.Conn) error {
			other := g.connect(0, "")
			done := make(chan error, 1)
			go func() { done <- run(other, "BEGIN; SELECT pg_sleep(1)") }()
			g.until(func() bool { return g.isRunning() })
			return errors.Join(run(conn, updateText), <-done)
		},
	},
	{
		name: "COPY", code: "0A000", verdict: refuser.NotRun, runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			err := run(conn, "COPY t FROM STDIN")
			g.c.Assert(run(conn, "SELECT 1"), qt.IsNil)
			return err
		},
	},
	{
		name: "LISTEN", code: "0A000", verdict: refuser.NotRun, runs: 0,
		act: func(_ *group, conn *pgx.Conn) error { return run(conn, "LISTEN news") },
	},
}

// setupStatements are the statements that fill the table.
const setupStatements = 2

func TestFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			cfg := tc.cfg
			cfg.lag = 2 * time.Millisecond
			g := startGroup(t, cfg)
			conn := g.connect(0, "")
			g.exec(conn, "CREATE TABLE t (id bigint PRIMARY KEY, n bigint)")
			g.exec(conn, "INSERT INTO t (id, n) VALUES (1, 0)")
			err := tc.act(g, conn)
			code, verdict := refusal(err)
			c.Check(code, qt.Equals, tc.code, qt.Commentf("%v", err))
			c.Check(verdict, qt.Equals, tc.verdict)
			if tc.code == "" {
				c.Check(err, qt.IsNil)
			}
			c.Check(g.count(updateText), qt.Equals, tc.runs)
		})
	}
}

// isRunning reports whether a session has a statement at an upstream.
func (g *group) isRunning() bool {
	running := false
	for _, s := range g.servers {
		s.sessions.each(func(c *session) {
			c.cancelMu.Lock()
			defer c.cancelMu.Unlock()
			running = running || c.running != nil
		})
	}
	return running
}

func (g *group) withdraw() {
	g.change(func(s *configurer.State) {
		k := s.Keys["key_1"]
		k.Withdrawn = true
		s.Keys["key_1"] = k
	})
}

// onCommit runs f when the primary has committed and not yet answered.
func (g *group) onCommit(f func()) {
	var once sync.Once
	g.hook(emulator.FaultCommit, func() emulator.FaultAction {
		once.Do(f)
		return emulator.FaultNone
	})
}

// strikeLater closes the connection at the nth passage of a point.
func (g *group) strikeLater(point emulator.FaultPoint, n int) {
	var mu sync.Mutex
	passed := 0
	g.hook(point, func() emulator.FaultAction {
		mu.Lock()
		defer mu.Unlock()
		passed++
		if passed == n {
			return emulator.FaultClose
		}
		return emulator.FaultNone
	})
}

// hook runs f at every passage of a point on any upstream.
func (g *group) hook(point emulator.FaultPoint, f func() emulator.FaultAction) {
	for _, s := range g.faults {
		s.mu.Lock()
		s.hook = func(p emulator.FaultPoint) emulator.FaultAction {
			if p != point {
				return emulator.FaultNone
			}
			return f()
		}
		s.mu.Unlock()
	}
}

// TestLostPreparedStatementCanBePreparedAgain covers a fault found by the
// demonstration: the upstream died between the answers to Parse and Describe,
// and the caller's next Parse of the same name was refused as a duplicate.
func TestLostPreparedStatementCanBePreparedAgain(t *testing.T) {
	g := startGroup(t, groupConfig{})
	conn := g.connect(0, "")
	g.exec(conn, "CREATE TABLE t (id bigint PRIMARY KEY)")
	ctx := context.Background()
	g.exec(conn, "BEGIN")
	g.faults[0].set(emulator.FaultDescribe, "", emulator.FaultClose)
	_, err := conn.Prepare(ctx, "find", "SELECT id FROM t WHERE id = $1")
	code, _ := refusal(err)
	g.c.Assert(code, qt.Equals, "40003")
	g.exec(conn, "ROLLBACK")
	_, err = conn.Prepare(ctx, "find", "SELECT id FROM t WHERE id = $1")
	g.c.Assert(err, qt.IsNil)
}

func TestCallerDiesInsideTransaction(t *testing.T) {
	g := startGroup(t, groupConfig{})
	setup := g.connect(0, "")
	g.exec(setup, "CREATE TABLE t (id bigint PRIMARY KEY, n bigint)")
	for range 40 {
		conn := g.connect(0, "")
		g.exec(conn, "BEGIN")
		g.exec(conn, "INSERT INTO t (id, n) VALUES (1, 1)")
		g.c.Assert(conn.PgConn().Conn().Close(), qt.IsNil)
	}
	// More callers died than the pool has connections, and each left its own.
	g.exec(setup, "INSERT INTO t (id, n) VALUES (1, 2)")
	var n int
	g.c.Assert(setup.QueryRow(context.Background(), "SELECT n FROM t WHERE id = 1").Scan(&n), qt.IsNil)
	g.c.Assert(n, qt.Equals, 2)
}

func TestSessionReadsItsWritesWhileReplicasLag(t *testing.T) {
	for _, tc := range []struct {
		name string
		roam bool
		tok  bool
	}{{"stays", false, false}, {"roams without token", true, false}, {"roams with token", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, groupConfig{hosts: 2, lag: 60 * time.Millisecond})
			conn := g.connect(0, "")
			g.exec(conn, "CREATE TABLE t (id bigint PRIMARY KEY, n bigint)")
			g.exec(conn, "INSERT INTO t (id, n) VALUES (1, 0)")
			for i := 1; i <= 8; i++ {
				g.exec(conn, updateText)
				if tc.roam {
					extra := ""
					if tc.tok {
						extra = "&shallotstage.token=" + conn.PgConn().ParameterStatus(settingToken)
					}
					conn = g.connect(i%2, extra)
				}
				var n int
				g.c.Assert(conn.QueryRow(context.Background(), "SELECT n FROM t WHERE id = 1").Scan(&n), qt.IsNil)
				g.c.Assert(n, qt.Equals, i)
			}
			g.c.Assert(g.upstreams[0].Reads(emulator.RolePrimary) < 3, qt.IsTrue, qt.Commentf("reads went to the primary"))
		})
	}
}

func TestCancelNeverStrikesAnotherSession(t *testing.T) {
	g := startGroup(t, groupConfig{slots: 4})
	setup := g.connect(0, "")
	g.exec(setup, "CREATE TABLE t (id bigint PRIMARY KEY)")
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	var wg sync.WaitGroup
	victim := g.connect(0, "")
	cancelled := 0
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			conn, err := pgx.Connect(ctx, g.url(0))
			if err != nil {
				g.c.Errorf("connect: %v", err)
				return
			}
			defer func() { _ = conn.Close(ctx) }()
			for range 150 {
				if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
					g.c.Errorf("bystander: %v", err)
					return
				}
			}
		}()
	}
	for i := range 60 {
		done := make(chan error, 1)
		go func() { _, err := victim.Exec(ctx, fmt.Sprintf("SELECT pg_sleep(0.00%d)", i%9)); done <- err }()
		g.c.Assert(victim.PgConn().CancelRequest(ctx), qt.IsNil)
		err := <-done
		var pe *pgconn.PgError
		if errors.As(err, &pe) {
			g.c.Assert(pe.Code, qt.Equals, "57014")
			cancelled++
			continue
		}
		g.c.Assert(err, qt.IsNil)
	}
	wg.Wait()
	g.c.Logf("%d of 60 statements were cancelled", cancelled)
}

func TestDrainCutsNoRequest(t *testing.T) {
	g := startGroup(t, groupConfig{hosts: 1})
	setup := g.connect(0, "")
	g.exec(setup, "CREATE TABLE t (id bigint PRIMARY KEY)")
	ctx := context.Background()
	var wg sync.WaitGroup
	start := make(chan struct{})
	for w := range 6 {
		conn, err := pgx.Connect(ctx, g.url(0))
		g.c.Assert(err, qt.IsNil)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { _ = conn.Close(ctx) }()
			<-start
			for i := 0; ; i++ {
				err := pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
					_, err := tx.Exec(ctx, "INSERT INTO t (id) VALUES ($1)", w*100000+i)
					return err
				})
				if err == nil {
					continue
				}
				code, verdict := refusal(err)
				if code != "57P01" || verdict != refuser.NotRun {
					g.c.Errorf("request was cut: %v", err)
				}
				return
			}
		}()
	}
	close(start)
	g.until(func() bool { return len(g.upstreams[0].Log()) > 50 })
	g.stops[0]()
	wg.Wait()
}

func TestSettingsFollowTheSession(t *testing.T) {
	g := startGroup(t, groupConfig{})
	a, b := g.connect(0, "&application_name=first"), g.connect(0, "")
	g.exec(a, "SET search_path TO 'a''b'")
	for range 5 {
		for _, tc := range []struct {
			conn *pgx.Conn
			want string
		}{{a, "a'b"}, {b, ""}} {
			var path string
			err := tc.conn.QueryRow(context.Background(), "SHOW search_path").Scan(&path)
			if tc.want == "" {
				var pe *pgconn.PgError
				g.c.Assert(errors.As(err, &pe), qt.IsTrue)
				g.c.Assert(pe.Code, qt.Equals, "42704")
				continue
			}
			g.c.Assert(err, qt.IsNil)
			g.c.Assert(path, qt.Equals, tc.want)
		}
	}
	g.exec(a, "BEGIN")
	g.exec(a, "SET search_path TO 'other'")
	g.exec(a, "ROLLBACK")
	g.exec(a, "RESET search_path")
	err := run(a, "SHOW search_path")
	g.c.Assert(err, qt.Not(qt.IsNil))
}

func TestKeysAndRoutes(t *testing.T) {
	g := startGroup(t, groupConfig{})
	for _, tc := range []struct{ name, url, code string }{
		{"wrong key", "postgres://key_1:wrong@%s/audit?sslmode=disable", "28P01"},
		{"unknown key id", "postgres://nobody:x@%s/audit?sslmode=disable", "28P01"},
		{"unknown route", "postgres://key_1:secret@%s/nowhere?sslmode=disable", "3D000"},
		{"bad token", "postgres://key_1:secret@%s/audit?sslmode=disable&shallotstage.token=x", "08P01"},
		{"open route without a key", "postgres://anyone@%s/board?sslmode=disable", ""},
	} {
		conn, err := pgx.Connect(context.Background(), fmt.Sprintf(tc.url, g.addresses[0]))
		if tc.code == "" {
			g.c.Assert(err, qt.IsNil, qt.Commentf(tc.name))
			g.c.Assert(run(conn, "SELECT 1"), qt.IsNil)
			_ = conn.Close(context.Background())
			continue
		}
		var pe *pgconn.PgError
		g.c.Assert(errors.As(err, &pe), qt.IsTrue, qt.Commentf("%s: %v", tc.name, err))
		g.c.Assert(pe.Code, qt.Equals, tc.code, qt.Commentf(tc.name))
	}
}
