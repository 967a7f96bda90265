package launcher

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/transactor"
	"github.com/shallotstage/shallotstage/pkg/balancer"
)

// entryMetrics holds an entry host's metrics. The number of series does not
// depend on the number of organisations, upstreams or hosts.
type entryMetrics struct {
	registry   *prometheus.Registry
	statements *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	early      prometheus.Counter
	latency    *prometheus.HistogramVec
	objectives *prometheus.CounterVec
	choices    *prometheus.CounterVec
	slowOwners prometheus.Counter
	// strayAnswers has one series for each kind of stray answer.
	strayAnswers *prometheus.CounterVec
}

func newEntryMetrics() *entryMetrics {
	m := &entryMetrics{
		registry: prometheus.NewRegistry(),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_entry_statements_total", Help: "Statements answered, by verb.",
		}, []string{"verb"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstage_entry_refusals_total", Help: "Statements refused, by reason.",
		}, []string{"reason"}),
		early: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstage_entry_early_refusals_total", Help: "Statements refused because of a load report of the upstream's owner, without being sent to it. They are part of the refusals with reason pool_full.",
		}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shallotstage_entry_statement_seconds", Help: "Time from a statement's arrival to its answer, in seconds.",
			Buckets: []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5},
		}, []string{"verb"}),
	}
	m.objectives = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "shallotstage_entry_objective_statements_total",
		Help: "Statements against their route's latency objective, by kind of route and outcome: good, slow, or refused. The burn of a service level is the share that is not good.",
	}, []string{"kind", "outcome"})
	m.choices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "shallotstage_entry_read_choices_total",
		Help: "Attempts at reads, by placement of the organisation at the chosen upstream (home, next, or other), by distance (data_centre, region, or far) and by reason (near, placement, only, or load).",
	}, []string{"placement", "distance", "reason"})
	m.slowOwners = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "shallotstage_entry_slow_owner_answers_total", Help: "Answers of owners that came too late although other data of theirs arrived: their links or processors are full.",
	})
	m.strayAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "shallotstage_entry_stray_answers_total", Help: "Answers of upstreams that belong to no outstanding request, by what showed it: unread, repeated, unfit or doubtful.",
	}, []string{"kind"})
	m.registry.MustRegister(m.statements, m.refusals, m.early, m.latency, m.objectives, m.choices, m.slowOwners, m.strayAnswers)
	return m
}

// registerGauges registers the gauges that are read at each scrape.
func (m *entryMetrics) registerGauges(server *transactor.Server, set *connector.PoolSet, evacuations *transactor.Evacuations) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shallotstage_entry_sessions", Help: "Open sessions of callers."},
			func() float64 { return float64(server.Sessions()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shallotstage_entry_upstream_connections_opened", Help: "Connections opened to the upstreams of now."},
			func() float64 { return float64(set.Opened()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shallotstage_entry_queue_waiting", Help: "Statements that wait for a slot of an upstream whose connections this host holds."},
			func() float64 { return float64(set.QueueStatistics().Waiting) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shallotstage_entry_queue_running", Help: "Statements that occupy a slot of an upstream whose connections this host holds."},
			func() float64 { return float64(set.QueueStatistics().Running) }),
		queueRefusals("arrival", func() uint64 { return set.QueueStatistics().RefusedEarly }),
		queueRefusals("waiting", func() uint64 { return set.QueueStatistics().RefusedLate }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: evacuatedMetric, Help: evacuatedHelp}, func() float64 { return float64(evacuations.Count()) }),
	)
}

// queueRefusals returns the counter of statements that an upstream's queue refused
// on arrival or while they were waiting.
func queueRefusals(when string, read func() uint64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "shallotstage_entry_queue_refusals_total", Help: "Statements refused by the queues of upstreams whose connections this host holds, on arrival or while waiting.",
		ConstLabels: prometheus.Labels{"when": when},
	}, func() float64 { return float64(read()) })
}

// registerWarmups registers the counter of statements that were not sent to cold upstreams.
func (m *entryMetrics) registerWarmups(w *warmupThrottle) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "shallotstage_warmup_refusals_total", Help: "Batches of statements that this host did not send to a cold upstream, of its own callers and of other hosts.",
	}, func() float64 { return float64(w.refusals.Load()) }))
}

func (m *entryMetrics) observe(o transactor.Observation) {
	m.statements.WithLabelValues(string(o.Verb)).Inc()
	m.latency.WithLabelValues(string(o.Verb)).Observe(o.Latency.Seconds())
	outcome := "good"
	if o.Objective > 0 && o.Latency > o.Objective {
		outcome = "slow"
	}
	if o.RefusalReason != "" {
		outcome = "refused"
		m.refusals.WithLabelValues(o.RefusalReason).Inc()
		if o.RefusedEarly {
			m.early.Inc()
		}
	}
	m.objectives.WithLabelValues(string(o.Kind), outcome).Inc()
}

func (m *entryMetrics) observeChoice(c balancer.Candidate, reason balancer.Reason) {
	placement := "other"
	switch c.Affinity {
	case 0:
		placement = "home"
	case 1:
		placement = "next"
	}
	m.choices.WithLabelValues(placement, string(c.Distance), string(reason)).Inc()
}

func (m *entryMetrics) handler() http.Handler { return metricsHandler(m.registry) }

// metricsHandler returns the handler that serves a registry's metrics.
func metricsHandler(registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}
