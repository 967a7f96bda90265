// Package meter counts what a host does and exports it for Prometheus.
//
// # Usage
//
//	m := meter.New()
//	m.Served("prairie_1", meter.TargetReplica, 1)
//	http.Handle("/metrics", m.Handler())
//
// The number of series a host exports is bounded: at most maxOrganisations
// organisations have series of their own, and no series has a label for an
// upstream. A nil Meter counts nothing.
package meter

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// Target is the kind of upstream that served a request.
type Target string

// The targets.
const (
	TargetReplica Target = "replica"
	TargetPrimary Target = "primary"
)

// maxOrganisations bounds the organisations with series of their own.
const maxOrganisations = 64

// otherOrganisations is the label of all further ones.
const otherOrganisations = "other"

// Meter holds a host's metrics.
type Meter struct {
	registry *prometheus.Registry
	served   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	counted  *prometheus.CounterVec
	burned   *prometheus.CounterVec
	retried  prometheus.Counter
	commit   prometheus.Histogram
	queue    prometheus.Histogram

	mu            sync.Mutex
	organisations map[string]bool
}

// New returns a Meter with its own registry.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_statements_total", Help: "Statements served.",
		}, []string{"organisation", "target"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_refusals_total", Help: "Requests refused.",
		}, []string{"reason", "verdict"}),
		counted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_objective_statements_total", Help: "Statements that count against an objective.",
		}, []string{"organisation"}),
		burned: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_objective_burned_total", Help: "Bad statements divided by the budget of their objective.",
		}, []string{"organisation"}),
		retried: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstage_retries_total", Help: "Requests sent to another upstream after a failure.",
		}),
		commit: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallotstage_commit_hold_seconds", Help: "Time from a commit's answer until a quorum held it.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		queue: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallotstage_queue_seconds", Help: "Time a request waited for a connection and a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 13),
		}),
		organisations: map[string]bool{},
	}
	m.registry.MustRegister(m.served, m.refused, m.counted, m.burned, m.retried, m.commit, m.queue)
	return m
}

// Gauge exports a value that is read when the metrics are.
func (m *Meter) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Handler returns the page with all metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Served counts statements of an organisation.
func (m *Meter) Served(organisation string, target Target, n int) {
	if m == nil {
		return
	}
	m.served.WithLabelValues(m.label(organisation), string(target)).Add(float64(n))
}

// Refused counts a refusal.
func (m *Meter) Refused(r *refuser.Refusal) {
	if m == nil {
		return
	}
	m.refused.WithLabelValues(string(r.Reason), string(r.Verdict)).Inc()
}

// Burned counts n statements against an objective. burned is the number of bad
// ones divided by the objective's budget.
func (m *Meter) Burned(organisation string, n int, burned float64) {
	if m == nil {
		return
	}
	label := m.label(organisation)
	m.counted.WithLabelValues(label).Add(float64(n))
	m.burned.WithLabelValues(label).Add(burned)
}

// Retried counts a retry.
func (m *Meter) Retried() {
	if m == nil {
		return
	}
	m.retried.Inc()
}

// CommitHeld records how long an acknowledgement waited for a quorum.
func (m *Meter) CommitHeld(d time.Duration) {
	if m == nil {
		return
	}
	m.commit.Observe(d.Seconds())
}

// Queued records how long a request waited for an upstream.
func (m *Meter) Queued(d time.Duration) {
	if m == nil {
		return
	}
	m.queue.Observe(d.Seconds())
}

func (m *Meter) label(organisation string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.organisations[organisation] {
		return organisation
	}
	if len(m.organisations) >= maxOrganisations {
		return otherOrganisations
	}
	m.organisations[organisation] = true
	return organisation
}
