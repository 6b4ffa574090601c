package admission

import (
	"testing"

	"pgregory.net/rapid"
)

func limits(conns, open, bytes int) Limits {
	return Limits{Connections: conns, OpenRequests: open, BufferedBytes: bytes, HeaderTimeout: 10, BodyTimeout: 20, IdleTimeout: 50, DrainTimeout: 5}
}

// Random days of one gate: no bound is passed, what is given back is gone, and a party that holds nothing is
// only refused where the node is full.
func TestController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := limits(rapid.IntRange(1, 6).Draw(t, "conns"), rapid.IntRange(1, 8).Draw(t, "open"), 100)
		ct := New(b)
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
				if ct.AcceptConnection(id, now, func(evict int64) bool {
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
					ct.Handle(c, Event(rapid.IntRange(int(HeaderStarted), int(AllAnswered)).Draw(t, "input")), now)
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
					switch ct.Admit(c, party) {
					case Admitted:
						open = append(open, taken{c, party})
					case QuotaExceeded:
						if held == 0 {
							t.Fatal("a party that holds nothing was told that it has its share")
						}
					}
					break
				}
			case 3:
				if len(open) > 0 {
					ct.Release(open[0].conn, open[0].party)
					open = open[1:]
				}
			case 4:
				for c := range live {
					more := rapid.IntRange(0, 60).Draw(t, "bytes")
					ct.AddBytes(c, more)
					live[c] += more
					break
				}
			case 5:
				for c := range live {
					ct.Handle(c, ConnectionClosed, now)
					delete(live, c)
					break
				}
			}
			sum := 0
			for _, n := range live {
				sum += n
			}
			conns, opened, bytes := ct.Usage()
			if conns != len(live) || conns > b.Connections || opened != len(open) || opened > b.OpenRequests || bytes != sum {
				t.Fatalf("holds %d %d %d, want %d %d %d", conns, opened, bytes, len(live), len(open), sum)
			}
		}
	})
}

func TestFloodingClientLeavesCapacityForOthers(t *testing.T) {
	ct := New(limits(10, 100, 1))
	ct.AcceptConnection(1, 0, yield)
	ct.AcceptConnection(2, 0, yield)
	flood := 0
	for ct.Admit(1, "flood") == Admitted {
		flood++
	}
	for ct.Admit(2, "other") == Admitted {
	}
	if _, open, _ := ct.Usage(); flood < 75 || flood > 100 || open != 100 {
		t.Errorf("the flood took %d of %d", flood, open)
	}
	ct.Release(1, "flood")
	if got := ct.Admit(1, "flood"); got != QuotaExceeded {
		t.Errorf("a full node gives the flood its place back: %v", got)
	}
	if got := ct.Admit(2, "other"); got != Admitted {
		t.Errorf("and not the other: %v", got)
	}
}

func TestTimeoutsAndBufferedBytes(t *testing.T) {
	ct := New(limits(2, 1, 100))
	ct.AcceptConnection(1, 0, yield)
	ct.AcceptConnection(2, 0, yield)
	ct.Handle(1, HeaderStarted, 1)
	for now := int64(2); now < 11; now++ {
		ct.Handle(1, HeaderStarted, now) // trickling bytes do not renew the time
	}
	if due := ct.Expired(12); len(due) != 1 || due[0] != (ExpiredConnection{1, ReadingHeader}) {
		t.Errorf("%v", due)
	}
	ct.Handle(2, HeaderComplete, 12)
	ct.AddBytes(1, 40)
	ct.AddBytes(2, 70)
	if got := ct.LargestUnfinished(); got != 2 {
		t.Errorf("the fattest is %d", got)
	}
	ct.Handle(2, ConnectionClosed, 13)
	if got := ct.LargestUnfinished(); got != 0 {
		t.Errorf("bytes of the closed still count: %d", got)
	}
}

// Who dribbles a first call in, or says nothing, has one time for all of it; who was served has each call's
// own.
func TestFirstRequestHasOneTimeout(t *testing.T) {
	b := limits(9, 9, 100)
	b.FirstRequestTimeout = 12
	ct := New(b)
	for id := int64(1); id <= 3; id++ {
		ct.AcceptConnection(id, 1, yield)
	}
	ct.Handle(2, HeaderStarted, 9) // late, and then slow
	ct.Handle(3, RequestComplete, 2)
	ct.Handle(3, AllAnswered, 3)
	if !ct.ServedAndIdle(3) || ct.ServedAndIdle(1) {
		t.Error("who was served, and only that, is quiet")
	}
	if due := ct.Expired(14); len(due) != 2 || due[0].ID != 1 || due[1].ID != 2 {
		t.Errorf("%+v", due)
	}
}

// yield lets an idle connection make room.
func yield(int64) bool { return true }
