package launcher

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/warmer"
)

// warmupThrottle bounds what this host sends to cold upstreams. It is safe for concurrent
// use.
type warmupThrottle struct {
	now func() time.Time
	// isOwner reports whether this host is to hold the grant of an upstream.
	isOwner func(u keeper.Upstream) bool
	log     *logger.Logger

	// cold holds until when upstreams of services with a warm-up rate are cold. Nearly
	// always it is empty.
	cold     atomic.Pointer[map[string]time.Time]
	refusals atomic.Int64
	// restarts holds until when upstreams that refused a connection may have restarted
	// cold without this host knowing.
	restarts atomic.Pointer[map[string]time.Time]

	mu sync.Mutex
	// limited are the upstreams of services with a warm-up rate.
	limited    map[string]bool
	upstreams  map[string]keeper.Upstream
	countdowns warmer.Countdowns
	holder     warmer.Holder
	// held are the upstreams for which a grant was last logged as held.
	held map[string]bool
}

// setView updates the cold upstreams for a view. It must be called before the view's
// upstreams are used.
func (w *warmupThrottle) setView(view *keeper.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	cold, limited := map[string]time.Time{}, map[string]bool{}
	for id, u := range view.Upstreams {
		// The time counts from when this host learnt of the announcement, whether the
		// service has a rate by now or gets one later.
		w.countdowns.Set(id, warmer.Announcement{Incarnation: u.IncarnationStart, Sequence: u.Sequence}, u.WarmupRemaining, now)
		limited[id] = view.Configuration.Services[u.Service].WarmupRate > 0
		if until := w.countdowns.Until(id); now.Before(until) && limited[id] {
			cold[id] = until
		}
	}
	w.countdowns.Retain(func(upstream string) bool { _, ok := view.Upstreams[upstream]; return ok })
	w.updateRestarts(func(restarts map[string]time.Time) {
		for id := range restarts {
			if view.Upstreams[id].IncarnationStart != w.upstreams[id].IncarnationStart || !limited[id] {
				delete(restarts, id)
			}
		}
	})
	w.upstreams, w.limited = view.Upstreams, limited
	w.cold.Store(&cold)
}

// restartWait is how long an upstream that refused a connection is not used unless a new
// incarnation announces itself: more than an upstream's first announcement takes to reach
// all hosts.
const restartWait = 2500 * time.Millisecond

// connectRefused records that an upstream with a warm-up rate has stopped. It may accept
// connections again, and be cold, before its announcement has reached this host.
func (w *warmupThrottle) connectRefused(upstream string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limited[upstream] {
		return
	}
	until := w.now().Add(restartWait)
	w.updateRestarts(func(restarts map[string]time.Time) { restarts[upstream] = until })
}

// updateRestarts replaces restarts by a changed copy.
func (w *warmupThrottle) updateRestarts(change func(restarts map[string]time.Time)) {
	next := map[string]time.Time{}
	if old := w.restarts.Load(); old != nil {
		maps.Copy(next, *old)
	}
	change(next)
	w.restarts.Store(&next)
}

// mayHaveRestarted reports whether an upstream may be a new incarnation that this host
// does not know.
func (w *warmupThrottle) mayHaveRestarted(upstream string, now time.Time) bool {
	restarts := w.restarts.Load()
	return restarts != nil && now.Before((*restarts)[upstream])
}

// errMayHaveRestarted is the cause of the ConnectError for an upstream that is not used
// after it refused a connection.
var errMayHaveRestarted = errors.New("launcher: it has stopped and its next announcement is awaited")

// isCold reports whether an upstream is cold and limited.
func (w *warmupThrottle) isCold(upstream string, now time.Time) bool {
	cold := w.cold.Load()
	return cold != nil && now.Before((*cold)[upstream])
}

// lacksGrant reports whether this host is to hold the grant of a cold upstream and does
// not hold it.
func (w *warmupThrottle) lacksGrant() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for id := range *w.cold.Load() {
		if w.isOwner(w.upstreams[id]) && !w.holder.Holds(id, now) {
			return true
		}
	}
	return false
}

// wanted returns the cold upstreams whose grants this host wants with the report of a
// sequence number, and gives up all others.
func (w *warmupThrottle) wanted(sequence uint64) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	var wanted []string
	if cold := w.cold.Load(); cold != nil {
		for id, until := range *cold {
			if now.Before(until) && w.isOwner(w.upstreams[id]) {
				wanted = append(wanted, id)
			}
		}
	}
	slices.Sort(wanted)
	w.holder.RecordReport(sequence, wanted, now)
	w.logChanges(now)
	return wanted
}

// apply applies the grants in the answer to a report.
func (w *warmupThrottle) apply(sequence uint64, grants map[string]warmer.Grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.holder.Apply(sequence, grants, now)
	for id := range grants {
		if w.holder.Holds(id, now) && !w.held[id] {
			if w.held == nil {
				w.held = map[string]bool{}
			}
			w.held[id] = true
			w.log.Info(logger.EventWarmupGrantChanged, zap.String("upstream", id), zap.Bool("held", true), zap.Float64("rate", grants[id].Rate))
		}
	}
	w.logChanges(now)
}

// logChanges logs the grants that are no longer held.
func (w *warmupThrottle) logChanges(now time.Time) {
	for id := range w.held {
		if !w.holder.Holds(id, now) {
			delete(w.held, id)
			w.log.Info(logger.EventWarmupGrantChanged, zap.String("upstream", id), zap.Bool("held", false))
		}
	}
}

// throttle returns the functions for the host's connections.
func (w *warmupThrottle) throttle() *connector.Throttle {
	return &connector.Throttle{
		Check: func(upstream string, n int) error {
			return w.decide(upstream, func(now time.Time) (bool, time.Duration) { return w.holder.Available(upstream, n, now) })
		},
		Take: func(upstream string, n int, open bool) error {
			return w.decide(upstream, func(now time.Time) (bool, time.Duration) { return w.holder.Take(upstream, n, open, now) })
		},
		Refused:        func() { w.refusals.Add(1) },
		ConnectRefused: w.connectRefused,
	}
}

// decide applies a decision of the holder to a cold upstream.
func (w *warmupThrottle) decide(upstream string, decision func(now time.Time) (bool, time.Duration)) error {
	now := w.now()
	if w.mayHaveRestarted(upstream, now) {
		return &connector.ConnectError{Upstream: upstream, Err: errMayHaveRestarted}
	}
	if !w.isCold(upstream, now) {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok, wait := decision(w.now()); !ok {
		return &connector.WarmupError{Upstream: upstream, RetryAfter: wait}
	}
	return nil
}
