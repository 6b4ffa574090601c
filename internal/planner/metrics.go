package planner

import (
	"github.com/prometheus/client_golang/prometheus"

	"sandcourse/internal/planner/assignment"
)

// metrics holds the planner's metrics.
type metrics struct {
	registry      *prometheus.Registry
	plans         prometheus.Counter
	streams       prometheus.Gauge
	engines       *prometheus.GaugeVec
	neededEngines *prometheus.GaugeVec
}

func newMetrics() metrics {
	m := metrics{
		registry: prometheus.NewRegistry(),
		plans: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sandcourse_plans_total",
			Help: "Plans published.",
		}),
		streams: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sandcourse_plan_streams",
			Help: "Edges that follow.",
		}),
		engines: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sandcourse_roles",
			Help: "Engines by role and state.",
		}, []string{"role", "state"}),
		neededEngines: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sandcourse_roles_needed",
			Help: "Engines that what arrives keeps busy, by role.",
		}, []string{"role"}),
	}
	m.registry.MustRegister(m.plans, m.streams, m.engines, m.neededEngines)
	return m
}

// observe sets the gauges of engines from the controller's state.
func (m metrics) observe(c *assignment.Controller) {
	m.engines.Reset()
	for group, count := range c.CountEngines() {
		m.engines.WithLabelValues(group.Role, string(group.State)).Set(float64(count))
	}
	for role, required := range c.LastDecision().RequiredEngines {
		m.neededEngines.WithLabelValues(role).Set(required)
	}
}
