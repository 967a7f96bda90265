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

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

const (
	// connectTimeout bounds the opening of a TCP connection. It is several
	// times the round trip between regions, 60 ms.
	connectTimeout = 500 * time.Millisecond
	// startupTimeout bounds the whole opening, with a handshake of 12 ms that
	// may queue for a slot.
	startupTimeout = 1500 * time.Millisecond
	// unackedTimeout bounds how long sent bytes may stay unacknowledged: with
	// it a silent connection or host is told from a slow one. It outlives two
	// lost packets.
	unackedTimeout = 900 * time.Millisecond
	// probeIdle and probeInterval find connections that went silent while
	// idle.
	probeIdle     = 5 * time.Second
	probeInterval = 2 * time.Second
)

// Dialer opens connections to upstreams. Codec must be set.
type Dialer struct {
	Codec *Codec
	// DialNet opens the network connection; nil means TCP with bounds on
	// silence.
	DialNet func(ctx context.Context, address string) (net.Conn, error)
}

// Dial opens a connection for an organisation.
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
		Organisation: organisation, Upstream: u.ID, net: conn, r: bufio.NewReaderSize(conn, readBuffer), codec: d.Codec,
		values: map[string]string{}, prepared: map[string]bool{}, state: StateIdle,
	}
	a, err := c.start(ctx, u)
	if err != nil {
		_ = conn.Close()
		return nil, a, err
	}
	return c, a, nil
}

// start says who calls and reads the upstream's greeting.
func (c *Conn) start(ctx context.Context, u keeper.Upstream) (Answer, error) {
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
	a, err := c.codec.ReadAnswer(c.r)
	if a.Failure != FailureNone {
		return a, &ConnectError{Upstream: u.ID, Failure: a.Failure, Err: fmt.Errorf("refused: %s %s", a.Failure, a.Detail)}
	}
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		// An upstream at its bound of connections cuts new ones off.
		return a, &ConnectError{Upstream: u.ID, Failure: FailureTooMany, Err: err}
	}
	if err != nil {
		return a, &ConnectError{Upstream: u.ID, Err: err}
	}
	return a, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// ConnectError means that no connection could be opened. Nothing was sent on
// behalf of a caller.
type ConnectError struct {
	Upstream string
	// Failure is set when the upstream answered.
	Failure Failure
	Err     error
}

// Error implements error.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("connector: connect to upstream %s: %v", e.Upstream, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }
