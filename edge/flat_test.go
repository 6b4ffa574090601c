package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"

	"sandcourse/edge"
)

// askOnce is a client that comes once, with a session, a beginning and a name of its own.
func askOnce(t *testing.T, n *edge.Node, i int) {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, "http://"+n.Addr()+"/v1/chat/completions", strings.NewReader("{}"))
	for name, value := range map[string]string{"Request-Id": fmt.Sprint("once", i), "Request-Class": "chat",
		"Request-Timeout": "9", "Affinity-Key": fmt.Sprint("session", i),
		"Request-Info": fmt.Sprintf("prefix=%d,prompt_len=900,prefix_len=500,max_out=9", i)} {
		r.Header.Set(name, value)
	}
	answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != 200 {
		t.Fatal(answer.Status, err)
	}
}

// descriptors counts those of this process.
func descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("this system does not list descriptors:", err)
	}
	return len(entries)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Clients, sessions, beginnings and names that are always new leave nothing behind for good: descriptors come back, and
// what a node remembers has bounds. Names and pairs have the largest, some thousand entries of a hundred bytes or two.
func TestAlwaysNewClientsLeaveNothingBehind(t *testing.T) {
	n := onPlatform(t, 1024, nil, newBox(t, "127.0.0.2", always(heldWire)), newBox(t, "127.0.0.3", always(wholeStream)))
	defer n.Stop()
	const requests = 500
	for i := range requests {
		askOnce(t, n, i)
	}
	memory, open := heap(), descriptors(t)
	for i := range requests {
		askOnce(t, n, requests+i)
	}
	const perRequest = 1024
	if grown := int(heap()) - int(memory); grown > requests*perRequest {
		t.Errorf("%d bytes more after as many requests again", grown)
	}
	until(t, "descriptors come back", func() bool { return descriptors(t) <= open+4 })
}
