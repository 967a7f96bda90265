package emulator

import (
	"context"
	"database/sql"
	"fmt"
	"os"
	"path/filepath"

	// The SQLite driver registers itself with database/sql.
	_ "modernc.org/sqlite"
)

// enginePragmas allow readers to run concurrently with one writer and disable
// syncing to disk, since an emulated server needs no durability.
const enginePragmas = "?_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)&_pragma=busy_timeout(5000)"

// engine runs SQL in a private SQLite database. Only one transaction at a time
// may write.
type engine struct {
	db     *sql.DB
	dir    string
	writer chan struct{}
}

func newEngine(conns int) (*engine, error) {
	dir, err := os.MkdirTemp("", "emulator-")
	if err != nil {
		return nil, fmt.Errorf("emulator: create directory: %w", err)
	}
	db, err := sql.Open("sqlite", "file:"+filepath.Join(dir, "db")+enginePragmas)
	if err != nil {
		return nil, fmt.Errorf("emulator: open database: %w", err)
	}
	db.SetMaxOpenConns(conns)
	db.SetMaxIdleConns(conns)
	return &engine{db: db, dir: dir, writer: make(chan struct{}, 1)}, nil
}

// lockWriter acquires the write lock.
func (e *engine) lockWriter(ctx context.Context) error {
	select {
	case e.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *engine) unlockWriter() { <-e.writer }

// apply executes the writes of one log entry in one transaction.
func (e *engine) apply(ctx context.Context, writes []Write) error {
	if len(writes) == 0 {
		return nil
	}
	tx, err := e.db.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("emulator: begin apply: %w", err)
	}
	for _, w := range writes {
		if _, err := tx.ExecContext(ctx, w.SQL, w.Args...); err != nil {
			_ = tx.Rollback()
			return fmt.Errorf("emulator: apply %q: %w", w.SQL, err)
		}
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("emulator: commit apply: %w", err)
	}
	return nil
}

func (e *engine) close() {
	_ = e.db.Close()
	_ = os.RemoveAll(e.dir)
}
