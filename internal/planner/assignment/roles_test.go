package assignment

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
)

func testBounds() Bounds {
	return Bounds{Drain: 4 * time.Second, Order: time.Second, Load: 3 * time.Second, Trial: time.Second,
		Cold: 2 * time.Second,
		Rest: 2 * time.Second, Floor: 1, Changing: 0.25, PerMinute: 2, Grace: 100 * time.Millisecond,
		ReadPace: 1000, WritePace: 100}
}

func boxesOf(n int) (row []Box) {
	kinds := map[string]string{planapi.Read: "prefill", planapi.Write: "decode"}
	for i := range n {
		b := Box{Engine: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1), Role: planapi.Read,
			Cell: fmt.Sprint("c", i%max(1, n/10)), Weight: 1, Ready: true,
			CanChange: true, Kinds: kinds}
		if i >= n/2 {
			b.Role = planapi.Write
		}
		row = append(row, b)
	}
	return row
}

// A planner among engines that answer, lie, vanish and restart at random keeps before it acts, never lists
// what is changing, never lets an epoch go back, never takes a role's last engine by a change, and does the
// same again from the same seed.
func TestAnyHistoryKeepsTheGates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "engines")
		boxes := boxesOf(n)
		now := int64(1000 * time.Second)
		a, b := New(testBounds(), 1, now, nil, Meta{}), New(testBounds(), 1, now, nil, Meta{})
		kept := map[string]Record{}
		said := map[string]planapi.EngineReport{}
		for _, x := range boxes {
			said[x.Engine] = planapi.EngineReport{Engine: x.Engine, Role: x.Role, Epoch: 1, Life: 1}
		}
		step := func(act func(*Core) []Effect) {
			effects := act(a)
			if other := act(b); !reflect.DeepEqual(effects, other) {
				t.Fatalf("the same inputs give %v and %v", effects, other)
			}
			for _, e := range effects {
				switch e := e.(type) {
				case Keep:
					for _, r := range e.Records {
						if r.Epoch < kept[r.Engine].Epoch {
							t.Fatalf("epoch of %s goes back: %+v after %+v", r.Engine, r, kept[r.Engine])
						}
						kept[r.Engine] = r
					}
				case Publish:
					for _, x := range e.Plan.Engines {
						if r, ok := kept[x.Engine]; ok && x.State == endpoint.Ready && r.State != Serving &&
							r.State != Cold {
							t.Fatalf("%s is listed as ready and is %s", x.Engine, r.State)
						}
					}
				case Ask:
					if r, ok := kept[e.Engine]; ok && max(r.Epoch, r.NextEpoch) < e.Order.Epoch || !ok &&
						e.Order.Epoch > said[e.Engine].Epoch {
						t.Fatalf("%s is asked for epoch %d, kept is %+v", e.Engine, e.Order.Epoch, r)
					}
					r := said[e.Engine]
					if rapid.Bool().Draw(t, "follows") {
						if e.Order.Epoch == r.Epoch {
							r.Draining = e.Order.Drain
						} else if e.Order.Epoch > r.Epoch {
							r.Epoch, r.Role, r.Draining = e.Order.Epoch, e.Order.Role, false
							r.Changing = rapid.Bool().Draw(t, "loads")
						}
						said[e.Engine] = r
					}
				}
			}
			for _, role := range []string{planapi.Read, planapi.Write} {
				moving, there := 0, 0
				for _, s := range a.Show() {
					if s.Role != role {
						continue
					}
					switch s.State {
					case Serving, Cold:
						there++
					case Draining, Ordered, Loading:
						moving++
					}
				}
				if moving > 0 && there == 0 && !lostByFault(a, role) {
					t.Fatalf("all of %s are leaving it", role)
				}
			}
		}
		step(func(c *Core) []Effect { return c.Step(now, Listed{boxes}) })
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 600).Draw(t, "ms")) * int64(time.Millisecond)
			engine := boxes[rapid.IntRange(0, n-1).Draw(t, "engine")].Engine
			r := said[engine]
			switch rapid.IntRange(0, 9).Draw(t, "input") {
			case 0, 1, 2, 3:
				if r.Changing && rapid.Bool().Draw(t, "loaded") {
					r.Changing = false
					said[engine] = r
				}
				r.Read += 100
				step(func(c *Core) []Effect { return c.Step(now, EngineSaid{now - 1e6, r}) })
			case 4:
				lie := r
				lie.Epoch, lie.Role = int64(rapid.IntRange(0, 5).Draw(t, "epoch")), planapi.Other(r.Role)
				step(func(c *Core) []Effect { return c.Step(now, EngineSaid{now - 1e6, lie}) })
			case 5:
				ok := rapid.Bool().Draw(t, "good")
				step(func(c *Core) []Effect {
					return c.Step(now, Tried{engine, c.boxes[engine].trial, ok,
						"no"})
				})
			case 6:
				op := rapid.SampledFrom(planapi.Ops).Draw(t, "op")
				o := planapi.Order{Op: op, Engine: engine}
				if op == "stop" || op == "go" {
					o.Engine = ""
				}
				step(func(c *Core) []Effect { _, effects, _ := c.Order(now, o); return effects })
			case 7:
				step(func(c *Core) []Effect {
					return c.Step(now, EdgeSaid{planapi.EdgeReport{Edge: "e", Life: 1,
						Routes: []planapi.RouteCount{{Route: "a",
							Arrived: float64(now-int64(1000*time.Second)) / 1e8,
							Prompt:  float64(now-int64(1000*time.Second)) / 1e5,
							Shed:    float64(now-int64(1000*time.Second)) / 1e9}}}})
				})
			default:
				step(func(c *Core) []Effect { return c.Step(now, Tick{}) })
			}
		}
		// Whatever happened: honest engines from here on, and every change comes to its end.
		for range 500 {
			now += int64(100 * time.Millisecond)
			for _, x := range boxes {
				r := said[x.Engine]
				r.Changing, r.Open, r.Held = false, 0, 0
				said[x.Engine] = r
				step(func(c *Core) []Effect { return c.Step(now, EngineSaid{now - 1e6, r}) })
				if a.boxes[x.Engine].State == Trying {
					step(func(c *Core) []Effect {
						return c.Step(now, Tried{x.Engine,
							c.boxes[x.Engine].trial, true, ""})
					})
				}
			}
			step(func(c *Core) []Effect { return c.Step(now, Tick{}) })
		}
		for _, s := range a.Show() { // those that drain or are ordered may have begun just now
			if s.State != Serving && s.State != Cold && s.State != Draining && s.State != Ordered &&
				s.State != Aside {
				t.Fatalf("%s is still %s: %s", s.Engine, s.State, s.Trouble)
			}
		}
	})
}

// lostByFault is whether engines of a role are away for what they did, not for a change.
func lostByFault(c *Core, role string) bool {
	for _, s := range c.Show() {
		if s.Role == role && (s.State == Returning || s.State == Aside || s.State == Trying) {
			return true
		}
	}
	return false
}

// The best engine to change is not the one with the only copy of a hot beginning.
func TestOnlyCopyOfAHotBeginningStays(t *testing.T) {
	now := int64(1000 * time.Second)
	c := New(testBounds(), 1, now, nil, Meta{})
	boxes := boxesOf(8)
	c.Step(now, Listed{boxes})
	for i, b := range boxes {
		r := planapi.EngineReport{Engine: b.Engine, Role: b.Role, Epoch: 1, Life: 1, Kept: 1000,
			Hot: map[string]float64{"common": 500}}
		if i != 2 {
			r.Hot[fmt.Sprint("only", i)] = 9000
		}
		c.Step(now, EngineSaid{now, r})
	}
	if best, why := c.best(planapi.Read); best == nil || best.Engine != boxes[2].Engine {
		t.Errorf("%+v %s", best, why)
	}
}

// Found by a random history: the last writer that was heard of moved, as another had only been listed; that one then said
// that it reads.
func TestEngineThatWasNeverHeardOfIsNoFloor(t *testing.T) {
	now := int64(1000 * time.Second)
	c := New(testBounds(), 1, now, nil, Meta{})
	boxes := boxesOf(4)
	c.Step(now, Listed{boxes})
	for _, b := range boxes[:3] {
		c.Step(now, EngineSaid{now, planapi.EngineReport{Engine: b.Engine, Role: b.Role, Epoch: 1, Life: 1}})
	}
	_, _, err := c.Order(now, planapi.Order{Op: "move", Engine: boxes[2].Engine})
	if err == nil || !strings.Contains(err.Error(), "must stay") {
		t.Errorf("moved: %v", err)
	}
}

// A planner whose clock was set back does not make a step's time endless, nor one set forward lose a change.
func TestClocksThatDiffer(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, 5 * time.Second, time.Hour} {
		now := int64(10_000 * time.Second)
		boxes := boxesOf(4)
		c := New(testBounds(), 2, now+int64(by), []Record{{Engine: boxes[0].Engine, Role: planapi.Read,
			Epoch: 1, State: Ordered, Next: planapi.Write,
			NextEpoch: 2, Since: now}}, Meta{Number: 5})
		at := now + int64(by)
		c.Step(at, Listed{boxes})
		for range 100 {
			at += int64(100 * time.Millisecond)
			for _, b := range boxes {
				r := planapi.EngineReport{Engine: b.Engine, Role: b.Role, Epoch: 1, Life: 1}
				if k := c.boxes[b.Engine]; k.NextEpoch > 0 {
					r.Role, r.Epoch = k.Next, k.NextEpoch
				} else if k.known {
					r.Role, r.Epoch = k.Role, k.Epoch
				}
				c.Step(at, EngineSaid{at, r})
				if k := c.boxes[b.Engine]; k.State == Trying {
					c.Step(at, Tried{b.Engine, k.trial, true, ""})
				}
			}
			c.Step(at, Tick{})
		}
		if s := c.boxes[boxes[0].Engine]; s.State != Serving {
			t.Errorf("clock off by %v: %+v", by, s.Record)
		}
	}
}

// A second of a planner with 300 engines and 300 edges: their reports, and ten ticks with one decision.
func BenchmarkSecondOf300(b *testing.B) {
	now := int64(1000 * time.Second)
	c := New(testBounds(), 1, now, nil, Meta{})
	boxes := boxesOf(300)
	c.Step(now, Listed{boxes})
	for n := range b.N {
		for i, x := range boxes {
			now += int64(time.Second) / 300
			c.Step(now, EngineSaid{now, planapi.EngineReport{Engine: x.Engine, Role: x.Role, Epoch: 1,
				Life: 1, Read: float64(n * 900), Written: float64(n * 90),
				Busy: float64(n), Hot: map[string]float64{"a": 1, fmt.Sprint(i): 2}}})
			v := float64(n * 10)
			c.Step(now, EdgeSaid{planapi.EdgeReport{Edge: fmt.Sprint("edge", i), Life: 1,
				Routes: []planapi.RouteCount{
					{Route: "a", Arrived: v, Prompt: 300 * v, Began: v, BegunFor: 300 * v, Ended: v,
						Answer: 50 * v, InTime: v},
					{Route: "b", Arrived: v, Prompt: 900 * v, Began: v, BegunFor: 900 * v, Ended: v,
						Answer: 90 * v, InTime: v, Shed: v / 10}}}})
			if i%30 == 0 {
				c.Step(now, Tick{})
			}
		}
	}
}
