// Package protocol is what the core of a router needs of a protocol: the interface of a codec, and the messages between the
// core and a codec. The core decides what is sent when and to whom; a codec knows the encoding. It does no I/O.
package protocol

import (
	"net/http"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/routing"
)

// Codec is one protocol, towards clients and towards engines.
type Codec interface {
	ClientCodec
	EngineCodec
}

// ClientCodec decodes the requests of clients and encodes the responses to them.
type ClientCodec interface {
	// ParseRequest decodes a request of a client and names the tenant that sends it, empty for none. An invalid request
	// gets the rejection. Where request and rejection are nil, AuxiliaryResponse answers.
	ParseRequest(r *http.Request, body []byte) (request *Request, tenant string, rejection *Response)
	// AuxiliaryResponse answers what asks for no completion, such as a health check. NotReady is the reason why the node
	// can't serve, empty where it can.
	AuxiliaryResponse(r *http.Request, notReady string) Response

	// InvalidRequestResponse rejects what a client must change before a retry.
	InvalidRequestResponse(status int, code, param, reason string) Response
	// ShedResponse rejects what nothing was done for, so that a retry is safe. The request ID is empty where the request
	// has none yet; retryAfter is 0 for no advice.
	ShedResponse(status int, requestID, reason string, retryAfter time.Duration) Response
	// ErrorResponse ends a request that may have run.
	ErrorResponse(requestID, reason string, timedOut bool) Response

	// NewCollector returns nil where the client takes the stream itself.
	NewCollector(request *Request) Collector
	// CompleteResponse is the response of what a collector has taken.
	CompleteResponse(request *Request, requestID string, collected Collector) Response

	// StreamHead, StreamEvent and StreamEnd encode a streamed response.
	StreamHead(requestID string) []byte
	StreamEvent(event []byte) []byte
	// StreamEnd also returns whether the connection may be kept, which may be false where the stream was cut short.
	StreamEnd(completed bool, reason string) (data []byte, keep bool)
}

// EngineCodec encodes the requests to engines and decodes their responses.
type EngineCodec interface {
	// MixedEnginePrefillsOnDecode is whether an engine of both roles that gets a decode request without a reservation runs
	// the prefill too. Else it gets a prefill request first, as a prefill engine does.
	MixedEnginePrefillsOnDecode() bool
	// PrefillRequest asks for a prefill. The attempt index counts the attempts of the request; remaining is how long the
	// client still waits.
	PrefillRequest(request *Request, requestID string, to Target, attemptIndex int, remaining time.Duration) ([]byte, error)
	// DecodeRequest asks for the stream from a reservation.
	DecodeRequest(request *Request, requestID string, to Target, from ReservationHandle, remaining time.Duration) ([]byte, error)
	// HealthCheckRequest also asks for a load report, where the protocol has them.
	HealthCheckRequest(to Target) []byte
	// ReleaseRequest releases the reservation of an attempt.
	ReleaseRequest(to Target, requestID string, attemptIndex int) []byte
	// ReleaseReachesAllEngines is whether a release request to any engine releases the reservations of the others, too.
	ReleaseReachesAllEngines() bool

	// ClassifyResponse maps the head of a response to an event of the attempt's state machine.
	ClassifyResponse(head *http.Response, decode bool) attempt.Event
	// ParseReservation decodes the response of a prefill engine: the reservation, and the number of prompt tokens that
	// were cached.
	ParseReservation(body []byte) (handle ReservationHandle, cachedTokens int, err error)
	// ParseLoadReport decodes the load report of a response, nil for none. The body is given for health checks only.
	ParseLoadReport(head *http.Response, body []byte) *routing.LoadReport
	// ParseLoadComment decodes a load report in a comment line of a stream, nil for none.
	ParseLoadComment(line []byte) *routing.LoadReport
	// IsFinalEvent is whether an event ends its stream and is not forwarded.
	IsFinalEvent(event []byte) bool
	// ClassifyStreamEnd is the meaning of a stream whose framing ends and that had no final event, and the reason.
	ClassifyStreamEnd(hasEvents bool) (event attempt.Event, reason string)
}
