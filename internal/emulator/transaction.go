package emulator

import (
	"context"
	"database/sql"
	"fmt"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// transaction is an open transaction of one SQL session.
//
// SQLite has one writer at a time. An explicit transaction therefore does not
// hold the right to write between its statements: each statement runs in a
// short transaction behind the writes before it, which is then rolled back,
// and COMMIT runs all writes again. A result can differ between the two, which
// fails the COMMIT with a serialization failure.
type transaction struct {
	engine   *engine
	conn     *sql.Conn
	explicit bool
	readOnly bool
	failed   bool
	// open is true while the connection is in a SQLite transaction, for which
	// the session holds the right to write.
	open   bool
	writes []Write
}

// begin opens a transaction. SQLite starts its own at the first write.
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

// enter takes the right to write and brings the connection to the state after
// the transaction's earlier writes.
func (t *transaction) enter(ctx context.Context) error {
	if t.open {
		return nil
	}
	if err := t.engine.lockWriter(ctx); err != nil {
		return err
	}
	if _, err := t.conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		t.engine.unlockWriter()
		return fmt.Errorf("emulator: begin: %w", err)
	}
	t.open = true
	for _, w := range t.writes {
		if _, err := t.conn.ExecContext(ctx, w.SQL, w.Args...); err != nil {
			t.leave()
			return &failure{stateSerialization, "could not serialize access: " + err.Error()}
		}
	}
	return nil
}

// leave ends the SQLite transaction without effect.
func (t *transaction) leave() {
	if !t.open {
		return
	}
	_, _ = t.conn.ExecContext(context.Background(), "ROLLBACK")
	t.open = false
	t.engine.unlockWriter()
}

// rollback ends the transaction without effect.
func (t *transaction) rollback() {
	t.leave()
	_ = t.conn.Close()
}

// finish commits the transaction and adds it to the log.
func (u *Upstream) finish(ctx context.Context, t *transaction) (tracker.Position, error) {
	if len(t.writes) == 0 {
		t.rollback()
		return u.currentPosition(), nil
	}
	if err := t.enter(ctx); err != nil {
		t.rollback()
		return tracker.Position{}, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.role != RolePrimary || u.engine != t.engine {
		t.rollback()
		return tracker.Position{}, &failure{stateReadOnly, "cannot commit a write in a read-only server"}
	}
	if _, err := t.conn.ExecContext(context.Background(), "COMMIT"); err != nil {
		t.rollback()
		return tracker.Position{}, fmt.Errorf("emulator: commit: %w", err)
	}
	u.append(Entry{
		Position: tracker.Position{Term: u.position.Term, Offset: u.position.Offset + 1},
		Writes:   t.writes,
	})
	t.open = false
	t.engine.unlockWriter()
	_ = t.conn.Close()
	return u.position, nil
}
