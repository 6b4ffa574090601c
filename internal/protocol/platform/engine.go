package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chat"
)

// ErrNoCachedTokens reports a prefill response without a valid number of cached tokens.
var ErrNoCachedTokens = errors.New("prefill response has no number of cached tokens")

// MixedEnginePrefillsOnDecode returns true: a mixed engine that has no reservation for a decode request also runs the prefill.
func (*Codec) MixedEnginePrefillsOnDecode() bool { return true }

// PrefillRequest implements protocol.EngineCodec.
func (*Codec) PrefillRequest(request *protocol.Request, requestID string, to protocol.Target, _ int,
	remaining time.Duration) ([]byte, error) {
	return request.ProtocolData.(*forwardedRequest).encode(requestID, to, remaining), nil
}

// DecodeRequest implements protocol.EngineCodec. The decode engine looks up the reservation by the request's ID.
func (*Codec) DecodeRequest(request *protocol.Request, requestID string, to protocol.Target, _ protocol.ReservationHandle,
	remaining time.Duration) ([]byte, error) {
	return request.ProtocolData.(*forwardedRequest).encode(requestID, to, remaining), nil
}

// HealthCheckRequest implements protocol.EngineCodec.
func (c *Codec) HealthCheckRequest(to protocol.Target) []byte {
	path := LoadReportPath
	if len(c.reportFields) == 0 {
		path = PingPath
	}
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, to.Address)
}

// ReleaseRequest implements protocol.EngineCodec. It releases the reservations of all attempts of the request.
func (*Codec) ReleaseRequest(to protocol.Target, requestID string, _ int) []byte {
	return fmt.Appendf(nil, "DELETE %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", ReservationsPath, requestID, to.Address)
}

// ReleaseReachesAllEngines returns true: any engine accepts the release of reservations that other engines hold.
func (*Codec) ReleaseReachesAllEngines() bool { return true }

// ClassifyResponse implements protocol.EngineCodec. Only the header Not-Started proves that the engine has run no part of the
// request.
func (*Codec) ClassifyResponse(head *http.Response, decode bool) attempt.Event {
	notStarted := head.Header.Get(HeaderNotStarted) == "1"
	switch {
	case decode && head.StatusCode == http.StatusOK && chat.IsEventStream(head.Header):
		return attempt.SuccessStatus
	case !decode && head.StatusCode == http.StatusAccepted:
		return attempt.SuccessStatus
	case head.StatusCode < http.StatusBadRequest:
		return attempt.MalformedResponse
	case head.StatusCode == http.StatusGone && notStarted:
		return attempt.ReservationNotFound
	case notStarted && (head.StatusCode == http.StatusServiceUnavailable || head.StatusCode == http.StatusGatewayTimeout):
		return attempt.Rejected
	}
	return attempt.ErrorStatus
}

// reservationByRequestID is the handle of a reservation that engines look up by the request's ID.
type reservationByRequestID struct{}

// ParseReservation implements protocol.EngineCodec.
func (*Codec) ParseReservation(body []byte) (handle protocol.ReservationHandle, cachedTokens int, err error) {
	var response struct {
		CachedTokens *int `json:"cached_tokens"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", protocol.ErrMalformedPrefillResponse, err)
	}
	if response.CachedTokens == nil || *response.CachedTokens < 0 {
		return nil, 0, ErrNoCachedTokens
	}
	return reservationByRequestID{}, *response.CachedTokens, nil
}

// IsFinalEvent returns false: the event that marks the end of a stream is forwarded to the client, too.
func (*Codec) IsFinalEvent([]byte) bool { return false }

// ClassifyStreamEnd implements protocol.EngineCodec. Only a complete stream has the last chunk, which ends the framing.
func (*Codec) ClassifyStreamEnd(hasEvents bool) (event attempt.Event, reason string) {
	if !hasEvents {
		return attempt.MalformedResponse, "stream has no events"
	}
	return attempt.DecodeCompleted, ""
}
