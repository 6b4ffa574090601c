package routing

import (
	"fmt"
	"slices"
	"time"
)

// Effect says what a second run of a request may do. The zero value is the strictest.
type Effect uint8

// The effects of a second run.
const (
	NonRetriable Effect = iota // a request that may have run must not be sent again
	Deduped                    // engines of one dedup group drop the second run within the dedup window
	Retriable                  // a second run does no harm
)

// effectNames are the words of the settings, by effect.
var effectNames = [...]string{NonRetriable: "non-retriable", Deduped: "deduped", Retriable: "retriable"}

// String is the word of the settings.
func (e Effect) String() string { return effectNames[e] }

// ParseEffect reads an effect by its word in the settings. The error, if any, is an UnknownWordError.
func ParseEffect(word string) (Effect, error) {
	return parseWord[Effect]("effect", word, effectNames[:])
}

// DedupGroup is the set of engines that share the memory by which they drop a second run. The zero value is
// an engine alone.
type DedupGroup uint8

// The dedup groups.
const (
	DedupNone DedupGroup = iota
	DedupCell
	DedupZone
	DedupAll
)

// dedupGroupNames are the words of the settings, by dedup group.
var dedupGroupNames = [...]string{DedupNone: "", DedupCell: "cell", DedupZone: "zone", DedupAll: "all"}

// String is the word of the settings.
func (g DedupGroup) String() string { return dedupGroupNames[g] }

// ParseDedupGroup reads a dedup group by its word in the settings. The error, if any, is an UnknownWordError.
func ParseDedupGroup(word string) (DedupGroup, error) {
	return parseWord[DedupGroup]("dedup group", word, dedupGroupNames[:])
}

// Role is the stage of a request that a kind of engine runs. The zero value is both.
type Role uint8

// The roles of engines.
const (
	Mixed Role = iota
	PrefillOnly
	DecodeOnly
)

// roleNames are the words of the settings, by role.
var roleNames = [...]string{Mixed: "both", PrefillOnly: "read", DecodeOnly: "write"}

// String is the word of the settings.
func (r Role) String() string { return roleNames[r] }

// ParseRole reads a role by its word in the settings. The error, if any, is an UnknownWordError.
func ParseRole(word string) (Role, error) { return parseWord[Role]("role", word, roleNames[:]) }

// UnknownWordError is a word of the settings that is none of those that are allowed.
type UnknownWordError struct {
	Setting, Word string
	Allowed       []string
}

// Error names the setting, the word and what is allowed.
func (e *UnknownWordError) Error() string {
	return fmt.Sprintf("%s %q is none of %q", e.Setting, e.Word, e.Allowed)
}

// parseWord is the index of a word among those that are allowed; 0 if it is none of them.
func parseWord[T ~uint8](setting, word string, allowed []string) (T, error) {
	i := slices.Index(allowed, word)
	if i < 0 {
		return 0, &UnknownWordError{setting, word, allowed}
	}
	return T(i), nil
}

// Route is what the decisions need to know of a model route.
type Route struct {
	Effect                 Effect
	DedupGroup             DedupGroup
	DedupWindow            time.Duration
	PriorityWeight         float64       // priority weight
	FirstTokenObjective    time.Duration // latency objective for the first token
	ObjectivePer1000Tokens time.Duration // added to it for each 1,000 prompt tokens
}

// EngineKind is what the decisions need to know of a kind of engine.
type EngineKind struct {
	Role         Role
	MemoryTokens float64 // 0 if unknown
}

// SlowStart limits what an engine that has just started is sent: in any window Share of Multiple times of
// what an engine of its role did on average.
type SlowStart struct {
	Duration        time.Duration // how long an engine counts as warming up
	Share, Multiple float64
	Window          time.Duration
}

// Config is the part of the deployment's settings that decisions depend on. It is fixed while a Policy lives.
type Config struct {
	Node, Nodes int // number of this node, and how many there are
	Zone        int
	Tick        time.Duration // how late timers and answers may be

	MaxAttempts       int // per request
	Cancel            bool
	HealthChecks      bool
	Gossip            bool    // whether nodes may send each other messages
	GossipPrice       float64 // of one message
	SuggestRetryAfter bool
	MaxRetryAfter     time.Duration
	WatchEndpoints    bool // whether endpoint lists come only after they were asked for

	// ReservationLimit is how long engines keep a reservation, and DecodeResponseTimeout how long a decode
	// engine may stay without a sign of life.
	ReservationLimit      time.Duration
	DecodeResponseTimeout time.Duration

	SlowStart SlowStart
	Routes    []Route
	Kinds     []EngineKind
}

// defaultReservationLimit is what the response timeout of decode engines goes by where no limit is known.
const defaultReservationLimit = time.Second

// DefaultConfig is the configuration of a deployment whose settings name nothing.
func DefaultConfig() Config {
	return Config{Nodes: 1, Tick: time.Millisecond, MaxAttempts: 1, SlowStart: SlowStart{Window: time.Second},
		DecodeResponseTimeout: responseTimeoutOf(defaultReservationLimit)}
}

// DefaultRoute is a route whose settings name nothing.
func DefaultRoute() Route { return Route{PriorityWeight: 1, FirstTokenObjective: time.Second} }

// SetReservationLimit sets the limit and the response timeout that goes by it.
func (c *Config) SetReservationLimit(limit time.Duration) {
	c.ReservationLimit, c.DecodeResponseTimeout = limit, responseTimeoutOf(limit)
}

// responseTimeoutOf is a third of the reservation limit, so that the wait for a health check's answer and
// another attempt fit in before the limit.
func responseTimeoutOf(limit time.Duration) time.Duration { return limit / 3 }

// route is the row of a route, or the default of one that the settings do not name.
func (c *Config) route(number int) Route {
	if number < 0 || number >= len(c.Routes) {
		return DefaultRoute()
	}
	return c.Routes[number]
}

// kind is the row of a kind of engine, or the default of one that the settings do not name.
func (c *Config) kind(number int) EngineKind {
	if number < 0 || number >= len(c.Kinds) {
		return EngineKind{}
	}
	return c.Kinds[number]
}

// spans is whether two engines are of one dedup group; an engine that is not known any more is in none but
// that of all.
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
