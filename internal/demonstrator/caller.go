package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/shallotstage/shallotstage/internal/pauser"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

const (
	// requestTimeout is the timeout of one request.
	requestTimeout = 20 * time.Second
	// reconnectShare is the fraction of requests before which a caller
	// reconnects, possibly to another entry host.
	reconnectShare = 0.02
	// tokenShare is the fraction of connections that pass the causal token.
	tokenShare = 0.5
	// writeShare and transactionShare are fractions of the requests.
	writeShare       = 0.15
	transactionShare = 0.04
	// reconnectPause is the delay after a failed connection attempt.
	reconnectPause = 50 * time.Millisecond
)

// Caller is one logical session over successive connections. It must always
// read its own writes.
type Caller struct {
	ID           string
	Organisation string
	Group        string
	DataCentre   string
	// Connect opens a connection; the causal token may be empty.
	Connect func(ctx context.Context, token string) (*pgx.Conn, error)
	// Interval is the mean time between requests.
	Interval time.Duration
	Rand     *rand.Rand
	Ledger   *Recorder

	conn *pgx.Conn
	// acknowledged and unknown count the caller's increments.
	acknowledged int
	unknown      int
	// pairs holds the outcomes of transactions by pair id.
	pairs map[string]Outcome
	token string
}

// Run sends requests until ctx is done. The intervals between their due times are
// exponentially distributed; an overdue request is sent immediately. After a delay
// of more than 2 s the due time is reset to now.
func (c *Caller) Run(ctx context.Context) {
	c.pairs = map[string]Outcome{}
	due := time.Now()
	for ctx.Err() == nil {
		due = due.Add(time.Duration(c.Rand.ExpFloat64() * float64(c.Interval)))
		if behind := time.Since(due); behind > 2*time.Second {
			due = time.Now()
		}
		if pauser.Sleep(ctx, time.Until(due)) != nil {
			break
		}
		c.sendRequest(ctx, due)
	}
	c.disconnect()
}

func (c *Caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// sendRequest sends one request, over a new connection if necessary.
func (c *Caller) sendRequest(ctx context.Context, due time.Time) {
	if c.conn != nil && (c.conn.IsClosed() || c.Rand.Float64() < reconnectShare) {
		c.disconnect()
	}
	if c.conn == nil && !c.reconnect(ctx) {
		return
	}
	// A request in progress may complete after the load has ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	switch p := c.Rand.Float64(); {
	case p < transactionShare:
		c.transact(ctx, due)
	case p < transactionShare+writeShare:
		c.write(ctx, due)
	default:
		c.read(ctx, due)
	}
}

func (c *Caller) reconnect(ctx context.Context) bool {
	token := ""
	if c.Rand.Float64() < tokenShare {
		token = c.token
	}
	conn, err := c.Connect(ctx, token)
	if err != nil {
		_ = pauser.Sleep(ctx, reconnectPause)
		return false
	}
	c.conn = conn
	return true
}

// record records a request and returns its outcome.
func (c *Caller) record(op Operation, statements int, due, start time.Time, err error) Outcome {
	o := Observation{
		Organisation: c.Organisation, Group: c.Group, DataCentre: c.DataCentre, Operation: op,
		Statements: statements, Due: due, Start: start, End: time.Now(), Outcome: OutcomeServed,
	}
	if err != nil {
		o.Outcome, o.Code = classify(err)
	}
	c.Ledger.Observe(o)
	if c.conn != nil {
		if t := c.conn.PgConn().ParameterStatus("shallotstage.token"); t != "" {
			c.token = t
		}
	}
	return o.Outcome
}

// classify returns the outcome and SQLSTATE of an error, by the verdict in its
// detail. Without a verdict of not_run the outcome is unknown.
func classify(err error) (Outcome, string) {
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return OutcomeUnknown, ""
	}
	if strings.Contains(pe.Detail, "verdict="+string(refuser.NotRun)) {
		return OutcomeNotRun, pe.Code
	}
	return OutcomeUnknown, pe.Code
}

func (c *Caller) write(ctx context.Context, due time.Time) {
	start := time.Now()
	tag, err := c.conn.Exec(ctx, "UPDATE counters SET n = n + 1 WHERE id = $1", c.ID)
	switch c.record(OperationWrite, 1, due, start, err) {
	case OutcomeServed:
		c.acknowledged++
		c.Ledger.Check(InvariantOwnResult, tag.RowsAffected() == 1, "caller %s: update touched %d rows", c.ID, tag.RowsAffected())
	case OutcomeUnknown:
		c.unknown++
	}
}

func (c *Caller) read(ctx context.Context, due time.Time) {
	start := time.Now()
	var id string
	var n int
	err := c.conn.QueryRow(ctx, "SELECT id, n FROM counters WHERE id = $1", c.ID).Scan(&id, &n)
	if c.record(OperationRead, 1, due, start, err) != OutcomeServed {
		return
	}
	c.Ledger.Check(InvariantOwnResult, id == c.ID, "caller %s got the row of %s", c.ID, id)
	c.Ledger.Check(InvariantReadYourWrites, n >= c.acknowledged, "caller %s read %d after %d acknowledged increments", c.ID, n, c.acknowledged)
	c.Ledger.Check(InvariantAtMostOnce, n <= c.acknowledged+c.unknown, "caller %s read %d after %d increments, %d of them unknown", c.ID, n, c.acknowledged+c.unknown, c.unknown)
}

// transact inserts two rows in one transaction, which must be atomic.
func (c *Caller) transact(ctx context.Context, due time.Time) {
	pair := fmt.Sprintf("%s-%d", c.ID, len(c.pairs))
	start := time.Now()
	err := pgx.BeginFunc(ctx, c.conn, func(tx pgx.Tx) error {
		for _, side := range []string{"a", "b"} {
			if _, err := tx.Exec(ctx, "INSERT INTO findings (id, pair) VALUES ($1, $2)", pair+side, pair); err != nil {
				return err
			}
		}
		return nil
	})
	c.pairs[pair] = c.record(OperationTransaction, 4, due, start, err)
}
