// Package forwarder carries callers' sessions from one entry host to another
// over one connection for each pair of hosts.
//
// # Usage
//
//	f := &forwarder.Forwarder{Dial: dial}
//	conn, err := f.Open(ctx, "127.0.0.1:7001", header)
//	err = f.Serve(ctx, listener, accept)
//
// The streams share a connection through a multiplexer with a window for each
// stream, so a slow caller holds up nobody else. Its keep-alive finds a
// connection that has gone silent; the next Open then makes a new one.
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
)

const (
	// maxHeaderBytes bounds the header of a stream: a statement of 1 MiB and
	// what goes with it.
	maxHeaderBytes = 2 << 20
	// openTimeout bounds the opening of a stream, its answer included.
	openTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection: several round trips between
	// regions. A lost opening packet is sent again after a second only.
	dialTimeout = 500 * time.Millisecond
	// forgottenLife is how long the streams of a connection that is replaced may
	// go on.
	forgottenLife = 10 * time.Second
	// keepAlive is the time between two questions whether the other end lives.
	keepAlive = 5 * time.Second
)

// The answers to a header.
const (
	answerTaken   = 'T'
	answerRefused = 'R'
)

// ErrRefused means that the other host did not take the session.
var ErrRefused = errors.New("forwarder: the other host does not take sessions")

// Forwarder holds the connections to other hosts. Exported fields are set
// before the first call.
type Forwarder struct {
	// Dial opens a connection to another host.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	links    map[string]*yamux.Session
	openings map[string]*opening
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = openTimeout
	c.StreamOpenTimeout = openTimeout
	c.LogOutput = io.Discard
	return c
}

// Open opens a stream to the host at an address and hands it the header. It
// returns ErrRefused when that host does not take the session.
func (f *Forwarder) Open(ctx context.Context, address string, header []byte) (net.Conn, error) {
	stream, _, err := f.Offer(ctx, address, header)
	return stream, err
}

// Offer is Open that also tells whether the header was sent: the host may then
// act on it although no answer came. It waits until ctx ends, at most for two
// seconds.
func (f *Forwarder) Offer(ctx context.Context, address string, header []byte) (stream net.Conn, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	link, err := f.link(ctx, address)
	if err != nil {
		return nil, false, err
	}
	stream, err = link.OpenStream()
	if err != nil {
		return nil, false, fmt.Errorf("forwarder: open stream to %s: %w", address, err)
	}
	deadline, _ := ctx.Deadline()
	if err := offer(stream, header, deadline); err != nil {
		_ = stream.Close()
		return nil, !errors.Is(err, ErrRefused), err
	}
	return stream, true, nil
}

// Forget makes the next stream to an address use a new connection: the one of
// now may have gone silent. Streams that still work on it go on for a while.
func (f *Forwarder) Forget(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	link := f.links[address]
	if link == nil {
		return
	}
	delete(f.links, address)
	time.AfterFunc(forgottenLife, func() { _ = link.Close() })
}

// offer sends the header and awaits the answer.
func offer(stream net.Conn, header []byte, deadline time.Time) error {
	_ = stream.SetDeadline(deadline)
	b := binary.BigEndian.AppendUint32(nil, uint32(len(header)))
	if _, err := stream.Write(append(b, header...)); err != nil {
		return fmt.Errorf("forwarder: send header: %w", err)
	}
	var answer [1]byte
	if _, err := io.ReadFull(stream, answer[:]); err != nil {
		return fmt.Errorf("forwarder: read answer: %w", err)
	}
	if answer[0] != answerTaken {
		return ErrRefused
	}
	return stream.SetDeadline(time.Time{})
}

// opening is a connection that is being opened for all that wait for it.
type opening struct {
	done chan struct{}
	link *yamux.Session
	err  error
}

// link returns the connection to an address, a new one when there is none. One is
// opened for all that ask meanwhile: a host that starts has many callers at once.
func (f *Forwarder) link(ctx context.Context, address string) (*yamux.Session, error) {
	f.mu.Lock()
	if link := f.links[address]; link != nil && !link.IsClosed() {
		f.mu.Unlock()
		return link, nil
	}
	o := f.openings[address]
	if o == nil {
		if f.openings == nil {
			f.openings = map[string]*opening{}
		}
		o = &opening{done: make(chan struct{})}
		f.openings[address] = o
		go f.open(context.WithoutCancel(ctx), address, o)
	}
	f.mu.Unlock()
	select {
	case <-o.done:
		return o.link, o.err
	case <-ctx.Done():
		return nil, fmt.Errorf("forwarder: connect to %s: %w", address, ctx.Err())
	}
}

// open opens a connection and keeps it.
func (f *Forwarder) open(ctx context.Context, address string, o *opening) {
	defer close(o.done)
	o.link, o.err = f.connect(ctx, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.openings, address)
	if o.err != nil {
		return
	}
	if f.links == nil {
		f.links = map[string]*yamux.Session{}
	}
	f.links[address] = o.link
}

func (f *Forwarder) connect(ctx context.Context, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := f.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("forwarder: connect to %s: %w", address, err)
	}
	link, err := yamux.Client(conn, config())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("forwarder: start multiplexer: %w", err)
	}
	return link, nil
}

// Addresses returns the hosts to which a connection stands.
func (f *Forwarder) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, link := range f.links {
		if !link.IsClosed() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Close closes all connections to other hosts.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, link := range f.links {
		_ = link.Close()
	}
}

// Accept takes a stream with its header. It returns nil to refuse it, or the
// function that serves it and closes it.
type Accept func(header []byte) func(ctx context.Context, conn net.Conn)

// Serve takes streams from other hosts until ctx ends. It closes the listener
// and waits for the sessions to end.
func (f *Forwarder) Serve(ctx context.Context, l net.Listener, accept Accept) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.serveLink(ctx, conn, accept)
		}()
	}
}

// serveLink serves the streams of one connection.
func (f *Forwarder) serveLink(ctx context.Context, conn net.Conn, accept Accept) {
	defer func() { _ = conn.Close() }()
	link, err := yamux.Server(conn, config())
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = link.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := link.AcceptStream()
		if err != nil {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			serveStream(ctx, stream, accept)
		}()
	}
}

func serveStream(ctx context.Context, stream net.Conn, accept Accept) {
	header, err := readHeader(stream)
	if err != nil {
		_ = stream.Close()
		return
	}
	serve := accept(header)
	if serve == nil {
		_, _ = stream.Write([]byte{answerRefused})
		_ = stream.Close()
		return
	}
	if _, err := stream.Write([]byte{answerTaken}); err != nil {
		_ = stream.Close()
		return
	}
	serve(ctx, stream)
}

func readHeader(stream net.Conn) ([]byte, error) {
	_ = stream.SetReadDeadline(time.Now().Add(openTimeout))
	defer func() { _ = stream.SetReadDeadline(time.Time{}) }()
	var size [4]byte
	if _, err := io.ReadFull(stream, size[:]); err != nil {
		return nil, fmt.Errorf("forwarder: read header: %w", err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxHeaderBytes {
		return nil, fmt.Errorf("forwarder: header of %d bytes is above %d", n, maxHeaderBytes)
	}
	header := make([]byte, n)
	if _, err := io.ReadFull(stream, header); err != nil {
		return nil, fmt.Errorf("forwarder: read header: %w", err)
	}
	return header, nil
}
