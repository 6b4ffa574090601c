package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol/platform"
)

// fixedSource is an endpoint.Source with one list that never changes.
type fixedSource []endpoint.Entry

func (s fixedSource) Run(ctx context.Context, apply func(endpoint.List), _ func(error)) {
	apply(endpoint.List{Revision: 1, Entries: s})
	<-ctx.Done()
}

// listSource is an endpoint.Source of the lists that a test sends to the channel.
type listSource chan endpoint.List

func (s listSource) Run(ctx context.Context, apply func(endpoint.List), _ func(error)) {
	for {
		select {
		case list := <-s:
			apply(list)
		case <-ctx.Done():
			return
		}
	}
}

const platformConfig = `{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":%d},
 "settings":{"areas":["a"],"zone":0,"index":0,"peers_total":1,"tick_us":4000,"flavors":["m1","m2"],"ceilings":{
 "try_limit":5,"cancel":true,"retry_after":true,"max_retry_after_us":1000000,"dial_timeout_us":250000},"report":{
 "how":"inline","fields":["x0","x1"]},"family_info":{"stage_of_kind":["read","write"],"pin_limit_us":1000000,
 "kind_memory_tokens":[100000,100000]},"classes":[{"name":"chat","effect":"retryable","worth":1,"objective_us":1000000},
 {"name":"alert","effect":"fragile","worth":5,"objective_us":1000000}],"obligations":{"drain_grace_us":250000}}}`

// startPlatformEdge starts an edge that uses the platform protocol, with one prefill and one decode engine.
func startPlatformEdge(t *testing.T, sockets int, configure func(*config.Deployment), prefill, decode *scriptedEngine) *edge.Edge {
	t.Helper()
	e := newPlatformEdge(t, sockets, configure, prefill, decode)
	startAndAwaitReady(t, e)
	return e
}

// newPlatformEdge returns an edge like startPlatformEdge, but does not start the edge.
func newPlatformEdge(t *testing.T, sockets int, configure func(*config.Deployment), prefill, decode *scriptedEngine) *edge.Edge {
	t.Helper()
	return newPlatformEdgeFrom(t, sockets, configure, fixedSource{readyEntry("s-1", "m1", prefill), readyEntry("s-2", "m2", decode)})
}

// readyEntry returns the endpoint entry of an engine that is ready.
func readyEntry(id, kind string, engine *scriptedEngine) endpoint.Entry {
	return endpoint.Entry{ID: id, Address: engine.addr, Kind: kind, Zone: "a", Weight: 1, State: endpoint.Ready}
}

// newPlatformEdgeFrom returns an edge that uses the platform protocol and a given endpoint source. The edge is not started.
func newPlatformEdgeFrom(t *testing.T, sockets int, configure func(*config.Deployment), source endpoint.Source) *edge.Edge {
	t.Helper()
	return newLoggedPlatformEdge(t, sockets, configure, source, zap.NewNop())
}

// newLoggedPlatformEdge is newPlatformEdgeFrom with a logger.
func newLoggedPlatformEdge(t *testing.T, sockets int, configure func(*config.Deployment), source endpoint.Source, log *zap.Logger) *edge.Edge {
	t.Helper()
	configuration, err := platform.ParseNodeConfig("test", fmt.Appendf(nil, platformConfig, sockets))
	if err != nil {
		t.Fatal(err)
	}
	deployment, err := configuration.Deployment("test")
	if err != nil {
		t.Fatal(err)
	}
	deployment.ChatAddress = "127.0.0.1:0"
	if configure != nil {
		configure(deployment)
	}
	return edge.NewWithProtocol(deployment, log, source, 1, platform.NewCodec(configuration.LoadReportFields()))
}

func startAndAwaitReady(t *testing.T, e *edge.Edge) {
	t.Helper()
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if r, err := http.Get("http://" + e.Addr() + "/_health"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("edge is not ready within 5 s")
		}
	}
}

// postChat sends one request, and reads until the response or the connection ends.
func postChat(t *testing.T, e *edge.Edge, name, route string) (status int, body string, err error) {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, "http://"+e.Addr()+"/v1/chat/completions", strings.NewReader(`{"model":"chat"}`))
	for k, v := range map[string]string{"Request-Id": name, "Request-Class": route, "Affinity-Key": "k", "Request-Timeout": "3.0"} {
		r.Header.Set(k, v)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// callRepeatedly sends requests over one connection until one fails, and returns how many succeeded, and the time until the
// last success.
func callRepeatedly(e *edge.Edge, namePrefix string) (served int, servedFor time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}
	startedAt := time.Now()
	for ; time.Since(startedAt) < 10*time.Second; served++ {
		r, _ := http.NewRequest(http.MethodPost, "http://"+e.Addr()+"/v1/chat/completions", strings.NewReader("{}"))
		for k, v := range map[string]string{"Request-Id": fmt.Sprint(namePrefix, served), "Request-Class": "chat", "Request-Timeout": "3"} {
			r.Header.Set(k, v)
		}
		response, err := client.Do(r)
		if err != nil {
			break
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != 200 {
			break
		}
		servedFor = time.Since(startedAt)
	}
	return served, servedFor
}
