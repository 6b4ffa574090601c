package planapi

const (
	maxHotPrefixes = 64
	maxEdgeName    = 256 // length of an edge's name in bytes
	maxRoutes      = 1000
)

// EngineReport is an engine's load report. Counts are cumulative within an incarnation.
type EngineReport struct {
	Engine        string  `json:"-"` // address of the engine, set by the poller
	Role          string  `json:"role"`
	Epoch         int64   `json:"epoch"`
	Term          int64   `json:"term"` // latest planner term that the engine has followed
	Incarnation   int64   `json:"life"` // number that differs after each start of the engine
	UptimeMillis  int64   `json:"up_for_ms"`
	Changing      bool    `json:"changing"` // the engine loads its next role and serves no requests
	Draining      bool    `json:"draining"`
	PrefillTokens float64 `json:"read_tokens"`    // prompt tokens prefilled, without cached tokens
	DecodeTokens  float64 `json:"written_tokens"` // answer tokens decoded
	BusySeconds   float64 `json:"busy_seconds"`   // time in which slots were busy; one second with all slots busy counts as 1
	OpenRequests  int     `json:"open"`           // requests in prefill, in decode or waiting
	Reservations  int     `json:"held"`           // reservations that wait for their decode requests
	CachedTokens  float64 `json:"kept_tokens"`    // tokens in cached prefixes
	// HotPrefixes holds the token counts of the engine's most used prefixes, by prefix hash.
	HotPrefixes map[string]float64 `json:"hot,omitempty"`
}

// RouteCount holds the counts of an edge for one model route since the start of the edge.
type RouteCount struct {
	Route               string  `json:"route"`
	Arrived             float64 `json:"arrived"`
	PromptTokens        float64 `json:"prompt_tokens"` // prompt tokens of all arrived requests
	Started             float64 `json:"began"`         // requests with a first token
	StartedPromptTokens float64 `json:"begun_tokens"`  // prompt tokens of the started requests
	Completed           float64 `json:"ended"`         // started requests that completed
	CompletionTokens    float64 `json:"answer_tokens"` // answer tokens of the completed requests
	WithinObjective     float64 `json:"in_time"`       // first tokens within their latency objective
	Shed                float64 `json:"shed"`
}

// EdgeReport is the load report of one edge.
type EdgeReport struct {
	Edge        string       `json:"edge"`
	Incarnation int64        `json:"life"` // number that differs after each start of the edge
	Term        int64        `json:"term"`
	PlanNumber  int64        `json:"plan"` // number of the plan that the edge follows
	Routes      []RouteCount `json:"routes"`
}

// ParseEngineReport parses and checks an engine's report. A single count out of range makes the whole report invalid.
func ParseEngineReport(data []byte) (EngineReport, error) {
	return parse(MessageEngineReport, data, MaxReportBytes, func(r EngineReport) error {
		if !isRole(r.Role) || r.Epoch < 0 || r.Term < 0 || r.UptimeMillis < 0 || r.OpenRequests < 0 || r.Reservations < 0 ||
			!allInRange(r.PrefillTokens, r.DecodeTokens, r.BusySeconds, r.CachedTokens) || len(r.HotPrefixes) > maxHotPrefixes {
			return newInvalidError("role %q, epoch %d, or a count is out of range", r.Role, r.Epoch)
		}
		return nil
	})
}

// ParseEdgeReport parses and checks an edge's report. A single count out of range makes the whole report invalid.
func ParseEdgeReport(data []byte) (EdgeReport, error) {
	return parse(MessageEdgeReport, data, MaxReportBytes, func(r EdgeReport) error {
		if r.Edge == "" || len(r.Edge) > maxEdgeName || len(r.Routes) > maxRoutes {
			return newInvalidError("edge must have 1 to %d bytes, and routes at most %d entries", maxEdgeName, maxRoutes)
		}
		for i, count := range r.Routes {
			if count.Route == "" || !allInRange(count.Arrived, count.PromptTokens, count.Started, count.StartedPromptTokens,
				count.Completed, count.CompletionTokens, count.WithinObjective, count.Shed) {
				return newInvalidError("routes[%d]: route is missing, or a count is out of range", i)
			}
		}
		return nil
	})
}
