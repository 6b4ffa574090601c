package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sandcourse/internal/endpoint"
)

func agentAt(t *testing.T, answer func(query string, w http.ResponseWriter, r *http.Request)) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(r.URL.RawQuery, w, r) }))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func list(generation int, whole bool, id, state string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":%q,"hostPort":"127.0.0.1:1","lifecycle":%q}]}`,
		generation, whole, id, state)
}

// The list known from before, the whole list, a change, an agent that stays silent, and another one in its
// place.
func TestAgent(t *testing.T) {
	heard := make(chan endpoint.List, 8)
	at := make(chan string, 1)
	asked := make(chan string, 8)
	first := agentAt(t, func(query string, w http.ResponseWriter, r *http.Request) {
		asked <- query
		switch {
		case query == "":
			fmt.Fprint(w, list(5, true, "a", "SERVING"))
		case strings.HasPrefix(query, "index=5&"):
			fmt.Fprint(w, list(6, false, "a", "DRAINING"))
		default:
			<-r.Context().Done() // silent
		}
	})
	second := agentAt(t, func(query string, w http.ResponseWriter, r *http.Request) {
		if query != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, list(7, true, "b", "SERVING"))
	})
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		defer close(over)
		Agent{At: at, Known: []byte(list(4, true, "z", "SERVING"))}.Run(ctx, func(l endpoint.List) { heard <- l }, func(error) {})
	}()
	expect := func(want string) {
		t.Helper()
		select {
		case l := <-heard:
			if got := fmt.Sprint(l.Revision, l.Engines[0].Engine, " ", l.Engines[0].State); got != want {
				t.Fatalf("%s, want %s", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s is not heard", want)
		}
	}
	expect("4z ready")
	at <- first
	expect("5a ready")
	expect("6a draining")
	for range 4 { // the silent call is given up and asked again
		if q := <-asked; strings.HasPrefix(q, "index=6&") {
			break
		}
	}
	at <- second
	expect("7b ready")
	cancel()
	<-over
}

// agentRun follows an agent at one address until the test ends; what it takes goes to heard.
func agentRun(t *testing.T, address string) (heard chan endpoint.List) {
	heard = make(chan endpoint.List, 64)
	at := make(chan string, 1)
	at <- address
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		defer close(over)
		Agent{At: at}.Run(ctx, func(l endpoint.List) {
			select {
			case heard <- l:
			default: // the test has seen enough
			}
		}, func(error) {})
	}()
	t.Cleanup(func() { cancel(); <-over })
	return heard
}

// A crowded agent sends its list steadily, and needs longer for it than a call may be held.
func TestSlowList(t *testing.T) {
	address := agentAt(t, func(query string, w http.ResponseWriter, r *http.Request) {
		if query != "" {
			<-r.Context().Done()
			return
		}
		whole := list(5, true, "a", "SERVING")
		for i := range whole {
			fmt.Fprint(w, whole[i:i+1])
			w.(http.Flusher).Flush()
			time.Sleep((wait + late + 600*time.Millisecond) / time.Duration(len(whole)))
		}
	})
	select {
	case <-agentRun(t, address):
	case <-time.After(8 * time.Second):
		t.Fatal("a list that comes steadily is never taken")
	}
}

// An answer that stops in its middle is given up soon, and asked for again.
func TestListThatStops(t *testing.T) {
	var calls atomic.Int64
	address := agentAt(t, func(query string, w http.ResponseWriter, r *http.Request) {
		whole := list(5, true, "a", "SERVING")
		if calls.Add(1) == 1 {
			fmt.Fprint(w, whole[:20])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, whole)
	})
	select {
	case <-agentRun(t, address):
	case <-time.After(4 * time.Second):
		t.Fatal("a list that stopped is not asked for again in time")
	}
}

// An agent that answers at once with nothing new must not be asked without a pause, whether it sends no changes, the same
// whole list again, or changes of a generation that has gone back.
func TestAnswersWithoutNews(t *testing.T) {
	for name, answer := range map[string]string{
		"nothing":        `{"generation":5,"reset":false,"instances":[]}`,
		"the same list":  list(5, true, "a", "SERVING"),
		"an older state": `{"generation":3,"reset":false,"instances":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			address := agentAt(t, func(query string, w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				if query == "" {
					fmt.Fprint(w, list(5, true, "a", "SERVING"))
					return
				}
				fmt.Fprint(w, answer)
			})
			<-agentRun(t, address)
			const looked = time.Second
			time.Sleep(looked) // what is counted is calls in a time
			if most := 3 * int64(looked/again); calls.Load() > most {
				t.Errorf("%d calls in %v, at most %d are fine", calls.Load(), looked, most)
			}
		})
	}
}

// The store of discovery was restored: its generation has gone back, and what it holds now counts.
func TestGenerationGoesBack(t *testing.T) {
	var restored atomic.Bool
	address := agentAt(t, func(query string, w http.ResponseWriter, r *http.Request) {
		switch {
		case !restored.Load():
			fmt.Fprint(w, list(50, true, "a", "SERVING"))
			restored.Store(true)
		case query == "":
			fmt.Fprint(w, list(3, true, "b", "SERVING"))
		case strings.HasPrefix(query, "index=50&"):
			fmt.Fprint(w, list(3, false, "a", "DELETED"))
		default:
			<-r.Context().Done()
		}
	})
	heard := agentRun(t, address)
	for {
		select {
		case l := <-heard:
			if l.Revision == 3 && l.Engines[0].Engine == "b" {
				return
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the list of the restored store is never taken")
		}
	}
}
