package edge

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// Log messages that report a bug in the program. Tools that read an edge's log search for them.
const (
	LogPolicyPanicked    = "policy panicked"
	LogInvariantViolated = "invariant violated"
)

// observer records reports of the router in the log, the metrics and the load counters. The owner calls it.
type observer struct{ edge *Edge }

// AroundStep measures how long the policy takes to process an event.
func (o observer) AroundStep(event routing.Event, step func()) {
	startedAt := time.Now()
	defer func() { o.edge.metrics.decisionSeconds.Add(time.Since(startedAt).Seconds()) }()
	if o.edge.decisionHook != nil {
		o.edge.decisionHook(event)
	}
	step()
}

// PolicyPanicked logs a panic of the policy with its stack; the router then answers all open requests with an error.
func (o observer) PolicyPanicked(value any, event routing.Event, stack []byte) {
	o.edge.metrics.decisionPanics.Inc()
	o.edge.log.Error(LogPolicyPanicked, zap.Any("panic", value), zap.String("event", fmt.Sprintf("%T", event)),
		zap.ByteString("stack", stack))
}

// RequestFinished counts and logs the final response of a request.
func (o observer) RequestFinished(summary router.RequestSummary) {
	o.edge.metrics.finalResponses.WithLabelValues(summary.Route, string(summary.Outcome)).Inc()
	o.countFinished(summary)
	fields := []zap.Field{
		zap.String("outcome", string(summary.Outcome)),
		zap.String("request", summary.Request),
		zap.String("route", summary.Route),
		zap.String("session", sessionHash(summary.Session)),
		zap.Strings("attempts", summary.Attempts),
		zap.Duration("duration", summary.Duration),
		zap.Int("prompt_tokens", summary.PromptTokens),
	}
	if summary.TimeToFirstToken > 0 {
		fields = append(fields, zap.Duration("first_token", summary.TimeToFirstToken))
	}
	if summary.Reason != "" {
		fields = append(fields, zap.String("reason", string(summary.Reason)))
	}
	if summary.Cause != "" {
		fields = append(fields, zap.String("cause", summary.Cause))
	}
	o.edge.log.Info("request finished", fields...)
}

// countFinished counts a finished request in the load counters for the planner.
func (o observer) countFinished(summary router.RequestSummary) {
	count := o.edge.loads.forRoute(summary.Route)
	count.Arrived++
	count.PromptTokens += float64(summary.PromptTokens)
	if summary.TimeToFirstToken > 0 {
		count.Completed++
		count.CompletionTokens += float64(summary.OutputTokens)
	}
	if summary.Outcome == router.OutcomeShed {
		count.Shed++
	}
}

// RequestShed counts and logs a request that was shed before it was admitted.
func (o observer) RequestShed(shed router.ShedRequest) {
	o.edge.metrics.finalResponses.WithLabelValues(shed.Route, string(router.OutcomeShed)).Inc()
	count := o.edge.loads.forRoute(shed.Route)
	count.Arrived++
	count.PromptTokens += float64(shed.PromptTokens)
	count.Shed++
	o.edge.log.Info("request shed", zap.String("request", shed.Request), zap.String("route", shed.Route), zap.String("reason", string(shed.Reason)))
}

// FirstToken records how long a request waited for its first token.
func (o observer) FirstToken(route string, after time.Duration, promptTokens int) {
	o.edge.metrics.firstToken.WithLabelValues(route).Observe(after.Seconds())
	count := o.edge.loads.forRoute(route)
	count.Started++
	count.StartedPromptTokens += float64(promptTokens)
	if after <= o.firstTokenObjective(route, promptTokens) {
		count.WithinObjective++
	}
}

// firstTokenObjective returns the latency objective for the first token, which grows with the length of the prompt.
func (o observer) firstTokenObjective(route string, promptTokens int) time.Duration {
	r := o.edge.deployment.Routes[o.edge.deployment.RouteIndex(route)]
	return r.FirstTokenObjective + time.Duration(float64(r.ObjectivePer1000Tokens)*float64(promptTokens)/1000)
}

// Rejected counts a connection or a request that was rejected before it was admitted, or a connection closed as too slow.
func (o observer) Rejected(reason router.RejectReason) {
	o.edge.metrics.rejected.WithLabelValues(string(reason)).Inc()
}

// AttemptEnded counts the end of an attempt, and logs it if the attempt failed.
func (o observer) AttemptEnded(summary router.AttemptSummary) {
	o.edge.metrics.attempts.WithLabelValues(stageName(summary.Decode), string(summary.Verdict)).Inc()
	if summary.Reason == "" {
		return // The attempt succeeded.
	}
	o.edge.log.Info("attempt ended",
		zap.String("request", summary.Request),
		zap.Int("attempt", summary.Index),
		zap.String("engine", summary.Engine),
		zap.String("stage", stageName(summary.Decode)),
		zap.String("verdict", string(summary.Verdict)),
		zap.String("reason", string(summary.Reason)),
		zap.Duration("connecting", summary.Connecting),
		zap.Duration("duration", summary.Duration))
}

// AttemptBlocked counts and logs an attempt that an invariant forbids.
func (o observer) AttemptBlocked(request string, reason invariant.Reason) {
	o.edge.metrics.blockedAttempts.WithLabelValues(string(reason)).Inc()
	o.edge.log.Info("attempt blocked", zap.String("request", request), zap.String("reason", string(reason)))
}

// InvariantViolated counts and logs a violation that the edge's own monitor has found.
func (o observer) InvariantViolated(v invariant.Violation) {
	o.edge.metrics.violations.WithLabelValues(string(v.Rule)).Inc()
	o.edge.log.Error(LogInvariantViolated, zap.String("rule", string(v.Rule)), zap.String("request", v.Request),
		zap.String("detail", v.Detail))
}

// ReservationChanged counts an event in the release of a reservation.
func (o observer) ReservationChanged(event router.ReservationEvent) {
	o.edge.metrics.releases.WithLabelValues(string(event)).Inc()
}

// ClientClosed counts and logs the reason why the edge closes a client connection.
func (o observer) ClientClosed(client int64, reason router.CloseReason) {
	o.edge.metrics.clientCloses.WithLabelValues(string(reason)).Inc()
	o.edge.log.Debug("client connection closed", zap.Int64("client", client), zap.String("reason", string(reason)))
}

// ConnectionChanged counts and logs a state change of a connection to an engine.
func (o observer) ConnectionChanged(engine string, event router.ConnectionEvent) {
	o.edge.metrics.engineConnections.WithLabelValues(string(event)).Inc()
	o.edge.log.Debug("engine connection changed", zap.String("engine", engine), zap.String("event", string(event)))
}

// EndpointsUpdated records a new endpoint list, and the engines in it that are ignored.
func (o observer) EndpointsUpdated(revision int64, engines int, unknown []string) {
	o.edge.metrics.engines.Set(float64(engines))
	o.edge.log.Info("endpoint list applied", zap.Int64("revision", revision), zap.Int("engines", engines))
	if len(unknown) > 0 {
		o.edge.log.Warn("engines of unknown kinds ignored", zap.Strings("engines", unknown))
	}
}

// stageName returns the stage of an attempt as it appears in logs and metrics.
func stageName(decode bool) string {
	if decode {
		return "decode"
	}
	return "prefill"
}

// sessionHash returns a hash that replaces the session key in logs, which must not contain keys of clients.
func sessionHash(session string) string {
	if session == "" {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(session))
}
