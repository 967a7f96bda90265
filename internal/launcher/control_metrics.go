package launcher

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstage/shallotstage/internal/coordinator"
)

// statusTimeout bounds the status query to a control host that is busy, for
// example with a slow disk.
const statusTimeout = 200 * time.Millisecond

// evacuatedMetric counts the data centres for which an order is in effect, on entry hosts
// and on control hosts.
const (
	evacuatedMetric = "shallotstage_evacuated_data_centres"
	evacuatedHelp   = "Evacuated data centres that the host knows of."
)

// statusCollector collects a control host's status for each scrape.
type statusCollector struct {
	coordinator *coordinator.Coordinator
	descs       map[string]*prometheus.Desc
}

// controlMetrics returns the metrics handler of a control host.
func controlMetrics(c *coordinator.Coordinator, limits *processLimits) http.Handler {
	s := &statusCollector{coordinator: c, descs: map[string]*prometheus.Desc{}}
	for name, help := range map[string]string{
		"answers":   "1 when the control goroutine answered in time.",
		"leads":     "1 while the host leads.",
		"lease":     "1 while the host certainly leads, so that it answers calls.",
		"term":      "Term of the agreement.",
		"applied":   "Index of the last applied entry.",
		"version":   "Newest applied configuration.",
		"voters":    "Voters of the agreement.",
		"hosts":     "Entry hosts that attend; zero unless the host leads.",
		"upstreams": "Agreed upstreams.",
	} {
		s.descs[name] = prometheus.NewDesc("shallotstage_control_"+name, help, nil, nil)
	}
	s.descs["evacuations"] = prometheus.NewDesc(evacuatedMetric, evacuatedHelp, nil, nil)
	for name, help := range map[string]string{
		"saves_total":            "Saves of the agreed state to the disk.",
		"save_seconds_total":     "Time that these saves took.",
		"slow_saves_total":       "Saves that took longer than 100 ms.",
		"elections_total":        "Elections that the host started.",
		"step_downs_total":       "Times that the host ceased to lead.",
		"dropped_tasks_total":    "Work that found the queue of the control goroutine full.",
		"dropped_messages_total": "Messages to other control hosts that found their queue full.",
	} {
		s.descs[name] = prometheus.NewDesc("shallotstage_control_"+name, help, nil, nil)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(s)
	limits.register(registry)
	return metricsHandler(registry)
}

// Describe implements prometheus.Collector.
func (s *statusCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range s.descs {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (s *statusCollector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, ok := s.coordinator.Status(ctx)
	values := map[string]float64{"answers": 0}
	if ok {
		values = map[string]float64{
			"answers": 1, "leads": 0, "term": float64(status.Term), "applied": float64(status.Applied), "version": float64(status.Version),
			"voters": float64(status.Voters), "hosts": float64(status.Hosts), "upstreams": float64(status.Upstreams),
			"evacuations": float64(status.Evacuations),
		}
		if status.Leads {
			values["leads"] = 1
		}
		values["lease"] = 0
		if status.HoldsLease {
			values["lease"] = 1
		}
	}
	s.collectCounters(ch)
	for name, v := range values {
		ch <- prometheus.MustNewConstMetric(s.descs[name], prometheus.GaugeValue, v)
	}
}

// collectCounters collects the totals, which are known without the control goroutine.
func (s *statusCollector) collectCounters(ch chan<- prometheus.Metric) {
	counters := s.coordinator.Counters()
	for name, v := range map[string]float64{
		"saves_total": float64(counters.Saves), "save_seconds_total": counters.SaveTime.Seconds(), "slow_saves_total": float64(counters.SlowSaves),
		"elections_total": float64(counters.Elections), "step_downs_total": float64(counters.StepDowns),
		"dropped_tasks_total": float64(counters.DroppedTasks), "dropped_messages_total": float64(counters.DroppedMessages),
	} {
		ch <- prometheus.MustNewConstMetric(s.descs[name], prometheus.CounterValue, v)
	}
}
