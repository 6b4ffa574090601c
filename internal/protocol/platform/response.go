package platform

import (
	"net/http"
	"strconv"
	"time"

	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chat"
)

func textResponse(status int, reason string, headers ...protocol.Header) protocol.Response {
	return protocol.Response{Status: status, ContentType: "text/plain", Headers: headers, Body: []byte(reason + "\n")}
}

// AuxiliaryResponse implements protocol.ClientCodec.
func (*Codec) AuxiliaryResponse(method, path, notReady string) protocol.Response {
	get := method == http.MethodGet
	switch {
	case path == HealthPath && get && notReady == "":
		return textResponse(http.StatusOK, "ready")
	case path == HealthPath && get:
		return textResponse(http.StatusServiceUnavailable, notReady)
	case path == HealthPath || path == CompletionsPath:
		return textResponse(http.StatusMethodNotAllowed, "this method is not served here")
	}
	return textResponse(http.StatusNotFound, "nothing is served here")
}

// InvalidRequestResponse implements protocol.ClientCodec.
func (*Codec) InvalidRequestResponse(status int, _, _, reason string) protocol.Response {
	return textResponse(status, reason)
}

// ShedResponse implements protocol.ClientCodec.
func (*Codec) ShedResponse(status int, _, reason string, retryAfter time.Duration) protocol.Response {
	if retryAfter <= 0 {
		return textResponse(status, reason)
	}
	seconds := strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)
	return textResponse(status, reason, protocol.Header{Name: "Retry-After", Value: seconds})
}

// ErrorResponse implements protocol.ClientCodec.
func (*Codec) ErrorResponse(_, reason string, timedOut bool) protocol.Response {
	if timedOut {
		return textResponse(http.StatusGatewayTimeout, reason)
	}
	return textResponse(http.StatusBadGateway, reason)
}

// NewCollector returns nil: all responses are streamed.
func (*Codec) NewCollector(*protocol.Request) protocol.Collector { return nil }

// CompleteResponse returns an error response, as responses are never collected.
func (c *Codec) CompleteResponse(*protocol.Request, string, protocol.Collector) protocol.Response {
	return c.ErrorResponse("", "no whole answers are given here", false)
}

// StreamHead implements protocol.ClientCodec.
func (*Codec) StreamHead(string) []byte {
	return []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// StreamEvent implements protocol.ClientCodec.
func (*Codec) StreamEvent(event []byte) []byte { return chat.EncodeChunk(event) }

// StreamEnd implements protocol.ClientCodec. A truncated stream ends with its connection.
func (*Codec) StreamEnd(completed bool, _ string) (data []byte, keepAlive bool) {
	if !completed {
		return nil, false
	}
	return []byte("0\r\n\r\n"), true
}
