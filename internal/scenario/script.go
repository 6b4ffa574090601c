package scenario

import (
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/config/script"
)

// maxFaults is the maximum number of faults in a script.
const maxFaults = 1000

// Parse parses a scenario script and reports all its faults together. Any error is of type script.Faults.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{Duration: 20 * time.Second, RequestRate: 30, Seed: 1, Retries: 2, Turns: 3, Prefixes: 6, PrefixWords: 200, Edges: 3,
		PrefillEngines: 4, DecodeEngines: 4, PrefillRate: 200_000, AttemptRate: 60, TokenTime: 5 * time.Millisecond,
		Deployment: config.Defaults()}
	s.Deployment.File, s.Deployment.EndpointFile, s.Deployment.ChatAddress = name, endpointFileName, ""
	functions := s.Deployment.ScriptFunctions()
	for _, function := range []string{"listen", "node", "roster", "engine"} {
		delete(functions, function) // The scenario sets these values itself.
	}
	functions["day"] = s.scriptScenario
	functions["edges"] = s.scriptEdges
	functions["fleet"] = s.scriptFleet
	functions["client"] = s.scriptClient
	functions["trouble"] = s.scriptFault
	if err := script.Run(name, text, functions, s.checkScript); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Scenario) scriptScenario() ([]script.Argument, func(script.ReportFault)) {
	return []script.Argument{
		script.Number("length", &s.Duration, 0.5, 3600),
		script.Number("rate", &s.RequestRate, 0.1, 5000),
		script.Number("seed", &s.Seed, 0, 1<<31),
		script.Number("retries", &s.Retries, 0, 10),
		script.Number("turns", &s.Turns, 1, 100),
		script.Number("beginnings", &s.Prefixes, 1, 10_000),
		script.Number("words", &s.PrefixWords, 1, 20_000),
		script.Number("leave", &s.DisconnectShare, 0, 1),
	}, nil
}

func (s *Scenario) scriptEdges() ([]script.Argument, func(script.ReportFault)) {
	return []script.Argument{script.Number("count", &s.Edges, 1, 32)}, nil
}

func (s *Scenario) scriptFleet() ([]script.Argument, func(script.ReportFault)) {
	return []script.Argument{
		script.Number("readers", &s.PrefillEngines, 1, 200),
		script.Number("writers", &s.DecodeEngines, 1, 200),
		script.Number("reader_slots", &s.PrefillSlots, 1, 1000),
		script.Number("queue", &s.QueueLimit, 1, 10_000),
		script.Number("writer_slots", &s.DecodeSlots, 1, 1000),
		script.Number("memory", &s.MemoryTokens, 1000, 1e9),
		script.Number("pace", &s.PrefillRate, 100, 1e8),
		script.Number("send_rate", &s.AttemptRate, 0.1, 1e5),
		script.Number("token_time", &s.TokenTime, 0.0001, 1),
	}, nil
}

func (s *Scenario) scriptClient() ([]script.Argument, func(script.ReportFault)) {
	c := TrafficShare{Share: 1, MaxTokens: 32}
	return []script.Argument{
			script.Text("route", &c.Route).Required(),
			script.Number("share", &c.Share, 0.0001, 1e6),
			script.Number("max_tokens", &c.MaxTokens, 1, 4096),
		}, func(report script.ReportFault) {
			if c.Route != "" && s.Deployment.RouteIndex(c.Route) < 0 {
				report("route", "%q is not a route declared above", c.Route)
			}
			s.TrafficShares = append(s.TrafficShares, c)
		}
}

func (s *Scenario) scriptFault() ([]script.Argument, func(script.ReportFault)) {
	f := Fault{Duration: 3 * time.Second, Fraction: 0.25}
	return []script.Argument{
			script.OneOf("kind", &f.Kind, FaultKinds()...).Required(),
			script.Number("at", &f.At, 0, 3600),
			script.Number("length", &f.Duration, 0, 3600),
			script.Number("part", &f.Fraction, 0, 1),
			script.Number("size", &f.Size, 0, 1000),
			script.OneOf("role", &f.Role, config.RolePrefill, config.RoleDecode),
			script.Number("on", &f.Selector, 0, 1e6),
		}, func(report script.ReportFault) {
			if len(s.Faults) >= maxFaults {
				report("", "at most %d faults are allowed", maxFaults)
				return
			}
			s.Faults = append(s.Faults, f)
		}
}

// checkScript checks the script as a whole.
func (s *Scenario) checkScript(report script.ReportScriptFault) {
	s.Deployment.CheckScript(report)
	if len(s.TrafficShares) == 0 {
		report("client: at least one client is required")
	}
	for i, f := range s.Faults {
		if f.At > s.Duration {
			report("trouble: number %d, %s, begins at %v, after the end of the scenario at %v", i+1, f.Kind, f.At, s.Duration)
		}
	}
}
