package emulator

import (
	"context"
	"database/sql"
	"fmt"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// transaction is an open transaction of one SQL session.
type transaction struct {
	engine   *engine
	conn     *sql.Conn
	explicit bool
	readOnly bool
	failed   bool
	writing  bool
	writes   []Write
}

// begin opens a transaction. SQLite starts its own at the first statement.
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

// startWriting takes the right to write before the first write.
func (t *transaction) startWriting(ctx context.Context) error {
	if t.writing {
		return nil
	}
	if err := t.engine.lockWriter(ctx); err != nil {
		return err
	}
	if _, err := t.conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		t.engine.unlockWriter()
		return fmt.Errorf("emulator: begin: %w", err)
	}
	t.writing = true
	return nil
}

// rollback ends the transaction without effect.
func (t *transaction) rollback() {
	if t.writing {
		_, _ = t.conn.ExecContext(context.Background(), "ROLLBACK")
		t.engine.unlockWriter()
		t.writing = false
	}
	_ = t.conn.Close()
}

// finish commits the transaction and adds it to the log.
func (u *Upstream) finish(t *transaction) (tracker.Position, error) {
	if !t.writing {
		t.rollback()
		return u.currentPosition(), nil
	}
	u.mu.Lock()
	if u.role != RolePrimary || u.engine != t.engine {
		u.mu.Unlock()
		t.rollback()
		return tracker.Position{}, &failure{stateReadOnly, "cannot commit a write in a read-only server"}
	}
	_, err := t.conn.ExecContext(context.Background(), "COMMIT")
	if err != nil {
		u.mu.Unlock()
		t.rollback()
		return tracker.Position{}, fmt.Errorf("emulator: commit: %w", err)
	}
	if len(t.writes) > 0 {
		u.append(Entry{
			Position: tracker.Position{Term: u.position.Term, Offset: u.position.Offset + 1},
			Writes:   t.writes,
		})
	}
	pos := u.position
	u.mu.Unlock()
	t.writing = false
	t.engine.unlockWriter()
	_ = t.conn.Close()
	return pos, nil
}
