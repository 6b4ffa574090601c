package admission

import (
	"testing"

	"pgregory.net/rapid"
)

func limits(connections, open, bytes int) Limits {
	return Limits{Connections: connections, OpenRequests: open, BufferedBytes: bytes, HeaderTimeout: 10, BodyTimeout: 20,
		IdleTimeout: 50, DrainTimeout: 5}
}

// Whatever happens to a controller: no limit is exceeded, what is released is free again, and a client without open requests
// is rejected only where the router is full.
func TestController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := limits(rapid.IntRange(1, 6).Draw(t, "connections"), rapid.IntRange(1, 8).Draw(t, "open"), 100)
		ct := New(bounds)
		type admitted struct {
			connection int64
			client     string
		}
		var open []admitted
		live := map[int64]int{}
		reading := map[int64]bool{} // a request is about to arrive, so it may not be closed
		now := int64(0)
		for id := int64(1); id < 80; id++ {
			now += rapid.Int64Range(0, 8).Draw(t, "time")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
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
					ct.Handle(c, Event(rapid.IntRange(int(HeaderStarted), int(AllAnswered)).Draw(t, "event")), now)
					break
				}
			case 2:
				client := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "client")
				for c := range live {
					openOfClient := 0
					for _, other := range open {
						if other.client == client {
							openOfClient++
						}
					}
					switch ct.Admit(c, client) {
					case Admitted:
						open = append(open, admitted{c, client})
					case QuotaExceeded:
						if openOfClient == 0 {
							t.Fatal("a client without open requests has exceeded its quota")
						}
					}
					break
				}
			case 3:
				if len(open) > 0 {
					ct.Release(open[0].connection, open[0].client)
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
			connections, opened, bytes := ct.Usage()
			if connections != len(live) || connections > bounds.Connections || opened != len(open) || opened > bounds.OpenRequests || bytes != sum {
				t.Fatalf("usage is %d %d %d, want %d %d %d", connections, opened, bytes, len(live), len(open), sum)
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
		t.Errorf("the flooding client has %d of %d", flood, open)
	}
	ct.Release(1, "flood")
	if got := ct.Admit(1, "flood"); got != QuotaExceeded {
		t.Errorf("a full router admits the flooding client again: %v", got)
	}
	if got := ct.Admit(2, "other"); got != Admitted {
		t.Errorf("and not the other client: %v", got)
	}
}

func TestTimeoutsAndBufferedBytes(t *testing.T) {
	ct := New(limits(2, 1, 100))
	ct.AcceptConnection(1, 0, yield)
	ct.AcceptConnection(2, 0, yield)
	ct.Handle(1, HeaderStarted, 1)
	for now := int64(2); now < 11; now++ {
		ct.Handle(1, HeaderStarted, now) // a slow header does not extend its timeout
	}
	if expired := ct.Expired(12); len(expired) != 1 || expired[0] != (ExpiredConnection{1, ReadingHeader}) {
		t.Errorf("%v", expired)
	}
	ct.Handle(2, HeaderComplete, 12)
	ct.AddBytes(1, 40)
	ct.AddBytes(2, 70)
	if got := ct.LargestUnfinished(); got != 2 {
		t.Errorf("the largest unfinished connection is %d", got)
	}
	ct.Handle(2, ConnectionClosed, 13)
	if got := ct.LargestUnfinished(); got != 0 {
		t.Errorf("the bytes of a closed connection still count: %d", got)
	}
}

// A connection whose first request arrives slowly, or not at all, has one timeout for all of it; after a complete request each
// further one has its own.
func TestFirstRequestHasOneTimeout(t *testing.T) {
	bounds := limits(9, 9, 100)
	bounds.FirstRequestTimeout = 12
	ct := New(bounds)
	for id := int64(1); id <= 3; id++ {
		ct.AcceptConnection(id, 1, yield)
	}
	ct.Handle(2, HeaderStarted, 9) // starts late, and is slow then
	ct.Handle(3, RequestComplete, 2)
	ct.Handle(3, AllAnswered, 3)
	if !ct.ServedAndIdle(3) || ct.ServedAndIdle(1) {
		t.Error("a connection that was served, and only that, is served and idle")
	}
	if expired := ct.Expired(14); len(expired) != 2 || expired[0].ID != 1 || expired[1].ID != 2 {
		t.Errorf("%+v", expired)
	}
}

// yield lets any idle connection be closed.
func yield(int64) bool { return true }
