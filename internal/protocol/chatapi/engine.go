package chatapi

import (
	"net/http"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
	"sandcourse/internal/routing"
)

func engineRequest(request *protocol.Request, requestID string) engineapi.Request {
	return engineapi.Request{Chat: request.ProtocolData.(*chat.Request), ID: requestID}
}

// MixedEnginePrefillsOnDecode returns false: a request is for either a prefill or a decode.
func (*Codec) MixedEnginePrefillsOnDecode() bool { return false }

// PrefillRequest implements protocol.EngineCodec.
func (*Codec) PrefillRequest(request *protocol.Request, requestID string, to protocol.Target, attemptIndex int,
	_ time.Duration) ([]byte, error) {
	return engineRequest(request, requestID).EncodeForPrefill(to.Address, to.RoleEpoch, attemptIndex)
}

// DecodeRequest implements protocol.EngineCodec.
func (*Codec) DecodeRequest(request *protocol.Request, requestID string, to protocol.Target, reservation protocol.ReservationHandle,
	_ time.Duration) ([]byte, error) {
	transfer, _ := reservation.(engineapi.KVTransfer)
	return engineRequest(request, requestID).EncodeForDecode(to.Address, to.RoleEpoch, transfer)
}

// HealthCheckRequest implements protocol.EngineCodec.
func (*Codec) HealthCheckRequest(to protocol.Target) []byte {
	return engineapi.EncodeHealthCheck(to.Address)
}

// ReleaseRequest implements protocol.EngineCodec.
func (*Codec) ReleaseRequest(to protocol.Target, requestID string, attemptIndex int) []byte {
	return engineapi.EncodeRelease(to.Address, requestID, attemptIndex)
}

// ReleaseReachesAllEngines returns false: an engine releases only its own reservations.
func (*Codec) ReleaseReachesAllEngines() bool { return false }

// ClassifyResponse implements protocol.EngineCodec. A successful response to a decode request must be a stream, and one to a
// prefill request must not.
func (*Codec) ClassifyResponse(head *http.Response, decode bool) attempt.Event {
	event := engineapi.ClassifyHead(head)
	if event == attempt.SuccessStatus && decode != chat.IsEventStream(head.Header) {
		return attempt.MalformedResponse
	}
	return event
}

// ParseReservation implements protocol.EngineCodec. The handle is an engineapi.KVTransfer.
func (*Codec) ParseReservation(body []byte) (handle protocol.ReservationHandle, cachedTokens int, err error) {
	return engineapi.ParsePrefillResponse(body)
}

// ParseLoadReport implements protocol.EngineCodec. Every response has the load report in its header.
func (*Codec) ParseLoadReport(head *http.Response, _ []byte) *routing.LoadReport {
	return engineapi.ParseLoadReport(head.Header)
}

// ParseLoadComment returns nil: comments in streams have no load reports.
func (*Codec) ParseLoadComment([]byte) *routing.LoadReport { return nil }

// IsFinalEvent implements protocol.EngineCodec.
func (*Codec) IsFinalEvent(event []byte) bool { return string(event) == chat.Done }

// ClassifyStreamEnd returns attempt.ConnectionReset, as a complete stream has a final event.
func (*Codec) ClassifyStreamEnd(bool) (event attempt.Event, reason string) {
	return attempt.ConnectionReset, "stream ended without its final event"
}
