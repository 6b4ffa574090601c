package emulator

import (
	"slices"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/config/script"
)

// Arm is a variant of a scenario that is compared with other variants on the same seeds.
type Arm struct {
	Name     string
	Scenario Scenario // scenario of the arm, without its seed
}

// Experiment is a set of arms that run on the same seeds.
type Experiment struct {
	Seeds int
	Arms  []Arm
}

// defaultSeeds is the number of seeds of an experiment that does not set it.
const defaultSeeds = 5

// ParseExperiment runs a script with the functions day, route, trouble, engine and arm. An arm accepts the scenario arguments
// of day. The error is of type script.Faults.
func ParseExperiment(name string, text []byte) (*Experiment, error) {
	p := &experimentParser{experiment: &Experiment{Seeds: defaultSeeds}, scenario: Defaults()}
	functions := map[string]script.Function{"day": p.experimentSettings, "engine": p.engine, "route": p.route, "trouble": p.fault, "arm": p.arm}
	if err := script.Run(name, text, functions, p.completeArms); err != nil {
		return nil, err
	}
	return p.experiment, nil
}

// experimentParser collects the calls of a script.
type experimentParser struct {
	experiment    *Experiment
	scenario      Scenario
	routes        []Route
	baseScenarios []Scenario // the scenario without the changes of each arm
}

// scenarioArguments returns the arguments that day and arm have in common.
func scenarioArguments(s *Scenario) []script.Argument {
	return []script.Argument{
		script.Number("nodes", &s.Routers, 1, 300),
		script.Number("readers", &s.PrefillEngines, 1, 1000),
		script.Number("writers", &s.DecodeEngines, 1, 1000),
		script.Number("rate", &s.RequestRate, 0.01, 1e5),
		script.Number("beginnings", &s.Prefixes, 1, 1e6),
		script.Number("shared_tokens", &s.PrefixTokens, 0, 1e6),
		script.Number("turns", &s.Turns, 1, 100),
		script.Number("retries", &s.Retries, 0, 100),
		script.Number("retry_share", &s.RetryBudget, 0, 1),
	}
}

func (p *experimentParser) experimentSettings() ([]script.Argument, func(script.ReportFault)) {
	return append(scenarioArguments(&p.scenario),
		script.Number("length", &p.scenario.Length, 1, 36000),
		script.Number("seeds", &p.experiment.Seeds, 1, 1000)), nil
}

func (p *experimentParser) engine() ([]script.Argument, func(script.ReportFault)) {
	e := &p.scenario.Engine
	return []script.Argument{
		script.Number("read_slots", &e.PrefillSlots, 1, 1000),
		script.Number("write_slots", &e.DecodeSlots, 1, 1000),
		script.Number("read_pace", &e.PrefillRate, 1, 1e7),
		script.Number("token_time", &e.TokenTime, 0.0001, 1),
		script.Number("batch", &e.BatchSlowdown, 0, 100),
		script.Number("queue", &e.QueueLimit, 1, 100_000),
		script.Number("memory", &e.MemoryTokens, 100, 1e9),
		script.Number("move", &e.TransferRate, 1, 1e9),
		script.Number("cold", &e.WarmUp, 0, 600),
		script.Number("cold_share", &e.WarmUpShare, 0.01, 1),
	}, nil
}

func (p *experimentParser) route() ([]script.Argument, func(script.ReportFault)) {
	r := Route{Effect: config.EffectRetriable, Share: 1, PriorityWeight: 1, FirstTokenTarget: time.Second, Timeout: 5 * time.Second,
		PromptTokens: 300, AnswerTokens: 60}
	return []script.Argument{
		script.Text("name", &r.Name).Required(),
		script.OneOf("effect", &r.Effect, config.Effects...),
		script.Number("share", &r.Share, 0.0001, 1e6),
		script.Number("value", &r.PriorityWeight, 0.001, 1e6),
		script.Number("first_token_target", &r.FirstTokenTarget, 0.01, 600),
		script.Number("route_timeout", &r.Timeout, 0.05, 3600),
		script.Number("prompt_tokens", &r.PromptTokens, 1, 1e6),
		script.Number("answer_tokens", &r.AnswerTokens, 2, 1e6),
	}, func(script.ReportFault) { p.routes = append(p.routes, r) }
}

func (p *experimentParser) fault() ([]script.Argument, func(script.ReportFault)) {
	f := Fault{Duration: 10 * time.Second, Magnitude: 0.25}
	return []script.Argument{
		script.OneOf("kind", &f.Kind, FaultKinds...).Required(),
		script.Number("at", &f.At, 0, 36000),
		script.Number("length", &f.Duration, 0, 36000),
		script.Number("part", &f.Magnitude, 0, 1000),
		script.OneOf("role", &f.Role, config.RolePrefill, config.RoleDecode),
	}, func(script.ReportFault) { p.scenario.Faults = append(p.scenario.Faults, f) }
}

// arm reads an arm as changes to the scenario at its position in the script. The changes are applied after the script has run,
// because calls that follow an arm apply to it too.
func (p *experimentParser) arm() ([]script.Argument, func(script.ReportFault)) {
	base := p.scenario
	arm := &Arm{Scenario: base}
	arguments := append([]script.Argument{script.Text("name", &arm.Name).Required()}, scenarioArguments(&arm.Scenario)...)
	return arguments, func(report script.ReportFault) {
		if slices.ContainsFunc(p.experiment.Arms, func(other Arm) bool { return other.Name == arm.Name }) {
			report("name", "arm %q is declared twice", arm.Name)
		}
		p.experiment.Arms = append(p.experiment.Arms, *arm)
		p.baseScenarios = append(p.baseScenarios, base)
	}
}

// completeArms applies the changes of each arm to the final scenario. Without arms, the scenario itself is the only arm.
func (p *experimentParser) completeArms(report script.ReportScriptFault) {
	if len(p.routes) > 0 {
		p.scenario.Routes = p.routes
	}
	if len(p.experiment.Arms) == 0 {
		p.experiment.Arms = []Arm{{Name: "as it is", Scenario: p.scenario}}
		return
	}
	for i := range p.experiment.Arms {
		arm := &p.experiment.Arms[i]
		completeScenario := p.scenario
		applyChanges(&completeScenario, p.baseScenarios[i], arm.Scenario)
		arm.Scenario = completeScenario
	}
	for _, f := range p.scenario.Faults {
		if f.At > p.scenario.Length {
			report("trouble: %s begins at %v, after the end of the day at %v", f.Kind, f.At, p.scenario.Length)
		}
	}
}

// applyChanges applies the differences between the base and the changed scenario.
func applyChanges(to *Scenario, base, changed Scenario) {
	applyChange(&to.Routers, base.Routers, changed.Routers)
	applyChange(&to.PrefillEngines, base.PrefillEngines, changed.PrefillEngines)
	applyChange(&to.DecodeEngines, base.DecodeEngines, changed.DecodeEngines)
	applyChange(&to.RequestRate, base.RequestRate, changed.RequestRate)
	applyChange(&to.Prefixes, base.Prefixes, changed.Prefixes)
	applyChange(&to.PrefixTokens, base.PrefixTokens, changed.PrefixTokens)
	applyChange(&to.Turns, base.Turns, changed.Turns)
	applyChange(&to.Retries, base.Retries, changed.Retries)
	applyChange(&to.RetryBudget, base.RetryBudget, changed.RetryBudget)
}

func applyChange[T comparable](to *T, base, changed T) {
	if changed != base {
		*to = changed
	}
}
