package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"sandcourse/node"
)

// meters are the node's metrics.
type meters struct {
	registry   *prometheus.Registry
	finals     *prometheus.CounterVec
	refused    *prometheus.CounterVec
	firsts     *prometheus.HistogramVec
	panics     prometheus.Counter
	unreleased prometheus.Counter
	module     prometheus.Counter
	engines    prometheus.Gauge
	holding    *prometheus.GaugeVec
}

func newMeters() *meters {
	m := &meters{registry: prometheus.NewRegistry(),
		finals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sandcourse_finals_total",
			Help: "Final answers by model route: completed, shed, errored; left where the client went first."},
			[]string{"route", "final"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sandcourse_refused_total",
			Help: "Connections and requests refused before they were an inference, by what was too much."},
			[]string{"why"}),
		firsts: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "sandcourse_first_token_seconds",
			Help:    "From the call to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.6, 16)}, []string{"route"}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{Name: "sandcourse_module_failures_total",
			Help: "Panics of the decision module; each ends all that was open."}),
		unreleased: prometheus.NewCounter(prometheus.CounterOpts{Name: "sandcourse_unreleased_total",
			Help: "States whose reader did not confirm that it let go."}),
		module: prometheus.NewCounter(prometheus.CounterOpts{Name: "sandcourse_module_seconds_total",
			Help: "Time spent in the decision module."}),
		engines: prometheus.NewGauge(prometheus.GaugeOpts{Name: "sandcourse_engines", Help: "Engines listed."}),
		holding: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sandcourse_holding",
			Help: "What the node holds: clients, inferences, bytes, lines."}, []string{"what"}),
	}
	m.registry.MustRegister(m.finals, m.refused, m.firsts, m.panics, m.unreleased, m.module, m.engines, m.holding)
	return m
}

func (m *meters) see(h node.Holding) {
	for what, v := range map[string]int{"clients": h.Clients, "inferences": h.Inferences, "bytes": h.Bytes,
		"lines": h.Lines} {
		m.holding.WithLabelValues(what).Set(float64(v))
	}
}
