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

func startAgent(t *testing.T, handle func(query string, w http.ResponseWriter, r *http.Request)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(r.URL.RawQuery, w, r) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func listJSON(generation int, snapshot bool, id, state string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":%q,"hostPort":"127.0.0.1:1","lifecycle":%q}]}`,
		generation, snapshot, id, state)
}

// The list known from before, the whole list, a change, an agent that stays silent, and another one in its
// place.
func TestClientFollowsAgents(t *testing.T) {
	lists := make(chan endpoint.List, 8)
	addresses := make(chan string, 1)
	queries := make(chan string, 8)
	first := startAgent(t, func(query string, w http.ResponseWriter, r *http.Request) {
		queries <- query
		switch {
		case query == "":
			fmt.Fprint(w, listJSON(5, true, "a", "SERVING"))
		case strings.HasPrefix(query, "index=5&"):
			fmt.Fprint(w, listJSON(6, false, "a", "DRAINING"))
		default:
			<-r.Context().Done() // silent
		}
	})
	second := startAgent(t, func(query string, w http.ResponseWriter, r *http.Request) {
		if query != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, listJSON(7, true, "b", "SERVING"))
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Client{Addresses: addresses, Cached: []byte(listJSON(4, true, "z", "SERVING"))}.Run(ctx, func(l endpoint.List) { lists <- l }, func(error) {})
	}()
	expect := func(want string) {
		t.Helper()
		select {
		case l := <-lists:
			if got := fmt.Sprint(l.Revision, l.Entries[0].ID, " ", l.Entries[0].State); got != want {
				t.Fatalf("%s, want %s", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s is not heard", want)
		}
	}
	expect("4z ready")
	addresses <- first
	expect("5a ready")
	expect("6a draining")
	for range 4 { // the silent call is given up and asked again
		if q := <-queries; strings.HasPrefix(q, "index=6&") {
			break
		}
	}
	addresses <- second
	expect("7b ready")
	cancel()
	<-done
}

// runClient follows an agent at one address until the test ends; what it takes goes to heard.
func runClient(t *testing.T, address string) (lists chan endpoint.List) {
	lists = make(chan endpoint.List, 64)
	addresses := make(chan string, 1)
	addresses <- address
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Client{Addresses: addresses}.Run(ctx, func(l endpoint.List) {
			select {
			case lists <- l:
			default: // the test has seen enough
			}
		}, func(error) {})
	}()
	t.Cleanup(func() { cancel(); <-done })
	return lists
}

// A crowded agent sends its list steadily, and needs longer for it than a call may be held.
func TestSlowResponseIsAccepted(t *testing.T) {
	address := startAgent(t, func(query string, w http.ResponseWriter, r *http.Request) {
		if query != "" {
			<-r.Context().Done()
			return
		}
		response := listJSON(5, true, "a", "SERVING")
		for i := range response {
			fmt.Fprint(w, response[i:i+1])
			w.(http.Flusher).Flush()
			time.Sleep((watchWait + responseGrace + 600*time.Millisecond) / time.Duration(len(response)))
		}
	})
	select {
	case <-runClient(t, address):
	case <-time.After(8 * time.Second):
		t.Fatal("a list that comes steadily is never taken")
	}
}

// An answer that stops in its middle is given up soon, and asked for again.
func TestStalledResponseIsRetried(t *testing.T) {
	var calls atomic.Int64
	address := startAgent(t, func(query string, w http.ResponseWriter, r *http.Request) {
		response := listJSON(5, true, "a", "SERVING")
		if calls.Add(1) == 1 {
			fmt.Fprint(w, response[:20])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, response)
	})
	select {
	case <-runClient(t, address):
	case <-time.After(4 * time.Second):
		t.Fatal("a list that stopped is not asked for again in time")
	}
}

// An agent that answers at once with nothing new must not be asked without a pause, whether it sends no changes, the same
// whole list again, or changes of a generation that has gone back.
func TestResponsesWithoutChangesAreRateLimited(t *testing.T) {
	for name, response := range map[string]string{
		"nothing":        `{"generation":5,"reset":false,"instances":[]}`,
		"the same list":  listJSON(5, true, "a", "SERVING"),
		"an older state": `{"generation":3,"reset":false,"instances":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			address := startAgent(t, func(query string, w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				if query == "" {
					fmt.Fprint(w, listJSON(5, true, "a", "SERVING"))
					return
				}
				fmt.Fprint(w, response)
			})
			<-runClient(t, address)
			const observed = time.Second
			time.Sleep(observed) // what is counted is calls in a time
			if most := 3 * int64(observed/minCallInterval); calls.Load() > most {
				t.Errorf("%d calls in %v, at most %d are fine", calls.Load(), observed, most)
			}
		})
	}
}

// The store of discovery was restored: its generation has gone back, and what it holds now counts.
func TestGenerationRollback(t *testing.T) {
	var restored atomic.Bool
	address := startAgent(t, func(query string, w http.ResponseWriter, r *http.Request) {
		switch {
		case !restored.Load():
			fmt.Fprint(w, listJSON(50, true, "a", "SERVING"))
			restored.Store(true)
		case query == "":
			fmt.Fprint(w, listJSON(3, true, "b", "SERVING"))
		case strings.HasPrefix(query, "index=50&"):
			fmt.Fprint(w, listJSON(3, false, "a", "DELETED"))
		default:
			<-r.Context().Done()
		}
	})
	lists := runClient(t, address)
	for {
		select {
		case l := <-lists:
			if l.Revision == 3 && l.Entries[0].ID == "b" {
				return
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the list of the restored store is never taken")
		}
	}
}
