package runner

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/internal/recoverer"
	"github.com/shallotstage/shallotstage/internal/server"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/placer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

const (
	// forwardHeader is the first bytes of a connection that carries handed-off
	// sessions. Connections for RPCs arrive at the same address without it.
	forwardHeader = "SHALFWD1"
	// releaseDelay is how long a host keeps its connections to the upstreams of
	// a group that it no longer owns.
	releaseDelay = 10 * time.Second
	// endHandoffsTimeout is the timeout of telling one owner about the shutdown.
	endHandoffsTimeout = time.Second
)

// ownership caches the owners of groups and tracks the groups whose connections
// this host keeps.
type ownership struct {
	mu sync.Mutex
	// hosts are the hosts from which ownersByGroup was computed.
	hosts         map[string]configurer.Host
	ownersByGroup map[string][]string
	// keptGroups are the groups whose connections this host keeps.
	keptGroups map[string]bool
	// releasing maps the groups that this host no longer owns to the times at
	// which their connections are closed.
	releasing map[string]time.Time
}

// ownersOf returns the IDs of the hosts that own a group, sorted.
func (h *EntryHost) ownersOf(state *configurer.State, group string) []string {
	o := &h.ownership
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ownersByGroup == nil || !maps.Equal(o.hosts, state.Hosts) {
		o.hosts, o.ownersByGroup = state.Hosts, map[string][]string{}
	}
	owners, ok := o.ownersByGroup[group]
	if !ok {
		owners = placer.Placer{PerDataCentre: h.OwnersPerDataCentre}.Owners(group, state.Hosts)
		o.ownersByGroup[group] = owners
	}
	return owners
}

// owns reports whether this host serves the sessions of a group.
func (h *EntryHost) owns(state *configurer.State, group string) bool {
	return h.OwnersPerDataCentre == 0 || slices.Contains(h.ownersOf(state, group), h.Host.ID)
}

// handOff hands off a session to the nearest owner of a group that accepts it. It
// returns nil if this host owns the group.
func (h *EntryHost) handOff(ctx context.Context, group string, handoff server.Handoff) (net.Conn, *refuser.Refusal) {
	state := h.sub.State()
	if h.owns(state, group) {
		return nil, nil
	}
	handoff.From = h.Host.ID
	header, err := json.Marshal(handoff)
	if err != nil {
		return nil, refuser.Wrap(refuser.ReasonNoUpstream, "group "+group, err)
	}
	for _, owner := range h.sortByDistance(state, h.ownersOf(state, group)) {
		conn, err := h.forwarder.Open(ctx, owner.PeerAddress, header)
		if err == nil {
			return conn, nil
		}
		h.Log.Warn(logger.EventHandoffFailed, zap.String("owner", owner.ID), zap.String("group", group), zap.Error(err))
	}
	return nil, refuser.New(refuser.ReasonNoUpstream, "no owner of group "+group+" answers")
}

// sortByDistance returns the hosts with those in the same data centre first, then
// those in the same region.
func (h *EntryHost) sortByDistance(state *configurer.State, ids []string) []configurer.Host {
	var hosts []configurer.Host
	for _, id := range ids {
		hosts = append(hosts, state.Hosts[id])
	}
	distance := func(other configurer.Host) int {
		switch {
		case other.DataCentre == h.Host.DataCentre:
			return 0
		case other.Region == h.Host.Region:
			return 1
		}
		return 2
	}
	sort.SliceStable(hosts, func(i, j int) bool { return distance(hosts[i]) < distance(hosts[j]) })
	return hosts
}

// acceptHandoff returns the function that serves a session handed off by another
// host, or nil to refuse it.
func (h *EntryHost) acceptHandoff(header []byte) func(context.Context, net.Conn) {
	var handoff server.Handoff
	if json.Unmarshal(header, &handoff) != nil || !h.server.AcceptHandoff() {
		return nil
	}
	return func(ctx context.Context, conn net.Conn) {
		defer recoverer.Recover(h.Log, "handed off session", func() { _ = conn.Close() })
		h.server.ServeHandoff(ctx, conn, handoff)
	}
}

// endHandoffs notifies the owners that serve sessions handed off by this host
// that this host shuts down.
func (h *EntryHost) endHandoffs() {
	var wg sync.WaitGroup
	for _, address := range h.forwarder.ConnectedAddresses() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), endHandoffsTimeout)
			defer cancel()
			conn, err := h.Linker.Dial(ctx, address)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = messenger.NewDRPCHostsClient(conn).EndHandoffs(ctx, &messenger.EndHandoffsRequest{From: h.Host.ID})
		}()
	}
	wg.Wait()
}

// updateOwnership opens connections to the upstreams of the groups that this host
// owns. Sessions of a group that it no longer owns end after their current request
// or transaction, and the group's connections are closed after releaseDelay.
func (h *EntryHost) updateOwnership(ctx context.Context) {
	for _, group := range h.updateConnections(ctx) {
		h.server.EndGroupSessions(group)
		time.AfterFunc(releaseDelay, func() {
			if ctx.Err() == nil {
				h.updateOwnership(ctx)
			}
		})
	}
}

// updateConnections opens and closes connections according to the current
// ownership and returns the groups that this host has just ceased to own.
func (h *EntryHost) updateConnections(ctx context.Context) []string {
	h.updateMu.Lock()
	defer h.updateMu.Unlock()
	state := h.sub.State()
	owned := map[string]bool{}
	for id := range state.Groups {
		owned[id] = h.owns(state, id)
	}
	kept, released := h.ownership.update(owned, time.Now())
	keptState := *state
	keptState.Upstreams = map[string]configurer.Upstream{}
	for id, u := range state.Upstreams {
		if kept[u.Group] {
			keptState.Upstreams[id] = u
		}
	}
	h.pools.Update(ctx, &keptState)
	h.watcher.Update(ctx, &keptState)
	return released
}

// update returns the groups whose connections are kept, and those that this host
// has just ceased to own.
func (o *ownership) update(owned map[string]bool, now time.Time) (kept map[string]bool, released []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.releasing == nil {
		o.releasing = map[string]time.Time{}
	}
	kept = map[string]bool{}
	for group, own := range owned {
		closeAt, isReleasing := o.releasing[group]
		switch {
		case own:
			delete(o.releasing, group)
			kept[group] = true
		case isReleasing && now.Before(closeAt):
			kept[group] = true
		case isReleasing:
			delete(o.releasing, group)
		case o.keptGroups[group]:
			o.releasing[group] = now.Add(releaseDelay)
			kept[group] = true
			released = append(released, group)
		}
	}
	o.keptGroups = kept
	return kept, released
}
