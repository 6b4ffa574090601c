package discover

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sandcourse/roster"
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
	heard := make(chan roster.List, 8)
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
		Agent{At: at, Known: []byte(list(4, true, "z", "SERVING"))}.Run(ctx, func(l roster.List) { heard <- l }, func(error) {})
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
