package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/shallotstage/shallotstage/internal/budgeter"
	"github.com/shallotstage/shallotstage/internal/peeker"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

const (
	// connectTimeout bounds the opening of a TCP connection. It is several
	// times the round trip between regions, 60 ms.
	connectTimeout = 500 * time.Millisecond
	// startupTimeout bounds the startup exchange with the upstream: a handshake
	// of 12 ms that may queue for a slot.
	startupTimeout = 1500 * time.Millisecond
	// unackedTimeout bounds how long sent data may stay unacknowledged. It
	// distinguishes a dead connection or host from a slow one, and tolerates the
	// loss of two packets.
	unackedTimeout = 900 * time.Millisecond
	// keepAliveIdle and keepAliveInterval detect idle connections that have
	// died.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
)

// Dialer opens connections to upstreams. Codec must be set.
type Dialer struct {
	Codec *Codec
	// DialNet opens the network connection; nil means TCP with keepalive and an
	// acknowledgement timeout.
	DialNet func(ctx context.Context, address string) (net.Conn, error)
	// Budget bounds the answers that are being read; nil means no limit.
	Budget *budgeter.Budget
	// OnStrayAnswer is called for each answer that belongs to no outstanding request; nil
	// disables it. It must be safe for concurrent use.
	OnStrayAnswer func(a StrayAnswer)
}

// Dial opens a connection on behalf of an organisation.
func (d *Dialer) Dial(ctx context.Context, u keeper.Upstream, organisation string) (*Conn, Answer, error) {
	dial := d.DialNet
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, u.Address)
	if err != nil {
		return nil, Answer{}, &ConnectError{Upstream: u.ID, Err: err}
	}
	c := &Conn{
		Organisation: organisation, Upstream: u.ID, net: conn, codec: d.Codec, peeker: peeker.New(conn), onStrayAnswer: d.OnStrayAnswer,
		values: map[string]string{}, prepared: map[string]bool{}, state: StateIdle,
	}
	c.checked = true
	c.r = bufio.NewReaderSize(answerReader{c}, readBufferSize)
	c.holder = &budgeter.Holder{Budget: d.Budget, Kind: budgeter.KindUpstream, HoldsAnswers: true, Close: func() { _ = conn.Close() }}
	a, err := c.handshake(ctx, u)
	if err != nil {
		_ = conn.Close()
		return nil, a, err
	}
	return c, a, nil
}

// handshake sends the startup message and reads the upstream's answer.
func (c *Conn) handshake(ctx context.Context, u keeper.Upstream) (Answer, error) {
	deadline := time.Now().Add(startupTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.net.SetDeadline(deadline); err != nil {
		return Answer{}, &ConnectError{Upstream: u.ID, Err: err}
	}
	if _, err := c.net.Write(c.codec.AppendStartup(nil, u.Service, c.Organisation, u.ID)); err != nil {
		return Answer{}, &ConnectError{Upstream: u.ID, Err: err}
	}
	defer c.release()
	a, err := c.codec.ReadAnswer(c.r)
	if a.Failure != FailureNone {
		return a, &ConnectError{Upstream: u.ID, Failure: a.Failure, Err: fmt.Errorf("refused: %s %s", a.Failure, a.Detail)}
	}
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		// An upstream at its connection limit closes new connections.
		return a, &ConnectError{Upstream: u.ID, Failure: FailureTooManyConnections, Err: err}
	}
	if err != nil {
		return a, &ConnectError{Upstream: u.ID, Err: err}
	}
	return a, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// ConnectError is returned when no connection could be opened. Nothing was sent
// on behalf of a caller.
type ConnectError struct {
	Upstream string
	// Failure is set if the upstream answered.
	Failure Failure
	Err     error
}

// Error implements error.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("connector: connect to upstream %s: %v", e.Upstream, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }
