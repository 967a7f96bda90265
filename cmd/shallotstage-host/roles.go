package main

import (
	"github.com/shallotstage/shallotstage/internal/coordinator"
	"github.com/shallotstage/shallotstage/internal/launcher"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/platform"
)

// newEntryHost returns an entry host with the current settings.
func newEntryHost(watcher *settingsWatcher, log *logger.Logger) *launcher.EntryHost {
	s := watcher.current.Load()
	return &launcher.EntryHost{
		Settings: launcher.EntryHostSettings{
			Host: s.Node, Place: transactor.Location{DataCentre: s.DataCentre, Region: s.Region, Regions: s.Regions},
			CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress, MetricsAddress: s.MetricsAddress(), PeerAddress: s.PeerAddress(),
			Grace: s.Grace, PrimaryLease: s.PrimaryLease, Descriptors: s.Descriptors, LinkMegabits: s.LinkMegabits, EvacuationLimit: s.EvacuationLimit,
		},
		Seeds: watcher.seedPeers, CallerCodec: platform.CallerCodec(), UpstreamCodec: platform.UpstreamCodec(),
		ReadyHandler: platform.ReadyHandler, Log: log,
	}
}

// newControlHost returns a control host with the current settings.
func newControlHost(watcher *settingsWatcher, log *logger.Logger) *launcher.ControlHost {
	s := watcher.current.Load()
	return &launcher.ControlHost{
		Settings: coordinator.Settings{
			Node: s.Node, DataDir: s.DataDir, PeerAddress: s.PeerAddress(), OperatorAddress: s.OperatorAddress,
			DataCentre: s.DataCentre, Region: s.Region, Regions: s.Regions, Bootstrap: s.Bootstrap, Founders: s.SeedPeers(),
			Voters: 2*s.Tolerance + 1, PrimaryLease: s.PrimaryLease, WarmupOvershoot: s.WarmupOvershoot, WarmupSlack: s.WarmupSlack,
		},
		MetricsAddress: s.MetricsAddress(),
		Seeds:          watcher.seedPeers, Decode: platform.DecodeConfiguration, UpstreamCodec: platform.UpstreamCodec(),
		Promote: platform.NewPromoteFunc(watcher.platformAddress, promotionDialer.DialContext), Handler: platform.ControlHandler, Log: log,
	}
}
