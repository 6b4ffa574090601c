package routing

import (
	"fmt"
	"slices"
	"time"
)

// Effect states what harm a second run of a request may do. The zero value is the strictest.
type Effect uint8

// The effects of a second run.
const (
	NonRetriable Effect = iota // a request that may have run must not be sent again
	Deduped                    // engines of one dedup group drop the second run within the dedup window
	Retriable                  // a second run does no harm
)

// effectNames holds the names of the effects in the settings.
var effectNames = [...]string{NonRetriable: "non-retriable", Deduped: "deduped", Retriable: "retriable"}

// String returns the effect's name in the settings.
func (e Effect) String() string { return effectNames[e] }

// ParseEffect returns the effect with the given name in the settings. An unknown name gives an UnknownValueError.
func ParseEffect(name string) (Effect, error) {
	return parseValue[Effect]("effect", name, effectNames[:])
}

// DedupGroup is the set of engines that share the deduplication memory by which they drop a second run. The zero value
// is a single engine.
type DedupGroup uint8

// The dedup groups.
const (
	DedupNone DedupGroup = iota
	DedupCell
	DedupZone
	DedupAll
)

// dedupGroupNames holds the names of the dedup groups in the settings.
var dedupGroupNames = [...]string{DedupNone: "", DedupCell: "cell", DedupZone: "zone", DedupAll: "all"}

// String returns the group's name in the settings.
func (g DedupGroup) String() string { return dedupGroupNames[g] }

// ParseDedupGroup returns the dedup group with the given name in the settings. An unknown name gives an UnknownValueError.
func ParseDedupGroup(name string) (DedupGroup, error) {
	return parseValue[DedupGroup]("dedup group", name, dedupGroupNames[:])
}

// Role states which stages of a request a kind of engine runs. The zero value is both stages.
type Role uint8

// The roles of engines.
const (
	Mixed Role = iota
	PrefillOnly
	DecodeOnly
)

// roleNames holds the names of the roles in the settings.
var roleNames = [...]string{Mixed: "both", PrefillOnly: "read", DecodeOnly: "write"}

// String returns the role's name in the settings.
func (r Role) String() string { return roleNames[r] }

// ParseRole returns the role with the given name in the settings. An unknown name gives an UnknownValueError.
func ParseRole(name string) (Role, error) { return parseValue[Role]("role", name, roleNames[:]) }

// UnknownValueError reports a value of a setting that is not among the allowed ones.
type UnknownValueError struct {
	Setting, Value string
	Allowed        []string
}

// Error names the setting, its value and the allowed values.
func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("%s %q is not one of %q", e.Setting, e.Value, e.Allowed)
}

// parseValue returns the index of a value among the allowed ones, or 0 and an error if the value is not allowed.
func parseValue[T ~uint8](setting, value string, allowed []string) (T, error) {
	i := slices.Index(allowed, value)
	if i < 0 {
		return 0, &UnknownValueError{setting, value, allowed}
	}
	return T(i), nil
}

// Route holds the settings of a model route that decisions depend on.
type Route struct {
	Effect                 Effect
	DedupGroup             DedupGroup
	DedupWindow            time.Duration
	PriorityWeight         float64
	FirstTokenObjective    time.Duration // latency objective for the first token
	ObjectivePer1000Tokens time.Duration // the increase of the objective for each 1,000 prompt tokens
}

// EngineKind holds the properties of a kind of engine that decisions depend on.
type EngineKind struct {
	Role         Role
	MemoryTokens float64 // size of the engine's memory; 0 if unknown
}

// SlowStart limits the attempts at an engine that has just started: in any Window, to Share times Multiple times what an
// engine of its role completes on average.
type SlowStart struct {
	Duration        time.Duration // time for which an engine counts as warming up
	Share, Multiple float64
	Window          time.Duration
}

// Config holds the settings of the deployment that decisions depend on. It must not change while a Policy uses it.
type Config struct {
	Node, Nodes int // index of this node, and the number of nodes
	Zone        int
	Tick        time.Duration // longest delay of timers and answers

	MaxAttempts       int     // limit on the attempts of one request
	CanCancel         bool    // attempts can be canceled
	HealthChecks      bool    // health checks may be sent
	Gossip            bool    // nodes may send each other messages
	GossipPrice       float64 // price of one gossip message
	SuggestRetryAfter bool    // Shed actions may suggest a delay before a retry
	MaxRetryAfter     time.Duration
	WatchEndpoints    bool // endpoint lists arrive only after a WatchEndpoints action

	// ReservationLimit is how long engines keep a reservation, and DecodeResponseTimeout is how long a decode engine may
	// stay silent before it is checked.
	ReservationLimit      time.Duration
	DecodeResponseTimeout time.Duration

	SlowStart SlowStart
	Routes    []Route
	Kinds     []EngineKind
}

// defaultReservationLimit is the limit from which the response timeout of decode engines is derived if no limit is set.
const defaultReservationLimit = time.Second

// DefaultConfig returns the configuration of a deployment with empty settings.
func DefaultConfig() Config {
	return Config{Nodes: 1, Tick: time.Millisecond, MaxAttempts: 1, SlowStart: SlowStart{Window: time.Second},
		DecodeResponseTimeout: responseTimeoutOf(defaultReservationLimit)}
}

// DefaultRoute returns the configuration of a route with empty settings.
func DefaultRoute() Route { return Route{PriorityWeight: 1, FirstTokenObjective: time.Second} }

// SetReservationLimit sets the reservation limit and the response timeout that is derived from it.
func (c *Config) SetReservationLimit(limit time.Duration) {
	c.ReservationLimit, c.DecodeResponseTimeout = limit, responseTimeoutOf(limit)
}

// responseTimeoutOf returns a third of the reservation limit, so that a health check and another attempt fit in before
// the limit.
func responseTimeoutOf(limit time.Duration) time.Duration { return limit / 3 }

// route returns the configuration of a route, or DefaultRoute if the settings do not list the route.
func (c *Config) route(number int) Route {
	if number < 0 || number >= len(c.Routes) {
		return DefaultRoute()
	}
	return c.Routes[number]
}

// kind returns the properties of a kind of engine, or the zero value if the settings do not list the kind.
func (c *Config) kind(number int) EngineKind {
	if number < 0 || number >= len(c.Kinds) {
		return EngineKind{}
	}
	return c.Kinds[number]
}

// spans reports whether two engines are in the same dedup group. If the first engine is no longer known, first is nil and
// only DedupAll spans both.
func (g DedupGroup) spans(first, second *engine) bool {
	switch {
	case g == DedupAll:
		return true
	case first == nil:
		return false
	case g == DedupZone:
		return first.Zone == second.Zone
	case g == DedupCell:
		return first.Cell == second.Cell
	}
	return false
}
