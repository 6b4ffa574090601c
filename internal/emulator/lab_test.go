package emulator

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// The same seed gives the same day to the last count, and another seed another.
func TestSameSeedSameDay(t *testing.T) {
	d := Defaults()
	d.Rate, d.Length = 11, 20*time.Second
	d.Troubles = []Trouble{{Kind: "restart", At: 8 * time.Second, For: 3 * time.Second, Part: 0.4}}
	a, b := Run(d), Run(d)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
	d.Seed = 2
	if c := Run(d); c.Events == a.Events {
		t.Error("the seed changes nothing")
	}
}

// A fleet with room serves everything; whatever breaks, nothing non-retriable runs twice, every try ends once
// and no state stays.
func TestTroublesKeepTheBooks(t *testing.T) {
	d := Defaults()
	d.Rate, d.Length = 8, 20*time.Second
	if r := Run(d); r.Share < 0.995 {
		t.Errorf("a calm day: %+v", r)
	}
	for _, kind := range Kinds {
		d := Defaults()
		d.Rate, d.Length, d.Budget = 11, 30*time.Second, 0.1
		d.Troubles = []Trouble{{Kind: kind, At: 8 * time.Second, For: 5 * time.Second, Part: 0.5}}
		if kind == "burst" || kind == "slow" {
			d.Troubles[0].Part = 3
		}
		r := Run(d)
		ended := 0
		for _, n := range r.Finals {
			ended += n
		}
		if r.Twice > 0 || r.Held > 0 || r.Pushed > 0 || ended != r.Tries {
			t.Errorf("%s: ran twice %d, held %d, pushed over %d, %d of %d tries ended", kind, r.Twice,
				r.Held, r.Pushed, ended, r.Tries)
		}
	}
}

// A retry storm goes on after its cause where retries have no budget, and ends with it where they have.
func TestRetryBudgetEndsTheStorm(t *testing.T) {
	d := Defaults()
	d.Rate, d.Length, d.Retries = 12, 70*time.Second, 4
	d.Troubles = []Trouble{{Kind: "restart", At: 20 * time.Second, For: 10 * time.Second, Part: 0.5}}
	storm := Run(d)
	d.Budget = 0.1
	if held := Run(d); held.Share < storm.Share+0.1 {
		t.Errorf("value in time %.3f with a budget, %.3f without", held.Share, storm.Share)
	}
}

func TestExperimentScript(t *testing.T) {
	x, err := ReadExperiment("e.star", []byte(`day(rate = 5, seeds = 2)
arm(name = "a")
arm(name = "b", retry_share = 0.2)
trouble(kind = "drain", at = "1s", length = "2s")
day(rate = 7)
`))
	if err != nil || len(x.Arms) != 2 || x.Arms[1].Change.Budget != 0.2 || x.Arms[0].Change.Budget != 0 ||
		x.Arms[1].Change.Rate != 7 ||
		len(x.Arms[0].Change.Troubles) != 1 {
		t.Errorf("%+v %v", x, err)
	}
	for text, want := range map[string]string{`arm(name = "a")
arm(name = "a")`: "e.star:2: name: arm \"a\" stands twice", `trouble(kind = "rain")`: "must be one of", `day(nodes = 0)`: "e.star:1: nodes",
		"day(length = \"5s\")\narm(name = \"a\")\ntrouble(kind = \"drain\", at = \"9s\")": "begins 9s into a day of 5s"} {
		if _, err := ReadExperiment("e.star", []byte(text)); err == nil || !strings.Contains(err.Error(),
			want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
