package chatapi

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
)

// Paths besides engineapi.ChatPath.
const (
	modelsPath    = "/v1/models"
	livenessPath  = "/healthz"
	readinessPath = "/readyz"
)

// The types of error objects.
const (
	typeInvalidRequest = "invalid_request_error"
	typeOverloaded     = "overloaded"
	typeServerError    = "server_error"
	typeUnavailable    = "unavailable"
)

// maxCollectedBytes bounds the text of a response that is not streamed.
const maxCollectedBytes = 1 << 20

func jsonResponse(status int, body []byte, headers ...protocol.Header) protocol.Response {
	return protocol.Response{Status: status, ContentType: "application/json", Headers: headers, Body: body}
}

// ParseRequest implements protocol.ClientCodec. The tenant is a hash of the client's API key.
func (*Codec) ParseRequest(r *http.Request, body []byte) (*protocol.Request, string, *protocol.Response) {
	if r.Method != http.MethodPost || r.URL.Path != engineapi.ChatPath {
		return nil, "", nil
	}
	request, err := chat.ParseRequest(body, r.Header)
	if err != nil {
		var invalid *chat.InvalidRequestError
		errors.As(err, &invalid)
		rejection := jsonResponse(invalid.Status, chat.ErrorBody(typeInvalidRequest, "bad_call", invalid.Param, invalid.Error()))
		return nil, "", &rejection
	}
	tenant := ""
	if key := r.Header.Get("Authorization"); key != "" {
		tenant = fmt.Sprintf("%016x", xxhash.Sum64String(key))
	}
	return ToRequest(request), tenant, nil
}

// AuxiliaryResponse implements protocol.ClientCodec.
func (c *Codec) AuxiliaryResponse(method, path, notReady string) protocol.Response {
	get := method == http.MethodGet
	switch {
	case path == modelsPath && get:
		return jsonResponse(http.StatusOK, c.models)
	case path == livenessPath && get:
		return jsonResponse(http.StatusOK, []byte(`{"status":"alive"}`))
	case path == readinessPath && get && notReady != "":
		return jsonResponse(http.StatusServiceUnavailable, chat.ErrorBody(typeUnavailable, "not_ready", "", notReady))
	case path == readinessPath && get:
		return jsonResponse(http.StatusOK, []byte(`{"status":"ready"}`))
	case path == engineapi.ChatPath || path == modelsPath || path == livenessPath || path == readinessPath:
		return c.InvalidRequestResponse(http.StatusMethodNotAllowed, "bad_method", "", method+" is not served at "+path)
	}
	return c.InvalidRequestResponse(http.StatusNotFound, "not_found", "", "no resource exists at "+path)
}

// InvalidRequestResponse implements protocol.ClientCodec.
func (*Codec) InvalidRequestResponse(status int, code, param, reason string) protocol.Response {
	return jsonResponse(status, chat.ErrorBody(typeInvalidRequest, code, param, reason))
}

// ShedResponse implements protocol.ClientCodec. Retry-After is rounded up to whole seconds and at least one second; clients
// that support Retry-After-Ms get the exact time.
func (*Codec) ShedResponse(status int, requestID, reason string, retryAfter time.Duration) protocol.Response {
	seconds := int64(math.Ceil(max(1, retryAfter.Seconds())))
	headers := []protocol.Header{{Name: "Retry-After", Value: strconv.FormatInt(seconds, 10)},
		{Name: "Retry-After-Ms", Value: strconv.FormatInt(retryAfter.Milliseconds(), 10)},
		{Name: chat.HeaderOutcome, Value: chat.OutcomeShed}}
	if requestID != "" {
		headers = append(headers, protocol.Header{Name: chat.HeaderRequestID, Value: requestID})
	}
	body := chat.ErrorBody(typeOverloaded, "shed", "", reason+"; a further try is harmless")
	return jsonResponse(status, body, headers...)
}

// ErrorResponse implements protocol.ClientCodec.
func (*Codec) ErrorResponse(requestID, reason string, timedOut bool) protocol.Response {
	status := http.StatusBadGateway
	if timedOut {
		status = http.StatusGatewayTimeout
	}
	body := chat.ErrorBody(typeServerError, "errored", "", reason+"; it may have run, nothing is promised of a further try")
	return jsonResponse(status, body, outcomeHeaders(requestID, chat.OutcomeErrored)...)
}

// NewCollector implements protocol.ClientCodec.
func (*Codec) NewCollector(request *protocol.Request) protocol.Collector {
	if request.Stream {
		return nil
	}
	return chat.NewCompletionBuilder(maxCollectedBytes)
}

// CompleteResponse implements protocol.ClientCodec.
func (*Codec) CompleteResponse(request *protocol.Request, requestID string, collected protocol.Collector) protocol.Response {
	body := collected.(*chat.CompletionBuilder).Body(request.ProtocolData.(*chat.Request))
	return jsonResponse(http.StatusOK, body, outcomeHeaders(requestID, chat.OutcomeCompleted)...)
}

func outcomeHeaders(requestID, outcome string) []protocol.Header {
	return []protocol.Header{{Name: chat.HeaderRequestID, Value: requestID}, {Name: chat.HeaderOutcome, Value: outcome}}
}

// StreamHead implements protocol.ClientCodec.
func (*Codec) StreamHead(requestID string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+
		"Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n\r\n", chat.HeaderRequestID, requestID)
}

// StreamEvent implements protocol.ClientCodec.
func (*Codec) StreamEvent(event []byte) []byte { return chat.EncodeChunk(event) }

// StreamEnd implements protocol.ClientCodec. The last event of a truncated stream is an error object.
func (*Codec) StreamEnd(completed bool, reason string) (data []byte, keepAlive bool) {
	last := chat.EncodeChunk([]byte(chat.Done))
	if !completed {
		last = chat.EncodeChunk(chat.ErrorBody(typeServerError, "errored", "", reason))
	}
	return append(last, "0\r\n\r\n"...), true
}
