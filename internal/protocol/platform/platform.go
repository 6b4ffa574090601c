// Package platform is the dialect of the operators' platform: what clients and engines say there, and how a
// node is configured. It does no I/O.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config/params"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chat"
)

// The paths and headers of the protocol.
const (
	CallPath   = "/v1/chat/completions"
	HealthPath = "/_health"
	LoadPath   = "/_load"
	PingPath   = "/ping"
	HoldsPath  = "/v1/holds/"

	HeaderName       = "Request-Id"
	HeaderRoute      = "Request-Class"
	HeaderSession    = "Affinity-Key"
	HeaderGiveUp     = "Request-Timeout"
	HeaderPrompt     = "Request-Info"
	HeaderRetry      = "Client-Retry"
	HeaderLoad       = "Server-Load"
	HeaderNotStarted = "Not-Started"
)

// Bounds of what a client may say of a call; its body is bounded by the framing.
const (
	maxText   = 128              // bytes of a name or a session
	maxTokens = 1 << 24          // of any length in tokens
	maxGiveUp = 10 * time.Minute // that a client may wait
)

// Dialect is the platform's.
type Dialect struct {
	reports []string // fields of a load report that must all be there; none where there are no reports
}

// New makes the dialect of a deployment whose load reports have these fields.
func New(reports []string) *Dialect { return &Dialect{reports} }

// asked is what of a client's request goes on to engines unchanged.
type asked struct {
	line   string // method and target
	fields []byte // of its head that are passed on, as they are written
	body   []byte
}

func (d *Dialect) Parse(r *http.Request, body []byte) (*protocol.Call, string, *protocol.Answer) {
	if r.URL.Path != CallPath || r.Method != http.MethodPost {
		return nil, "", nil
	}
	call, err := readCall(r, body)
	if err != nil {
		a := d.Refusal(http.StatusBadRequest, "bad_call", "", err.Error())
		return nil, "", &a
	}
	return call, "", nil
}

// plain is whether a text can stand in a path and in a header as it is.
func plain(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.~", r))
	})
}

func readCall(r *http.Request, body []byte) (*protocol.Call, error) {
	for _, name := range []string{HeaderName, HeaderRoute, HeaderSession, HeaderGiveUp, HeaderPrompt, HeaderRetry} {
		if len(r.Header.Values(name)) > 1 {
			return nil, fmt.Errorf("%s stands twice", name)
		}
	}
	c := &protocol.Call{Name: r.Header.Get(HeaderName), Route: r.Header.Get(HeaderRoute),
		Session: r.Header.Get(HeaderSession), Stream: true, Retried: r.Header.Get(HeaderRetry) != "",
		Repeat: r.Header.Get(HeaderRetry) != "", Resumed: r.Header.Get(HeaderRetry) == "again",
		Own: &asked{r.Method + " " + r.RequestURI, passedOn(r.Header), body}}
	switch {
	case c.Name == "" || len(c.Name) > maxText || !plain(c.Name) || strings.Trim(c.Name, ".") == "":
		return nil, fmt.Errorf("%s must be 1 to %d letters, digits, - or _", HeaderName, maxText)
	case c.Route == "":
		return nil, fmt.Errorf("%s is missing", HeaderRoute)
	case len(c.Session) > maxText:
		return nil, fmt.Errorf("%s must have at most %d bytes", HeaderSession, maxText)
	}
	text := r.Header.Get(HeaderGiveUp)
	wait, err := strconv.ParseFloat(text, 64)
	if err != nil || !(wait > 0 && wait <= maxGiveUp.Seconds()) {
		return nil, fmt.Errorf("%s must be seconds over 0 and up to %v, not %q", HeaderGiveUp, maxGiveUp.Seconds(), text)
	}
	c.GiveUp = time.Duration(wait * float64(time.Second))
	// One token is four characters; 512 is what most clients mean that say nothing.
	c.Prompt, c.MaxAnswer = len(body)/4, 512
	if err := readPrompt(c, r.Header.Get(HeaderPrompt)); err != nil {
		return nil, err
	}
	// What is no object no engine can use, and its error would look like the engine's own.
	if !json.Valid(body) || bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
		return nil, errors.New("the body is no JSON object")
	}
	return c, nil
}

// notPassedOn are the fields that end here: those of one connection (RFC 9110, section 7.6.1), and those that the node
// writes itself.
var notPassedOn = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Expect": true, "Host": true, "Content-Length": true, HeaderName: true, HeaderGiveUp: true}

// passedOn writes the fields of a head that go on to engines, in order of their names. A deployment's engines may need
// fields that this program does not know, such as an idempotency key.
func passedOn(head http.Header) (out []byte) {
	ends := map[string]bool{}
	for _, listed := range head.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			ends[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(head)) {
		if notPassedOn[name] || ends[name] {
			continue
		}
		for _, value := range head[name] {
			out = fmt.Appendf(out, "%s: %s\r\n", name, value)
		}
	}
	return out
}

// readPrompt reads the lengths that a client tells; what is not known is passed over.
func readPrompt(c *protocol.Call, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		to := map[string]*int{"prompt_len": &c.Prompt, "prefix_len": &c.BeginningLen, "max_out": &c.MaxAnswer}[name]
		switch {
		case name == "prefix":
			if len(value) > maxText {
				return fmt.Errorf("%s: prefix must have at most %d bytes", HeaderPrompt, maxText)
			}
			c.Beginning = value
		case to != nil:
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > maxTokens {
				return fmt.Errorf("%s: %s must be 0 to %d, not %q", HeaderPrompt, name, maxTokens, value)
			}
			*to = n
		}
	}
	return nil
}

func text(status int, why string, headers ...string) protocol.Answer {
	return protocol.Answer{Status: status, Type: "text/plain", Headers: headers, Body: []byte(why + "\n")}
}

func (*Dialect) Page(r *http.Request, notReady string) protocol.Answer {
	switch {
	case r.URL.Path == HealthPath && r.Method == http.MethodGet && notReady == "":
		return text(http.StatusOK, "ready")
	case r.URL.Path == HealthPath && r.Method == http.MethodGet:
		return text(http.StatusServiceUnavailable, notReady)
	case r.URL.Path == HealthPath || r.URL.Path == CallPath:
		return text(http.StatusMethodNotAllowed, "this method is not served here")
	}
	return text(http.StatusNotFound, "nothing is served here")
}

func (*Dialect) Refusal(status int, _, _, why string) protocol.Answer { return text(status, why) }

func (*Dialect) Shed(status int, _, why string, again time.Duration) protocol.Answer {
	if again <= 0 {
		return text(status, why)
	}
	return text(status, why, "Retry-After", strconv.FormatFloat(again.Seconds(), 'f', 3, 64))
}

func (*Dialect) Errored(_, why string, late bool) protocol.Answer {
	if late {
		return text(http.StatusGatewayTimeout, why)
	}
	return text(http.StatusBadGateway, why)
}

// Collect is nil: all clients here take streams.
func (*Dialect) Collect(*protocol.Call) protocol.Collector { return nil }

// Whole is never asked for, as nothing is collected.
func (d *Dialect) Whole(*protocol.Call, string, protocol.Collector) protocol.Answer {
	return d.Errored("", "no whole answers are given here", false)
}

func (*Dialect) Open(string) []byte {
	return []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func (*Dialect) Event(event []byte) []byte { return chat.Chunk(event) }

// Close of a stream that broke says nothing: its client learns it by the end of the connection.
func (*Dialect) Close(completed bool, _ string) ([]byte, bool) {
	if !completed {
		return nil, false
	}
	return []byte("0\r\n\r\n"), true
}

// MixedAnswers is true: a mixed engine that finds no state reads the prompt itself and streams the answer.
func (*Dialect) MixedAnswers() bool { return true }

func request(c *protocol.Call, name string, to protocol.Engine, left time.Duration) ([]byte, error) {
	a := c.Own.(*asked)
	b := make([]byte, 0, len(a.fields)+len(a.body)+512)
	b = fmt.Appendf(b, "%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %.3f\r\nContent-Length: %d\r\n", a.line, to.Host,
		HeaderName, name, HeaderGiveUp, max(0.001, left.Seconds()), len(a.body))
	b = append(append(b, a.fields...), "\r\n"...)
	return append(b, a.body...), nil
}

func (*Dialect) Read(c *protocol.Call, name string, to protocol.Engine, _ int, left time.Duration) ([]byte, error) {
	return request(c, name, to, left)
}

func (*Dialect) Write(c *protocol.Call, name string, to protocol.Engine, _ protocol.State,
	left time.Duration) ([]byte, error) {
	return request(c, name, to, left)
}

func (d *Dialect) Probe(to protocol.Engine) []byte {
	path := LoadPath
	if len(d.reports) == 0 {
		path = PingPath
	}
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, to.Host)
}

// Release lets go of all that an engine holds for an inference, whichever send made it.
func (*Dialect) Release(to protocol.Engine, name string, _ int) []byte {
	return fmt.Appendf(nil, "DELETE %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", HoldsPath, name, to.Host)
}

// ReleasesAnywhere is true: every engine accepts a release, of whatever is held for the request at any engine.
func (*Dialect) ReleasesAnywhere() bool { return true }

func (*Dialect) Sort(head *http.Response, writes bool) attempt.Input {
	word := head.Header.Get(HeaderNotStarted) == "1"
	switch {
	case writes && head.StatusCode == http.StatusOK && chat.Streams(head.Header):
		return attempt.Accepted
	case !writes && head.StatusCode == http.StatusAccepted:
		return attempt.Accepted
	case head.StatusCode < 400:
		return attempt.Garbled
	case head.StatusCode == http.StatusGone && word:
		return attempt.NoState
	case word && (head.StatusCode == http.StatusServiceUnavailable || head.StatusCode == http.StatusGatewayTimeout):
		return attempt.Refused
	}
	// A status without the engine's word does not say that nothing ran.
	return attempt.Failed
}

// holds stands for a state at a reader, which goes by the inference's own name.
type holds struct{}

func (*Dialect) Held(body []byte) (protocol.State, int, error) {
	var a struct {
		Kept *int `json:"cached_tokens"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, 0, fmt.Errorf("reader's answer is not JSON: %w", err)
	}
	if a.Kept == nil || *a.Kept < 0 {
		return nil, 0, errors.New("reader's answer does not say what it had kept")
	}
	return holds{}, *a.Kept, nil
}

func (d *Dialect) Load(head *http.Response, body []byte) map[string]float64 {
	if report := d.report(head.Header.Get(HeaderLoad)); report != nil {
		return report
	}
	return d.report(string(body))
}

func (d *Dialect) Comment(line []byte) map[string]float64 {
	name, value, _ := strings.Cut(string(line), ":")
	if !strings.EqualFold(strings.TrimSpace(name), HeaderLoad) {
		return nil
	}
	return d.report(value)
}

// report reads a load report. One that lacks a field or has one that is no sane figure is left out whole, so
// that an engine that lies in this way is only unheard of.
func (d *Dialect) report(text string) map[string]float64 {
	const longest = 1024
	text = strings.TrimSpace(text)
	if len(d.reports) == 0 || text == "" || len(text) > longest {
		return nil
	}
	row := map[string]float64{}
	for part := range strings.SplitSeq(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(v) || v < 0 || v > 1e9 {
			return nil
		}
		row[name] = v
	}
	if slices.ContainsFunc(d.reports, func(name string) bool { _, ok := row[name]; return !ok }) {
		return nil
	}
	return params.Report(row)
}

// Last is never so: the event that says the stream is done is the client's too.
func (*Dialect) Last([]byte) bool { return false }

// Cut is a stream's proper end, as only a whole stream has its last chunk.
func (*Dialect) Cut(began bool) (attempt.Input, string) {
	if !began {
		return attempt.Garbled, "the stream has no event"
	}
	return attempt.Finished, ""
}
