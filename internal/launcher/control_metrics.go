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
	}
	for name, v := range values {
		ch <- prometheus.MustNewConstMetric(s.descs[name], prometheus.GaugeValue, v)
	}
}
