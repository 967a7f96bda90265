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
	// peerQueue bounds the messages that wait for one control host.
	peerQueue = 256
	// peerRetry is the pause before a lost control host is tried again.
	peerRetry = 100 * time.Millisecond
	// announceInterval is the time between two announcements to a peer.
	announceInterval = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
)

// peer is another control host and the messages that wait for it.
type peer struct {
	id      string
	address string
	queue   chan elector.Message
	stop    context.CancelFunc
}

// reach keeps a sender and an announcer for each control host, at its newest
// address. It is called before the controller runs and then in the control
// goroutine only, like enqueue.
func (h *Control) reach(ctx context.Context, hosts map[string]string) {
	for id, address := range hosts {
		old := h.peers[id]
		if id == h.Controller.ID || address == "" || old != nil && old.address == address {
			continue
		}
		if old != nil {
			old.stop()
		}
		peerCtx, stop := context.WithCancel(ctx)
		p := &peer{id: id, address: address, queue: make(chan elector.Message, peerQueue), stop: stop}
		h.peers[id] = p
		h.wg.Add(2)
		go func() { defer h.wg.Done(); h.sendAll(peerCtx, p) }()
		go func() { defer h.wg.Done(); h.announceAll(peerCtx, p) }()
	}
}

// enqueue hands a message to the sender of its peer. A slow peer loses
// messages, which the agreement repeats, and costs nobody else.
func (h *Control) enqueue(m elector.Message) {
	p := h.peers[m.To]
	if p == nil {
		return
	}
	select {
	case p.queue <- m:
	default:
	}
}

// sendAll carries messages to one peer until ctx ends.
func (h *Control) sendAll(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		err := h.exchange(ctx, p)
		if ctx.Err() == nil && err != nil {
			p.drop()
		}
		_ = pauser.Pause(ctx, peerRetry)
	}
}

// drop empties the queue of a peer that cannot be reached.
func (p *peer) drop() {
	for range peerQueue {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

func (h *Control) exchange(ctx context.Context, p *peer) error {
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

// announceAll tells a peer of this control host until ctx ends.
func (h *Control) announceAll(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		_ = h.announceOver(ctx, p)
		_ = pauser.Pause(ctx, announceInterval)
	}
}

// announceOver announces this control host over one connection until it fails.
func (h *Control) announceOver(ctx context.Context, p *peer) error {
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
			h.learn(answer)
		}
		if err := h.fetchPages(ctx, client); err != nil {
			return err
		}
		if err := pauser.Pause(ctx, announceInterval); err != nil {
			return err
		}
	}
}

func (h *Control) announce(ctx context.Context, client messenger.DRPCPeersClient) (*messenger.ControlHostsAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(h.self)
	if err != nil {
		return nil, fmt.Errorf("runner: encode announcement: %w", err)
	}
	answer, err := client.Announce(ctx, &messenger.ControlHostNotice{Host: body, Pages: h.Controller.ArchivedPages()})
	if err != nil {
		return nil, fmt.Errorf("runner: announce: %w", err)
	}
	return answer, nil
}

// fetchPages asks a peer for the pages of the old record that this host lacks.
func (h *Control) fetchPages(ctx context.Context, client messenger.DRPCPeersClient) error {
	for {
		number, missing := h.Controller.MissingPage()
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
		if err := h.Controller.TakePage(answer.GetPage()); err != nil {
			return err
		}
	}
}

// learn takes the control hosts that a peer knows, so that a spare announces
// itself to those that joined after its start.
func (h *Control) learn(answer *messenger.ControlHostsAnswer) {
	addresses := map[string]string{}
	for _, body := range answer.GetHosts() {
		var other configurer.ControlHost
		if json.Unmarshal(body, &other) == nil && other.Validate() == nil {
			addresses[other.ID] = other.Address
		}
	}
	h.Controller.Do(func() { h.reach(h.ctx, addresses) })
}
