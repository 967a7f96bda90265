package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/coordinator"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/timer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// ControlHost runs a control host. All exported fields must be set before Run.
type ControlHost struct {
	Settings coordinator.Settings
	// MetricsAddress is the listen address for metrics.
	MetricsAddress string
	// MemoryBytes is the memory that the process may use, and Descriptors its limit of open
	// files and connections; zero means no limit.
	MemoryBytes, Descriptors int64
	// Seeds returns the peer addresses of control hosts.
	Seeds         func() []string
	Decode        keeper.DecodeFunc
	UpstreamCodec *connector.Codec
	Promote       func(ctx context.Context, r coordinator.PromotionRequest) (coordinator.PromotionOutcome, error)
	// Handler returns the HTTP handler for calls of operators and upstreams.
	Handler func(c *coordinator.Coordinator, log *logger.Logger) http.Handler
	Log     *logger.Logger
}

// Run serves until ctx ends.
func (c *ControlHost) Run(ctx context.Context) error {
	limits := newProcessLimits(c.MemoryBytes, c.Descriptors, controlLinkDivisor, c.Log)
	dialer := &connector.Dialer{Codec: c.UpstreamCodec, Budget: limits.budget, OnStrayAnswer: func(a connector.StrayAnswer) { logStrayAnswer(c.Log, a) }}
	co := &coordinator.Coordinator{
		Settings: c.Settings, Seeds: c.Seeds, Decode: c.Decode, Now: timer.Now, Dial: linker.Linker{}.Dial, Promote: c.Promote,
		QueryStatus: func(ctx context.Context, u keeper.Upstream) (connector.ReplicationStatus, error) {
			return dialer.QueryStatus(ctx, u, c.Settings.Node)
		},
		Demote: func(ctx context.Context, u keeper.Upstream, term uint64) (connector.ReplicationStatus, error) {
			return dialer.Demote(ctx, u, c.Settings.Node, term)
		},
		Log: c.Log,
	}
	if err := co.Open(); err != nil {
		return fmt.Errorf("launcher: open data folder: %w", err)
	}
	peers, err := net.Listen("tcp", c.Settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("launcher: listen for peers: %w", err)
	}
	operators, err := net.Listen("tcp", c.Settings.OperatorAddress)
	if err != nil {
		return fmt.Errorf("launcher: listen for operators: %w", err)
	}
	metrics, err := net.Listen("tcp", c.MetricsAddress)
	if err != nil {
		return fmt.Errorf("launcher: listen for metrics: %w", err)
	}
	peers = linker.BoundListener(limits.bound("links", peers, limits.descriptors.links), limits.budget)
	operators = limits.bound("operators", operators, limits.descriptors.rest)
	metrics = limits.bound("metrics", metrics, limits.descriptors.probes)
	go func() {
		if err := serveHTTP(ctx, metrics, controlMetrics(co, limits)); err != nil {
			c.Log.Error(logger.EventListenerFailed, zap.String("part", "metrics"), zap.Error(err))
		}
	}()
	go func() {
		if err := co.ServePeers(ctx, peers); err != nil {
			c.Log.Error(logger.EventListenerFailed, zap.String("part", "peers"), zap.Error(err))
		}
	}()
	go func() {
		if err := serveSingleRequests(ctx, operators, limits.holdBodies(c.Handler(co, c.Log))); err != nil {
			c.Log.Error(logger.EventListenerFailed, zap.String("part", "operators"), zap.Error(err))
		}
	}()
	c.Log.Info(logger.EventStarted, zap.String("host", c.Settings.Node), zap.String("member", co.ID()))
	err = co.Run(ctx)
	c.Log.Info(logger.EventStopped, zap.String("host", c.Settings.Node), zap.Error(err))
	return err
}
