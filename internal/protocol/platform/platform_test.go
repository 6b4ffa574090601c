package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config/script"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/routing"
)

const sampleHead = "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n" +
	"Request-Class: chat\r\nAffinity-Key: 7f3a\r\nRequest-Timeout: 4.800\r\nContent-Type: application/json\r\n" +
	"Request-Info: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n"

func parse(t testing.TB, head, body string) (*protocol.Request, *protocol.Response) {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)))))
	if err != nil {
		t.Skip()
	}
	call, _, wrong := NewCodec(nil).ParseRequest(r, []byte(body))
	return call, wrong
}

// What a client asks reaches an engine unchanged, and the module hears the lengths that the client told.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	const body = `{"model":"chat","max_tokens":800}`
	c, wrong := parse(t, sampleHead+"Client-Retry: again\r\n", body)
	if wrong != nil || c.PromptTokens != 5120 || c.PrefixTokens != 2048 || c.Prefix != "5c0f" || c.MaxOutputTokens != 800 ||
		c.FirstTokenTimeout != 4800*time.Millisecond || !c.Resumes || !c.Idempotent || c.Route != "chat" || c.Session != "7f3a" {
		t.Fatalf("%+v %v", c, wrong)
	}
	sent, err := NewCodec(nil).PrefillRequest(c, c.ID, protocol.Target{Address: "127.0.0.9:1"}, 0, 1500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	pieces, err := httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: 1 << 14, BodyBytes: 1 << 14}).Feed(sent)
	if err != nil || len(pieces) != 3 || string(pieces[1].Data) != body {
		t.Fatal(pieces, err)
	}
	r := pieces[0].Request
	if r.RequestURI != "/v1/chat/completions?x=1" || r.Header.Get(HeaderRequestID) != "9b1f03aa5c7e2d41" ||
		r.Header.Get(HeaderTimeout) != "1.500" || r.Header.Get("Content-Type") != "application/json" {
		t.Fatalf("%s %v", r.RequestURI, r.Header)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	with := func(name, value string) string {
		var row []string
		for line := range strings.SplitAfterSeq(sampleHead, "\r\n") {
			if strings.HasPrefix(line, name+":") {
				line = strings.TrimRight(name+": "+value, " ") + "\r\n"
				if value == "" {
					line = ""
				}
			}
			row = append(row, line)
		}
		return strings.Join(row, "")
	}
	for what, head := range map[string]string{"no name": with(HeaderRequestID, ""), "a path": with(HeaderRequestID, "../x"),
		"long name": with(HeaderRequestID, strings.Repeat("a", 200)), "two names": sampleHead + "Request-Id: b\r\n",
		"no route": with(HeaderRequestClass, ""), "no time": with(HeaderTimeout, ""), "words": with(HeaderTimeout, "soon"),
		"not a number": with(HeaderTimeout, "nan"), "endless": with(HeaderTimeout, "inf"), "past": with(HeaderTimeout, "-1"),
		"negative length": with(HeaderRequestInfo, "prompt_len=-1"), "huge length": with(HeaderRequestInfo, "max_out=99999999999"),
	} {
		if c, wrong := parse(t, head, "{}"); wrong == nil || wrong.Status/100 != 4 {
			t.Errorf("%s: taken as %+v", what, c)
		}
	}
	for _, body := range []string{"", "[]", "{", "\xff", "null"} {
		if c, wrong := parse(t, sampleHead, body); wrong == nil {
			t.Errorf("body %q: taken as %+v", body, c)
		}
	}
}

// No status says that nothing ran without the engine's own word.
func TestClassifyResponse(t *testing.T) {
	for _, c := range []struct {
		status       int
		word, stream bool
		read, write  attempt.Event
	}{
		{200, false, true, attempt.MalformedResponse, attempt.SuccessStatus}, {200, false, false, attempt.MalformedResponse, attempt.MalformedResponse},
		{202, false, false, attempt.SuccessStatus, attempt.MalformedResponse}, {204, false, false, attempt.MalformedResponse, attempt.MalformedResponse},
		{500, false, false, attempt.ErrorStatus, attempt.ErrorStatus}, {500, true, false, attempt.ErrorStatus, attempt.ErrorStatus},
		{503, false, false, attempt.ErrorStatus, attempt.ErrorStatus}, {503, true, false, attempt.Rejected, attempt.Rejected},
		{504, true, false, attempt.Rejected, attempt.Rejected}, {410, true, false, attempt.ReservationNotFound, attempt.ReservationNotFound},
		{410, false, false, attempt.ErrorStatus, attempt.ErrorStatus}, {400, true, false, attempt.ErrorStatus, attempt.ErrorStatus},
	} {
		head := &http.Response{StatusCode: c.status, Header: http.Header{}}
		if c.word {
			head.Header.Set(HeaderNotStarted, "1")
		}
		if c.stream {
			head.Header.Set("Content-Type", "text/event-stream")
		}
		d := NewCodec(nil)
		if r, w := d.ClassifyResponse(head, false), d.ClassifyResponse(head, true); r != c.read || w != c.write {
			t.Errorf("%+v: read %v, write %v", c, r, w)
		}
	}
}

func TestParseLoadComment(t *testing.T) {
	d := NewCodec([]string{"x0", "x1"})
	for text, sane := range map[string]bool{"TEXT x0=0.5, x1=2": true, "x0=0.5,x1=2,new=1": true, "TEXT x0=0.5": false,
		"TEXT x0=0.5, x1=nan": false, "TEXT x0=0.5, x1=-1": false, "TEXT x0=0.5, x1=inf": false, "{": false, "": false,
		"TEXT x0=0.5, x1": false, strings.Repeat("x0=1,", 1000) + "x1=1": false} {
		got := d.ParseLoadComment([]byte(" Server-Load: " + text))
		if (got != nil) != sane || sane && *got != (routing.LoadReport{MemoryShare: 0.5, QueuedWork: 2}) {
			t.Errorf("%.40q: %v", text, got)
		}
	}
	if d.ParseLoadComment([]byte(" keep-alive")) != nil || NewCodec(nil).ParseLoadComment([]byte(" Server-Load: TEXT x0=1, x1=1")) != nil {
		t.Error("a comment that is no report counts as one")
	}
}

// A stream's events come out as they went in, whatever they hold, and a stream that broke has no last chunk.
func TestEventsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewCodec(nil)
		data := rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "event")
		completed := rapid.Bool().Draw(t, "completed")
		last, keep := d.StreamEnd(completed, "why")
		wire := append(append(d.StreamHead("n"), d.StreamEvent([]byte(data))...), last...)
		pieces, err := httpframing.NewParser(httpframing.Responses, httpframing.Limits{HeadBytes: 1 << 14, BodyBytes: 1 << 14}).Feed(wire)
		var body []byte
		ended := false
		for _, p := range pieces {
			body = append(body, p.Data...)
			ended = ended || p.Kind == httpframing.End
		}
		if err != nil || string(body) != "data: "+data+"\n\n" || ended != completed || keep != completed {
			t.Fatalf("%q, ended %v, kept %v, %v", body, ended, keep, err)
		}
		events := 0
		if chat.NewDecoder(1<<10).Feed(body, func([]byte) { events++ }) != nil || events != 1 {
			t.Fatal(events)
		}
	})
}

func FuzzParseRequest(f *testing.F) {
	f.Add(sampleHead, "{}")
	f.Add(sampleHead+"Request-Info: a=b,,=,prefix\r\n", "{}")
	f.Fuzz(func(t *testing.T, head, body string) {
		c, wrong := parse(t, head, body)
		if c == nil {
			return
		}
		if wrong != nil || c.FirstTokenTimeout <= 0 || c.FirstTokenTimeout > maxTimeout || c.PromptTokens < 0 || c.MaxOutputTokens < 0 || c.PromptTokens > maxTokens+len(body) {
			t.Fatalf("%+v %v", c, wrong)
		}
		for _, wire := range [][]byte{NewCodec(nil).ReleaseRequest(protocol.Target{Address: "h:1"}, c.ID, 0), func() []byte {
			b, _ := NewCodec(nil).DecodeRequest(c, c.ID, protocol.Target{Address: "h:1"}, nil, time.Second)
			return b
		}()} {
			cutter := httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: 1 << 20, BodyBytes: 1 << 20})
			if pieces, err := cutter.Feed(wire); err != nil || !cutter.AtBoundary() || pieces[0].Request.Header.Get("Host") != "" {
				t.Fatalf("%q is not one request: %v", wire, err)
			}
		}
	})
}

func FuzzEngineResponses(f *testing.F) {
	f.Add(`{"cached_tokens":4096}`, "TEXT x0=1, x1=2")
	f.Fuzz(func(t *testing.T, body, load string) {
		d := NewCodec([]string{"x0"})
		if _, kept, err := d.ParseReservation([]byte(body)); err == nil && kept < 0 {
			t.Fatal(kept)
		}
		r := d.ParseLoadReport(&http.Response{Header: http.Header{HeaderLoadReport: {load}}}, []byte(body))
		if r == nil {
			return
		}
		for _, v := range []float64{r.MemoryShare, r.QueuedWork, r.RecentLatency.Seconds() * 1e3} {
			if !(v >= 0 && v <= 1e9) {
				t.Fatal(v)
			}
		}
	})
}

const sampleConfig = `{"name":"n3","listen":"127.0.0.4:3000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":32,"sockets":256},"peers":["127.3.0.1:7946","127.3.0.2:7946"],"settings":{
 "areas":["dc1","dc2"],"zone":1,"index":1,"peers_total":2,"tick_us":4000,"flavors":["prefill","decode"],
 "ceilings":{"try_limit":5,"conn_idle_us":15000000,"dial_timeout_us":250000,"probes":true,"retry_after":true,
 "max_retry_after_us":1000000},"report":{"how":"inline","fields":["x0","x1"]},
 "family_info":{"stage_of_kind":["read","write"],"pin_limit_us":1000000,"kind_memory_tokens":[10,20]},
 "classes":[{"name":"chat","effect":"fragile","worth":5,"objective_us":800000,"deadline_us":3000000}]}}`

// The settings reach the module by the same translation as the simulator's, and what a node may hold fits its
// limits.
func TestDeployment(t *testing.T) {
	m, err := ParseNodeConfig("c", []byte(sampleConfig))
	if err != nil {
		t.Fatal(err)
	}
	d, err := m.Deployment("c")
	if err != nil {
		t.Fatal(err)
	}
	c := d.RoutingConfig()
	if c.Routes[0].Effect != routing.NonRetriable || c.Routes[0].FirstTokenObjective != 800*time.Millisecond || c.Zone != 1 ||
		d.Role("decode") != "write" || d.Route("chat") != 0 || d.NodeNumber != 1 || fmt.Sprint(m.LoadReportFields()) != "[x0 x1]" {
		t.Errorf("%+v %+v", d, c)
	}
	if c.ReservationLimit != 625*time.Millisecond {
		t.Errorf("decisions may use a reservation for %v, which leaves no time to release it", c.ReservationLimit)
	}
	if d.Limits.Connections+d.Connections.Total+reservedSockets > 256 || d.Limits.Connections < 256/3 || d.Limits.BufferedBytes+d.QueueBytes > 16<<20 {
		t.Errorf("%+v %+v do not fit", d.Limits, d.Connections)
	}
}

func TestInvalidConfigReportsAllFaults(t *testing.T) {
	for old, with := range map[string]string{`"pin_limit_us":1000000`: `"pin_limit_us":0`, `"pin_limit_us":1000000,`: `"pin_limit_us":-5,`,
		`"tick_us":4000`: `"tick_us":200000`, `_limit_us":1000000`: `_limit_us":"long"`, `limit_us":1000000`: `limit_us":1000`,
		`"127.0.0.4:3000"`: `"nowhere"`, `"fragile"`: `"odd"`, `"sockets":256`: `"sockets":9`,
		`["read","write"]`: `["read","read"]`, `"settings":{`: `"else":{`, `{"name"`: `{`, `"index":1`: `"index":7`} {
		m, err := ParseNodeConfig("c", []byte(strings.Replace(sampleConfig, old, with, 1)))
		if err == nil {
			_, err = m.Deployment("c")
		}
		var faults script.Faults
		if !errors.As(err, &faults) || !bytes.HasPrefix([]byte(faults[0].Error()), []byte("c: ")) {
			t.Errorf("%s: %v", with, err)
		}
	}
}

// Found on settings with a deduplicated class: engines want their clients' idempotency key, and the node dropped each
// field that it did not know. What concerns one connection only ends here, and nothing stands twice.
func TestHeaderFieldsAreForwarded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`X-[a-z]{1,8}`).Draw(t, "name")
		value := rapid.StringMatching(`[!-~]([ -~]{0,20}[!-~])?`).Draw(t, "value")
		listed := rapid.Bool().Draw(t, "listed in Connection")
		head := sampleHead + "Idempotency-Key: \"8e03978e\"\r\nTE: trailers\r\nKeep-Alive: 5\r\n" + name + ": " + value + "\r\n"
		if listed {
			head += "Connection: keep-alive, " + name + "\r\n"
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "Content-Length: 2\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		call, _, wrong := NewCodec(nil).ParseRequest(r, []byte("{}"))
		if wrong != nil {
			t.Fatalf("%s", wrong.Body)
		}
		wire, err := NewCodec(nil).DecodeRequest(call, call.ID, protocol.Target{Address: "h:1"}, nil, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		sent, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(wire)))
		if err != nil {
			t.Fatalf("%v: %q", err, wire)
		}
		for field, want := range map[string][]string{"Idempotency-Key": {`"8e03978e"`}, "Content-Type": {"application/json"},
			"Request-Id": {"9b1f03aa5c7e2d41"}, "Request-Timeout": {"1.000"}, "Te": nil, "Keep-Alive": nil, "Connection": nil} {
			if got := sent.Header.Values(field); !slices.Equal(got, want) {
				t.Errorf("%s: %q, not %q", field, got, want)
			}
		}
		if got := sent.Header.Get(name); (got == value) == listed {
			t.Errorf("%s: %q of %q, listed %v", name, got, value, listed)
		}
	})
}
