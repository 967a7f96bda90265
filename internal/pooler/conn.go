package pooler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/internal/peeker"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// maxPrepared bounds the prepared statements kept on one connection.
const maxPrepared = 256

// parameterPosition is the name of the parameter status in which an upstream
// reports its replication position.
const parameterPosition = "upstream_position"

// settleTimeout limits the wait for the rest of a message that has begun to arrive on an idle
// connection.
const settleTimeout = 100 * time.Millisecond

// Conn is a connection to an upstream. It is not safe for concurrent use.
type Conn struct {
	Upstream string
	// Settings are the session settings currently set on the connection.
	Settings map[string]string

	net        net.Conn
	peeker     *peeker.Peeker
	frontend   *pgproto3.Frontend
	address    string
	pid        uint32
	secret     []byte
	position   tracker.Position
	prepared   map[string]uint64
	useCount   uint64
	lastUsed   time.Time
	parameters map[string]string
}

// Open connects to the upstream described by cfg and logs in.
func Open(ctx context.Context, cfg *pgconn.Config) (*Conn, error) {
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("pooler: connect to %s:%d: %w", cfg.Host, cfg.Port, err)
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, fmt.Errorf("pooler: hijack connection: %w", err)
	}
	c := &Conn{
		Settings: map[string]string{}, net: h.Conn, peeker: peeker.New(h.Conn), frontend: h.Frontend, pid: h.PID, secret: h.SecretKey,
		address: h.Conn.RemoteAddr().String(), prepared: map[string]uint64{}, lastUsed: time.Now(), parameters: h.ParameterStatuses,
	}
	if p, err := tracker.ParsePosition(h.ParameterStatuses[parameterPosition]); err == nil {
		c.position = p
	}
	return c, nil
}

// Position returns the last position that the upstream reported on c.
func (c *Conn) Position() tracker.Position { return c.position }

// Parameters returns the parameters that the upstream reported at login.
func (c *Conn) Parameters() map[string]string { return c.parameters }

// Write sends messages that are already encoded.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.net.Write(b)
	if err != nil {
		return n, fmt.Errorf("pooler: write to %s: %w", c.Upstream, err)
	}
	return n, nil
}

// SetDeadline sets the read and write deadline; the zero time removes it.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Receive returns the next message, which is valid until the next call. The
// caller passes each ParameterStatus to RecordPosition.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	msg, err := c.frontend.Receive()
	if err != nil {
		return nil, fmt.Errorf("pooler: receive from %s: %w", c.Upstream, err)
	}
	return msg, nil
}

// StrayResponseError is returned for a message that belongs to no request: the upstream has
// probably answered an earlier one twice. Nothing was sent.
type StrayResponseError struct {
	Upstream string
	// Message is the type of the message.
	Message string
}

// Error implements error.
func (e *StrayResponseError) Error() string {
	return fmt.Sprintf("pooler: upstream %s sent %s without a request", e.Upstream, e.Message)
}

// Settle receives what has come since the last response. It passes on the messages that an
// upstream may send at any time, and returns an error for any other and for the end of the
// connection.
func (c *Conn) Settle(pass func(msg pgproto3.BackendMessage) error) error {
	for {
		unread, err := c.hasUnread()
		if err != nil {
			return fmt.Errorf("pooler: connection to %s: %w", c.Upstream, err)
		}
		if !unread {
			return nil
		}
		msg, err := c.Receive()
		if err != nil {
			return err
		}
		switch msg.(type) {
		case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		default:
			return &StrayResponseError{Upstream: c.Upstream, Message: fmt.Sprintf("%T", msg)}
		}
		if err := pass(msg); err != nil {
			return err
		}
	}
}

func (c *Conn) hasUnread() (bool, error) {
	if c.frontend.ReadBufferLen() > 0 {
		return true, nil
	}
	return c.peeker.HasUnread()
}

// settleIdle settles a connection that no client uses.
func (c *Conn) settleIdle() error {
	c.SetDeadline(time.Now().Add(settleTimeout))
	defer c.SetDeadline(time.Time{})
	return c.Settle(func(msg pgproto3.BackendMessage) error {
		if m, ok := msg.(*pgproto3.ParameterStatus); ok {
			c.RecordPosition(m)
		}
		return nil
	})
}

// RecordPosition records a reported position. It returns false if m is another
// parameter or holds no valid position.
func (c *Conn) RecordPosition(m *pgproto3.ParameterStatus) (tracker.Position, bool) {
	if m.Name != parameterPosition {
		return tracker.Position{}, false
	}
	p, err := tracker.ParsePosition(m.Value)
	if err != nil {
		return tracker.Position{}, false
	}
	c.position = p
	return p, true
}

// IsPrepared reports whether the named statement is prepared on the connection,
// and marks it as recently used.
func (c *Conn) IsPrepared(name string) bool {
	if _, ok := c.prepared[name]; !ok {
		return false
	}
	c.useCount++
	c.prepared[name] = c.useCount
	return true
}

// MarkPrepared records that the named statement is prepared on the connection.
func (c *Conn) MarkPrepared(name string) {
	c.useCount++
	c.prepared[name] = c.useCount
}

// EvictPrepared removes and returns the least recently used statement when the
// connection has maxPrepared of them. The caller closes it on the upstream.
func (c *Conn) EvictPrepared() (string, bool) {
	if len(c.prepared) < maxPrepared {
		return "", false
	}
	oldest, oldestUse := "", uint64(0)
	for name, use := range c.prepared {
		if oldest == "" || use < oldestUse {
			oldest, oldestUse = name, use
		}
	}
	delete(c.prepared, oldest)
	return oldest, true
}

// Cancel sends a cancel request for the running statement over a separate
// connection, as the PostgreSQL protocol requires.
func (c *Conn) Cancel(ctx context.Context, dial pgconn.DialFunc) error {
	conn, err := dial(ctx, "tcp", c.address)
	if err != nil {
		return fmt.Errorf("pooler: connect for cancel request: %w", err)
	}
	defer func() { _ = conn.Close() }()
	request := &pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	b, err := request.Encode(nil)
	if err != nil {
		return fmt.Errorf("pooler: encode cancel request: %w", err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if _, err := conn.Write(b); err != nil {
		return fmt.Errorf("pooler: send cancel request: %w", err)
	}
	_, _ = conn.Read(make([]byte, 1))
	return nil
}

// check tests the connection with a Sync round trip, which runs no statement.
func (c *Conn) check(timeout time.Duration) error {
	c.SetDeadline(time.Now().Add(timeout))
	defer c.SetDeadline(time.Time{})
	c.frontend.Send(&pgproto3.Sync{})
	if err := c.frontend.Flush(); err != nil {
		return fmt.Errorf("pooler: send health check to %s: %w", c.Upstream, err)
	}
	for {
		msg, err := c.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.ReadyForQuery:
			c.lastUsed = time.Now()
			return nil
		case *pgproto3.ParameterStatus:
			c.RecordPosition(m)
		case *pgproto3.ErrorResponse:
			return errors.New("pooler: health check failed with SQLSTATE " + m.Code)
		}
	}
}

func (c *Conn) close() { _ = c.net.Close() }
