package emulator

import (
	"context"
	"database/sql"
	"fmt"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// transaction is an open transaction of one SQL session.
//
// SQLite allows one writer at a time, so an explicit transaction does not hold
// the write lock between its statements. Each statement runs in a short SQLite
// transaction that first repeats the earlier writes and is then rolled back;
// COMMIT executes all writes again. The writes may have other results when they
// are repeated; an error then is returned as a serialization failure.
type transaction struct {
	engine   *engine
	conn     *sql.Conn
	explicit bool
	readOnly bool
	failed   bool
	// inTransaction is true while the connection is in a SQLite transaction and
	// holds the write lock.
	inTransaction bool
	writes        []Write
}

// begin opens a transaction. The SQLite transaction starts at the first write.
func (u *Upstream) begin(ctx context.Context, explicit, readOnly bool) (*transaction, error) {
	u.mu.Lock()
	e := u.engine
	u.mu.Unlock()
	conn, err := e.db.Conn(ctx)
	if err != nil {
		return nil, fmt.Errorf("emulator: open connection: %w", err)
	}
	return &transaction{engine: e, conn: conn, explicit: explicit, readOnly: readOnly}, nil
}

// resume acquires the write lock, begins a SQLite transaction and repeats the
// earlier writes of the transaction.
func (t *transaction) resume(ctx context.Context) error {
	if t.inTransaction {
		return nil
	}
	if err := t.engine.lockWriter(ctx); err != nil {
		return err
	}
	if _, err := t.conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		t.engine.unlockWriter()
		return fmt.Errorf("emulator: begin: %w", err)
	}
	t.inTransaction = true
	for _, w := range t.writes {
		if _, err := t.conn.ExecContext(ctx, w.SQL, w.Args...); err != nil {
			t.suspend()
			return &sqlError{stateSerializationFailure, "could not serialize access: " + err.Error()}
		}
	}
	return nil
}

// suspend rolls the SQLite transaction back and releases the write lock.
func (t *transaction) suspend() {
	if !t.inTransaction {
		return
	}
	_, _ = t.conn.ExecContext(context.Background(), "ROLLBACK")
	t.inTransaction = false
	t.engine.unlockWriter()
}

// rollback discards the transaction and closes its connection.
func (t *transaction) rollback() {
	t.suspend()
	_ = t.conn.Close()
}

// commitAndLog commits the transaction and appends its writes to the log.
func (u *Upstream) commitAndLog(ctx context.Context, t *transaction) (tracker.Position, error) {
	if len(t.writes) == 0 {
		t.rollback()
		return u.currentPosition(), nil
	}
	if err := t.resume(ctx); err != nil {
		t.rollback()
		return tracker.Position{}, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.role != RolePrimary || u.engine != t.engine {
		t.rollback()
		return tracker.Position{}, &sqlError{stateReadOnlyTransaction, "cannot commit a write in a read-only server"}
	}
	if _, err := t.conn.ExecContext(context.Background(), "COMMIT"); err != nil {
		t.rollback()
		return tracker.Position{}, fmt.Errorf("emulator: commit: %w", err)
	}
	u.append(Entry{
		Position: tracker.Position{Term: u.position.Term, Offset: u.position.Offset + 1},
		Writes:   t.writes,
	})
	t.inTransaction = false
	t.engine.unlockWriter()
	_ = t.conn.Close()
	return u.position, nil
}
