package assignment

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"sandcourse/internal/golden"
)

// The test checks the JSON format of a decision, with its demand and evaluations, which operators' tools read.
func TestGoldenExplained(t *testing.T) {
	last := Decision{At: 5, Mix: TrafficMix{{Route: "clip-summary", Rate: 1.5, PrefillTokens: 900, DecodeTokens: 120,
		Value: 1, LostRate: 0.25}}, EdgesReporting: 2, EdgesKnown: 3, RequiredEngines: map[string]float64{"read": 1.5},
		ServingEngines: map[string]float64{"read": 1}, IncomingEngines: map[string]float64{"write": 1},
		Throughput: map[string]float64{"read": 9000}, Evaluations: []Evaluation{{ToRole: "read", Gain: 1.5,
			ReversalLoss: 0.5, MeanGain: 0.75, RemainingSeconds: 60, Cost: 12, GainingSeconds: 5,
			Engine: "10.0.0.2:8000", LostTokens: 100, Reason: "change is worth its cost", Chosen: true}}, Changing: 1, Stopped: true}
	data, err := json.MarshalIndent(last, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "explained.golden", string(data)+"\n")
	var decoded Decision
	if err := json.Unmarshal(data, &decoded); err != nil || !reflect.DeepEqual(decoded, last) {
		t.Errorf("%v: decoded decision differs from the encoded one", err)
	}
}

// The test checks the values of the states, which are stored and read by operators' tools.
func TestGoldenStates(t *testing.T) {
	var states []string
	for _, s := range []State{Serving, Draining, Ordered, Loading, InTrial, WarmingUp, RollingBack, Quarantined} {
		states = append(states, string(s))
	}
	golden.Check(t, "states.golden", strings.Join(states, "\n")+"\n")
}
