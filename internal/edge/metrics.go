package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
)

// meters are the node's metrics.
type meters struct {
	registry *prometheus.Registry
	finals   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	firsts   *prometheus.HistogramVec
	panics   prometheus.Counter
	releases *prometheus.CounterVec
	module   prometheus.Counter
	engines  prometheus.Gauge
	holding  *prometheus.GaugeVec
	oldest   prometheus.Gauge

	attempts    *prometheus.CounterVec
	barred      *prometheus.CounterVec
	violations  *prometheus.CounterVec
	closes      *prometheus.CounterVec
	connections *prometheus.CounterVec
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
		releases: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sandcourse_releases_total",
			Help: "Releases of states that no attempt took: sent, acknowledged, overdue, unconfirmed, given up, no room."},
			[]string{"how"}),
		module: prometheus.NewCounter(prometheus.CounterOpts{Name: "sandcourse_module_seconds_total",
			Help: "Time spent in the decision module."}),
		engines: prometheus.NewGauge(prometheus.GaugeOpts{Name: "sandcourse_engines", Help: "Engines listed."}),
		holding: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sandcourse_holding",
			Help: "What the node holds: clients, inferences, bytes, lines, states at engines."}, []string{"what"}),
		oldest: prometheus.NewGauge(prometheus.GaugeOpts{Name: "sandcourse_oldest_hold_seconds",
			Help: "How long the oldest state has been known that engines hold or may hold; 0 for none."}),
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	m.attempts = counters("sandcourse_attempts_total", "Attempts that have ended, by stage and outcome.", "stage", "outcome")
	m.barred = counters("sandcourse_attempts_held_back_total", "Attempts that a gate held back, by reason.", "why")
	m.violations = counters("sandcourse_violations_total", "Rules that the node broke, as its own monitor sees it; 0 is right.", "rule")
	for _, rule := range invariant.Rules {
		m.violations.WithLabelValues(string(rule)) // shown from the start, so that a rise from 0 is seen
	}
	m.closes = counters("sandcourse_client_closes_total", "Clients' connections that the node closed, by reason.", "why")
	m.connections = counters("sandcourse_engine_connections_total", "What became of connections to engines.", "event")
	m.registry.MustRegister(m.finals, m.refused, m.firsts, m.panics, m.releases, m.module, m.engines, m.holding, m.oldest)
	return m
}

func (m *meters) see(h router.InFlight) {
	for what, v := range map[string]int{"clients": h.Clients, "inferences": h.Requests, "bytes": h.Bytes,
		"lines": h.EngineConnections, "states": h.Reservations} {
		m.holding.WithLabelValues(what).Set(float64(v))
	}
	m.oldest.Set(h.OldestReservation.Seconds())
}
