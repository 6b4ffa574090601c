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
	"sandcourse/internal/routing"
)

// Codec is the chat API's.
type Codec struct{ models []byte }

// NewCodec makes the dialect of a node that serves these model routes.
func NewCodec(routes []string) *Codec {
	var entries []any
	for _, requestID := range routes {
		entries = append(entries, map[string]any{"id": requestID, "object": "model", "owned_by": "sandcourse"})
	}
	models, _ := json.Marshal(map[string]any{"object": "list", "data": entries})
	return &Codec{models}
}

// ToRequest is a chat call as the core takes it.
func ToRequest(request *chat.Request) *protocol.Request {
	return &protocol.Request{Route: request.Model, Session: request.Session, Prefix: request.PrefixHash, PromptTokens: request.PromptTokens,
		PrefixTokens: request.PrefixTokens, MaxOutputTokens: request.MaxOutputTokens, Stream: request.Stream, Idempotent: request.IdempotencyKey != "",
		Retried: request.RetryCount > 0, FirstTokenTimeout: request.FirstTokenTimeout, ProtocolData: request}
}

func jsonResponse(status int, body []byte, headers ...string) protocol.Response {
	return protocol.Response{Status: status, ContentType: "application/json", Headers: headers, Body: body}
}

func (*Codec) ParseRequest(r *http.Request, body []byte) (*protocol.Request, string, *protocol.Response) {
	if r.Method != http.MethodPost || r.URL.Path != engineapi.ChatPath {
		return nil, "", nil
	}
	request, err := chat.ParseRequest(body, r.Header)
	if err != nil {
		var invalid *chat.InvalidRequestError
		errors.As(err, &invalid)
		response := jsonResponse(invalid.Status, chat.ErrorBody("invalid_request_error", "bad_call", invalid.Param, invalid.Error()))
		return nil, "", &response
	}
	tenant := ""
	if key := r.Header.Get("Authorization"); key != "" {
		tenant = fmt.Sprintf("%016x", xxhash.Sum64String(key))
	}
	return ToRequest(request), tenant, nil
}

func (d *Codec) AuxiliaryResponse(r *http.Request, notReady string) protocol.Response {
	path, method := r.URL.Path, r.Method
	switch {
	case path == "/v1/models" && method == http.MethodGet:
		return jsonResponse(http.StatusOK, d.models)
	case path == "/healthz" && method == http.MethodGet:
		return jsonResponse(http.StatusOK, []byte(`{"status":"alive"}`))
	case path == "/readyz" && method == http.MethodGet:
		if notReady != "" {
			return jsonResponse(http.StatusServiceUnavailable, chat.ErrorBody("unavailable", "not_ready", "", notReady))
		}
		return jsonResponse(http.StatusOK, []byte(`{"status":"ready"}`))
	case path == engineapi.ChatPath || path == "/v1/models" || path == "/healthz" || path == "/readyz":
		return d.InvalidRequestResponse(http.StatusMethodNotAllowed, "bad_method", "", method+" is not served at "+path)
	}
	return d.InvalidRequestResponse(http.StatusNotFound, "not_found", "", "nothing is served at "+path)
}

func (*Codec) InvalidRequestResponse(status int, code, param, reason string) protocol.Response {
	return jsonResponse(status, chat.ErrorBody("invalid_request_error", code, param, reason))
}

func (*Codec) ShedResponse(status int, requestID, reason string, retryAfter time.Duration) protocol.Response {
	headers := []string{"Retry-After", fmt.Sprint(int64(math.Ceil(max(1, retryAfter.Seconds())))),
		"Retry-After-Ms", fmt.Sprint(retryAfter.Milliseconds()), chat.HeaderOutcome, "shed"}
	if requestID != "" {
		headers = append(headers, chat.HeaderRequestID, requestID)
	}
	return jsonResponse(status, chat.ErrorBody("overloaded", "shed", "", reason+"; a further try is harmless"), headers...)
}

func (*Codec) ErrorResponse(requestID, reason string, timedOut bool) protocol.Response {
	status := http.StatusBadGateway
	if timedOut {
		status = http.StatusGatewayTimeout
	}
	return jsonResponse(status, chat.ErrorBody("server_error", "errored", "",
		reason+"; it may have run, nothing is promised of a further try"),
		chat.HeaderRequestID, requestID, chat.HeaderOutcome, "errored")
}

// The most bytes of text of an answer that is collected for a client that wants it whole.
const maxCollectedBytes = 1 << 20

func (*Codec) NewCollector(request *protocol.Request) protocol.Collector {
	if request.Stream {
		return nil
	}
	return chat.NewCompletionBuilder(maxCollectedBytes)
}

func (*Codec) CompleteResponse(request *protocol.Request, requestID string, from protocol.Collector) protocol.Response {
	return jsonResponse(http.StatusOK, from.(*chat.CompletionBuilder).Body(request.ProtocolData.(*chat.Request)),
		chat.HeaderRequestID, requestID, chat.HeaderOutcome, "completed")
}

func (*Codec) StreamHead(requestID string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+
		"Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n\r\n", chat.HeaderRequestID, requestID)
}

func (*Codec) StreamEvent(event []byte) []byte { return chat.EncodeChunk(event) }

func (*Codec) StreamEnd(completed bool, reason string) ([]byte, bool) {
	last := chat.EncodeChunk([]byte(chat.Done))
	if !completed {
		last = chat.EncodeChunk(chat.ErrorBody("server_error", "errored", "", reason))
	}
	return append(last, "0\r\n\r\n"...), true
}

func engineRequest(request *protocol.Request, requestID string) engineapi.Request {
	return engineapi.Request{Chat: request.ProtocolData.(*chat.Request), ID: requestID}
}

func (*Codec) PrefillRequest(request *protocol.Request, requestID string, target protocol.Target, attemptIndex int, _ time.Duration) ([]byte, error) {
	return engineRequest(request, requestID).Prefill(target.Address, target.RoleEpoch, attemptIndex)
}

func (*Codec) DecodeRequest(request *protocol.Request, requestID string, target protocol.Target, handle protocol.ReservationHandle,
	_ time.Duration) ([]byte, error) {
	t, _ := handle.(engineapi.KVTransfer)
	return engineRequest(request, requestID).Decode(target.Address, target.RoleEpoch, t)
}

func (*Codec) HealthCheckRequest(target protocol.Target) []byte {
	return engineapi.HealthCheck(target.Address)
}

func (*Codec) ReleaseRequest(target protocol.Target, requestID string, attemptIndex int) []byte {
	return engineapi.Release(target.Address, requestID, attemptIndex)
}

func (*Codec) ClassifyResponse(head *http.Response, isDecode bool) attempt.Event {
	outcome := engineapi.ClassifyHead(head)
	if outcome == attempt.SuccessStatus && isDecode != chat.IsEventStream(head.Header) {
		return attempt.MalformedResponse
	}
	return outcome
}

func (*Codec) ParseReservation(body []byte) (protocol.ReservationHandle, int, error) {
	t, cachedTokens, err := engineapi.ParsePrefillResponse(body)
	return t, cachedTokens, err
}

func (*Codec) ParseLoadReport(head *http.Response, _ []byte) *routing.LoadReport {
	return engineapi.ParseLoadReport(head.Header)
}

func (*Codec) ParseLoadComment([]byte) *routing.LoadReport { return nil }

// MixedEnginePrefillsOnDecode is false: an engine is told in the call whether it is to read or to answer.
func (*Codec) MixedEnginePrefillsOnDecode() bool { return false }

// ReleaseReachesAllEngines is false: an engine lets go of its own states only.
func (*Codec) ReleaseReachesAllEngines() bool { return false }

func (*Codec) IsFinalEvent(event []byte) bool { return string(event) == chat.Done }

func (*Codec) ClassifyStreamEnd(bool) (attempt.Event, string) {
	return attempt.ConnectionReset, "the stream ended without its last event"
}
