package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/internal/controller"
	"github.com/shallotstage/shallotstage/internal/emulator"
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/netem"
	"github.com/shallotstage/shallotstage/internal/operator"
	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/internal/runner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

const (
	upstreamUser  = "shallotstage"
	upstreamKey   = "upstream-credential"
	platformToken = "platform-token"
	announceToken = "platform-token"
	// OpenRoute is the route of the demonstration that needs no key.
	OpenRoute = "status"
)

// OperatorTokens are the tokens of the demonstration's operators.
var OperatorTokens = map[string]string{"vesna": "token-of-vesna", "marko": "token-of-marko"}

func operatorCredentials() []operator.Credential {
	var credentials []operator.Credential
	for name, token := range OperatorTokens {
		credentials = append(credentials, operator.Credential{Operator: name, TokenSHA256: operator.Digest(token)})
	}
	return credentials
}

// Fleet is a whole fleet in one process, over loopback TCP.
type Fleet struct {
	Layout Layout
	// DataDir holds the data folders of the control hosts; empty means a
	// temporary folder.
	DataDir string
	Log     *logger.Logger

	Network   *netem.Network
	Entries   []*EntryHost
	Controls  []*ControlHost
	Upstreams []*emulator.Upstream
	// Keys are the keys of the organisations' callers by organisation.
	Keys map[string]string

	// addresses are the upstreams' SQL addresses by id.
	addresses map[string]string
	wg        sync.WaitGroup
	cancel    context.CancelFunc
	tempDir   string
}

// EntryHost is one entry host of the fleet.
type EntryHost struct {
	*runner.Entry
	DataCentre string
	// Address is where callers connect.
	Address string
	// Pages is the address of the HTTP pages.
	Pages string

	stop context.CancelFunc
	done chan struct{}
}

// ControlHost is one control host of the fleet.
type ControlHost struct {
	*runner.Control
	DataCentre string
	Address    string
	Pages      string

	stop context.CancelFunc
	done chan struct{}
}

// RouteOf returns the route that leads to a group.
func RouteOf(group string) string { return group }

// GroupNames returns the names of the layout's groups.
func (l Layout) GroupNames() []string {
	names := make([]string, l.Groups)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", l.GroupName, i+1)
	}
	return names
}

// Start starts all processes and waits until every entry host can serve.
func (f *Fleet) Start(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	if f.DataDir == "" {
		dir, err := os.MkdirTemp("", "shallotstage-demo-")
		if err != nil {
			return fmt.Errorf("demonstrator: create data folder: %w", err)
		}
		f.DataDir, f.tempDir = dir, dir
	}
	f.Network = f.network()
	seed, err := f.seed()
	if err != nil {
		return err
	}
	if err := f.startControls(ctx, seed); err != nil {
		return err
	}
	if err := f.startEntries(ctx); err != nil {
		return err
	}
	if err := f.startUpstreams(ctx); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

// Stop ends all processes.
func (f *Fleet) Stop() {
	f.cancel()
	f.wg.Wait()
	if f.tempDir != "" {
		_ = os.RemoveAll(f.tempDir)
	}
}

func (f *Fleet) network() *netem.Network {
	l := f.Layout
	regions := map[string]string{}
	for _, dc := range l.DataCentres {
		regions[dc.Name] = dc.Region
	}
	isLink := func(a, b string) bool { return regions[placeOf(a)] != regions[placeOf(b)] }
	return &netem.Network{
		LinkBits: l.LinkBits, IsLink: isLink,
		Latency: func(a, b string) time.Duration {
			d := time.Duration(0)
			if isClient(a) || isClient(b) {
				d += l.ClientLatency
			}
			switch a, b = placeOf(a), placeOf(b); {
			case a == b:
				return d
			case isLink(a, b):
				return d + l.RegionLatency
			}
			return d + l.LocalLatency
		},
	}
}

// clientPrefix marks the place of callers near a data centre.
const clientPrefix = "client:"

func isClient(place string) bool {
	return len(place) > len(clientPrefix) && place[:len(clientPrefix)] == clientPrefix
}

func placeOf(place string) string {
	if isClient(place) {
		return place[len(clientPrefix):]
	}
	return place
}

// seed returns the first configuration: organisations with a key each, a route
// to each group, and an open route to the first group.
func (f *Fleet) seed() ([]planner.Operation, error) {
	f.Keys = map[string]string{}
	var changes []configurer.Change
	var firstErr error
	add := func(kind configurer.Kind, id string, entry any) {
		c, err := configurer.Put(kind, id, entry)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		changes = append(changes, c)
	}
	for _, o := range f.Layout.Organisations {
		add(configurer.KindOrganisation, o.ID, configurer.Organisation{ID: o.ID, Rate: o.Rate, Burst: o.Burst})
		key := "key-of-" + o.ID
		verifier, err := authenticator.NewVerifier(key)
		if err != nil {
			return nil, err
		}
		f.Keys[o.ID] = key
		add(configurer.KindKey, o.ID, configurer.Key{ID: o.ID, Organisation: o.ID, Verifier: verifier})
	}
	groups := f.Layout.GroupNames()
	for _, g := range groups {
		add(configurer.KindRoute, RouteOf(g), configurer.Route{ID: RouteOf(g), Group: g})
	}
	add(configurer.KindRoute, OpenRoute, configurer.Route{ID: OpenRoute, Group: groups[0], Open: true})
	return []planner.Operation{{
		Kind: planner.OperationFleet, Subject: "fleet", Actor: "demo", Text: "first configuration", Changes: changes,
	}}, firstErr
}

func (f *Fleet) listen(place string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("demonstrator: listen: %w", err)
	}
	f.Network.Place(l.Addr().String(), place)
	return l, nil
}

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
			Control:    &runner.Control{Controller: ctl, Peers: peers, Linker: linker.Linker{DialNet: dial}, Log: f.Log, Pages: operator.Handler{Controller: ctl, Credentials: operatorCredentials()}.Routes()},
			DataCentre: dc.Name, Address: links[i].Addr().String(), Pages: pages.Addr().String(), done: make(chan struct{}),
		}
		f.Controls = append(f.Controls, h)
		f.run(ctx, func(ctx context.Context) { _ = h.Run(ctx, links[i], pages) }, &h.stop, h.done)
	}
	return nil
}

// run starts a process that stop ends and done reports.
func (f *Fleet) run(ctx context.Context, process func(context.Context), stop *context.CancelFunc, done chan struct{}) {
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
		Entry: &runner.Entry{
			Host:     configurer.Host{ID: id, DataCentre: dc.Name, Region: dc.Region, PeerAddress: listeners[2].Addr().String()},
			Controls: f.controlAddresses(), Connector: pooler.Connector{User: upstreamUser, Password: upstreamKey, Dial: dial},
			Linker: linker.Linker{DialNet: dial}, AnnounceToken: announceToken, DrainTimeout: 5 * time.Second,
			ProbeInterval: 100 * time.Millisecond, ProbeTimeout: 400 * time.Millisecond,
			CatchUpWait: 150 * time.Millisecond, PrimaryWait: 8 * time.Second,
			HostsPerUpstream: f.entryCount(), Log: f.Log,
		},
		DataCentre: dc.Name, Address: listeners[0].Addr().String(), Pages: listeners[1].Addr().String(), done: make(chan struct{}),
	}
	if err := h.Prepare(); err != nil {
		return err
	}
	f.Entries = append(f.Entries, h)
	f.run(ctx, func(ctx context.Context) { _ = h.Run(ctx, listeners[0], listeners[1], listeners[2]) }, &h.stop, h.done)
	return nil
}

func (f *Fleet) entryCount() int {
	n := 0
	for _, dc := range f.Layout.DataCentres {
		n += dc.Entries
	}
	return n
}

// StopEntry drains an entry host and waits for its end.
func (f *Fleet) StopEntry(h *EntryHost) {
	h.stop()
	<-h.done
}

// StopControl ends a control host at once and waits for its end.
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
			// The first upstream of a group is its primary; primaries are
			// spread over the data centres of the first region.
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

// replicaShare returns the part of all reads that replicas served, by the
// upstreams' own count.
func (f *Fleet) replicaShare() float64 {
	var replica, primary int64
	for _, u := range f.Upstreams {
		replica += u.Reads(emulator.RoleReplica)
		primary += u.Reads(emulator.RolePrimary)
	}
	return ratio(int(replica), int(replica+primary))
}

// readyTimeout bounds the start of the fleet.
const readyTimeout = 30 * time.Second

// waitReady waits until every entry host has its lease, every group serves and
// every upstream was seen by every host.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if f.isReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("demonstrator: fleet is not ready: %w", ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (f *Fleet) isReady() bool {
	for _, e := range f.Entries {
		if !e.Ready(f.Layout.Groups, len(f.Upstreams)) {
			return false
		}
	}
	return true
}
