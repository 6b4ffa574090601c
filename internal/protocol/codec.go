// Package protocol defines the interface between the core of a router and the codec of a protocol, and the messages that they
// exchange. The core decides what is sent, when and to whom; a codec only encodes and decodes. The package does no I/O.
package protocol

import (
	"net/http"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/routing"
)

// Codec encodes and decodes one protocol, towards clients and towards engines.
type Codec interface {
	ClientCodec
	EngineCodec
}

// ClientCodec decodes the requests of clients and encodes the responses to them.
type ClientCodec interface {
	// ParseRequest decodes a client's request and returns the tenant that sent it, or "" for a request without a tenant.
	// For an invalid request it returns a rejection instead. If both request and rejection are nil, the request is not a
	// completion request, and AuxiliaryResponse returns its response.
	ParseRequest(r *http.Request, body []byte) (request *Request, tenant string, rejection *Response)
	// AuxiliaryResponse returns the response to a request that is not for a completion, such as a health check. NotReady is
	// the reason why the node cannot serve requests, or empty if it can.
	AuxiliaryResponse(method, path, notReady string) Response

	// InvalidRequestResponse rejects a request that the client must change before it retries.
	InvalidRequestResponse(status int, code, param, reason string) Response
	// ShedResponse rejects a request of which no part has run, so that a retry is safe. The request ID is empty if the request
	// has none yet; with a retryAfter of 0 no delay is suggested.
	ShedResponse(status int, requestID, reason string, retryAfter time.Duration) Response
	// ErrorResponse reports the failure of a request that may have run.
	ErrorResponse(requestID, reason string, timedOut bool) Response

	// NewCollector returns a collector for the response, or nil if the client requested a stream.
	NewCollector(request *Request) Collector
	// CompleteResponse returns the response made of the events in a collector.
	CompleteResponse(request *Request, requestID string, collected Collector) Response

	// StreamHead, StreamEvent and StreamEnd encode a streamed response.
	StreamHead(requestID string) []byte
	StreamEvent(event []byte) []byte
	// StreamEnd also returns whether the connection can stay open, which may be impossible after a truncated stream.
	StreamEnd(completed bool, reason string) (data []byte, keepAlive bool)
}

// EngineCodec encodes the requests to engines and decodes their responses.
type EngineCodec interface {
	// MixedEnginePrefillsOnDecode reports whether an engine of both roles also runs the prefill if it receives a decode request
	// without a reservation. Otherwise the engine needs a prefill request first, as a prefill engine does.
	MixedEnginePrefillsOnDecode() bool
	// PrefillRequest encodes a prefill request. The attempt index numbers the attempts of the request; remaining is how long
	// the client will still wait.
	PrefillRequest(request *Request, requestID string, to Target, attemptIndex int, remaining time.Duration) ([]byte, error)
	// DecodeRequest encodes a request to stream the output from a reservation.
	DecodeRequest(request *Request, requestID string, to Target, reservation ReservationHandle,
		remaining time.Duration) ([]byte, error)
	// HealthCheckRequest encodes a health check, which also requests a load report if the protocol has load reports.
	HealthCheckRequest(to Target) []byte
	// ReleaseRequest encodes a request to release the reservation of an attempt.
	ReleaseRequest(to Target, requestID string, attemptIndex int) []byte
	// ReleaseReachesAllEngines reports whether a release request to any engine also releases the reservations at all others.
	ReleaseReachesAllEngines() bool

	// ClassifyResponse maps the head of a response to an event of the attempt's state machine.
	ClassifyResponse(head *http.Response, decode bool) attempt.Event
	// ParseReservation decodes the response of a prefill engine. It returns the reservation and the number of prompt tokens
	// that were cached.
	ParseReservation(body []byte) (handle ReservationHandle, cachedTokens int, err error)
	// ParseLoadReport decodes the load report of a response, or returns nil if the response has none. The body is nil except for
	// health checks.
	ParseLoadReport(head *http.Response, body []byte) *routing.LoadReport
	// ParseLoadComment decodes a load report in a comment line of a stream, or returns nil if the comment has none.
	ParseLoadComment(line []byte) *routing.LoadReport
	// IsFinalEvent reports whether an event ends its stream and must not be forwarded.
	IsFinalEvent(event []byte) bool
	// ClassifyStreamEnd maps the end of a stream's framing without a final event to an event of the attempt's state machine,
	// and returns the reason if that is a failure.
	ClassifyStreamEnd(hasEvents bool) (event attempt.Event, reason string)
}
