package server

import (
	"context"
	"errors"
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
		name: "no replica holds a commit that an error follows", code: "08007", verdict: refuser.MayHaveRun, runs: 1,
		cfg: groupConfig{bounds: Bounds{SafeTimeout: 300 * time.Millisecond}},
		act: func(g *group, conn *pgx.Conn) error {
			g.upstreams[1].SetCutOff(true)
			g.upstreams[2].SetCutOff(true)
			tags := 0
			results, err := conn.PgConn().Exec(context.Background(), "BEGIN; "+updateText+"; COMMIT; SELECT * FROM nowhere").ReadAll()
			for _, r := range results {
				if r.CommandTag.String() == "COMMIT" {
					tags++
				}
			}
			g.c.Assert(tags, qt.Equals, 0, qt.Commentf("an unsafe COMMIT was acknowledged"))
			return err
		},
	},
	{
		name: "no replica holds a commit that a Sync makes after a Flush", code: "08007", verdict: refuser.MayHaveRun, runs: 1,
		cfg: groupConfig{bounds: Bounds{SafeTimeout: 300 * time.Millisecond}},
		act: func(g *group, conn *pgx.Conn) error {
			g.upstreams[1].SetCutOff(true)
			g.upstreams[2].SetCutOff(true)
			p := conn.PgConn().StartPipeline(context.Background())
			p.SendQueryParams(updateText, nil, nil, nil, nil)
			p.SendFlushRequest()
			g.c.Assert(p.Flush(), qt.IsNil)
			r, err := p.GetResults()
			g.c.Assert(err, qt.IsNil)
			_, err = r.(*pgconn.ResultReader).Close()
			g.c.Assert(err, qt.IsNil)
			g.c.Assert(p.Sync(), qt.IsNil)
			_, err = p.GetResults()
			return errors.Join(err, p.Close())
		},
	},
	{
		name: "COMMIT followed by Flush", code: "0A000", verdict: refuser.NotRun, runs: 0,
		act: func(g *group, conn *pgx.Conn) error {
			g.exec(conn, "BEGIN")
			g.exec(conn, updateText)
			p := conn.PgConn().StartPipeline(context.Background())
			p.SendQueryParams("COMMIT", nil, nil, nil, nil)
			p.SendFlushRequest()
			g.c.Assert(p.Flush(), qt.IsNil)
			_, err := p.GetResults()
			return errors.Join(err, p.Close())
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
