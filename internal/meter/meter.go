// Package meter collects a host's metrics and exports them to Prometheus.
//
// # Usage
//
//	m := meter.New()
//	m.AddServed("prairie_1", meter.TargetReplica, 1)
//	http.Handle("/metrics", m.Handler())
//
// The number of series is bounded: at most maxOrganisationLabels organisations
// have their own label value, and no series has a label for an upstream. A nil
// Meter discards all observations.
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

// The values of Target.
const (
	TargetReplica Target = "replica"
	TargetPrimary Target = "primary"
)

// maxOrganisationLabels limits the organisations with their own label value.
const maxOrganisationLabels = 64

// otherOrganisations is the label value shared by all other organisations.
const otherOrganisations = "other"

// Meter holds a host's metrics.
type Meter struct {
	registry            *prometheus.Registry
	served              *prometheus.CounterVec
	refused             *prometheus.CounterVec
	objectiveStatements *prometheus.CounterVec
	objectiveBurned     *prometheus.CounterVec
	retried             prometheus.Counter
	commitHold          prometheus.Histogram
	queueTime           prometheus.Histogram
	strayResponses      prometheus.Counter

	mu            sync.Mutex
	organisations map[string]bool
}

// New returns a Meter with a new registry.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_statements_total", Help: "Statements served.",
		}, []string{"organisation", "target"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_refusals_total", Help: "Requests refused.",
		}, []string{"reason", "verdict"}),
		objectiveStatements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_objective_statements_total", Help: "Statements that count against an objective.",
		}, []string{"organisation"}),
		objectiveBurned: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_objective_burned_total", Help: "Bad statements divided by the budget of their objective.",
		}, []string{"organisation"}),
		retried: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstage_retries_total", Help: "Requests sent to another upstream after a failure.",
		}),
		commitHold: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallotstage_commit_hold_seconds", Help: "Time from a commit's answer until a quorum held it.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		queueTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallotstage_queue_seconds", Help: "Time a request waited for a connection and a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 13),
		}),
		strayResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstage_stray_responses_total", Help: "Responses of upstreams that lay unread on idle connections although no request was outstanding.",
		}),
		organisations: map[string]bool{},
	}
	m.registry.MustRegister(m.served, m.refused, m.objectiveStatements, m.objectiveBurned, m.retried, m.commitHold, m.queueTime, m.strayResponses)
	return m
}

// RegisterGauge registers a gauge whose value is read on every scrape.
func (m *Meter) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Handler returns the HTTP handler of the metrics endpoint.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// AddServed counts n served statements of an organisation.
func (m *Meter) AddServed(organisation string, target Target, n int) {
	if m == nil {
		return
	}
	m.served.WithLabelValues(m.label(organisation), string(target)).Add(float64(n))
}

// AddRefusal counts a refusal.
func (m *Meter) AddRefusal(r *refuser.Refusal) {
	if m == nil {
		return
	}
	m.refused.WithLabelValues(string(r.Reason), string(r.Verdict)).Inc()
}

// AddObjectiveStatements counts n statements against an organisation's
// objective. objectiveBurned is the number of bad ones divided by the
// objective's error budget.
func (m *Meter) AddObjectiveStatements(organisation string, n int, objectiveBurned float64) {
	if m == nil {
		return
	}
	label := m.label(organisation)
	m.objectiveStatements.WithLabelValues(label).Add(float64(n))
	m.objectiveBurned.WithLabelValues(label).Add(objectiveBurned)
}

// AddRetry counts a retry.
func (m *Meter) AddRetry() {
	if m == nil {
		return
	}
	m.retried.Inc()
}

// AddStrayResponse counts a response that belongs to no request.
func (m *Meter) AddStrayResponse() {
	if m == nil {
		return
	}
	m.strayResponses.Inc()
}

// ObserveCommitHold records how long a commit's acknowledgement waited for a
// quorum.
func (m *Meter) ObserveCommitHold(d time.Duration) {
	if m == nil {
		return
	}
	m.commitHold.Observe(d.Seconds())
}

// ObserveQueueTime records how long a request waited for a connection and a slot.
func (m *Meter) ObserveQueueTime(d time.Duration) {
	if m == nil {
		return
	}
	m.queueTime.Observe(d.Seconds())
}

func (m *Meter) label(organisation string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.organisations[organisation] {
		return organisation
	}
	if len(m.organisations) >= maxOrganisationLabels {
		return otherOrganisations
	}
	m.organisations[organisation] = true
	return organisation
}
