// Package chatline is the dialect of the chat API towards clients and of the published form of disaggregated
// reading and writing towards engines: see chat and engine. It does no I/O.
package chatapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/attempt"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
)

// Dialect is the chat API's.
type Dialect struct{ models []byte }

// New makes the dialect of a node that serves these model routes.
func New(routes []string) *Dialect {
	var row []any
	for _, name := range routes {
		row = append(row, map[string]any{"id": name, "object": "model", "owned_by": "sandcourse"})
	}
	models, _ := json.Marshal(map[string]any{"object": "list", "data": row})
	return &Dialect{models}
}

// Call is a chat call as the core takes it.
func Call(c *chat.Call) *protocol.Call {
	return &protocol.Call{Route: c.Model, Session: c.Session, Beginning: c.Beginning, Prompt: c.Prompt,
		BeginningLen: c.BeginningLen, MaxAnswer: c.MaxAnswer, Stream: c.Stream, Repeat: c.RepeatMark != "",
		Retried: c.Retry > 0, GiveUp: c.GiveUp, Own: c}
}

func answer(status int, body []byte, headers ...string) protocol.Answer {
	return protocol.Answer{Status: status, Type: "application/json", Headers: headers, Body: body}
}

func (*Dialect) Parse(r *http.Request, body []byte) (*protocol.Call, string, *protocol.Answer) {
	if r.Method != http.MethodPost || r.URL.Path != engineapi.ChatPath {
		return nil, "", nil
	}
	c, err := chat.Parse(body, r.Header)
	if err != nil {
		var w *chat.Wrong
		errors.As(err, &w)
		a := answer(w.Status, chat.ErrorBody("invalid_request_error", "bad_call", w.Param, w.Error()))
		return nil, "", &a
	}
	party := ""
	if key := r.Header.Get("Authorization"); key != "" {
		party = fmt.Sprintf("%016x", xxhash.Sum64String(key))
	}
	return Call(c), party, nil
}

func (d *Dialect) Page(r *http.Request, notReady string) protocol.Answer {
	path, method := r.URL.Path, r.Method
	switch {
	case path == "/v1/models" && method == http.MethodGet:
		return answer(http.StatusOK, d.models)
	case path == "/healthz" && method == http.MethodGet:
		return answer(http.StatusOK, []byte(`{"status":"alive"}`))
	case path == "/readyz" && method == http.MethodGet:
		if notReady != "" {
			return answer(http.StatusServiceUnavailable, chat.ErrorBody("unavailable", "not_ready", "", notReady))
		}
		return answer(http.StatusOK, []byte(`{"status":"ready"}`))
	case path == engineapi.ChatPath || path == "/v1/models" || path == "/healthz" || path == "/readyz":
		return d.Refusal(http.StatusMethodNotAllowed, "bad_method", "", method+" is not served at "+path)
	}
	return d.Refusal(http.StatusNotFound, "not_found", "", "nothing is served at "+path)
}

func (*Dialect) Refusal(status int, code, param, why string) protocol.Answer {
	return answer(status, chat.ErrorBody("invalid_request_error", code, param, why))
}

func (*Dialect) Shed(status int, name, why string, again time.Duration) protocol.Answer {
	headers := []string{"Retry-After", fmt.Sprint(int64(math.Ceil(max(1, again.Seconds())))),
		"Retry-After-Ms", fmt.Sprint(again.Milliseconds()), chat.HeaderFinal, "shed"}
	if name != "" {
		headers = append(headers, chat.HeaderInference, name)
	}
	return answer(status, chat.ErrorBody("overloaded", "shed", "", why+"; a further try is harmless"), headers...)
}

func (*Dialect) Errored(name, why string, late bool) protocol.Answer {
	status := http.StatusBadGateway
	if late {
		status = http.StatusGatewayTimeout
	}
	return answer(status, chat.ErrorBody("server_error", "errored", "",
		why+"; it may have run, nothing is promised of a further try"),
		chat.HeaderInference, name, chat.HeaderFinal, "errored")
}

// The most bytes of text of an answer that is collected for a client that wants it whole.
const answerWhole = 1 << 20

func (*Dialect) Collect(c *protocol.Call) protocol.Collector {
	if c.Stream {
		return nil
	}
	return chat.NewWhole(answerWhole)
}

func (*Dialect) Whole(c *protocol.Call, name string, from protocol.Collector) protocol.Answer {
	return answer(http.StatusOK, from.(*chat.Whole).Body(c.Own.(*chat.Call)),
		chat.HeaderInference, name, chat.HeaderFinal, "completed")
}

func (*Dialect) Open(name string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+
		"Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n\r\n", chat.HeaderInference, name)
}

func (*Dialect) Event(event []byte) []byte { return chat.Chunk(event) }

func (*Dialect) Close(completed bool, why string) ([]byte, bool) {
	last := chat.Chunk([]byte(chat.Done))
	if !completed {
		last = chat.Chunk(chat.ErrorBody("server_error", "errored", "", why))
	}
	return append(last, "0\r\n\r\n"...), true
}

func job(c *protocol.Call, name string) engineapi.Job {
	return engineapi.Job{Call: c.Own.(*chat.Call), Name: name}
}

func (*Dialect) Read(c *protocol.Call, name string, to protocol.Engine, send int, _ time.Duration) ([]byte, error) {
	return job(c, name).Read(to.Host, to.Epoch, send)
}

func (*Dialect) Write(c *protocol.Call, name string, to protocol.Engine, from protocol.State,
	_ time.Duration) ([]byte, error) {
	t, _ := from.(engineapi.Transfer)
	return job(c, name).Write(to.Host, to.Epoch, t)
}

func (*Dialect) Probe(to protocol.Engine) []byte { return engineapi.Probe(to.Host) }

func (*Dialect) Release(to protocol.Engine, name string, send int) []byte {
	return engineapi.Release(to.Host, name, send)
}

func (*Dialect) Sort(head *http.Response, writes bool) attempt.Input {
	in := engineapi.SortHead(head)
	if in == attempt.Accepted && writes != chat.Streams(head.Header) {
		return attempt.Garbled
	}
	return in
}

func (*Dialect) Held(body []byte) (protocol.State, int, error) {
	t, kept, err := engineapi.ReadAnswer(body)
	return t, kept, err
}

func (*Dialect) Load(head *http.Response, _ []byte) map[string]float64 {
	return engineapi.Report(head.Header)
}

func (*Dialect) Comment([]byte) map[string]float64 { return nil }

// MixedAnswers is false: an engine is told in the call whether it is to read or to answer.
func (*Dialect) MixedAnswers() bool { return false }

// ReleasesAnywhere is false: an engine lets go of its own states only.
func (*Dialect) ReleasesAnywhere() bool { return false }

func (*Dialect) Last(event []byte) bool { return string(event) == chat.Done }

func (*Dialect) Cut(bool) (attempt.Input, string) {
	return attempt.Reset, "the stream ended without its last event"
}
