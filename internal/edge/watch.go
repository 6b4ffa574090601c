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

// watch writes what the core tells to the log and to the metrics.
type watch struct{ n *Node }

func (w watch) AroundStep(in routing.Event, step func()) {
	begun := time.Now()
	defer func() { w.n.metrics.module.Add(time.Since(begun).Seconds()) }()
	if w.n.fail != nil {
		w.n.fail(in)
	}
	step()
}

func (w watch) PolicyPanicked(p any, in routing.Event, stack []byte) {
	w.n.metrics.panics.Inc()
	w.n.log.Error("module failed", zap.Any("panic", p), zap.String("input", fmt.Sprintf("%T", in)),
		zap.ByteString("stack", stack))
}

func (w watch) RequestFinished(f router.RequestSummary) {
	w.n.metrics.finals.WithLabelValues(f.Route, f.Outcome).Inc()
	c := w.n.count(f.Route)
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
	w.n.log.Info(f.Outcome, fields...)
}

func (w watch) RequestShed(s router.ShedRequest) {
	w.n.metrics.finals.WithLabelValues(s.Route, "shed").Inc()
	c := w.n.count(s.Route)
	c.Arrived, c.PromptTokens, c.Shed = c.Arrived+1, c.PromptTokens+float64(s.PromptTokens), c.Shed+1
	w.n.log.Info("refused", zap.String("inference", s.Request), zap.String("route", s.Route), zap.String("why", s.Reason))
}

// stage names what an attempt asks for, in the field's words.
func stage(decode bool) string {
	if decode {
		return "decode"
	}
	return "prefill"
}

func (w watch) AttemptEnded(a router.AttemptSummary) {
	w.n.metrics.attempts.WithLabelValues(stage(a.Decode), a.Verdict).Inc()
	if a.Reason == "" {
		return // it ended well
	}
	w.n.log.Info("attempt ended", zap.String("inference", a.Request), zap.Int("attempt", a.Index), zap.String("engine", a.Engine),
		zap.String("stage", stage(a.Decode)), zap.String("verdict", a.Verdict), zap.String("why", a.Reason),
		zap.Duration("connecting", a.Connecting), zap.Duration("took", a.Duration))
}

func (w watch) AttemptBlocked(request string, why invariant.Reason) {
	w.n.metrics.barred.WithLabelValues(string(why)).Inc()
	w.n.log.Info("attempt held back", zap.String("inference", request), zap.String("why", string(why)))
}

func (w watch) InvariantViolated(v invariant.Violation) {
	w.n.metrics.violations.WithLabelValues(string(v.Rule)).Inc()
	w.n.log.Error("rule broken", zap.String("rule", string(v.Rule)), zap.String("inference", v.Request), zap.String("how", v.Detail))
}

func (w watch) ClientClosed(client int64, why router.CloseReason) {
	w.n.metrics.closes.WithLabelValues(string(why)).Inc()
	w.n.log.Debug("client's connection closed", zap.Int64("client", client), zap.String("why", string(why)))
}

func (w watch) ConnectionChanged(engine string, what router.ConnectionEvent) {
	w.n.metrics.connections.WithLabelValues(string(what)).Inc()
	w.n.log.Debug("connection to an engine", zap.String("engine", engine), zap.String("what", string(what)))
}

func (w watch) FirstToken(route string, after time.Duration, prompt int) {
	w.n.metrics.firsts.WithLabelValues(route).Observe(after.Seconds())
	c := w.n.count(route)
	c.Started++
	c.StartedPromptTokens += float64(prompt)
	if t := w.n.d.Routes[w.n.d.Route(route)]; after <= t.FirstTokenObjective+time.Duration(float64(t.ObjectivePer1000Tokens)*float64(prompt)/1000) {
		c.WithinObjective++
	}
}

func (w watch) Rejected(why string) { w.n.metrics.refused.WithLabelValues(why).Inc() }

func (w watch) ReservationChanged(how router.ReservationEvent) {
	w.n.metrics.releases.WithLabelValues(string(how)).Inc()
}

func (w watch) EndpointsUpdated(revision int64, engines int, unknown []string) {
	w.n.metrics.engines.Set(float64(engines))
	w.n.log.Info("roster", zap.Int64("revision", revision), zap.Int("engines", engines))
	if len(unknown) > 0 {
		w.n.log.Warn("engines of unknown kinds are left out", zap.Strings("engines", unknown))
	}
}

func sessionHash(session string) string {
	if session == "" {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(session))
}
