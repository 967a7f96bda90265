package forwarder

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/shallotstage/shallotstage/internal/acceptor"
	"github.com/shallotstage/shallotstage/internal/budgeter"
)

// The answers to a header.
const (
	// headerThreshold is the size from which a header counts in the process's budget.
	headerThreshold = 16 << 10
	// headerStep is how much of a header is read at a time.
	headerStep = 64 << 10
	// headerCost is the memory of a header by its size: its buffer grows, and what is
	// decoded from it is as large.
	headerCost = 3
)

// AcceptFunc decides on a stream by its header. It returns the function that
// serves and closes the stream, or nil to refuse it.
type AcceptFunc func(header []byte) func(ctx context.Context, conn net.Conn)

// Serve accepts streams from other hosts until ctx ends. It closes the listener
// and waits for the streams to end.
func (f *Forwarder) Serve(ctx context.Context, l net.Listener, accept AcceptFunc) {
	var wg sync.WaitGroup
	defer wg.Wait()
	_ = acceptor.Serve(ctx, l, nil, func(conn net.Conn) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.serveConn(ctx, conn, accept)
		}()
	})
}

// serveConn serves the streams of one connection.
func (f *Forwarder) serveConn(ctx context.Context, conn net.Conn, accept AcceptFunc) {
	defer func() { _ = conn.Close() }()
	link := &incomingLink{Conn: conn, holder: &budgeter.Holder{Budget: f.Budget, Kind: budgeter.KindLink, Close: func() { _ = conn.Close() }}}
	defer link.holder.End()
	// The count is used with the first data, after the multiplexer has started.
	var mux *yamux.Session
	started := make(chan struct{})
	link.streamCount = func() int {
		<-started
		return mux.NumStreams()
	}
	session, err := yamux.Server(link, yamuxConfig())
	mux = session
	close(started)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.serveStream(ctx, linkStream{stream, link}, accept)
		}()
	}
}

func (f *Forwarder) serveStream(ctx context.Context, stream linkStream, accept AcceptFunc) {
	holder := &budgeter.Holder{Budget: f.Budget, Kind: budgeter.KindLink, Close: func() { _ = stream.Close() }}
	header, err := readHeader(stream, holder)
	defer func() {
		if len(header) > headerThreshold {
			holder.Release()
		}
	}()
	if err != nil {
		_ = stream.Close()
		discard(stream)
		return
	}
	serve := accept(header)
	if serve == nil {
		_, _ = stream.Write([]byte{answerRefused})
		_ = stream.Close()
		return
	}
	if _, err := stream.Write([]byte{answerAccepted}); err != nil {
		_ = stream.Close()
		return
	}
	acceptor.Establish(stream.link.Conn)
	if len(header) > headerThreshold {
		// The header may contain a statement, which is now executed.
		holder.SetBusy(true)
	}
	serve(ctx, stream)
}

func readHeader(stream net.Conn, holder *budgeter.Holder) ([]byte, error) {
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
	// The size is only what the other host says: the buffer grows with what arrives.
	header := make([]byte, 0, min(n, headerThreshold))
	for uint32(len(header)) < n {
		step := min(n-uint32(len(header)), headerStep)
		if n > headerThreshold && !holder.SetHeld(int64(headerCost*(len(header)+int(step)))) {
			return header, budgeter.ErrUsedUp
		}
		if cap(header)-len(header) < int(step) {
			header = slices.Grow(header, max(int(step), len(header)))
		}
		header = header[:len(header)+int(step)]
		if _, err := io.ReadFull(stream, header[len(header)-int(step):]); err != nil {
			return header, fmt.Errorf("forwarder: read header: %w", err)
		}
	}
	return header, nil
}

// discard reads what comes of a closed stream, for a while: the multiplexer keeps what has
// come and is not read.
func discard(stream net.Conn) {
	_ = stream.SetReadDeadline(time.Now().Add(openTimeout))
	buffer, ok := bulkBuffers.Get().(*[bulkBytes]byte)
	if !ok {
		return
	}
	defer bulkBuffers.Put(buffer)
	for n := 0; n < maxHeaderBytes; {
		read, err := stream.Read(buffer[:])
		if err != nil {
			return
		}
		n += read
	}
}
