package planner

import (
	"github.com/prometheus/client_golang/prometheus"

	"sandcourse/internal/planner/assignment"
)

// metrics holds the planner's metrics.
type metrics struct {
	registry        *prometheus.Registry
	plans           prometheus.Counter
	streams         prometheus.Gauge
	engines         *prometheus.GaugeVec
	requiredEngines *prometheus.GaugeVec
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
		requiredEngines: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sandcourse_roles_needed",
			Help: "Engines that what arrives keeps busy, by role.",
		}, []string{"role"}),
	}
	m.registry.MustRegister(m.plans, m.streams, m.engines, m.requiredEngines)
	return m
}

// observe sets the engine gauges from the controller's state.
func (m metrics) observe(c *assignment.Controller) {
	m.engines.Reset()
	for group, count := range c.CountEngines() {
		m.engines.WithLabelValues(group.Role, string(group.State)).Set(float64(count))
	}
	for role, required := range c.LastDecision().RequiredEngines {
		m.requiredEngines.WithLabelValues(role).Set(required)
	}
}
