package demonstrator

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"
)

// audit compares the results that a group's callers received with the group's
// final data. The connection must read the latest data.
func audit(ctx context.Context, conn *pgx.Conn, callers []*Caller, l *Recorder) error {
	counters, err := readCounters(ctx, conn)
	if err != nil {
		return err
	}
	pairs, err := readPairs(ctx, conn)
	if err != nil {
		return err
	}
	for _, c := range callers {
		n := counters[c.ID]
		l.Check(InvariantNoLostWrites, n >= c.acknowledged, "caller %s: %d increments acknowledged, %d kept", c.ID, c.acknowledged, n)
		l.Check(InvariantAtMostOnce, n <= c.acknowledged+c.unknown, "caller %s: %d increments kept of %d sent, %d of them unknown", c.ID, n, c.acknowledged+c.unknown, c.unknown)
		for pair, outcome := range c.pairs {
			rows := pairs[pair]
			l.Check(InvariantAtomic, rows == 0 || rows == 2, "transaction %s has %d of 2 rows", pair, rows)
			switch outcome {
			case OutcomeServed:
				l.Check(InvariantNoLostWrites, rows == 2, "acknowledged transaction %s has %d rows", pair, rows)
			case OutcomeNotRun:
				l.Check(InvariantNotRun, rows == 0, "transaction %s was refused as not run and has %d rows", pair, rows)
			}
		}
	}
	return nil
}

func readCounters(ctx context.Context, conn *pgx.Conn) (map[string]int, error) {
	rows, err := conn.Query(ctx, "SELECT id, n FROM counters")
	if err != nil {
		return nil, fmt.Errorf("demonstrator: read counters: %w", err)
	}
	counters := map[string]int{}
	var id string
	var n int
	_, err = pgx.ForEachRow(rows, []any{&id, &n}, func() error {
		counters[id] = n
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("demonstrator: read counters: %w", err)
	}
	return counters, nil
}

func readPairs(ctx context.Context, conn *pgx.Conn) (map[string]int, error) {
	rows, err := conn.Query(ctx, "SELECT pair FROM findings")
	if err != nil {
		return nil, fmt.Errorf("demonstrator: read findings: %w", err)
	}
	pairs := map[string]int{}
	var pair string
	_, err = pgx.ForEachRow(rows, []any{&pair}, func() error {
		pairs[pair]++
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("demonstrator: read findings: %w", err)
	}
	return pairs, nil
}
