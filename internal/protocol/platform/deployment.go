package platform

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/config/params"
	"sandcourse/internal/config/script"
	"sandcourse/internal/invariant"
)

// Times that the platform's own times leave to a node.
const (
	// reuseDelay is how long a connection that carried a stream rests, as a second response may come some
	// milliseconds behind the stream. Twenty is a round trip on a loaded machine.
	reuseDelay = 20 * time.Millisecond
	// firstRequestTimeout is half a second under the three that the platform waits for a response to an incomplete request.
	firstRequestTimeout = 2500 * time.Millisecond
	// stallTimeout is a second under the five after which a client without news has lost its stream.
	stallTimeout = 4 * time.Second
	// acceptAfterSignal covers the 0.4 s for which connections still come after the signal to stop.
	acceptAfterSignal = 600 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of shed requests.
	maxRetryAfter = 500 * time.Millisecond
)

// The kill of a node comes killMargin after the longest timeout of a route, or after maxKillWait if that is shorter. What
// happens before it is timed backward from it.
const (
	maxKillWait        = 3 * time.Second
	killMargin         = 700 * time.Millisecond
	stayBeforeKill     = 1500 * time.Millisecond
	handoverBeforeKill = 400 * time.Millisecond
)

// Sizes of a node.
const (
	defaultSockets = 1024
	// reservedSockets are descriptors for neither clients nor engines: pollers, listeners, discovery, peers, logs.
	reservedSockets = 32
	maxBodyBytes    = 256 << 10
	maxHeadBytes    = 16 << 10
)

// Deployment converts the configuration into that of a router. The error, if any, is of type script.Faults.
func (c *NodeConfig) Deployment(file string) (*config.Deployment, error) {
	d := config.Defaults()
	s := params.Flatten(c.Settings)
	decisions := s.RoutingConfig()
	d.File, d.NodeName, d.ChatAddress, d.PlatformRouting = file, c.Name, c.ListenAddress, &decisions
	d.NodeNumber, d.NodeCount = int(s.Number("me", 0)), max(1, int(s.Number("nodes", 1)))
	for i := range s.Count("zones") {
		d.Zones = append(d.Zones, s.Text(fmt.Sprintf("zones.%d", i)))
	}
	d.Kinds = append(d.Kinds, engineKinds(s)...)
	d.Routes = append(d.Routes, routes(s)...)
	d.Rules.DrainGrace = s.Duration("rules.drain_grace", d.Rules.DrainGrace)
	d.Rules.ReservationLimit = s.Duration("engine_facts.pin", d.Rules.ReservationLimit)
	d.MaxAttempts, d.TickInterval = int(s.Number("limits.sends", float64(d.MaxAttempts))), s.Duration("tick", d.TickInterval)
	d.HealthChecks = s.Flag("limits.probes")
	applyConnectionTimes(d, s)
	applyResourceLimits(d, c.Limits.Sockets, c.MemoryBytes())
	applyRequestTimes(d, s)
	applyShutdownTimes(d, s)
	if faults := deploymentFaults(d, s, file); len(faults) > 0 {
		return nil, faults
	}
	return d, nil
}

func engineKinds(s params.Settings) (kinds []config.EngineKind) {
	for i := range s.Count("kinds") {
		kinds = append(kinds, config.EngineKind{
			Name:         s.Text(fmt.Sprintf("kinds.%d", i)),
			Role:         config.Role(s.Text(fmt.Sprintf("engine_facts.role_of_kind.%d", i))),
			MemoryTokens: s.Number(fmt.Sprintf("engine_facts.memory_of_kind.%d", i), 0),
		})
	}
	return kinds
}

func routes(s params.Settings) (routes []config.Route) {
	for i := range s.Count("routes") {
		name := func(key string) string { return fmt.Sprintf("routes.%d.%s", i, key) }
		routes = append(routes, config.Route{
			Name:                   s.Text(name("name")),
			Effect:                 config.Effect(s.Text(name("effect"))),
			PriorityWeight:         s.Number(name("value"), 1),
			FirstTokenObjective:    s.Duration(name("first_token_target"), time.Second),
			ObjectivePer1000Tokens: s.Duration(fmt.Sprintf("engine_facts.target_per_1000_tokens.%d", i), 0),
			// A client's own timeout is valid even if it is longer than the route's.
			Timeout:     maxTimeout,
			DedupWindow: s.Duration(name("dedup_window"), 0),
			DedupGroup:  config.DedupGroup(s.Text(name("dedup_group"))),
		})
	}
	return routes
}

// applyConnectionTimes sets the times of connections to engines. An engine closes an idle one at the latest after the time
// in the settings, so nothing is written to one that has been idle for nearly as long.
func applyConnectionTimes(d *config.Deployment, s params.Settings) {
	d.Connections.DialTimeout = s.Duration("limits.dial_timeout", d.Connections.DialTimeout)
	idle := s.Duration("limits.conn_idle", d.Connections.IdleTimeout)
	d.Connections.IdleTimeout = max(0, min(idle*2/3, idle-invariant.MaxDelay))
	d.Connections.ReuseDelay = reuseDelay
	d.Connections.NonIdempotentIdleTimeout = min(d.Connections.NonIdempotentIdleTimeout, d.Connections.IdleTimeout)
}

// applyResourceLimits fits what the node holds into its limits.
func applyResourceLimits(d *config.Deployment, sockets, memoryBytes int) {
	sockets = cmp.Or(sockets, defaultSockets) - reservedSockets
	// A request has a client's connection and at most one to an engine, and idle connections are closed at need.
	d.Limits.Connections, d.Connections.Total = sockets*46/100, sockets/2
	d.Limits.OpenRequests = d.Limits.Connections
	d.Limits.BufferedBytes, d.QueueBytes = memoryBytes/6, memoryBytes/16
	d.MaxBodyBytes, d.MaxHeadBytes = maxBodyBytes, maxHeadBytes
}

// applyRequestTimes sets the times of requests and reservations.
func applyRequestTimes(d *config.Deployment, s params.Settings) {
	d.Limits.FirstRequestTimeout = firstRequestTimeout
	d.Limits.HeaderTimeout, d.Limits.BodyTimeout = d.Limits.FirstRequestTimeout, d.Limits.FirstRequestTimeout
	d.Limits.IdleTimeout, d.Limits.DrainTimeout = time.Minute, time.Second
	d.StallTimeout = stallTimeout
	d.MaxRetryAfter = 0
	if s.Flag("limits.retry_after") {
		d.MaxRetryAfter = min(maxRetryAfter, s.Duration("limits.max_retry_after", 0))
	}
	// For as long as long prefills in a queue take.
	d.ReleaseRepeatTime = 3 * d.Rules.ReservationLimit
}

// applyShutdownTimes sets the times of a graceful shutdown. Streams that are cut short go on at another node only where
// clients ask for the rest.
func applyShutdownTimes(d *config.Deployment, s params.Settings) {
	d.ShutdownAcceptTime = acceptAfterSignal
	d.ShutdownTimeout = time.Minute
	if !s.Flag("engine_facts.resume") {
		return
	}
	longest := time.Duration(0)
	for i := range d.Routes {
		longest = max(longest, s.Duration(fmt.Sprintf("routes.%d.route_timeout", i), 0))
	}
	kill := min(longest, maxKillWait) + killMargin
	d.ShutdownStayTime, d.ShutdownHandoverTime = max(d.ShutdownAcceptTime, kill-stayBeforeKill), max(d.ShutdownAcceptTime, kill-handoverBeforeKill)
}

func deploymentFaults(d *config.Deployment, s params.Settings, file string) (faults script.Faults) {
	refuse := func(format string, args ...any) {
		faults = append(faults, &script.Fault{File: file, Err: fmt.Errorf("settings: %w", fmt.Errorf(format, args...))})
	}
	// A limit that is no number must not count as absent, for which there is a default.
	if pin, given := s["engine_facts.pin"]; given {
		if _, ok := pin.(float64); !ok {
			refuse("family_info: pin_limit %v is no number", pin)
		}
	}
	for i, route := range d.Routes {
		if !slices.Contains(config.Effects, route.Effect) {
			refuse("route %d: effect %q is none of %q", i, route.Effect, config.Effects)
		}
	}
	d.Check(refuse)
	return faults
}
