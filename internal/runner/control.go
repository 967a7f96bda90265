package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"

	"github.com/shallotstage/shallotstage/internal/controller"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/elector"
)

const (
	// peerQueue bounds the messages that wait for one control host.
	peerQueue = 256
	// peerRetry is the pause before a lost control host is tried again.
	peerRetry = 100 * time.Millisecond
)

// Control is a control host. Exported fields are set before Run.
type Control struct {
	Controller *controller.Controller
	// Peers are the addresses of the other control hosts by id.
	Peers  map[string]string
	Linker linker.Linker
	// Pages serves the operators' interface; nil serves nothing.
	Pages http.Handler
	Log   *logger.Logger

	queues map[string]chan elector.Message
}

// Run serves until ctx ends. It closes the listeners.
func (h *Control) Run(ctx context.Context, links, pages net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.queues = map[string]chan elector.Message{}
	for id := range h.Peers {
		h.queues[id] = make(chan elector.Message, peerQueue)
	}
	h.Controller.SendPeer = h.enqueue
	h.Controller.Prepare()
	var wg sync.WaitGroup
	start := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	for id, address := range h.Peers {
		start(func() { h.sendAll(ctx, id, address) })
	}
	start(func() {
		_ = h.Linker.Serve(ctx, links, func(mux *drpcmux.Mux) error {
			if err := messenger.DRPCRegisterPeers(mux, peersService{controller: h.Controller}); err != nil {
				return err
			}
			return messenger.DRPCRegisterControl(mux, h.Controller)
		})
	})
	server := &http.Server{Handler: h.Pages, ReadHeaderTimeout: time.Second}
	if pages != nil {
		start(func() { _ = server.Serve(pages) })
	}
	h.Log.Info(logger.EventStarted, zap.String("control_host", h.Controller.ID), zap.String("links", links.Addr().String()))
	err := h.Controller.Run(ctx)
	cancel()
	_ = server.Close()
	wg.Wait()
	return err
}

// enqueue hands a message to the sender of its peer. A slow peer loses
// messages, which the agreement repeats, and costs nobody else.
func (h *Control) enqueue(m elector.Message) {
	select {
	case h.queues[m.To] <- m:
	default:
	}
}

// sendAll carries messages to one peer until ctx ends.
func (h *Control) sendAll(ctx context.Context, id, address string) {
	for ctx.Err() == nil {
		err := h.exchange(ctx, id, address)
		if ctx.Err() == nil && err != nil {
			h.drop(id)
		}
		select {
		case <-ctx.Done():
		case <-time.After(peerRetry):
		}
	}
}

// drop empties the queue of a peer that cannot be reached.
func (h *Control) drop(id string) {
	for range peerQueue {
		select {
		case <-h.queues[id]:
		default:
			return
		}
	}
}

func (h *Control) exchange(ctx context.Context, id, address string) error {
	conn, err := h.Linker.Dial(ctx, address)
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
		case m := <-h.queues[id]:
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

// peersService takes messages from other control hosts.
type peersService struct {
	controller *controller.Controller
}

// Exchange takes messages until the stream ends.
func (s peersService) Exchange(stream messenger.DRPCPeers_ExchangeStream) error {
	dec, err := zstd.NewReader(nil)
	if err != nil {
		return fmt.Errorf("runner: create decompressor: %w", err)
	}
	defer dec.Close()
	for {
		p, err := stream.Recv()
		if err != nil {
			return nil
		}
		body, err := dec.DecodeAll(p.GetBody(), nil)
		if err != nil {
			return fmt.Errorf("runner: decompress message: %w", err)
		}
		var m elector.Message
		if err := json.Unmarshal(body, &m); err != nil {
			return fmt.Errorf("runner: decode message: %w", err)
		}
		s.controller.Step(m)
	}
}
