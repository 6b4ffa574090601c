package config

import (
	"path/filepath"
	"slices"
	"time"

	"sandcourse/internal/config/script"
	"sandcourse/internal/endpoint"
)

// maxEngines is the maximum number of engines in one script.
const maxEngines = 20_000

// Load reads and runs a deployment's script from a file. The path of the endpoint file is relative to the script's directory.
func Load(path string) (*Deployment, error) {
	text, err := script.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d, err := Read(path, text)
	if err == nil && d.EndpointFile != "" {
		d.EndpointFile = relativeTo(path, d.EndpointFile)
	}
	return d, err
}

// relativeTo resolves the path of a file that the script at scriptPath refers to.
func relativeTo(scriptPath, file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(filepath.Dir(scriptPath), file)
}

// Read runs a deployment's script and returns the deployment. The error, if any, is of type script.Faults.
func Read(name string, text []byte) (*Deployment, error) {
	d := Defaults()
	d.File = name
	if err := script.Run(name, text, d.ScriptFunctions(), d.CheckScript); err != nil {
		return nil, err
	}
	return d, nil
}

// ScriptFunctions returns the functions that a deployment's script can call. They store their arguments in d.
func (d *Deployment) ScriptFunctions() map[string]script.Function {
	return map[string]script.Function{
		"node":    fixedArguments(d.nodeArguments()),
		"listen":  fixedArguments(d.listenArguments()),
		"roster":  fixedArguments([]script.Argument{script.Text("file", &d.EndpointFile).Required()}),
		"planner": fixedArguments([]script.Argument{script.Address("at", &d.PlannerAddress).Required()}),
		"kind":    d.addKind,
		"route":   d.addRoute,
		"engine":  d.addEngine,
		"rules":   fixedArguments(d.rulesArguments()),
		"lines":   fixedArguments(d.connectionArguments()),
		"limits":  fixedArguments(d.limitsArguments()),
	}
}

// fixedArguments returns a script function whose calls all set the same fields, so that the last call takes effect.
func fixedArguments(arguments []script.Argument) script.Function {
	return func() ([]script.Argument, func(script.ReportFault)) { return arguments, nil }
}

func (d *Deployment) nodeArguments() []script.Argument {
	return []script.Argument{
		script.Text("name", &d.NodeName),
		script.Text("zone", &d.Zone),
		script.Number("number", &d.NodeNumber, 0, 100_000),
		script.Number("nodes", &d.NodeCount, 1, 100_000),
	}
}

func (d *Deployment) listenArguments() []script.Argument {
	return []script.Argument{
		script.Address("chat", &d.ChatAddress),
		script.Address("metrics", &d.MetricsAddress),
	}
}

func (d *Deployment) addKind() ([]script.Argument, func(script.ReportFault)) {
	kind := EngineKind{}
	arguments := []script.Argument{
		script.Text("name", &kind.Name).Required(),
		script.OneOf("role", &kind.Role, RolePrefill, RoleDecode, RoleBoth).Required(),
		script.Number("memory", &kind.MemoryTokens, 1, 1e9),
	}
	return arguments, func(report script.ReportFault) {
		if slices.ContainsFunc(d.Kinds, func(other EngineKind) bool { return other.Name == kind.Name }) {
			report("name", "kind %q is declared twice", kind.Name)
		}
		d.Kinds = append(d.Kinds, kind)
	}
}

func (d *Deployment) addRoute() ([]script.Argument, func(script.ReportFault)) {
	route := Route{PriorityWeight: 1, FirstTokenObjective: time.Second, Timeout: 5 * time.Second,
		DedupGroup: DedupGroupAll, DedupWindow: 5 * time.Second}
	arguments := []script.Argument{
		script.Text("name", &route.Name).Required(),
		script.OneOf("effect", &route.Effect, Effects...).Required(),
		script.Number("value", &route.PriorityWeight, 0.001, 1e6),
		script.Number("first_token_target", &route.FirstTokenObjective, 0.01, 600),
		script.Number("target_per_1000_tokens", &route.ObjectivePer1000Tokens, 0, 60),
		script.Number("route_timeout", &route.Timeout, 0.05, 3600),
		script.Number("dedup_window", &route.DedupWindow, 0, 3600),
		script.OneOf("dedup_group", &route.DedupGroup, DedupGroupAll, DedupGroupZone, DedupGroupCell),
	}
	return arguments, func(report script.ReportFault) {
		if d.RouteIndex(route.Name) >= 0 {
			report("name", "route %q is declared twice", route.Name)
		}
		if route.Timeout < route.FirstTokenObjective {
			report("route_timeout", "%v is less than first_token_target, which is %v", route.Timeout, route.FirstTokenObjective)
		}
		d.Routes = append(d.Routes, route)
	}
}

func (d *Deployment) addEngine() ([]script.Argument, func(script.ReportFault)) {
	entry := endpoint.Entry{State: endpoint.Ready, Weight: 1}
	arguments := []script.Argument{
		script.Address("at", &entry.ID).Required(),
		script.Text("kind", &entry.Kind).Required(),
		script.Text("zone", &entry.Zone),
		script.Text("cell", &entry.Cell),
		script.Number("weight", &entry.Weight, 0.01, 1000),
	}
	return arguments, func(report script.ReportFault) {
		if len(d.Engines) >= maxEngines {
			report("", "at most %d engines are allowed", maxEngines)
			return
		}
		if slices.ContainsFunc(d.Engines, func(other endpoint.Entry) bool { return other.ID == entry.ID }) {
			report("at", "engine %s is declared twice", entry.ID)
		}
		if !slices.ContainsFunc(d.Kinds, func(kind EngineKind) bool { return kind.Name == entry.Kind }) {
			report("kind", "%q is not a kind declared above", entry.Kind)
		}
		d.Engines = append(d.Engines, entry)
	}
}

func (d *Deployment) rulesArguments() []script.Argument {
	r := &d.Rules
	return []script.Argument{
		script.Number("drain_grace", &r.DrainGrace, 0.05, 60),
		script.Number("pin", &r.ReservationLimit, 0.1, 60),
		script.Number("cold", &r.SlowStart, 0, 600),
		script.Number("fall_window", &r.OverloadWindow, 0.1, 60),
		script.Number("cold_share", &r.SlowStartShare, 0.01, 1),
		script.Number("fall_multiple", &r.OverloadMultiple, 1, 100),
	}
}

func (d *Deployment) connectionArguments() []script.Argument {
	c := &d.Connections
	return []script.Argument{
		script.Number("per_engine", &c.PerEngine, 1, 60_000),
		script.Number("all", &c.Total, 0, 1e6),
		script.Number("dials", &c.ConcurrentDials, 1, 10_000),
		script.Number("dial_time", &c.DialTimeout, 0.01, 30),
		script.Number("conn_idle", &c.IdleTimeout, 0, 3600),
		script.Number("conn_idle_non_retriable", &c.NonIdempotentIdleTimeout, 0, 3600),
	}
}

func (d *Deployment) limitsArguments() []script.Argument {
	l := &d.Limits
	return []script.Argument{
		script.Number("connections", &l.Connections, 1, 1e6),
		script.Number("open", &l.OpenRequests, 1, 1e6),
		script.Number("bytes", &l.BufferedBytes, 1<<16, 1<<36),
		script.Number("head_time", &l.HeaderTimeout, 0.01, 600),
		script.Number("body_time", &l.BodyTimeout, 0.01, 600),
		script.Number("idle_time", &l.IdleTimeout, 0.01, 86400),
		script.Number("drain_time", &l.DrainTimeout, 0.01, 600),
		script.Number("body", &d.MaxBodyBytes, 256, 64<<20),
		script.Number("head", &d.MaxHeadBytes, 256, 1<<20),
		script.Number("client_buffer", &d.ClientBufferBytes, 1024, 64<<20),
		script.Number("sends", &d.MaxAttempts, 1, 20),
		script.Number("retry_share", &l.RetryShare, 0, 1),
		script.Bool("probes", &d.HealthChecks),
		script.Number("stall", &d.StallTimeout, 0.05, 600),
		script.Number("tick", &d.TickInterval, 0.001, 0.1),
		script.Number("max_retry_after", &d.MaxRetryAfter, 0, 600),
		script.Number("finish_time", &d.ShutdownTimeout, 0, 3600),
	}
}
