package transactor

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

const (
	// idleReportAge is how long a report of an idle connection is believed.
	idleReportAge = 500 * time.Millisecond
	// maxIdleReports bounds the organisations whose reports are kept for one
	// upstream.
	maxIdleReports = 512
)

// loadReports holds the newest reports of the load of one upstream.
type loadReports struct {
	load queuer.Load
	at   time.Time
	// idleAt is when an idle connection of an organisation was last reported. An
	// organisation that had none in its newest report is missing.
	idleAt map[string]time.Time
}

func (r *loadReports) record(organisation string, load queuer.Load, now time.Time) {
	r.load, r.at = load, now
	if !load.HasIdle {
		delete(r.idleAt, organisation)
		return
	}
	if r.idleAt == nil || len(r.idleAt) >= maxIdleReports {
		r.idleAt = map[string]time.Time{}
	}
	r.idleAt[organisation] = now
}

// latest returns the newest report for an organisation and its age. Without one, it
// returns the zero value and the highest age.
func (r *loadReports) latest(organisation string, now time.Time) (queuer.Load, time.Duration) {
	if r.at.IsZero() {
		return queuer.Load{}, math.MaxInt64
	}
	load := r.load
	at, ok := r.idleAt[organisation]
	load.HasIdle = ok && now.Sub(at) <= idleReportAge
	return load, max(0, now.Sub(r.at))
}

// RecordLoad records a report of an upstream's owner about its queue, with
// HasIdle for the given organisation.
func (t *UpstreamTracker) RecordLoad(id, organisation string, load queuer.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		s.loads.record(organisation, load, t.Now())
	}
}

// Load returns the newest report of an upstream's queue, with HasIdle for an
// organisation, and the age of the report. Without a report it returns the zero
// value and the highest age.
func (t *UpstreamTracker) Load(id, organisation string) (load queuer.Load, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return s.loads.latest(organisation, t.Now())
	}
	return queuer.Load{}, math.MaxInt64
}

// RecordRoundTrip records a measured round trip to a data centre.
func (t *UpstreamTracker) RecordRoundTrip(dataCentre string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roundTrips.Record(dataCentre, t.Now(), d)
}

// leavingShare returns the fraction of a service's reads that may leave the region.
func (t *UpstreamTracker) leavingShare(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spiller.Current(service)
}

// hold marks the candidates for which a read is not to leave the region. random is
// a random number in [0, 1).
func (t *UpstreamTracker) hold(service string, candidates []balancer.Candidate, random float64) {
	sites, ok := balancer.Sites(candidates)
	if !ok {
		return
	}
	t.mu.Lock()
	before := t.spiller.Current(service)
	share := t.spiller.Share(service, t.Now(), sites)
	t.mu.Unlock()
	if leaves := share > 0; leaves != (before > 0) && t.Log != nil {
		t.Log.Info(logger.EventReadsLeaveRegion, zap.String("service", service), zap.Bool("leave", leaves),
			zap.Duration("near_wait", sites.NearWait), zap.Duration("far_wait", sites.FarWait), zap.Duration("round_trip", sites.RoundTrip))
	}
	for i := range candidates {
		candidates[i].Held = candidates[i].Distance == balancer.DistanceFar && random >= share
	}
}
