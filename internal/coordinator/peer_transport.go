package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/shallotstage/shallotstage/internal/controlclient"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/recoverer"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// RPC paths for calls between control hosts.
const (
	rpcExchange = "/shallotstage.Peers/Exchange"
	rpcAnnounce = "/shallotstage.Peers/Announce"
)

const (
	// sendQueueSize bounds the messages queued for a slow control host. Further
	// ones are dropped: the consensus protocol resends them.
	sendQueueSize = 256
	// peerSilenceTimeout is how long a control host may leave messages unanswered
	// before the connection to it is replaced.
	peerSilenceTimeout = 1200 * time.Millisecond
	// redialDelay is the wait after a failed connection.
	redialDelay = 50 * time.Millisecond
	// peerDialTimeout bounds the attempt to connect to another control host. The
	// system resends a lost SYN only after a second, and elections wait for these
	// connections. The timeout is longer than two round trips between regions.
	peerDialTimeout = 150 * time.Millisecond
)

// peerTransport carries the consensus messages. Each control host opens one
// connection to each other one for the messages that it sends.
type peerTransport struct {
	c *Coordinator

	mu        sync.Mutex
	queues    map[string]chan elector.Message
	addresses map[string]string
	// lastReceived is when a message of each control host last arrived.
	lastReceived map[string]time.Time
}

func newPeerTransport(c *Coordinator) *peerTransport {
	return &peerTransport{c: c, queues: map[string]chan elector.Message{}, addresses: map[string]string{}, lastReceived: map[string]time.Time{}}
}

// send queues a message for its receiver.
func (t *peerTransport) send(m elector.Message) {
	t.mu.Lock()
	q := t.queues[m.To]
	if q == nil {
		q = make(chan elector.Message, sendQueueSize)
		t.queues[m.To] = q
		go t.run(t.c.run, m.To, q)
	}
	t.mu.Unlock()
	select {
	case q <- m:
	default:
		t.c.observer.droppedMessages.Add(1)
	}
}

// setAddress sets the address of a control host.
func (t *peerTransport) setAddress(m keeper.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[m.ID] = m.PeerAddress
}

// addAddresses adds the agreed addresses that are still unknown. An address from
// an announcement is newer and stays.
func (t *peerTransport) addAddresses(members map[string]keeper.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range members {
		if _, ok := t.addresses[id]; !ok {
			t.addresses[id] = m.PeerAddress
		}
	}
}

// addressOf returns the address of a control host, or an empty string. The member
// ID of a founder is its address.
func (t *peerTransport) addressOf(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.addresses[id]; a != "" {
		return a
	}
	if _, _, err := net.SplitHostPort(id); err == nil {
		return id
	}
	return ""
}

// run keeps one connection open and sends the queued messages. For a host that no
// longer gets messages, only a waiting goroutine remains.
func (t *peerTransport) run(ctx context.Context, to string, q chan elector.Message) {
	var unsent *elector.Message
	for {
		var first elector.Message
		if unsent != nil {
			first = *unsent
		} else {
			select {
			case <-ctx.Done():
				return
			case first = <-q:
			}
		}
		var err error
		if unsent, err = t.stream(ctx, to, first, q); err != nil && unsent == nil && ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(redialDelay):
			}
		}
	}
}

// stream sends messages over one connection. If the connection must be replaced, it returns
// the message that is to be sent over the next one.
func (t *peerTransport) stream(ctx context.Context, to string, first elector.Message, q chan elector.Message) (unsent *elector.Message, err error) {
	address := t.addressOf(to)
	if address == "" {
		return nil, fmt.Errorf("coordinator: address of control host %s is unknown", to)
	}
	dialCtx, stop := context.WithTimeout(ctx, peerDialTimeout)
	conn, err := t.c.Dial(dialCtx, address)
	stop()
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, rpcExchange, linker.JSONEncoding{})
	if err != nil {
		return nil, fmt.Errorf("coordinator: open stream to %s: %w", to, err)
	}
	opened := time.Now()
	for m, isFirst := first, true; ; isFirst = false {
		if err := stream.MsgSend(&m, linker.JSONEncoding{}); err != nil {
			if !isFirst {
				unsent = &m
			}
			return unsent, fmt.Errorf("coordinator: send to %s: %w", to, err)
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case m = <-q:
		}
		if t.isSilent(to, opened) || t.addressOf(to) != address {
			return &m, fmt.Errorf("coordinator: connection to %s is silent or its address has changed", to)
		}
	}
}

// isSilent reports whether nothing has been received from a control host for
// peerSilenceTimeout although messages are sent to it. The connection may be
// broken without an error.
func (t *peerTransport) isSilent(id string, opened time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := t.lastReceived[id]
	if since.Before(opened) {
		since = opened
	}
	return time.Since(since) > peerSilenceTimeout
}

func (t *peerTransport) recordReceived(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReceived[id] = time.Now()
}

// ServePeers serves control hosts and entry hosts until ctx ends.
func (c *Coordinator) ServePeers(ctx context.Context, listener net.Listener) error {
	return linker.Linker{}.ServeHandler(ctx, listener, handler{c})
}

// handler dispatches the RPCs of other hosts.
type handler struct {
	c *Coordinator
}

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer recoverer.Recover(h.c.Log, rpc, func() { err = errors.New("coordinator: unexpected error, see the log") })
	switch rpc {
	case rpcExchange:
		return h.c.exchange(stream)
	case rpcAnnounce:
		return h.c.serveAnnouncement(stream)
	case controlclient.RPCPath:
		return h.c.serveHostStream(stream)
	}
	return fmt.Errorf("coordinator: unknown call %q", rpc)
}

// exchange receives the consensus messages of another control host.
func (c *Coordinator) exchange(stream drpc.Stream) error {
	for {
		var m elector.Message
		if err := stream.MsgRecv(&m, linker.JSONEncoding{}); err != nil {
			return err
		}
		if m.To != c.id {
			// This host now uses the address of the intended receiver.
			return fmt.Errorf("coordinator: message for %s reached %s", m.To, c.id)
		}
		c.transport.recordReceived(m.From)
		c.queue.TryFirst(func() { c.elector.Step(m, c.Now()) })
	}
}
