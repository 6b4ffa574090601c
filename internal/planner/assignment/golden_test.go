package assignment

import (
	"encoding/json"
	"reflect"
	"sandcourse/internal/golden"
	"strings"
	"testing"
)

// The last decision as operators read it, with what arrives and what was weighed.
func TestGoldenExplained(t *testing.T) {
	last := Explained{At: 5, Mix: mix{{Route: "clip-summary", Rate: 1.5, Reads: 900, Writes: 120, Value: 1, Lost: 0.25}}, Edges: 2,
		EdgesKnown: 3, Need: map[string]float64{"read": 1.5}, Serve: map[string]float64{"read": 1},
		Coming: map[string]float64{"write": 1}, Pace: map[string]float64{"read": 9000},
		Weighed: []Weighed{{To: "read", Gain: 1.5, Usual: 0.5, Mean: 0.75, Left: 60, Cost: 12, For: 5, Engine: "10.0.0.2:8000",
			Lost: 100, Why: "it pays", Done: true}}, Changing: 1, Stopped: true}
	data, err := json.MarshalIndent(last, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "explained.golden", string(data)+"\n")
	var back Explained
	if err := json.Unmarshal(data, &back); err != nil || !reflect.DeepEqual(back, last) {
		t.Errorf("%v: what was read back is not what was written", err)
	}
}

// The states of an engine by their words, which stores and operators' tools keep.
func TestGoldenStates(t *testing.T) {
	var row []string
	for _, s := range []State{Serving, Draining, Ordered, Loading, Trying, Cold, Returning, Aside} {
		row = append(row, string(s))
	}
	golden.Check(t, "states.golden", strings.Join(row, "\n")+"\n")
}
