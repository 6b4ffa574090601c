package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/config/params"
	"sandcourse/internal/config/script"
	"sandcourse/internal/invariant"
)

// NodeConfig is what the platform tells a node at its start, and again when it asks it to read anew. Keys match in any case;
// the tags have the spelling that refusals print.
type NodeConfig struct {
	Name             string `json:"Name"`
	ListenAddress    string `json:"Listen"`
	DiscoveryAddress string `json:"Discovery"`
	Seed             string `json:"Seed"`
	Limits           struct {
		Cores    float64 `json:"Cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"Sockets"`
	} `json:"Limits"`
	PeerListenAddress    string          `json:"peer_listen"`
	Peers                []string        `json:"Peers"`
	PeerBroadcastAddress string          `json:"peers_all"`
	CachedEndpoints      json.RawMessage `json:"Known"`
	Settings             map[string]any  `json:"Settings"`
}

// MaxConfigBytes is the most bytes that are read of a configuration.
const MaxConfigBytes = 16 << 20

// ParseNodeConfig reads a configuration and checks it whole. The error, if any, is of type script.Faults.
func ParseNodeConfig(file string, data []byte) (*NodeConfig, error) {
	var c NodeConfig
	var faults script.Faults
	refuse := func(format string, args ...any) {
		faults = append(faults, &script.Fault{File: file, Err: fmt.Errorf(format, args...)})
	}
	if err := json.Unmarshal(data, &c); err != nil {
		refuse("it is no JSON object of the known form: %v", err)
		return nil, faults
	}
	checkAddress := func(name, text string, required bool) {
		if address, err := netip.ParseAddrPort(text); (err != nil || address.Port() == 0) && (required || text != "") {
			refuse("%s: %q is not address:port", name, text)
		}
	}
	checkAddress("listen", c.ListenAddress, true)
	checkAddress("discovery", c.DiscoveryAddress, true)
	checkAddress("peer_listen", c.PeerListenAddress, false)
	checkAddress("peers_all", c.PeerBroadcastAddress, false)
	for i, peer := range c.Peers {
		checkAddress(fmt.Sprintf("peers[%d]", i), peer, true)
	}
	if c.Settings == nil {
		refuse("settings: they are missing; an object is needed")
	}
	if c.Limits.Sockets < 64 && c.Limits.Sockets != 0 {
		refuse("limits.sockets: %d is under 64, which a node needs", c.Limits.Sockets)
	}
	if c.Limits.MemoryMB < 0 || c.Limits.Cores < 0 {
		refuse("limits: memory_mb and cores must not be negative")
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return &c, nil
}

// SeedValue is the seed as a number; what is no hexadecimal one counts by its text's length.
func (c *NodeConfig) SeedValue() uint64 {
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return uint64(len(c.Seed))
	}
	return n
}

// LoadReportFields are the fields of load reports; none where the deployment has no reports.
func (c *NodeConfig) LoadReportFields() (fields []string) {
	settings := params.Flatten(c.Settings)
	if mode, _ := settings["report.how"].(string); mode == "" || mode == "off" {
		return nil
	}
	for i := range listLength(settings, "report.fields") {
		if name, ok := settings[fmt.Sprintf("report.fields.%d", i)].(string); ok {
			fields = append(fields, name)
		}
	}
	return fields
}

func listLength(settings map[string]any, name string) int {
	n, _ := settings[name+".count"].(float64)
	return int(n)
}

// MemoryBytes is how many bytes the node may take; 192 MB where it is not told.
func (c *NodeConfig) MemoryBytes() int {
	if c.Limits.MemoryMB == 0 {
		return 192 << 20
	}
	return int(c.Limits.MemoryMB * (1 << 20))
}

// reservedSockets are descriptors that are neither a client's nor a line: pollers, listeners, discovery, peers, logs.
const reservedSockets = 32

// Deployment is what the configuration says, in the program's own terms. The error, if any, is of type
// script.Faults.
func (c *NodeConfig) Deployment(file string) (*config.Deployment, error) {
	d := config.Defaults()
	settings := params.Flatten(c.Settings)
	decisions := settings.RoutingConfig()
	d.File, d.NodeName, d.ChatAddress, d.PlatformRouting = file, c.Name, c.ListenAddress, &decisions
	number := func(name string, fallback float64) float64 {
		if v, ok := settings[name].(float64); ok {
			return v
		}
		return fallback
	}
	duration := func(name string, fallback time.Duration) time.Duration {
		return time.Duration(number(name, float64(fallback)))
	}
	text := func(format string, args ...any) string {
		v, _ := settings[fmt.Sprintf(format, args...)].(string)
		return v
	}
	d.NodeNumber, d.NodeCount = int(number("me", 0)), max(1, int(number("nodes", 1)))
	for i := range listLength(settings, "zones") {
		d.Zones = append(d.Zones, text("zones.%d", i))
	}
	for i := range listLength(settings, "kinds") {
		role := text("engine_facts.role_of_kind.%d", i)
		d.Kinds = append(d.Kinds, config.EngineKind{Name: text("kinds.%d", i), Role: role,
			MemoryTokens: number(fmt.Sprintf("engine_facts.memory_of_kind.%d", i), 0)})
	}
	for i := range listLength(settings, "routes") {
		route := func(name string) string { return fmt.Sprintf("routes.%d.%s", i, name) }
		d.Routes = append(d.Routes, config.Route{Name: text("%s", route("name")), Effect: text("%s", route("effect")),
			PriorityWeight: number(route("value"), 1), FirstTokenObjective: duration(route("first_token_target"), time.Second),
			ObjectivePer1000Tokens: duration(fmt.Sprintf("engine_facts.target_per_1000_tokens.%d", i), 0),
			// A client's own word stands for the time that it waits, be it longer than the route's.
			Timeout: maxTimeout, DedupWindow: duration(route("dedup_window"), 0), DedupGroup: text("%s", route("dedup_group"))})
	}
	d.Rules.DrainGrace = duration("rules.drain_grace", d.Rules.DrainGrace)
	d.Rules.ReservationLimit = duration("engine_facts.pin", d.Rules.ReservationLimit)
	d.Connections.DialTimeout = duration("limits.dial_timeout", d.Connections.DialTimeout)
	// Engines close at the latest then, so nothing is written to one that has been idle for nearly as long.
	idle := duration("limits.conn_idle", d.Connections.IdleTimeout)
	d.Connections.IdleTimeout = max(0, min(idle*2/3, idle-invariant.MaxDelay))
	// A second answer may come some milliseconds behind a stream. Twenty is a way there and back on a loaded machine.
	d.Connections.ReuseDelay = 20 * time.Millisecond
	d.Connections.NonIdempotentIdleTimeout = min(d.Connections.NonIdempotentIdleTimeout, d.Connections.IdleTimeout)
	d.MaxAttempts, d.TickInterval = int(number("limits.sends", float64(d.MaxAttempts))), duration("tick", d.TickInterval)
	d.HealthChecks, _ = settings["limits.probes"].(bool)
	applyResourceLimits(d, c, settings)
	var faults script.Faults
	// Absent, it has a default. What is there and no number must not be taken for absent.
	if pin, given := settings["engine_facts.pin"]; given {
		if _, ok := pin.(float64); !ok {
			faults = append(faults, fmt.Errorf("%s: settings: family_info: pin_limit %v is no number", file, pin))
		}
	}
	for i, r := range d.Routes {
		if !slices.Contains(config.Effects, r.Effect) {
			faults = append(faults, fmt.Errorf("%s: settings: route %d: effect %q is none of %q",
				file, i, r.Effect, config.Effects))
		}
	}
	d.Check(func(format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: settings: %w", file, fmt.Errorf(format, args...)))
	})
	if len(faults) > 0 {
		return nil, faults
	}
	return d, nil
}

// applyResourceLimits fits what the node holds into its limits.
func applyResourceLimits(d *config.Deployment, c *NodeConfig, settings map[string]any) {
	sockets, memory := cmp.Or(c.Limits.Sockets, 1024)-reservedSockets, c.MemoryBytes()
	// An inference has a client's connection and at most one line, and lines that lie idle are had back at need.
	d.Limits.Connections, d.Connections.Total = sockets*46/100, sockets/2
	d.Limits.OpenRequests = d.Limits.Connections
	d.Limits.BufferedBytes, d.QueueBytes = memory/6, memory/16
	d.MaxBodyBytes, d.MaxHeadBytes = 256<<10, 16<<10
	// Half a second under the three that the platform waits for a word to one that says nothing of use.
	d.Limits.FirstRequestTimeout = 2500 * time.Millisecond
	d.Limits.HeaderTimeout, d.Limits.BodyTimeout = d.Limits.FirstRequestTimeout, d.Limits.FirstRequestTimeout
	d.Limits.IdleTimeout, d.Limits.DrainTimeout = time.Minute, time.Second
	// A second under the five after which a client that is left waiting has lost its stream.
	d.StallTimeout = 4 * time.Second
	d.MaxRetryAfter = 0
	if retryAfter, _ := settings["limits.retry_after"].(bool); retryAfter {
		maxRetryAfter, _ := settings["limits.max_retry_after"].(float64)
		d.MaxRetryAfter = min(500*time.Millisecond, time.Duration(maxRetryAfter))
	}
	// For as long as long reads in a queue take.
	d.ReleaseRepeatTime = 3 * d.Rules.ReservationLimit
	// Connections still come for 0.4 s after the word to stop.
	d.ShutdownAcceptTime = 600 * time.Millisecond
	d.ShutdownTimeout = time.Minute
	// The kill comes 0.7 s after the longest wait of a client, or after three seconds if that is longer. Streams
	// that are cut then go on elsewhere only where clients ask for the rest.
	if resume, _ := settings["engine_facts.resume"].(bool); resume {
		longest := time.Duration(0)
		for i := range d.Routes {
			wait, _ := settings[fmt.Sprintf("routes.%d.route_timeout", i)].(float64)
			longest = max(longest, time.Duration(wait))
		}
		killAfter := min(longest, 3*time.Second) + 700*time.Millisecond
		d.ShutdownStayTime, d.ShutdownHandoverTime = max(d.ShutdownAcceptTime, killAfter-1500*time.Millisecond), max(d.ShutdownAcceptTime, killAfter-400*time.Millisecond)
	}
}
