package transactor

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// regionRetryAfter is the retry delay for a request that no upstream may run because
// of its region. Only a change of primary or of the configuration helps.
const regionRetryAfter = time.Second

// mayRunAt reports whether the request may be sent to an upstream in its region. A
// query of the primary's position carries nothing of a caller's request and may be
// sent to any.
func (r *request) mayRunAt(u keeper.Upstream) bool {
	return r.isProbe || r.permitted.Permits(r.session.server.Location.RegionOf(u.DataCentre))
}

// checkRegions returns a refusal if the service has upstreams and none of them is in a
// permitted region, and nil otherwise.
func (r *request) checkRegions(view *keeper.View) *refuser.Refusal {
	upstreams := view.ByService(r.route.Service)
	if !r.permitted.IsRestricted() || len(upstreams) == 0 {
		return nil
	}
	for _, u := range upstreams {
		if r.mayRunAt(u) {
			return nil
		}
	}
	return r.regionRefusal("service " + r.route.Service + " has no upstream in a permitted region")
}

// primaryRegionRefusal returns the refusal of a request that only u could run.
func (r *request) primaryRegionRefusal(u keeper.Upstream) *refuser.Refusal {
	return r.regionRefusal("primary " + u.ID + " of service " + r.route.Service + " is in region " + r.session.server.Location.RegionOf(u.DataCentre))
}

func (r *request) regionRefusal(detail string) *refuser.Refusal {
	refusal := refuser.New(refuser.ReasonRegionForbidden, detail)
	refusal.RetryAfter = r.session.server.jitter(regionRetryAfter)
	return refusal
}
