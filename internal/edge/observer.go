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

// Log messages that mean a fault of the program. Tools that read a node's log look for them.
const (
	LogPolicyPanicked    = "policy panicked"
	LogInvariantViolated = "invariant violated"
)

// observer writes what the core reports to the log, the metrics and the load counters. The owner calls it.
type observer struct{ edge *Edge }

func (o observer) AroundStep(in routing.Event, step func()) {
	begun := time.Now()
	defer func() { o.edge.metrics.decisionSeconds.Add(time.Since(begun).Seconds()) }()
	if o.edge.decisionHook != nil {
		o.edge.decisionHook(in)
	}
	step()
}

func (o observer) PolicyPanicked(p any, in routing.Event, stack []byte) {
	o.edge.metrics.decisionPanics.Inc()
	o.edge.log.Error(LogPolicyPanicked, zap.Any("panic", p), zap.String("event", fmt.Sprintf("%T", in)),
		zap.ByteString("stack", stack))
}

func (o observer) RequestFinished(f router.RequestSummary) {
	o.edge.metrics.finalResponses.WithLabelValues(f.Route, string(f.Outcome)).Inc()
	o.countFinal(f)
	fields := []zap.Field{
		zap.String("outcome", string(f.Outcome)),
		zap.String("request", f.Request),
		zap.String("route", f.Route),
		zap.String("session", sessionHash(f.Session)),
		zap.Strings("attempts", f.Attempts),
		zap.Duration("duration", f.Duration),
		zap.Int("prompt_tokens", f.PromptTokens),
	}
	if f.TimeToFirstToken > 0 {
		fields = append(fields, zap.Duration("first_token", f.TimeToFirstToken))
	}
	if f.Reason != "" {
		fields = append(fields, zap.String("reason", string(f.Reason)))
	}
	o.edge.log.Info("request finished", fields...)
}

// countFinal counts the end of a request for the planner.
func (o observer) countFinal(f router.RequestSummary) {
	count := o.edge.loads.of(f.Route)
	count.Arrived++
	count.PromptTokens += float64(f.PromptTokens)
	if f.TimeToFirstToken > 0 {
		count.Completed++
		count.CompletionTokens += float64(f.OutputTokens)
	}
	if f.Outcome == router.OutcomeShed {
		count.Shed++
	}
}

func (o observer) RequestShed(s router.ShedRequest) {
	o.edge.metrics.finalResponses.WithLabelValues(s.Route, string(router.OutcomeShed)).Inc()
	count := o.edge.loads.of(s.Route)
	count.Arrived++
	count.PromptTokens += float64(s.PromptTokens)
	count.Shed++
	o.edge.log.Info("request shed", zap.String("request", s.Request), zap.String("route", s.Route), zap.String("reason", string(s.Reason)))
}

func (o observer) FirstToken(route string, after time.Duration, prompt int) {
	o.edge.metrics.firstToken.WithLabelValues(route).Observe(after.Seconds())
	count := o.edge.loads.of(route)
	count.Started++
	count.StartedPromptTokens += float64(prompt)
	if after <= o.firstTokenObjective(route, prompt) {
		count.WithinObjective++
	}
}

// firstTokenObjective is the latency objective of a first token, which grows with the prompt.
func (o observer) firstTokenObjective(route string, prompt int) time.Duration {
	r := o.edge.deployment.Routes[o.edge.deployment.Route(route)]
	return r.FirstTokenObjective + time.Duration(float64(r.ObjectivePer1000Tokens)*float64(prompt)/1000)
}

func (o observer) Rejected(reason router.RejectReason) {
	o.edge.metrics.rejected.WithLabelValues(string(reason)).Inc()
}

func (o observer) AttemptEnded(a router.AttemptSummary) {
	o.edge.metrics.attempts.WithLabelValues(stageName(a.Decode), a.Verdict).Inc()
	if a.Reason == "" {
		return // it ended well
	}
	o.edge.log.Info("attempt ended",
		zap.String("request", a.Request),
		zap.Int("attempt", a.Index),
		zap.String("engine", a.Engine),
		zap.String("stage", stageName(a.Decode)),
		zap.String("verdict", a.Verdict),
		zap.String("reason", string(a.Reason)),
		zap.Duration("connecting", a.Connecting),
		zap.Duration("duration", a.Duration))
}

func (o observer) AttemptBlocked(request string, why invariant.Reason) {
	o.edge.metrics.blockedAttempts.WithLabelValues(string(why)).Inc()
	o.edge.log.Info("attempt blocked", zap.String("request", request), zap.String("reason", string(why)))
}

func (o observer) InvariantViolated(v invariant.Violation) {
	o.edge.metrics.violations.WithLabelValues(string(v.Rule)).Inc()
	o.edge.log.Error(LogInvariantViolated, zap.String("rule", string(v.Rule)), zap.String("request", v.Request),
		zap.String("detail", v.Detail))
}

func (o observer) ReservationChanged(how router.ReservationEvent) {
	o.edge.metrics.releases.WithLabelValues(string(how)).Inc()
}

func (o observer) ClientClosed(client int64, why router.CloseReason) {
	o.edge.metrics.clientCloses.WithLabelValues(string(why)).Inc()
	o.edge.log.Debug("client connection closed", zap.Int64("client", client), zap.String("reason", string(why)))
}

func (o observer) ConnectionChanged(engine string, what router.ConnectionEvent) {
	o.edge.metrics.engineConnections.WithLabelValues(string(what)).Inc()
	o.edge.log.Debug("engine connection changed", zap.String("engine", engine), zap.String("event", string(what)))
}

func (o observer) EndpointsUpdated(revision int64, engines int, unknown []string) {
	o.edge.metrics.engines.Set(float64(engines))
	o.edge.log.Info("endpoint list applied", zap.Int64("revision", revision), zap.Int("engines", engines))
	if len(unknown) > 0 {
		o.edge.log.Warn("engines of unknown kinds ignored", zap.Strings("engines", unknown))
	}
}

// stageName names what an attempt is for, in logs and metrics.
func stageName(decode bool) string {
	if decode {
		return "decode"
	}
	return "prefill"
}

// sessionHash stands for a session key in logs, which must not hold keys of clients.
func sessionHash(session string) string {
	if session == "" {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(session))
}
