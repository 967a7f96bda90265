package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/shallotstage/shallotstage/internal/controller"
	"github.com/shallotstage/shallotstage/internal/emulator"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/operator"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/internal/runner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

func (f *Fleet) startControls(ctx context.Context, seed []planner.Operation) error {
	links := make([]net.Listener, len(f.Layout.DataCentres))
	ids := make([]string, len(links))
	for i, dc := range f.Layout.DataCentres {
		l, err := f.listen(dc.Name)
		if err != nil {
			return err
		}
		links[i], ids[i] = l, "control-"+dc.Name
	}
	for i, dc := range f.Layout.DataCentres {
		peers := map[string]string{}
		for j := range links {
			if j != i {
				peers[ids[j]] = links[j].Addr().String()
			}
		}
		pages, err := f.listen(dc.Name)
		if err != nil {
			return err
		}
		dial := f.Network.Dialer(dc.Name)
		ctl := &controller.Controller{
			ID: ids[i], DataDir: filepath.Join(f.DataDir, ids[i]), Initial: ids, Seed: seed, GroupSize: len(f.Layout.DataCentres),
			PlatformToken: platformToken, Client: &http.Client{Transport: &http.Transport{DialContext: dial}}, Log: f.Log,
		}
		h := &ControlHost{
			ControlHost: &runner.ControlHost{Controller: ctl, Peers: peers, Linker: linker.Linker{DialNet: dial}, Log: f.Log, Pages: operator.Handler{Controller: ctl, Credentials: operatorCredentials()}.Routes()},
			DataCentre:  dc.Name, Address: links[i].Addr().String(), Pages: pages.Addr().String(), done: make(chan struct{}),
		}
		if err := h.Prepare(); err != nil {
			return err
		}
		f.Controls = append(f.Controls, h)
		f.startProcess(ctx, func(ctx context.Context) { _ = h.Run(ctx, links[i], pages) }, &h.stop, h.done)
	}
	return nil
}

// startProcess runs process in a goroutine. It sets stop to a function that
// cancels its context, and closes done when it has returned.
func (f *Fleet) startProcess(ctx context.Context, process func(context.Context), stop *context.CancelFunc, done chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	*stop = cancel
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		defer close(done)
		process(ctx)
	}()
}

func (f *Fleet) controlAddresses() []string {
	var addresses []string
	for _, c := range f.Controls {
		addresses = append(addresses, c.Address)
	}
	return addresses
}

func (f *Fleet) startEntries(ctx context.Context) error {
	for _, dc := range f.Layout.DataCentres {
		for n := range dc.Entries {
			if err := f.startEntry(ctx, dc, fmt.Sprintf("%s-%d", dc.Name, n+1)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEntry(ctx context.Context, dc DataCentre, id string) error {
	var listeners [3]net.Listener
	for i := range listeners {
		l, err := f.listen(dc.Name)
		if err != nil {
			return err
		}
		listeners[i] = l
	}
	dial := f.Network.Dialer(dc.Name)
	h := &EntryHost{
		EntryHost: &runner.EntryHost{
			Host:     configurer.Host{ID: id, DataCentre: dc.Name, Region: dc.Region, PeerAddress: listeners[2].Addr().String()},
			Controls: f.controlAddresses(), Connector: pooler.Connector{User: upstreamUser, Password: upstreamKey, Dial: dial},
			Linker: linker.Linker{DialNet: dial}, AnnounceToken: announceToken, DrainTimeout: 5 * time.Second,
			ProbeInterval: 100 * time.Millisecond, ProbeTimeout: 400 * time.Millisecond,
			CatchUpWait: 150 * time.Millisecond, PrimaryWait: 8 * time.Second,
			HostsPerUpstream: f.ownerCount(), OwnersPerDataCentre: f.Layout.Owners, Log: f.Log,
		},
		DataCentre: dc.Name, Address: listeners[0].Addr().String(), Pages: listeners[1].Addr().String(), done: make(chan struct{}),
	}
	if err := h.Prepare(); err != nil {
		return err
	}
	f.Entries = append(f.Entries, h)
	f.startProcess(ctx, func(ctx context.Context) { _ = h.Run(ctx, listeners[0], listeners[1], listeners[2]) }, &h.stop, h.done)
	return nil
}

func (f *Fleet) entryCount() int {
	n := 0
	for _, dc := range f.Layout.DataCentres {
		n += dc.Entries
	}
	return n
}

// ownerCount returns the number of entry hosts that connect to one upstream.
func (f *Fleet) ownerCount() int {
	if f.Layout.Owners == 0 {
		return f.entryCount()
	}
	n := 0
	for _, dc := range f.Layout.DataCentres {
		n += min(f.Layout.Owners, dc.Entries)
	}
	return n
}

// StopEntry drains an entry host and waits until it has stopped.
func (f *Fleet) StopEntry(h *EntryHost) {
	h.stop()
	<-h.done
}

// StopControl stops a control host and waits until it has stopped.
func (f *Fleet) StopControl(h *ControlHost) {
	h.stop()
	<-h.done
}

func (f *Fleet) startUpstreams(ctx context.Context) error {
	l := f.Layout
	f.addresses = map[string]string{}
	var announce []string
	for _, e := range f.Entries {
		announce = append(announce, "http://"+e.Pages)
	}
	for g, group := range l.GroupNames() {
		primaryAddress := ""
		for i := range l.DataCentres {
			// The first upstream of a group is its primary. Primaries
			// alternate between the first two data centres, which are in
			// the first region.
			dc := l.DataCentres[(g%2+i)%len(l.DataCentres)]
			sqlListener, err := f.listen(dc.Name)
			if err != nil {
				return err
			}
			platformListener, err := f.listen(dc.Name)
			if err != nil {
				return err
			}
			dial := f.Network.Dialer(dc.Name)
			u := &emulator.Upstream{
				ID: group + "-" + dc.Name, Group: group, DataCentre: dc.Name, Region: dc.Region,
				Role: emulator.RoleReplica, Term: 1, PrimaryAddress: primaryAddress,
				Slots: l.Slots, Connections: l.Connections, ConnectDelay: l.ConnectDelay, Lag: l.Lag,
				User: upstreamUser, Password: upstreamKey, PlatformToken: platformToken, AnnounceAddresses: announce,
				Client: &http.Client{Transport: &http.Transport{DialContext: dial}},
			}
			if i == 0 {
				u.Role = emulator.RolePrimary
				primaryAddress = platformListener.Addr().String()
			}
			f.Upstreams = append(f.Upstreams, u)
			f.addresses[u.ID] = sqlListener.Addr().String()
			f.wg.Add(1)
			go func() {
				defer f.wg.Done()
				_ = u.Run(ctx, sqlListener, platformListener)
			}()
		}
	}
	return nil
}

// Upstream returns an upstream by id, or nil.
func (f *Fleet) Upstream(id string) *emulator.Upstream {
	for _, u := range f.Upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}
