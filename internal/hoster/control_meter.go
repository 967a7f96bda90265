package hoster

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstage/shallotstage/internal/coordinator"
)

// standingTimeout bounds the question to a control host that is busy, for
// example with a slow disk.
const standingTimeout = 200 * time.Millisecond

// standingCollector reads a control host's standing when metrics are asked for.
type standingCollector struct {
	coordinator *coordinator.Coordinator
	descs       map[string]*prometheus.Desc
}

// controlMetrics returns the handler of a control host's metrics.
func controlMetrics(c *coordinator.Coordinator) http.Handler {
	s := &standingCollector{coordinator: c, descs: map[string]*prometheus.Desc{}}
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
	registry := prometheus.NewRegistry()
	registry.MustRegister(s)
	return metricsHandler(registry)
}

// Describe implements prometheus.Collector.
func (s *standingCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range s.descs {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (s *standingCollector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), standingTimeout)
	defer cancel()
	standing, ok := s.coordinator.Standing(ctx)
	values := map[string]float64{"answers": 0}
	if ok {
		values = map[string]float64{
			"answers": 1, "leads": 0, "term": float64(standing.Term), "applied": float64(standing.Applied), "version": float64(standing.Version),
			"voters": float64(standing.Voters), "hosts": float64(standing.Hosts), "upstreams": float64(standing.Upstreams),
		}
		if standing.Leads {
			values["leads"] = 1
		}
	}
	for name, v := range values {
		ch <- prometheus.MustNewConstMetric(s.descs[name], prometheus.GaugeValue, v)
	}
}
