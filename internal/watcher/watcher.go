// Package watcher monitors the position, reachability and latency of the
// upstreams of each group.
//
// # Usage
//
//	w := &watcher.Watcher{Connect: connect, Interval: 200 * time.Millisecond, Timeout: time.Second, IsPrimary: isPrimary}
//	w.Update(ctx, state)
//	err := w.GroupStatus("ledger-1").WaitQuorum(ctx, group, position)
//
// Each upstream has one monitor with one connection. While a request waits for
// a position, the monitors of its group probe at a much shorter interval than
// the configured one.
package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// Watcher runs one monitor per upstream.
type Watcher struct {
	// Connect opens a probe connection to an upstream.
	Connect func(ctx context.Context, u configurer.Upstream) (*pgconn.PgConn, error)
	// Interval is the delay between probes while no request waits for a position.
	Interval time.Duration
	// Timeout limits a probe and the opening of a connection.
	Timeout time.Duration
	// IsPrimary reports whether the upstream is the primary of the group under a
	// valid lease.
	IsPrimary func(group, upstream string) bool
	// OnReachabilityChange, if set, is called when an upstream becomes
	// reachable or unreachable.
	OnReachabilityChange func()
	// OnConnectError, if set, is called each time that opening a connection to
	// an upstream fails.
	OnConnectError func(upstream string)

	mu       sync.Mutex
	groups   map[string]*GroupStatus
	monitors map[string]runningMonitor
}

type runningMonitor struct {
	upstream configurer.Upstream
	stop     context.CancelFunc
}

// GroupStatus returns the status of a group, creating it if needed.
func (w *Watcher) GroupStatus(group string) *GroupStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.groups == nil {
		w.groups = map[string]*GroupStatus{}
	}
	b := w.groups[group]
	if b == nil {
		b = &GroupStatus{}
		w.groups[group] = b
	}
	return b
}

// Update starts and stops monitors to match the upstreams in state. All monitors
// stop when ctx ends.
func (w *Watcher) Update(ctx context.Context, state *configurer.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.monitors == nil {
		w.monitors = map[string]runningMonitor{}
	}
	for id, r := range w.monitors {
		u, ok := state.Upstreams[id]
		if ok && u.Address == r.upstream.Address && u.Lifecycle != configurer.LifecycleGone {
			continue
		}
		r.stop()
		delete(w.monitors, id)
		if b := w.groups[r.upstream.Group]; b != nil {
			b.Remove(id)
		}
	}
	for id, u := range state.Upstreams {
		if _, ok := w.monitors[id]; !ok && u.Lifecycle != configurer.LifecycleGone {
			w.monitors[id] = w.start(ctx, u)
		}
	}
}

// start starts the monitor of an upstream. The caller holds w.mu.
func (w *Watcher) start(ctx context.Context, u configurer.Upstream) runningMonitor {
	if w.groups == nil {
		w.groups = map[string]*GroupStatus{}
	}
	if w.groups[u.Group] == nil {
		w.groups[u.Group] = &GroupStatus{}
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &Monitor{
		Upstream: u.ID, GroupStatus: w.groups[u.Group], Interval: w.Interval, Timeout: w.Timeout,
		Connect:   func(ctx context.Context) (*pgconn.PgConn, error) { return w.Connect(ctx, u) },
		IsPrimary: func() bool { return w.IsPrimary(u.Group, u.ID) }, OnReachabilityChange: w.OnReachabilityChange,
	}
	if w.OnConnectError != nil {
		m.OnConnectError = func() { w.OnConnectError(u.ID) }
	}
	go m.Run(ctx)
	return runningMonitor{upstream: u, stop: cancel}
}
