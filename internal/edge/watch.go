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

// observer writes what the core tells to the log and to the metrics.
type observer struct{ edge *Edge }

func (w observer) AroundStep(in routing.Event, step func()) {
	begun := time.Now()
	defer func() { w.edge.metrics.decisionSeconds.Add(time.Since(begun).Seconds()) }()
	if w.edge.decisionHook != nil {
		w.edge.decisionHook(in)
	}
	step()
}

func (w observer) PolicyPanicked(p any, in routing.Event, stack []byte) {
	w.edge.metrics.decisionPanics.Inc()
	w.edge.log.Error("module failed", zap.Any("panic", p), zap.String("input", fmt.Sprintf("%T", in)),
		zap.ByteString("stack", stack))
}

func (w observer) RequestFinished(f router.RequestSummary) {
	w.edge.metrics.finalResponses.WithLabelValues(f.Route, f.Outcome).Inc()
	c := w.edge.routeCount(f.Route)
	c.Arrived++
	c.PromptTokens += float64(f.PromptTokens)
	if f.TimeToFirstToken > 0 {
		c.Completed++
		c.CompletionTokens += float64(f.OutputTokens)
	}
	if f.Outcome == "shed" {
		c.Shed++
	}
	fields := []zap.Field{zap.String("inference", f.Request), zap.String("route", f.Route),
		zap.String("session", sessionHash(f.Session)), zap.Strings("sends", f.Attempts), zap.Duration("took", f.Duration),
		zap.Int("prompt", f.PromptTokens)}
	if f.TimeToFirstToken > 0 {
		fields = append(fields, zap.Duration("first_token", f.TimeToFirstToken))
	}
	if f.Reason != "" {
		fields = append(fields, zap.String("why", f.Reason))
	}
	w.edge.log.Info(f.Outcome, fields...)
}

func (w observer) RequestShed(s router.ShedRequest) {
	w.edge.metrics.finalResponses.WithLabelValues(s.Route, "shed").Inc()
	c := w.edge.routeCount(s.Route)
	c.Arrived, c.PromptTokens, c.Shed = c.Arrived+1, c.PromptTokens+float64(s.PromptTokens), c.Shed+1
	w.edge.log.Info("refused", zap.String("inference", s.Request), zap.String("route", s.Route), zap.String("why", s.Reason))
}

// stageName names what an attempt asks for, in the field's words.
func stageName(decode bool) string {
	if decode {
		return "decode"
	}
	return "prefill"
}

func (w observer) AttemptEnded(a router.AttemptSummary) {
	w.edge.metrics.attempts.WithLabelValues(stageName(a.Decode), a.Verdict).Inc()
	if a.Reason == "" {
		return // it ended well
	}
	w.edge.log.Info("attempt ended", zap.String("inference", a.Request), zap.Int("attempt", a.Index), zap.String("engine", a.Engine),
		zap.String("stage", stageName(a.Decode)), zap.String("verdict", a.Verdict), zap.String("why", a.Reason),
		zap.Duration("connecting", a.Connecting), zap.Duration("took", a.Duration))
}

func (w observer) AttemptBlocked(request string, why invariant.Reason) {
	w.edge.metrics.blockedAttempts.WithLabelValues(string(why)).Inc()
	w.edge.log.Info("attempt held back", zap.String("inference", request), zap.String("why", string(why)))
}

func (w observer) InvariantViolated(v invariant.Violation) {
	w.edge.metrics.violations.WithLabelValues(string(v.Rule)).Inc()
	w.edge.log.Error("rule broken", zap.String("rule", string(v.Rule)), zap.String("inference", v.Request), zap.String("how", v.Detail))
}

func (w observer) ClientClosed(client int64, why router.CloseReason) {
	w.edge.metrics.clientCloses.WithLabelValues(string(why)).Inc()
	w.edge.log.Debug("client's connection closed", zap.Int64("client", client), zap.String("why", string(why)))
}

func (w observer) ConnectionChanged(engine string, what router.ConnectionEvent) {
	w.edge.metrics.engineConnections.WithLabelValues(string(what)).Inc()
	w.edge.log.Debug("connection to an engine", zap.String("engine", engine), zap.String("what", string(what)))
}

func (w observer) FirstToken(route string, after time.Duration, prompt int) {
	w.edge.metrics.firstToken.WithLabelValues(route).Observe(after.Seconds())
	c := w.edge.routeCount(route)
	c.Started++
	c.StartedPromptTokens += float64(prompt)
	if t := w.edge.deployment.Routes[w.edge.deployment.Route(route)]; after <= t.FirstTokenObjective+time.Duration(float64(t.ObjectivePer1000Tokens)*float64(prompt)/1000) {
		c.WithinObjective++
	}
}

func (w observer) Rejected(why string) { w.edge.metrics.rejected.WithLabelValues(why).Inc() }

func (w observer) ReservationChanged(how router.ReservationEvent) {
	w.edge.metrics.releases.WithLabelValues(string(how)).Inc()
}

func (w observer) EndpointsUpdated(revision int64, engines int, unknown []string) {
	w.edge.metrics.engines.Set(float64(engines))
	w.edge.log.Info("roster", zap.Int64("revision", revision), zap.Int("engines", engines))
	if len(unknown) > 0 {
		w.edge.log.Warn("engines of unknown kinds are left out", zap.Strings("engines", unknown))
	}
}

func sessionHash(session string) string {
	if session == "" {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(session))
}
