package coordinator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/shallotstage/shallotstage/internal/attender"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// The calls between control hosts.
const (
	rpcExchange = "/shallotstage.Peers/Exchange"
	rpcAnnounce = "/shallotstage.Peers/Announce"
)

const (
	// linkQueue bounds the messages that wait for a slow control host. More
	// are dropped: the agreement sends them again.
	linkQueue = 256
	// linkSilence is how long a control host may leave messages unanswered
	// before the connection to it is replaced.
	linkSilence = 1200 * time.Millisecond
	// redialPause follows a failed connection.
	redialPause = 50 * time.Millisecond
	// linkDialLimit bounds the attempt to connect to another control host. A lost
	// opening packet is sent again by the system after a second only, and
	// elections wait for these links: more than two round trips between regions.
	linkDialLimit = 150 * time.Millisecond
)

// links carry the messages of the agreement. Each control host opens one
// connection to each other one, for its own messages.
type links struct {
	c *Coordinator

	mu      sync.Mutex
	queues  map[string]chan elector.Message
	address map[string]string
	// heard is when a message of each control host last arrived.
	heard map[string]time.Time
}

func newLinks(c *Coordinator) *links {
	return &links{c: c, queues: map[string]chan elector.Message{}, address: map[string]string{}, heard: map[string]time.Time{}}
}

// send hands a message to the link of its receiver.
func (l *links) send(m elector.Message) {
	l.mu.Lock()
	q := l.queues[m.To]
	if q == nil {
		q = make(chan elector.Message, linkQueue)
		l.queues[m.To] = q
		go l.run(l.c.run, m.To, q)
	}
	l.mu.Unlock()
	select {
	case q <- m:
	default:
	}
}

// learn keeps the address of a control host.
func (l *links) learn(m keeper.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address[m.ID] = m.PeerAddress
}

// learnAll keeps the addresses that are agreed on. Those that control hosts
// announced since are newer.
func (l *links) learnAll(members map[string]keeper.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, m := range members {
		if _, ok := l.address[id]; !ok {
			l.address[id] = m.PeerAddress
		}
	}
}

// addressOf returns where a control host is reached. Founders go by their
// address.
func (l *links) addressOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.address[id]; a != "" {
		return a
	}
	if _, _, err := net.SplitHostPort(id); err == nil {
		return id
	}
	return ""
}

// run keeps one connection and sends what is queued. A host that is no longer
// sent anything costs one waiting goroutine.
func (l *links) run(ctx context.Context, to string, q chan elector.Message) {
	for {
		var first elector.Message
		select {
		case <-ctx.Done():
			return
		case first = <-q:
		}
		if err := l.stream(ctx, to, first, q); err != nil && ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(redialPause):
			}
		}
	}
}

func (l *links) stream(ctx context.Context, to string, first elector.Message, q chan elector.Message) error {
	address := l.addressOf(to)
	if address == "" {
		return fmt.Errorf("coordinator: address of control host %s is unknown", to)
	}
	dialCtx, stop := context.WithTimeout(ctx, linkDialLimit)
	conn, err := l.c.Dial(dialCtx, address)
	stop()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, rpcExchange, linker.JSON{})
	if err != nil {
		return fmt.Errorf("coordinator: open link to %s: %w", to, err)
	}
	opened := time.Now()
	for m := first; ; {
		if err := stream.MsgSend(&m, linker.JSON{}); err != nil {
			return fmt.Errorf("coordinator: send to %s: %w", to, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case m = <-q:
		}
		if l.isSilent(to, opened) || l.addressOf(to) != address {
			return fmt.Errorf("coordinator: link to %s is silent", to)
		}
	}
}

// isSilent reports whether nothing was heard from a control host for long
// although it is sent messages. The connection to it may have gone silent.
func (l *links) isSilent(id string, opened time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.heard[id]
	if since.Before(opened) {
		since = opened
	}
	return time.Since(since) > linkSilence
}

func (l *links) note(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[id] = time.Now()
}

// ServePeers serves control hosts and entry hosts until ctx ends.
func (c *Coordinator) ServePeers(ctx context.Context, listener net.Listener) error {
	return linker.Linker{}.ServeHandler(ctx, listener, handler{c})
}

// handler serves the calls of other hosts.
type handler struct {
	c *Coordinator
}

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rpcExchange:
		return h.c.exchange(stream)
	case rpcAnnounce:
		return h.c.takeAnnouncement(stream)
	case attender.RPC:
		return h.c.attend(stream)
	}
	return fmt.Errorf("coordinator: unknown call %q", rpc)
}

// exchange takes the messages of another control host.
func (c *Coordinator) exchange(stream drpc.Stream) error {
	for {
		var m elector.Message
		if err := stream.MsgRecv(&m, linker.JSON{}); err != nil {
			return err
		}
		if m.To != c.id {
			// This host took the address of the one that is meant.
			return fmt.Errorf("coordinator: message for %s reached %s", m.To, c.id)
		}
		c.links.note(m.From)
		c.do(func() { c.elector.Step(m, c.Now()) })
	}
}
