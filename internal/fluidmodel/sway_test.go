package fluidmodel

import (
	"reflect"
	"testing"
	"time"
)

func day() Day {
	return Day{Engines: 40, Readers: 20, Cells: 4, Edges: 6, Length: 400 * time.Second,
		Period: 800 * time.Second, Depth: 0.8, Square: true,
		Load: 0.9, Reload: 5 * time.Second, Cold: 10 * time.Second, Drain: 4 * time.Second, Seed: 1}
}

// A mix that swings every few seconds must not make engines swing with it.
func TestFastSwingsChangeHardlyAnything(t *testing.T) {
	for _, period := range []time.Duration{4 * time.Second, 6 * time.Second, 10 * time.Second,
		20 * time.Second} {
		d := day()
		d.Period, d.Load = period, 0.75
		moved, fixed := Run(d, Arm{Roles: true}), Run(d, Arm{})
		if moved.Switch > 6 || moved.Value < fixed.Value-0.02 {
			t.Errorf("period %v: %d changes, value %.3f, with fixed roles %.3f", period, moved.Switch,
				moved.Value, fixed.Value)
		}
	}
}

// Where the mix swings for as long as a few changes take, engines may move, and must not make it worse than
// fixed roles.
func TestSlowSwingsAreNoWorseThanFixedRoles(t *testing.T) {
	for _, period := range []time.Duration{30 * time.Second, 60 * time.Second, 120 * time.Second} {
		d := day()
		d.Period, d.Load, d.Length = period, 0.85, 600*time.Second
		moved, fixed := Run(d, Arm{Roles: true}), Run(d, Arm{})
		if moved.Value < fixed.Value {
			t.Errorf("period %v: %d changes, value %.3f, with fixed roles %.3f", period, moved.Switch,
				moved.Value, fixed.Value)
		}
	}
}

// A shift that stays must be followed, with the hard cases on top of it.
func TestShiftIsFollowed(t *testing.T) {
	for name, change := range map[string]func(*Day){
		"plain":                          func(*Day) {},
		"reports of a third are missing": func(d *Day) { d.Missing = 0.33 },
		"reports come late":              func(d *Day) { d.Lag = 2 * time.Second },
		"a tenth of reports lies":        func(d *Day) { d.Lying = 0.1 },
		"half of the fleet cannot":       func(d *Day) { d.Fixed = 0.5 },
		"small":                          func(d *Day) { d.Engines, d.Readers, d.Cells = 8, 4, 1 },
	} {
		d := day()
		change(&d)
		moved, fixed := Run(d, Arm{Roles: true}), Run(d, Arm{})
		if moved.Value < fixed.Value+0.05 || moved.Switch == 0 {
			t.Errorf("%s: value %.3f with %d changes, with fixed roles %.3f", name, moved.Value,
				moved.Switch, fixed.Value)
		}
	}
}

// A spell in which writers are slow looks like a shift to writing. While it is shorter than what paces are
// measured over, it must not move anybody to speak of.
func TestSlowSpellIsNoShift(t *testing.T) {
	d := day()
	d.Depth, d.Load, d.Slow = 0, 0.55, [2]float64{0.5, 0.53}
	if r := Run(d, Arm{Roles: true}); r.Switch > 2 {
		t.Errorf("%d changes in a slow spell of 12 s", r.Switch)
	}
	d.Slow = [2]float64{0.5, 0.5}
	if r := Run(d, Arm{Roles: true}); r.Switch != 0 {
		t.Errorf("%d changes on a calm day", r.Switch)
	}
}

// All readers but one go for good: writers must help, within floors.
func TestOtherSideHelps(t *testing.T) {
	d := day()
	d.Depth, d.Load, d.Dies = 0, 0.4, 0.25
	moved, fixed := Run(d, Arm{Roles: true}), Run(d, Arm{})
	if moved.Value < fixed.Value+0.2 || moved.Window[len(moved.Window)-1] < 0.8 {
		t.Errorf("value %.3f, at the end %.2f, with fixed roles %.3f", moved.Value,
			moved.Window[len(moved.Window)-1], fixed.Value)
	}
}

func TestSameSeedSameDay(t *testing.T) {
	d := day()
	d.Lag, d.Missing, d.Lying = time.Second, 0.2, 0.1
	if a, b := Run(d, Arm{Roles: true}), Run(d, Arm{Roles: true}); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}
