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

// Time limits of a node, derived from the time limits of the platform.
const (
	// reuseDelay is how long a connection that carried a stream is not reused, as a second response may arrive some
	// milliseconds after the stream. A round trip on a loaded machine takes 20 ms.
	reuseDelay = 20 * time.Millisecond
	// firstRequestTimeout is 0.5 s less than the 3 s that the platform waits for a response to an incomplete request.
	firstRequestTimeout = 2500 * time.Millisecond
	// resumableStallTimeout is how long a stream may be silent if its client asks another node for the rest.
	resumableStallTimeout = 4 * time.Second
	// clientEventTimeout is how long a client may be left waiting after an event of its stream.
	clientEventTimeout = 5 * time.Second
	// limitExtension is the time by which the platform extends each time limit.
	limitExtension = 50 * time.Millisecond
	// acceptAfterSignal covers the 0.4 s during which connections still arrive after the signal to stop.
	acceptAfterSignal = 600 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of shed requests.
	maxRetryAfter = 500 * time.Millisecond
)

// The platform kills a stopping node killMargin after the longest route timeout, or after maxKillWait if that is shorter.
// The steps of a graceful shutdown are scheduled backward from the kill.
const (
	maxKillWait        = 3 * time.Second
	killMargin         = 700 * time.Millisecond
	stayBeforeKill     = 1500 * time.Millisecond
	handoverBeforeKill = 400 * time.Millisecond
)

// Resources of a node.
const (
	defaultSockets = 1024
	// reservedSockets are descriptors used neither for clients nor for engines: pollers, listeners, discovery, peers, logs.
	reservedSockets = 32
	maxBodyBytes    = 256 << 10
	maxHeadBytes    = 16 << 10
)

// Deployment converts the node's configuration into that of a router. The error, if any, is of type script.Faults.
func (c *NodeConfig) Deployment(file string) (*config.Deployment, error) {
	d := config.Defaults()
	s := params.Flatten(c.Settings)
	routingConfig := s.RoutingConfig()
	d.File, d.NodeName, d.ChatAddress, d.PlatformRouting = file, c.Name, c.ListenAddress, &routingConfig
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
			// A client may set a timeout that is longer than the route's.
			Timeout:     maxTimeout,
			DedupWindow: s.Duration(name("dedup_window"), 0),
			DedupGroup:  config.DedupGroup(s.Text(name("dedup_group"))),
		})
	}
	return routes
}

// applyConnectionTimes sets the time limits of connections to engines. An engine closes an idle connection at the latest after
// the time in the settings, so the node stops using a connection some time before that.
func applyConnectionTimes(d *config.Deployment, s params.Settings) {
	d.Connections.DialTimeout = s.Duration("limits.dial_timeout", d.Connections.DialTimeout)
	idleTimeout := s.Duration("limits.conn_idle", d.Connections.IdleTimeout)
	d.Connections.IdleTimeout = max(0, min(idleTimeout*2/3, idleTimeout-invariant.MaxDelay))
	d.Connections.ReuseDelay = reuseDelay
	d.Connections.NonIdempotentIdleTimeout = min(d.Connections.NonIdempotentIdleTimeout, d.Connections.IdleTimeout)
}

// applyResourceLimits divides the node's sockets and memory among connections, buffers and queues.
func applyResourceLimits(d *config.Deployment, sockets, memoryBytes int) {
	sockets = cmp.Or(sockets, defaultSockets) - reservedSockets
	// A request uses a client's connection and at most one connection to an engine; idle connections are closed when sockets
	// run short.
	d.Limits.Connections, d.Connections.Total = sockets*46/100, sockets/2
	d.Limits.OpenRequests = d.Limits.Connections
	d.Limits.BufferedBytes, d.QueueBytes, d.ResponseBytes = memoryBytes/6, memoryBytes/16, memoryBytes/16
	d.MaxBodyBytes, d.MaxHeadBytes = maxBodyBytes, maxHeadBytes
}

// applyRequestTimes sets the time limits of requests and reservations.
func applyRequestTimes(d *config.Deployment, s params.Settings) {
	d.Limits.FirstRequestTimeout = firstRequestTimeout
	d.Limits.HeaderTimeout, d.Limits.BodyTimeout = d.Limits.FirstRequestTimeout, d.Limits.FirstRequestTimeout
	d.Limits.IdleTimeout, d.Limits.DrainTimeout = time.Minute, time.Second
	d.StallTimeout = stallTimeout(s.Flag("engine_facts.resume"))
	d.MaxRetryAfter = 0
	if s.Flag("limits.retry_after") {
		d.MaxRetryAfter = min(maxRetryAfter, s.Duration("limits.max_retry_after", 0))
	}
	// Releases must be repeated for as long as queued long prefills can take.
	d.ReleaseRepeatTime = 3 * d.Rules.ReservationLimit
	d.AbandonWait = d.Rules.ReservationLimit
}

// stallTimeout returns how long a stream may be silent before it ends. A client that cannot ask for the rest loses the request
// both if its stream ends while the engine still sends events, and if it waits for too long. The node may be held up when it
// reads the last event, and again when it ends the stream.
func stallTimeout(clientsResume bool) time.Duration {
	if clientsResume {
		return resumableStallTimeout
	}
	return clientEventTimeout + limitExtension/2 - 2*invariant.MaxDelay
}

// applyShutdownTimes sets the times of a graceful shutdown. A truncated stream can continue at another node only if clients
// request the rest of it.
func applyShutdownTimes(d *config.Deployment, s params.Settings) {
	d.ShutdownAcceptTime = acceptAfterSignal
	d.ShutdownTimeout = time.Minute
	if !s.Flag("engine_facts.resume") {
		return
	}
	longestTimeout := time.Duration(0)
	for i := range d.Routes {
		longestTimeout = max(longestTimeout, s.Duration(fmt.Sprintf("routes.%d.route_timeout", i), 0))
	}
	killTime := min(longestTimeout, maxKillWait) + killMargin
	d.ShutdownStayTime, d.ShutdownHandoverTime = max(d.ShutdownAcceptTime, killTime-stayBeforeKill),
		max(d.ShutdownAcceptTime, killTime-handoverBeforeKill)
}

func deploymentFaults(d *config.Deployment, s params.Settings, file string) (faults script.Faults) {
	addFault := func(format string, args ...any) {
		faults = append(faults, &script.Fault{File: file, Err: fmt.Errorf("settings: %w", fmt.Errorf(format, args...))})
	}
	// A limit that is not a number is a fault. It must not count as absent, as an absent limit gets a default.
	if limit, given := s["engine_facts.pin"]; given {
		if _, ok := limit.(float64); !ok {
			addFault("family_info: pin_limit %v is not a number", limit)
		}
	}
	for i, route := range d.Routes {
		if !slices.Contains(config.Effects, route.Effect) {
			addFault("route %d: effect %q is not one of %q", i, route.Effect, config.Effects)
		}
	}
	d.Check(addFault)
	return faults
}
