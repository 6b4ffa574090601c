package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
)

// metrics are the metrics of the edge. Names, labels and help texts must not change: dashboards and alerts use them.
type metrics struct {
	registry *prometheus.Registry

	finalResponses *prometheus.CounterVec
	rejected       *prometheus.CounterVec
	firstToken     *prometheus.HistogramVec

	attempts        *prometheus.CounterVec
	blockedAttempts *prometheus.CounterVec
	releases        *prometheus.CounterVec
	violations      *prometheus.CounterVec

	decisionPanics  prometheus.Counter
	decisionSeconds prometheus.Counter
	ownerDelay      *prometheus.HistogramVec

	clientCloses      *prometheus.CounterVec
	engineConnections *prometheus.CounterVec
	engines           prometheus.Gauge
	inUse             *prometheus.GaugeVec
	oldestReservation prometheus.Gauge
}

// ownerDelayBuckets are in seconds. An event of a stream has to reach the client within 0.3 s, the stream's end within 1 s.
var ownerDelayBuckets = []float64{0.001, 0.005, 0.025, 0.1, 0.3, 1, 3}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.registerRequests()
	m.registerAttempts()
	m.registerDecisions()
	m.registerResources()
	return m
}

func (m *metrics) registerRequests() {
	m.finalResponses = m.counters("sandcourse_finals_total",
		"Final answers by model route: completed, shed, errored; left where the client went first.", "route", "final")
	m.rejected = m.counters("sandcourse_refused_total",
		"Connections and requests refused before they were an inference, by what was too much.", "why")
	m.firstToken = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "sandcourse_first_token_seconds",
		Help:    "From the call to its first token.",
		Buckets: prometheus.ExponentialBuckets(0.01, 1.6, 16)}, []string{"route"})
	m.registry.MustRegister(m.firstToken)
}

func (m *metrics) registerAttempts() {
	m.attempts = m.counters("sandcourse_attempts_total", "Attempts that have ended, by stage and outcome.", "stage", "outcome")
	m.blockedAttempts = m.counters("sandcourse_attempts_held_back_total", "Attempts that a gate held back, by reason.", "why")
	m.releases = m.counters("sandcourse_releases_total",
		"Releases of states that no attempt took: sent, acknowledged, overdue, unconfirmed, given up, no room.", "how")
	m.violations = m.counters("sandcourse_violations_total",
		"Rules that the node broke, as its own monitor sees it; 0 is right.", "rule")
	for _, rule := range invariant.Rules {
		m.violations.WithLabelValues(string(rule)) // The counter is exported from the start, so that an increase from 0 is visible.
	}
}

func (m *metrics) registerDecisions() {
	m.decisionPanics = m.counter("sandcourse_module_failures_total", "Panics of the decision module; each ends all that was open.")
	m.decisionSeconds = m.counter("sandcourse_module_seconds_total", "Time spent in the decision module.")
	m.ownerDelay = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "sandcourse_owner_delay_seconds",
		Help:    "How long events wait until the owner handles them, by what they are about.",
		Buckets: ownerDelayBuckets}, []string{"kind"})
	m.registry.MustRegister(m.ownerDelay)
}

func (m *metrics) registerResources() {
	m.clientCloses = m.counters("sandcourse_client_closes_total", "Clients' connections that the node closed, by reason.", "why")
	m.engineConnections = m.counters("sandcourse_engine_connections_total", "What became of connections to engines.", "event")
	m.engines = m.gauge("sandcourse_engines", "Engines listed.")
	m.inUse = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sandcourse_holding",
		Help: "What the node holds: clients, inferences, bytes, lines, states at engines."}, []string{"what"})
	m.registry.MustRegister(m.inUse)
	m.oldestReservation = m.gauge("sandcourse_oldest_hold_seconds",
		"How long the oldest state has been known that engines hold or may hold; 0 for none.")
}

func (m *metrics) counters(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	m.registry.MustRegister(c)
	return c
}

func (m *metrics) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	m.registry.MustRegister(c)
	return c
}

func (m *metrics) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	m.registry.MustRegister(g)
	return g
}

// setUsage sets the gauges of the edge's resource usage. The owner calls it.
func (m *metrics) setUsage(usage router.InFlight, responseBytes int64) {
	m.inUse.WithLabelValues("clients").Set(float64(usage.Clients))
	m.inUse.WithLabelValues("inferences").Set(float64(usage.Requests))
	m.inUse.WithLabelValues("bytes").Set(float64(usage.Bytes))
	m.inUse.WithLabelValues("response bytes").Set(float64(responseBytes))
	m.inUse.WithLabelValues("lines").Set(float64(usage.EngineConnections))
	m.inUse.WithLabelValues("states").Set(float64(usage.Reservations))
	m.oldestReservation.Set(usage.OldestReservation.Seconds())
}
