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

// MixedEnginePrefillsOnDecode is false: a request says whether the engine has to prefill or to decode.
func (*Codec) MixedEnginePrefillsOnDecode() bool { return false }

// PrefillRequest implements protocol.EngineCodec.
func (*Codec) PrefillRequest(request *protocol.Request, requestID string, to protocol.Target, attemptIndex int,
	_ time.Duration) ([]byte, error) {
	return engineRequest(request, requestID).Prefill(to.Address, to.RoleEpoch, attemptIndex)
}

// DecodeRequest implements protocol.EngineCodec.
func (*Codec) DecodeRequest(request *protocol.Request, requestID string, to protocol.Target, from protocol.ReservationHandle,
	_ time.Duration) ([]byte, error) {
	transfer, _ := from.(engineapi.KVTransfer)
	return engineRequest(request, requestID).Decode(to.Address, to.RoleEpoch, transfer)
}

// HealthCheckRequest implements protocol.EngineCodec.
func (*Codec) HealthCheckRequest(to protocol.Target) []byte { return engineapi.HealthCheck(to.Address) }

// ReleaseRequest implements protocol.EngineCodec.
func (*Codec) ReleaseRequest(to protocol.Target, requestID string, attemptIndex int) []byte {
	return engineapi.Release(to.Address, requestID, attemptIndex)
}

// ReleaseReachesAllEngines is false: an engine releases its own reservations only.
func (*Codec) ReleaseReachesAllEngines() bool { return false }

// ClassifyResponse implements protocol.EngineCodec. An accepted decode streams, an accepted prefill does not.
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

// ParseLoadReport implements protocol.EngineCodec. Reports are in the header of every response.
func (*Codec) ParseLoadReport(head *http.Response, _ []byte) *routing.LoadReport {
	return engineapi.ParseLoadReport(head.Header)
}

// ParseLoadComment returns nil: streams carry no reports in comments.
func (*Codec) ParseLoadComment([]byte) *routing.LoadReport { return nil }

// IsFinalEvent implements protocol.EngineCodec.
func (*Codec) IsFinalEvent(event []byte) bool { return string(event) == chat.Done }

// ClassifyStreamEnd is a reset, as a complete stream has a final event.
func (*Codec) ClassifyStreamEnd(bool) (event attempt.Event, reason string) {
	return attempt.ConnectionReset, "the stream ended without its last event"
}
