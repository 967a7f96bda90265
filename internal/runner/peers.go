package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/internal/pauser"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/elector"
)

const (
	// peerQueueSize is the maximum number of messages queued for one control
	// host.
	peerQueueSize = 256
	// peerRetryDelay is the delay before reconnecting to a control host.
	peerRetryDelay = 100 * time.Millisecond
	// announceInterval is the time between two announcements to a peer.
	announceInterval = time.Second
	// announceTimeout is the timeout of one announcement.
	announceTimeout = time.Second
)

// peer is another control host with its queue of outgoing messages.
type peer struct {
	id      string
	address string
	queue   chan elector.Message
	stop    context.CancelFunc
}

// connectPeers starts a sender and an announcer for each control host, and
// restarts them when its address changes. It is called before the controller
// runs and then only in the control goroutine, like enqueue.
func (h *ControlHost) connectPeers(ctx context.Context, hosts map[string]string) {
	for id, address := range hosts {
		old := h.peers[id]
		if id == h.Controller.ID || address == "" || old != nil && old.address == address {
			continue
		}
		if old != nil {
			old.stop()
		}
		peerCtx, stop := context.WithCancel(ctx)
		p := &peer{id: id, address: address, queue: make(chan elector.Message, peerQueueSize), stop: stop}
		h.peers[id] = p
		h.wg.Add(2)
		go func() { defer h.wg.Done(); h.sendLoop(peerCtx, p) }()
		go func() { defer h.wg.Done(); h.announceLoop(peerCtx, p) }()
	}
}

// enqueue queues a message for its peer and never blocks. Messages to a slow peer
// are dropped; the consensus protocol repeats them.
func (h *ControlHost) enqueue(m elector.Message) {
	p := h.peers[m.To]
	if p == nil {
		return
	}
	select {
	case p.queue <- m:
	default:
	}
}

// sendLoop sends queued messages to one peer until ctx ends.
func (h *ControlHost) sendLoop(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		err := h.exchange(ctx, p)
		if ctx.Err() == nil && err != nil {
			p.discardQueue()
		}
		_ = pauser.Sleep(ctx, peerRetryDelay)
	}
}

// discardQueue discards the queued messages of an unreachable peer.
func (p *peer) discardQueue() {
	for range peerQueueSize {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

func (h *ControlHost) exchange(ctx context.Context, p *peer) error {
	conn, err := h.Linker.Dial(ctx, p.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := messenger.NewDRPCPeersClient(conn).Exchange(ctx)
	if err != nil {
		return fmt.Errorf("runner: open exchange: %w", err)
	}
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		return fmt.Errorf("runner: create compressor: %w", err)
	}
	defer func() { _ = enc.Close() }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-p.queue:
			body, err := json.Marshal(m)
			if err != nil {
				return fmt.Errorf("runner: encode message: %w", err)
			}
			if err := stream.Send(&messenger.PeerMessage{Body: enc.EncodeAll(body, nil)}); err != nil {
				return fmt.Errorf("runner: send message: %w", err)
			}
		}
	}
}

// announceLoop announces this control host to a peer until ctx ends.
func (h *ControlHost) announceLoop(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		_ = h.announceOnConn(ctx, p)
		_ = pauser.Sleep(ctx, announceInterval)
	}
}

// announceOnConn announces this control host over one connection until it fails,
// and fetches missing pages over it.
func (h *ControlHost) announceOnConn(ctx context.Context, p *peer) error {
	conn, err := h.Linker.Dial(ctx, p.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client := messenger.NewDRPCPeersClient(conn)
	for {
		answer, err := h.announce(ctx, client)
		if err != nil {
			return err
		}
		if h.IsSpare {
			h.connectLearnedPeers(answer)
		}
		if err := h.fetchPages(ctx, client); err != nil {
			return err
		}
		if err := pauser.Sleep(ctx, announceInterval); err != nil {
			return err
		}
	}
}

func (h *ControlHost) announce(ctx context.Context, client messenger.DRPCPeersClient) (*messenger.ControlHostsAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(h.self)
	if err != nil {
		return nil, fmt.Errorf("runner: encode announcement: %w", err)
	}
	answer, err := client.Announce(ctx, &messenger.ControlHostNotice{Host: body, Pages: h.Controller.ArchivedPageCount()})
	if err != nil {
		return nil, fmt.Errorf("runner: announce: %w", err)
	}
	return answer, nil
}

// fetchPages fetches from a peer the archived pages that this host does not store.
func (h *ControlHost) fetchPages(ctx context.Context, client messenger.DRPCPeersClient) error {
	for {
		number, missing := h.Controller.FirstMissingPage()
		if !missing {
			return nil
		}
		answer, err := client.FetchPage(ctx, &messenger.PageRequest{Number: number})
		if err != nil {
			return fmt.Errorf("runner: fetch page %d: %w", number, err)
		}
		if len(answer.GetPage()) == 0 {
			return nil
		}
		if err := h.Controller.StorePage(answer.GetPage()); err != nil {
			return err
		}
	}
}

// connectLearnedPeers connects to the control hosts that a peer has registered, so
// that a spare announces itself to control hosts that joined after it started.
func (h *ControlHost) connectLearnedPeers(answer *messenger.ControlHostsAnswer) {
	addresses := map[string]string{}
	for _, body := range answer.GetHosts() {
		var other configurer.ControlHost
		if json.Unmarshal(body, &other) == nil && other.Validate() == nil {
			addresses[other.ID] = other.Address
		}
	}
	h.Controller.Enqueue(func() { h.connectPeers(h.ctx, addresses) })
}
