// Package forwarder forwards streams, such as callers' sessions, from one host to
// another over one multiplexed connection per pair of hosts.
//
// # Usage
//
//	f := &forwarder.Forwarder{Dial: dial}
//	conn, err := f.Open(ctx, "127.0.0.1:7001", header)
//	err = f.Serve(ctx, listener, accept)
//
// The streams share a connection through the yamux multiplexer. Each stream has
// its own flow-control window, so a slow caller does not block the others.
// Keep-alives detect a dead connection; the next Open then dials a new one.
package forwarder

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/shallotstage/shallotstage/internal/budgeter"
)

const (
	// maxHeaderBytes is the maximum size of a stream's header. It has room for a
	// statement of 1 MiB and its metadata.
	maxHeaderBytes = 2 << 20
	// openTimeout is the timeout of opening a stream, including the answer to
	// its header.
	openTimeout = 2 * time.Second
	// closeTimeout is how long the other side may leave a closed stream open, whose
	// unread bytes are kept until then.
	closeTimeout = 10 * time.Second
	// dialTimeout is the timeout of opening a connection. It allows several round
	// trips between regions, but not the retransmission of a lost SYN, which
	// happens only after a second.
	dialTimeout = 500 * time.Millisecond
	// replacedMuxLifetime is how long the streams of a replaced connection may
	// continue.
	replacedMuxLifetime = 10 * time.Second
	// keepAliveInterval is the time between two keep-alive pings.
	keepAliveInterval = 5 * time.Second
)

const (
	answerAccepted = 'T'
	answerRefused  = 'R'
)

// ErrRefused means that the other host did not accept the stream.
var ErrRefused = errors.New("forwarder: the other host does not take sessions")

// Forwarder opens streams to other hosts and accepts theirs. Exported fields are
// set before the first call.
type Forwarder struct {
	// Dial opens a connection to another host.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Budget bounds the headers of streams that other hosts open; nil means no limit.
	Budget *budgeter.Budget

	mu           sync.Mutex
	muxes        map[string]*yamux.Session
	heard        map[string]*heardConn
	pendingDials map[string]*pendingDial
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = openTimeout
	c.StreamOpenTimeout = openTimeout
	c.StreamCloseTimeout = closeTimeout
	c.LogOutput = io.Discard
	return c
}

// Open opens a stream to the host at address and sends it the header. It returns
// ErrRefused if that host does not accept the stream.
func (f *Forwarder) Open(ctx context.Context, address string, header []byte) (net.Conn, error) {
	stream, _, err := f.TryOpen(ctx, address, header)
	return stream, err
}

// TryOpen is like Open, but also returns whether the header was sent: the other
// host may then act on it even if no answer is received. It waits until ctx
// ends, but at most two seconds.
func (f *Forwarder) TryOpen(ctx context.Context, address string, header []byte) (stream net.Conn, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	mux, err := f.muxFor(ctx, address)
	if err != nil {
		return nil, false, err
	}
	stream, err = mux.OpenStream()
	if err != nil {
		return nil, false, fmt.Errorf("forwarder: open stream to %s: %w", address, err)
	}
	deadline, _ := ctx.Deadline()
	if err := sendHeader(stream, header, deadline); err != nil {
		_ = stream.Close()
		return nil, !errors.Is(err, ErrRefused), err
	}
	return stream, true, nil
}

// ReplaceConn makes the next stream to an address use a new connection, because
// the current one may be dead. Existing streams continue for
// replacedMuxLifetime.
func (f *Forwarder) ReplaceConn(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mux := f.muxes[address]
	if mux == nil {
		return
	}
	delete(f.muxes, address)
	delete(f.heard, address)
	time.AfterFunc(replacedMuxLifetime, func() { _ = mux.Close() })
}

// sendHeader sends the header and waits for the answer.
func sendHeader(stream net.Conn, header []byte, deadline time.Time) error {
	_ = stream.SetDeadline(deadline)
	b := binary.BigEndian.AppendUint32(nil, uint32(len(header)))
	if _, err := stream.Write(append(b, header...)); err != nil {
		return fmt.Errorf("forwarder: send header: %w", err)
	}
	var answer [1]byte
	if _, err := io.ReadFull(stream, answer[:]); err != nil {
		return fmt.Errorf("forwarder: read answer: %w", err)
	}
	if answer[0] != answerAccepted {
		return ErrRefused
	}
	return stream.SetDeadline(time.Time{})
}

// pendingDial is a dial in progress, shared by all callers that wait for it.
type pendingDial struct {
	done chan struct{}
	mux  *yamux.Session
	conn *heardConn
	err  error
}

// muxFor returns the multiplexed connection to an address and dials one if there
// is none. Concurrent callers share one dial, since a host that starts has many
// callers at once.
func (f *Forwarder) muxFor(ctx context.Context, address string) (*yamux.Session, error) {
	f.mu.Lock()
	if mux := f.muxes[address]; mux != nil && !mux.IsClosed() {
		f.mu.Unlock()
		return mux, nil
	}
	p := f.pendingDials[address]
	if p == nil {
		if f.pendingDials == nil {
			f.pendingDials = map[string]*pendingDial{}
		}
		p = &pendingDial{done: make(chan struct{})}
		f.pendingDials[address] = p
		go f.dialPending(context.WithoutCancel(ctx), address, p)
	}
	f.mu.Unlock()
	select {
	case <-p.done:
		return p.mux, p.err
	case <-ctx.Done():
		return nil, fmt.Errorf("forwarder: connect to %s: %w", address, ctx.Err())
	}
}

// dialPending dials a connection and stores it for the next streams.
func (f *Forwarder) dialPending(ctx context.Context, address string, p *pendingDial) {
	defer close(p.done)
	p.mux, p.conn, p.err = f.dialMux(ctx, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pendingDials, address)
	if p.err != nil {
		return
	}
	if f.muxes == nil {
		f.muxes, f.heard = map[string]*yamux.Session{}, map[string]*heardConn{}
	}
	f.muxes[address], f.heard[address] = p.mux, p.conn
}

func (f *Forwarder) dialMux(ctx context.Context, address string) (*yamux.Session, *heardConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := f.Dial(ctx, address)
	if err != nil {
		return nil, nil, fmt.Errorf("forwarder: connect to %s: %w", address, err)
	}
	heard := &heardConn{Conn: conn}
	mux, err := yamux.Client(heard, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("forwarder: start multiplexer: %w", err)
	}
	return mux, heard, nil
}

// ConnectedAddresses returns the addresses of the hosts with an open connection.
func (f *Forwarder) ConnectedAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, mux := range f.muxes {
		if !mux.IsClosed() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Close closes all connections to other hosts.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, mux := range f.muxes {
		_ = mux.Close()
	}
}
