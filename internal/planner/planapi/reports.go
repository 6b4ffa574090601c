package planapi

const (
	maxHotPrefixes = 64
	maxEdgeName    = 256 // bytes
	maxRoutes      = 1000
)

// EngineReport is an engine's load report. Counts grow while its incarnation lasts.
type EngineReport struct {
	Engine        string  `json:"-"` // known to whoever polls it
	Role          string  `json:"role"`
	Epoch         int64   `json:"epoch"`
	Term          int64   `json:"term"` // the latest of a planner that it has followed
	Incarnation   int64   `json:"life"` // differs after each start
	UptimeMillis  int64   `json:"up_for_ms"`
	Changing      bool    `json:"changing"` // it loads for its next role and serves nothing
	Draining      bool    `json:"draining"`
	PrefillTokens float64 `json:"read_tokens"`    // prompt tokens prefilled, cached ones not counted
	DecodeTokens  float64 `json:"written_tokens"` // tokens decoded
	BusySeconds   float64 `json:"busy_seconds"`   // all slots for a second is one
	OpenRequests  int     `json:"open"`           // in prefill, in decode or waiting
	Reservations  int     `json:"held"`           // that wait here for their decode
	CachedTokens  float64 `json:"kept_tokens"`    // of cached prefixes
	// HotPrefixes are the prefixes used most here, by hash, with their tokens.
	HotPrefixes map[string]float64 `json:"hot,omitempty"`
}

// RouteCount is what an edge has counted on one model route since its start.
type RouteCount struct {
	Route               string  `json:"route"`
	Arrived             float64 `json:"arrived"`
	PromptTokens        float64 `json:"prompt_tokens"` // of all requests that arrived
	Started             float64 `json:"began"`         // requests that had their first token
	StartedPromptTokens float64 `json:"begun_tokens"`  // prompt tokens of those
	Completed           float64 `json:"ended"`         // of those that started
	CompletionTokens    float64 `json:"answer_tokens"` // of those that completed
	WithinObjective     float64 `json:"in_time"`       // first tokens within their latency objective
	Shed                float64 `json:"shed"`
}

// EdgeReport is one edge's counts.
type EdgeReport struct {
	Edge        string       `json:"edge"`
	Incarnation int64        `json:"life"` // differs after each start
	Term        int64        `json:"term"`
	PlanNumber  int64        `json:"plan"` // of the plan that it follows
	Routes      []RouteCount `json:"routes"`
}

// ParseEngineReport parses and checks an engine's report. One count out of range makes all of it invalid.
func ParseEngineReport(data []byte) (EngineReport, error) {
	return parse(MessageEngineReport, data, MaxReportBytes, func(r EngineReport) error {
		if !isRole(r.Role) || r.Epoch < 0 || r.Term < 0 || r.UptimeMillis < 0 || r.OpenRequests < 0 || r.Reservations < 0 ||
			!inRange(r.PrefillTokens, r.DecodeTokens, r.BusySeconds, r.CachedTokens) || len(r.HotPrefixes) > maxHotPrefixes {
			return invalid("role %q, epoch %d, or a count is out of range", r.Role, r.Epoch)
		}
		return nil
	})
}

// ParseEdgeReport parses and checks an edge's report.
func ParseEdgeReport(data []byte) (EdgeReport, error) {
	return parse(MessageEdgeReport, data, MaxReportBytes, func(r EdgeReport) error {
		if r.Edge == "" || len(r.Edge) > maxEdgeName || len(r.Routes) > maxRoutes {
			return invalid("it needs a name of 1 to %d bytes and at most %d routes", maxEdgeName, maxRoutes)
		}
		for i, count := range r.Routes {
			if count.Route == "" || !inRange(count.Arrived, count.PromptTokens, count.Started, count.StartedPromptTokens,
				count.Completed, count.CompletionTokens, count.WithinObjective, count.Shed) {
				return invalid("routes[%d]: no name, or a count out of range", i)
			}
		}
		return nil
	})
}
