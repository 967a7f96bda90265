package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"

	"github.com/shallotstage/shallotstage/internal/controller"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// ControlHost runs a control host. Exported fields are set before Run.
type ControlHost struct {
	Controller *controller.Controller
	// Peers are the configured addresses of the other control hosts by ID.
	// Registered addresses take precedence.
	Peers map[string]string
	// IsSpare is set on a host that is not a member yet and may replace one.
	IsSpare bool
	// DataCentre and Region are the location of the host.
	DataCentre string
	Region     string
	Linker     linker.Linker
	// Pages serves the operator API on the HTTP listener of Run, if there is one.
	Pages http.Handler
	Log   *logger.Logger

	ctx   context.Context
	self  configurer.ControlHost
	peers map[string]*peer
	wg    sync.WaitGroup
}

// Prepare opens the data directory, which Run closes. It must be called before
// Run and before any use of the controller.
func (h *ControlHost) Prepare() error {
	h.peers = map[string]*peer{}
	h.Controller.SendMessage = h.enqueue
	return h.Controller.Open()
}

// Run serves RPCs and HTTP requests until ctx ends. It closes the listeners.
func (h *ControlHost) Run(ctx context.Context, rpcListener, httpListener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = rpcListener.Close() }()
	h.ctx = ctx
	h.self = configurer.ControlHost{
		ID: h.Controller.ID, Instance: h.Controller.DataDirID(), Address: rpcListener.Addr().String(),
		DataCentre: h.DataCentre, Region: h.Region,
	}
	h.Controller.Self = h.self
	h.Controller.OnControlHostsChanged = func(hosts map[string]configurer.ControlHost) { h.connectPeers(ctx, addressesOf(hosts)) }
	h.connectPeers(ctx, addressesOf(h.Controller.ControlHosts()))
	h.start(func() { h.serveRPC(ctx, rpcListener) })
	server := &http.Server{Handler: h.Pages, ReadHeaderTimeout: time.Second}
	if httpListener != nil {
		h.start(func() { _ = server.Serve(httpListener) })
	}
	h.Log.Info(logger.EventStarted, zap.String("control_host", h.Controller.ID), zap.String("links", rpcListener.Addr().String()))
	err := h.runController(ctx)
	cancel()
	_ = server.Close()
	h.wg.Wait()
	return err
}

// runController runs the controller once the check of the registration allows
// this host to vote.
func (h *ControlHost) runController(ctx context.Context) error {
	if err := h.checkRegistration(ctx); err != nil {
		h.Controller.Close()
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	h.connectPeers(ctx, h.unregisteredPeers())
	return h.Controller.Run(ctx)
}

// unregisteredPeers returns the configured peers without a registered address.
func (h *ControlHost) unregisteredPeers() map[string]string {
	missing := map[string]string{}
	for id, address := range h.Peers {
		if h.peers[id] == nil {
			missing[id] = address
		}
	}
	return missing
}

func addressesOf(hosts map[string]configurer.ControlHost) map[string]string {
	addresses := map[string]string{}
	for id, host := range hosts {
		addresses[id] = host.Address
	}
	return addresses
}

func (h *ControlHost) start(f func()) {
	h.wg.Add(1)
	go func() { defer h.wg.Done(); f() }()
}

func (h *ControlHost) serveRPC(ctx context.Context, rpcListener net.Listener) {
	_ = h.Linker.Serve(ctx, rpcListener, func(mux *drpcmux.Mux) error {
		if err := messenger.DRPCRegisterPeers(mux, peersService{controller: h.Controller}); err != nil {
			return err
		}
		return messenger.DRPCRegisterControl(mux, h.Controller)
	})
}
