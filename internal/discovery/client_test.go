package discovery

import (
	"context"
	"errors"
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

// startClient runs a client until the test ends or stop is called.
func startClient(t *testing.T, client Client, onList func(endpoint.List), onError func(error)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(ctx, onList, onError)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func ignoreError(error) {}

// addressOf returns an address channel for a client whose agent never changes.
func addressOf(address string) <-chan string {
	addresses := make(chan string, 1)
	addresses <- address
	return addresses
}

// expectList waits for a list and compares its revision, and the ID and state of its first engine.
func expectList(t *testing.T, lists <-chan endpoint.List, want string) {
	t.Helper()
	select {
	case l := <-lists:
		if got := fmt.Sprint(l.Revision, l.Entries[0].ID, " ", l.Entries[0].State); got != want {
			t.Fatalf("list %s, want %s", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("timeout waiting for the list %s", want)
	}
}

// A client reports the cached list, a snapshot and a change. If the agent becomes unresponsive, the client retries, and then
// follows the agent at the new address.
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
			<-r.Context().Done() // The agent is unresponsive.
		}
	})
	second := startAgent(t, func(query string, w http.ResponseWriter, r *http.Request) {
		if query != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, listJSON(7, true, "b", "SERVING"))
	})
	startClient(t, Client{Addresses: addresses, Cached: []byte(listJSON(4, true, "z", "SERVING"))},
		func(l endpoint.List) { lists <- l }, ignoreError)
	expectList(t, lists, "4z ready")
	addresses <- first
	expectList(t, lists, "5a ready")
	expectList(t, lists, "6a draining")
	for range 4 { // The request without a response is abandoned and retried.
		if q := <-queries; strings.HasPrefix(q, "index=6&") {
			break
		}
	}
	addresses <- second
	expectList(t, lists, "7b ready")
}

// runClient runs a client of one agent until the test ends, and returns a channel that receives the client's lists.
func runClient(t *testing.T, address string) (lists chan endpoint.List) {
	lists = make(chan endpoint.List, 64)
	startClient(t, Client{Addresses: addressOf(address)}, func(l endpoint.List) {
		select {
		case lists <- l:
		default: // The test needs no more lists.
		}
	}, ignoreError)
	return lists
}

// A list is accepted from an overloaded agent that sends it slowly but steadily, for longer than the wait of the watch.
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
		t.Fatal("a list that arrives slowly but steadily is never accepted")
	}
}

// A response whose body stalls is abandoned after bodyIdleTimeout, and the request is retried.
func TestStalledResponseIsRetried(t *testing.T) {
	var requests atomic.Int64
	address := startAgent(t, func(query string, w http.ResponseWriter, r *http.Request) {
		response := listJSON(5, true, "a", "SERVING")
		if requests.Add(1) == 1 {
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
		t.Fatal("the request is not retried in time")
	}
}

// A client limits its request rate to an agent that responds immediately without changes: with no instances, with the same
// snapshot again, or with an older generation.
func TestResponsesWithoutChangesAreRateLimited(t *testing.T) {
	for name, response := range map[string]string{
		"nothing":        `{"generation":5,"reset":false,"instances":[]}`,
		"the same list":  listJSON(5, true, "a", "SERVING"),
		"an older state": `{"generation":3,"reset":false,"instances":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			address := startAgent(t, func(query string, w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				if query == "" {
					fmt.Fprint(w, listJSON(5, true, "a", "SERVING"))
					return
				}
				fmt.Fprint(w, response)
			})
			<-runClient(t, address)
			const observed = time.Second
			time.Sleep(observed) // Requests in this time are counted.
			if most := 3 * int64(observed/minRequestInterval); requests.Load() > most {
				t.Errorf("%d requests in %v, at most %d are allowed", requests.Load(), observed, most)
			}
		})
	}
}

// The generation is lower than before because the store of the discovery service was restored. Its current list is accepted.
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
			t.Fatal("the list of the restored store is never accepted")
		}
	}
}

// Errors are typed, errors of an agent have its address, and a persistent error is reported once.
func TestErrorsAreTypedAndReportedOnce(t *testing.T) {
	address := startAgent(t, func(query string, w http.ResponseWriter, _ *http.Request) {
		if query == "" {
			fmt.Fprint(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"a"}]}`)
			return
		}
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
	})
	errs := make(chan error, 64)
	stop := startClient(t, Client{Addresses: addressOf(address), Cached: []byte("{")}, func(endpoint.List) {},
		func(err error) { errs <- err })
	if err := <-errs; !errors.Is(err, endpoint.ErrMalformed) {
		t.Errorf("a malformed cached list: %v", err)
	}
	var invalid *InvalidInstancesError
	if err := <-errs; !errors.As(err, &invalid) || len(invalid.IDs) != 1 || invalid.IDs[0] != "a" {
		t.Errorf("an invalid instance: %v", err)
	}
	var status *StatusError
	if err := <-errs; !errors.As(err, &status) || !strings.Contains(err.Error(), address) {
		t.Errorf("an overloaded agent: %v", err)
	}
	time.Sleep(3 * minRequestInterval)
	stop()
	if len(errs) > 0 {
		t.Errorf("reported again: %v", <-errs)
	}
}
