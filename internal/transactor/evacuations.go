package transactor

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/evacuator"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// Evacuations applies the evacuations in a host's topology to its work. It is safe for
// concurrent use; a nil one lets all work pass.
type Evacuations struct {
	// Evacuator must be set before use.
	Evacuator evacuator.Evacuator
	// Now returns the time of a clock that keeps running while the machine is
	// suspended.
	Now func() time.Time
	Log *logger.Logger

	mu sync.Mutex
	// count is the number of evacuated data centres. It spares all work the lock while
	// there are none.
	count atomic.Int64
}

// SetTopology applies the evacuations of a view. It must be called before the view is
// used for anything else.
func (e *Evacuations) SetTopology(view *keeper.View) {
	e.mu.Lock()
	changes := e.Evacuator.Update(view.Evacuations, view.EvacuationAges, e.Now())
	e.count.Store(int64(e.Evacuator.Count()))
	e.mu.Unlock()
	for _, c := range changes {
		switch {
		case c.Ended:
			e.log("returned", c)
		case c.Remaining > 0:
			e.log("leaving", c)
			time.AfterFunc(c.Remaining+releaseMargin, func() {
				if e.decide(keeper.Upstream{DataCentre: c.DataCentre}) == evacuator.Refuse {
					e.log("left", c)
				}
			})
		default:
			e.log("left", c)
		}
	}
}

func (e *Evacuations) log(phase string, c evacuator.Change) {
	e.Log.Info(logger.EventDataCentreEvacuated, zap.String("data_centre", c.DataCentre), zap.String("phase", phase), zap.Uint64("index", c.Index), zap.Duration("remaining", c.Remaining))
}

func (e *Evacuations) decide(u keeper.Upstream) evacuator.Decision {
	if e == nil || e.count.Load() == 0 {
		return evacuator.Send
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Evacuator.Decide(u.DataCentre, e.Now())
}

// MayForward reports whether callers' statements may be sent to an upstream.
func (e *Evacuations) MayForward(u keeper.Upstream) bool { return e.decide(u) != evacuator.Refuse }

// remaining returns the time until statements to an upstream are refused; zero if its data
// centre is not evacuated.
func (e *Evacuations) remaining(u keeper.Upstream) time.Duration {
	if e == nil || e.count.Load() == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	d, _ := e.Evacuator.Remaining(u.DataCentre, e.Now())
	return d
}

// Count returns the number of evacuated data centres.
func (e *Evacuations) Count() int { return int(e.count.Load()) }

// isUnusable reports whether an upstream cannot be used for a caller's statement. A query
// of the primary's position carries none: reads elsewhere need it.
func (r *request) isUnusable(u keeper.Upstream) bool {
	server := r.session.server
	return server.isSuspect(u) || !r.isProbe && !server.Evacuations.MayForward(u)
}

// primaryEvacuated returns the refusal of work at a primary that is evacuated, unless an
// upstream elsewhere is being promoted. It returns nil if the work may wait or run.
func (r *request) primaryEvacuated(view *keeper.View) *refuser.Refusal {
	server := r.session.server
	primary, ok := view.Upstreams[server.Upstreams.Primary(r.route.Service, view)]
	if !ok || r.isProbe || server.Evacuations.MayForward(primary) {
		return nil
	}
	if candidate := view.PromotionCandidate(r.route.Service); candidate != "" && server.Evacuations.MayForward(view.Upstreams[candidate]) {
		return nil
	}
	return r.evacuatedRefusal("primary " + primary.ID + " in data centre " + primary.DataCentre)
}

// replicasEvacuated returns the refusal of a read that only evacuated upstreams could
// serve, or nil.
func (r *request) replicasEvacuated(view *keeper.View) *refuser.Refusal {
	refused := 0
	for _, u := range view.ByService(r.route.Service) {
		switch {
		case !r.session.server.Evacuations.MayForward(u):
			refused++
		case u.Lifecycle == keeper.LifecycleReady:
			return nil
		}
	}
	if refused == 0 {
		return nil
	}
	return r.evacuatedRefusal("all upstreams of service " + r.route.Service)
}

func (r *request) evacuatedRefusal(detail string) *refuser.Refusal {
	refusal := refuser.New(refuser.ReasonEvacuated, detail)
	refusal.RetryAfter = r.route.TargetLatency / 2
	return refusal
}

// refuseEvacuated returns the outcome of a statement for an upstream to which none may be
// sent, or nil.
func (r *request) refuseEvacuated(upstream string) *outcome {
	server := r.session.server
	if server.Evacuations == nil || r.isProbe {
		return nil
	}
	view, _ := server.View()
	if u, ok := view.Upstreams[upstream]; !ok || server.Evacuations.MayForward(u) {
		return nil
	}
	return r.errorOutcome(&connector.RunError{Err: &connector.EvacuatedError{Upstream: upstream}}, upstream)
}
