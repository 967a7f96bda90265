package demonstrator

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/internal/delayer"
	"github.com/shallotstage/shallotstage/internal/emulator"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/operator"
	"github.com/shallotstage/shallotstage/internal/runner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

const (
	upstreamUser  = "shallotstage"
	upstreamKey   = "upstream-credential"
	platformToken = "platform-token"
	announceToken = "platform-token"
	// OpenRoute is the route that requires no key.
	OpenRoute = "status"
)

// OperatorTokens are the tokens of the demonstration's operators.
var OperatorTokens = map[string]string{"vesna": "token-of-vesna", "marko": "token-of-marko"}

func operatorCredentials() []operator.Credential {
	var credentials []operator.Credential
	for name, token := range OperatorTokens {
		credentials = append(credentials, operator.Credential{Operator: name, TokenSHA256: operator.TokenDigest(token)})
	}
	return credentials
}

// Fleet is a whole fleet in one process that communicates over loopback TCP.
type Fleet struct {
	Layout Layout
	// DataDir contains the data directories of the control hosts; empty means
	// a temporary directory.
	DataDir string
	Log     *logger.Logger

	Network   *delayer.Network
	Entries   []*EntryHost
	Controls  []*ControlHost
	Upstreams []*emulator.Upstream
	// Keys holds the callers' keys by key id, which is the organisation's id for
	// the initial ones.
	Keys map[string]string

	// addresses holds the upstreams' SQL addresses by id.
	addresses map[string]string
	wg        sync.WaitGroup
	cancel    context.CancelFunc
	tempDir   string
}

// EntryHost is one entry host of the fleet.
type EntryHost struct {
	*runner.EntryHost
	DataCentre string
	// Address is the address that callers connect to.
	Address string
	// Pages is the address of the HTTP server.
	Pages string

	stop context.CancelFunc
	done chan struct{}
}

// ControlHost is one control host of the fleet.
type ControlHost struct {
	*runner.ControlHost
	DataCentre string
	Address    string
	Pages      string

	stop context.CancelFunc
	done chan struct{}
}

// RouteOf returns the route to a group.
func RouteOf(group string) string { return group }

// GroupNames returns the names of the layout's groups.
func (l Layout) GroupNames() []string {
	names := make([]string, l.Groups)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", l.GroupName, i+1)
	}
	return names
}

// Start starts all hosts and upstreams and waits until the fleet is ready.
func (f *Fleet) Start(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	if f.DataDir == "" {
		dir, err := os.MkdirTemp("", "shallotstage-demo-")
		if err != nil {
			return fmt.Errorf("demonstrator: create data directory: %w", err)
		}
		f.DataDir, f.tempDir = dir, dir
	}
	f.Network = f.newNetwork()
	seed, err := f.initialOperations()
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

// Stop stops all hosts and upstreams.
func (f *Fleet) Stop() {
	f.cancel()
	f.wg.Wait()
	if f.tempDir != "" {
		_ = os.RemoveAll(f.tempDir)
	}
}

func (f *Fleet) newNetwork() *delayer.Network {
	l := f.Layout
	regions := map[string]string{}
	for _, dc := range l.DataCentres {
		regions[dc.Name] = dc.Region
	}
	isLink := func(a, b string) bool { return regions[dataCentreOf(a)] != regions[dataCentreOf(b)] }
	return &delayer.Network{
		LinkBandwidth: l.LinkBits, IsSlowLink: isLink,
		Latency: func(a, b string) time.Duration {
			d := time.Duration(0)
			if isClient(a) || isClient(b) {
				d += l.ClientLatency
			}
			switch a, b = dataCentreOf(a), dataCentreOf(b); {
			case a == b:
				return d
			case isLink(a, b):
				return d + l.RegionLatency
			}
			return d + l.LocalLatency
		},
	}
}

// clientPrefix marks the network location of callers near a data centre.
const clientPrefix = "client:"

func isClient(place string) bool {
	return len(place) > len(clientPrefix) && place[:len(clientPrefix)] == clientPrefix
}

func dataCentreOf(place string) string {
	if isClient(place) {
		return place[len(clientPrefix):]
	}
	return place
}

// initialOperations returns the initial configuration: organisations with a key
// each, a route to each group, and an open route to the first group.
func (f *Fleet) initialOperations() ([]planner.Operation, error) {
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
		Kind: planner.OperationFleetChange, Subject: "fleet", Actor: "demo", Text: "first configuration", Changes: changes,
	}}, firstErr
}

func (f *Fleet) listen(place string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("demonstrator: listen: %w", err)
	}
	f.Network.SetPlace(l.Addr().String(), place)
	return l, nil
}

// replicaShare returns the fraction of all reads that replicas served, as counted
// by the upstreams.
func (f *Fleet) replicaShare() float64 {
	var replica, primary int64
	for _, u := range f.Upstreams {
		replica += u.ReadCount(emulator.RoleReplica)
		primary += u.ReadCount(emulator.RolePrimary)
	}
	return ratio(int(replica), int(replica+primary))
}

// readyTimeout is the timeout of the fleet's start.
const readyTimeout = 30 * time.Second

// waitReady waits until every entry host has a lease, every group is serving and
// the owners of each group have reached its upstreams.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		missing := f.missing()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("demonstrator: fleet is not ready: %w (%s)", ctx.Err(), missing)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// missing says what the first host that is not ready lacks, or returns an empty string.
func (f *Fleet) missing() string {
	for _, e := range f.Entries {
		if missing := e.Missing(f.Layout.Groups, len(f.Layout.DataCentres)); missing != "" {
			return e.Host.ID + ": " + missing
		}
	}
	return ""
}

func (f *Fleet) isReady() bool { return f.missing() == "" }
