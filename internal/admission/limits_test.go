package admission

import (
	"testing"

	"pgregory.net/rapid"
)

func bounds(conns, open, bytes int) Bounds {
	return Bounds{Conns: conns, Open: open, Bytes: bytes, HeadTime: 10, BodyTime: 20, IdleTime: 50, DrainTime: 5}
}

// Random days of one gate: no bound is passed, what is given back is gone, and a party that holds nothing is
// only refused where the node is full.
func TestGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bounds(rapid.IntRange(1, 6).Draw(t, "conns"), rapid.IntRange(1, 8).Draw(t, "open"), 100)
		g := New(b)
		type taken struct {
			conn  int64
			party string
		}
		var open []taken
		live := map[int64]int{}
		reading := map[int64]bool{} // a request is on its way, so it may not be closed
		now := int64(0)
		for id := int64(1); id < 80; id++ {
			now += rapid.Int64Range(0, 8).Draw(t, "time")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if g.Open(id, now, func(evict int64) bool {
					if reading[evict] {
						return false
					}
					delete(live, evict)
					return true
				}) {
					reading[id] = rapid.Bool().Draw(t, "reading")
					live[id] = 0
				}
			case 1:
				for c := range live {
					g.Happen(c, Input(rapid.IntRange(int(HeadBegan), int(Answered)).Draw(t, "input")), now)
					break
				}
			case 2:
				party := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "party")
				for c := range live {
					held := 0
					for _, o := range open {
						if o.party == party {
							held++
						}
					}
					switch g.Admit(c, party) {
					case Taken:
						open = append(open, taken{c, party})
					case OwnShare:
						if held == 0 {
							t.Fatal("a party that holds nothing was told that it has its share")
						}
					}
					break
				}
			case 3:
				if len(open) > 0 {
					g.Done(open[0].conn, open[0].party)
					open = open[1:]
				}
			case 4:
				for c := range live {
					more := rapid.IntRange(0, 60).Draw(t, "bytes")
					g.Hold(c, more)
					live[c] += more
					break
				}
			case 5:
				for c := range live {
					g.Happen(c, Closed, now)
					delete(live, c)
					break
				}
			}
			sum := 0
			for _, n := range live {
				sum += n
			}
			conns, opened, bytes := g.Holding()
			if conns != len(live) || conns > b.Conns || opened != len(open) || opened > b.Open || bytes != sum {
				t.Fatalf("holds %d %d %d, want %d %d %d", conns, opened, bytes, len(live), len(open), sum)
			}
		}
	})
}

func TestOneThatFloodsLeavesRoomForOthers(t *testing.T) {
	g := New(bounds(10, 100, 1))
	g.Open(1, 0, yield)
	g.Open(2, 0, yield)
	flood := 0
	for g.Admit(1, "flood") == Taken {
		flood++
	}
	for g.Admit(2, "other") == Taken {
	}
	if _, open, _ := g.Holding(); flood < 75 || flood > 100 || open != 100 {
		t.Errorf("the flood took %d of %d", flood, open)
	}
	g.Done(1, "flood")
	if got := g.Admit(1, "flood"); got != OwnShare {
		t.Errorf("a full node gives the flood its place back: %v", got)
	}
	if got := g.Admit(2, "other"); got != Taken {
		t.Errorf("and not the other: %v", got)
	}
}

func TestTimesAndBytes(t *testing.T) {
	g := New(bounds(2, 1, 100))
	g.Open(1, 0, yield)
	g.Open(2, 0, yield)
	g.Happen(1, HeadBegan, 1)
	for now := int64(2); now < 11; now++ {
		g.Happen(1, HeadBegan, now) // trickling bytes do not renew the time
	}
	if due := g.Due(12); len(due) != 1 || due[0] != (Overdue{1, Heading}) {
		t.Errorf("%v", due)
	}
	g.Happen(2, HeadWhole, 12)
	g.Hold(1, 40)
	g.Hold(2, 70)
	if got := g.Fattest(); got != 2 {
		t.Errorf("the fattest is %d", got)
	}
	g.Happen(2, Closed, 13)
	if got := g.Fattest(); got != 0 {
		t.Errorf("bytes of the closed still count: %d", got)
	}
}

// Who dribbles a first call in, or says nothing, has one time for all of it; who was served has each call's
// own.
func TestFirstCallHasOneTime(t *testing.T) {
	b := bounds(9, 9, 100)
	b.FirstTime = 12
	g := New(b)
	for id := int64(1); id <= 3; id++ {
		g.Open(id, 1, yield)
	}
	g.Happen(2, HeadBegan, 9) // late, and then slow
	g.Happen(3, CallWhole, 2)
	g.Happen(3, Answered, 3)
	if !g.Quiet(3) || g.Quiet(1) {
		t.Error("who was served, and only that, is quiet")
	}
	if due := g.Due(14); len(due) != 2 || due[0].ID != 1 || due[1].ID != 2 {
		t.Errorf("%+v", due)
	}
}

// yield lets an idle connection make room.
func yield(int64) bool { return true }
