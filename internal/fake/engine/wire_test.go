package engine

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httputil"
	"regexp"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/golden"
)

const (
	chatPath = "/v1/chat/completions"
)

// varyingPattern matches the parts of responses that differ between runs: ports and times.
var varyingPattern = regexp.MustCompile(`"remote_port":\d+|Date: [^\r]*\r\n|"busy_seconds":[^,]+|"up_for_ms":[^,]+`)

// contentLengthPattern matches the length of a load report, which varies with the times in it.
var contentLengthPattern = regexp.MustCompile(`Content-Length: \d+`)

// wireRecorder sends requests to engines and records requests and responses as text.
type wireRecorder struct {
	t      *testing.T
	output bytes.Buffer
}

func (r *wireRecorder) send(title string, e *Engine, method, path, body string, headers ...string) string {
	r.t.Helper()
	request, err := http.NewRequest(method, "http://"+e.Addr()+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	fmt.Fprintf(&r.output, "== %s: %s %s\n", title, method, path)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.output.WriteString("no response\n")
		return ""
	}
	defer response.Body.Close()
	dump, err := httputil.DumpResponse(response, true)
	if err != nil {
		fmt.Fprintf(&r.output, "%s\nresponse body cut off\n", response.Status)
		return ""
	}
	if path == "/sandcourse/load" {
		dump = contentLengthPattern.ReplaceAll(dump, []byte("Content-Length: VARYING"))
	}
	fmt.Fprintf(&r.output, "%s\n", varyingPattern.ReplaceAll(dump, []byte("VARYING")))
	_, responseBody, _ := strings.Cut(string(dump), "\r\n\r\n")
	return responseBody
}

func startPair(t *testing.T, log *audit.Log) (prefill, decode *Engine) {
	t.Helper()
	keys := &IdempotencyKeys{}
	var engines []*Engine
	for i, role := range []string{"read", "write"} {
		e, err := Start(Config{Name: fmt.Sprint("e", i), Role: role, Seed: 7, TokenTime: 50 * time.Microsecond,
			RoleChangeTime: time.Millisecond}, log, keys)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Stop)
		engines = append(engines, e)
	}
	return engines[0], engines[1]
}

const prompt = `"model":"fan-alert","messages":[{"role":"system","content":"You caption clips."},{"role":"user","content":"The <goal> & more."}],"max_tokens":9`

var transferPattern = regexp.MustCompile(`"kv_transfer_params":\{[^}]*\}`)

func TestGoldenWire(t *testing.T) {
	log := &audit.Log{}
	prefill, decode := startPair(t, log)
	r := &wireRecorder{t: t}
	prefillBody := `{` + prompt + `,"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false}}`
	headers := func(id string) []string {
		return []string{"X-Sandcourse-Inference", id, "X-Request-Id", "client-" + id, "X-Sandcourse-Send", "1", "Idempotency-Key", "k"}
	}
	transfer := func(id string) string {
		response := r.send("prefill", prefill, "POST", chatPath, prefillBody, headers(id)...)
		return `{` + prompt + `,"stream":true,` + transferPattern.FindString(response) + `}`
	}
	decodeBody := transfer("n1")
	r.send("decode", decode, "POST", chatPath, decodeBody, headers("n1")...)
	r.send("decode without a reservation", decode, "POST", chatPath, decodeBody, headers("n1")...)
	r.send("decode at a prefill engine", prefill, "POST", chatPath, decodeBody, headers("n1")...)
	r.send("duplicate decode, cached prompt", decode, "POST", chatPath, transfer("n2"), headers("n2")...)
	r.send("no kv_transfer_params", prefill, "POST", chatPath, `{`+prompt+`}`)
	transfer("n3")
	r.send("release", prefill, "POST", "/sandcourse/release", `{"inference":"n3","send":1}`)
	r.send("release before the prefill", prefill, "POST", "/sandcourse/release", `{"inference":"n4","send":1}`)
	transfer("n4")
	r.send("release that is not JSON", prefill, "POST", "/sandcourse/release", `x`)
	r.send("fetch of an unknown reservation", prefill, "POST", "/sandcourse/fetch", `n9/1`)
	r.send("trial", prefill, "POST", chatPath, prefillBody, headers("trial-1")...)
	r.send("load report", prefill, "GET", "/sandcourse/load", "")
	r.send("load report", decode, "GET", "/sandcourse/load", "")
	r.send("other epoch", prefill, "POST", chatPath, prefillBody, append(headers("n5"), "X-Sandcourse-Epoch", "4")...)
	prefill.Drain(true)
	r.send("draining", prefill, "POST", chatPath, prefillBody, headers("n6")...)
	prefill.Drain(false)
	sendFaults(r, prefill, prefillBody, headers)
	sendRoleOrders(r, prefill)
	compareGolden(t, r.output.Bytes())
}

func sendFaults(r *wireRecorder, e *Engine, body string, headers func(string) []string) {
	for i, faults := range []string{`{"HalfAnswer":true}`, `{"FailStatus":503}`, `{"Lie":true,"LieWork":3}`, `{"DeafOrders":true}`,
		`{"Silent":false,"Slow":1.5,"StallFirst":true,"StallAfter":1,"BreakAfter":2,"SlowAccept":1000,"NeverBack":true,"FalseRole":true}`,
		`{"Slow":"x"}`, `{}`} {
		id := fmt.Sprint("f", i)
		r.send("faults "+faults, e, "POST", "/admin/faults", faults)
		r.send("prefill with these faults", e, "POST", chatPath, body, headers(id)...)
		r.send("load report with these faults", e, "GET", "/sandcourse/load", "")
		r.send("role order with these faults", e, "POST", "/sandcourse/role", `{"term":1,"epoch":1,"role":"read"}`)
		r.send("release", e, "POST", "/sandcourse/release", `{"inference":"`+id+`","send":1}`)
	}
}

func sendRoleOrders(r *wireRecorder, e *Engine) {
	order := func(title, body string) { r.send("role order, "+title, e, "POST", "/sandcourse/role", body) }
	order("not JSON", `x`)
	order("drain", `{"term":3,"epoch":1,"role":"read","drain":true}`)
	order("end of the drain", `{"term":3,"epoch":1,"role":"read"}`)
	order("earlier term", `{"term":2,"epoch":2,"role":"write"}`)
	order("change", `{"term":3,"epoch":2,"role":"write"}`)
	time.Sleep(100 * time.Millisecond)
	r.send("load report after the change", e, "GET", "/sandcourse/load", "")
	order("earlier epoch", `{"term":3,"epoch":1,"role":"read"}`)
}

func compareGolden(t *testing.T, got []byte) {
	t.Helper()
	golden.Check(t, "wire.golden", string(got))
}
