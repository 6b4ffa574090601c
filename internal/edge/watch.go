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
	o.edge.log.Error("module failed", zap.Any("panic", p), zap.String("input", fmt.Sprintf("%T", in)),
		zap.ByteString("stack", stack))
}

func (o observer) RequestFinished(f router.RequestSummary) {
	o.edge.metrics.finalResponses.WithLabelValues(f.Route, f.Outcome).Inc()
	c := o.edge.routeCount(f.Route)
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
	o.edge.log.Info(f.Outcome, fields...)
}

func (o observer) RequestShed(s router.ShedRequest) {
	o.edge.metrics.finalResponses.WithLabelValues(s.Route, "shed").Inc()
	c := o.edge.routeCount(s.Route)
	c.Arrived, c.PromptTokens, c.Shed = c.Arrived+1, c.PromptTokens+float64(s.PromptTokens), c.Shed+1
	o.edge.log.Info("refused", zap.String("inference", s.Request), zap.String("route", s.Route), zap.String("why", s.Reason))
}

// stageName names what an attempt asks for, in the field's words.
func stageName(decode bool) string {
	if decode {
		return "decode"
	}
	return "prefill"
}

func (o observer) AttemptEnded(a router.AttemptSummary) {
	o.edge.metrics.attempts.WithLabelValues(stageName(a.Decode), a.Verdict).Inc()
	if a.Reason == "" {
		return // it ended well
	}
	o.edge.log.Info("attempt ended", zap.String("inference", a.Request), zap.Int("attempt", a.Index), zap.String("engine", a.Engine),
		zap.String("stage", stageName(a.Decode)), zap.String("verdict", a.Verdict), zap.String("why", a.Reason),
		zap.Duration("connecting", a.Connecting), zap.Duration("took", a.Duration))
}

func (o observer) AttemptBlocked(request string, why invariant.Reason) {
	o.edge.metrics.blockedAttempts.WithLabelValues(string(why)).Inc()
	o.edge.log.Info("attempt held back", zap.String("inference", request), zap.String("why", string(why)))
}

func (o observer) InvariantViolated(v invariant.Violation) {
	o.edge.metrics.violations.WithLabelValues(string(v.Rule)).Inc()
	o.edge.log.Error("rule broken", zap.String("rule", string(v.Rule)), zap.String("inference", v.Request), zap.String("how", v.Detail))
}

func (o observer) ClientClosed(client int64, why router.CloseReason) {
	o.edge.metrics.clientCloses.WithLabelValues(string(why)).Inc()
	o.edge.log.Debug("client's connection closed", zap.Int64("client", client), zap.String("why", string(why)))
}

func (o observer) ConnectionChanged(engine string, what router.ConnectionEvent) {
	o.edge.metrics.engineConnections.WithLabelValues(string(what)).Inc()
	o.edge.log.Debug("connection to an engine", zap.String("engine", engine), zap.String("what", string(what)))
}

func (o observer) FirstToken(route string, after time.Duration, prompt int) {
	o.edge.metrics.firstToken.WithLabelValues(route).Observe(after.Seconds())
	c := o.edge.routeCount(route)
	c.Started++
	c.StartedPromptTokens += float64(prompt)
	if t := o.edge.deployment.Routes[o.edge.deployment.Route(route)]; after <= t.FirstTokenObjective+time.Duration(float64(t.ObjectivePer1000Tokens)*float64(prompt)/1000) {
		c.WithinObjective++
	}
}

func (o observer) Rejected(why string) { o.edge.metrics.rejected.WithLabelValues(why).Inc() }

func (o observer) ReservationChanged(how router.ReservationEvent) {
	o.edge.metrics.releases.WithLabelValues(string(how)).Inc()
}

func (o observer) EndpointsUpdated(revision int64, engines int, unknown []string) {
	o.edge.metrics.engines.Set(float64(engines))
	o.edge.log.Info("roster", zap.Int64("revision", revision), zap.Int("engines", engines))
	if len(unknown) > 0 {
		o.edge.log.Warn("engines of unknown kinds are left out", zap.Strings("engines", unknown))
	}
}

func sessionHash(session string) string {
	if session == "" {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(session))
}
