package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
)

// metrics are the node's metrics.
type metrics struct {
	registry          *prometheus.Registry
	finalResponses    *prometheus.CounterVec
	rejected          *prometheus.CounterVec
	firstToken        *prometheus.HistogramVec
	decisionPanics    prometheus.Counter
	releases          *prometheus.CounterVec
	decisionSeconds   prometheus.Counter
	engines           prometheus.Gauge
	inUse             *prometheus.GaugeVec
	oldestReservation prometheus.Gauge

	attempts          *prometheus.CounterVec
	blockedAttempts   *prometheus.CounterVec
	violations        *prometheus.CounterVec
	clientCloses      *prometheus.CounterVec
	engineConnections *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry(),
		finalResponses: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sandcourse_finals_total",
			Help: "Final answers by model route: completed, shed, errored; left where the client went first."},
			[]string{"route", "final"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sandcourse_refused_total",
			Help: "Connections and requests refused before they were an inference, by what was too much."},
			[]string{"why"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "sandcourse_first_token_seconds",
			Help:    "From the call to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.6, 16)}, []string{"route"}),
		decisionPanics: prometheus.NewCounter(prometheus.CounterOpts{Name: "sandcourse_module_failures_total",
			Help: "Panics of the decision module; each ends all that was open."}),
		releases: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sandcourse_releases_total",
			Help: "Releases of states that no attempt took: sent, acknowledged, overdue, unconfirmed, given up, no room."},
			[]string{"how"}),
		decisionSeconds: prometheus.NewCounter(prometheus.CounterOpts{Name: "sandcourse_module_seconds_total",
			Help: "Time spent in the decision module."}),
		engines: prometheus.NewGauge(prometheus.GaugeOpts{Name: "sandcourse_engines", Help: "Engines listed."}),
		inUse: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sandcourse_holding",
			Help: "What the node holds: clients, inferences, bytes, lines, states at engines."}, []string{"what"}),
		oldestReservation: prometheus.NewGauge(prometheus.GaugeOpts{Name: "sandcourse_oldest_hold_seconds",
			Help: "How long the oldest state has been known that engines hold or may hold; 0 for none."}),
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	m.attempts = counters("sandcourse_attempts_total", "Attempts that have ended, by stage and outcome.", "stage", "outcome")
	m.blockedAttempts = counters("sandcourse_attempts_held_back_total", "Attempts that a gate held back, by reason.", "why")
	m.violations = counters("sandcourse_violations_total", "Rules that the node broke, as its own monitor sees it; 0 is right.", "rule")
	for _, rule := range invariant.Rules {
		m.violations.WithLabelValues(string(rule)) // shown from the start, so that a rise from 0 is seen
	}
	m.clientCloses = counters("sandcourse_client_closes_total", "Clients' connections that the node closed, by reason.", "why")
	m.engineConnections = counters("sandcourse_engine_connections_total", "What became of connections to engines.", "event")
	m.registry.MustRegister(m.finalResponses, m.rejected, m.firstToken, m.decisionPanics, m.releases, m.decisionSeconds, m.engines, m.inUse, m.oldestReservation)
	return m
}

func (m *metrics) setUsage(h router.InFlight) {
	for what, v := range map[string]int{"clients": h.Clients, "inferences": h.Requests, "bytes": h.Bytes,
		"lines": h.EngineConnections, "states": h.Reservations} {
		m.inUse.WithLabelValues(what).Set(float64(v))
	}
	m.oldestReservation.Set(h.OldestReservation.Seconds())
}
