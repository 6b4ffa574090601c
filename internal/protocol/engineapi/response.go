package engineapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"sandcourse/internal/attempt"
	"sandcourse/internal/protocol"
	"sandcourse/internal/routing"
)

// ErrNoReservation reports a prefill response that does not identify the KV state.
var ErrNoReservation = errors.New("prefill response does not identify its KV state")

// ClassifyHead maps the head of a response to an event of the attempt's state machine.
func ClassifyHead(response *http.Response) attempt.Event {
	rejection := response.Header.Get(HeaderRejected)
	switch {
	case response.StatusCode == http.StatusOK && rejection == "":
		return attempt.SuccessStatus
	case response.StatusCode < http.StatusBadRequest:
		return attempt.MalformedResponse
	case rejection == RejectedNoReservation:
		return attempt.ReservationNotFound
	case rejection == RejectedFull, rejection == RejectedDraining, rejection == RejectedRoleEpoch, rejection == RejectedRole:
		return attempt.Rejected
	}
	// A status alone, even 503, does not prove that no part of the request ran.
	return attempt.ErrorStatus
}

// prefillResponse has the fields of a prefill response that the router uses.
type prefillResponse struct {
	Transfer *KVTransfer `json:"kv_transfer_params"`
	Usage    struct {
		Details struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// ParsePrefillResponse decodes the body of a prefill response. It returns the location of the KV state and the number of
// prompt tokens that were cached.
func ParsePrefillResponse(body []byte) (transfer KVTransfer, cachedTokens int, err error) {
	var response prefillResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return transfer, 0, fmt.Errorf("%w: %w", protocol.ErrMalformedPrefillResponse, err)
	}
	t := response.Transfer
	if t == nil || !t.RemotePrefill || t.Host == "" || t.Port < 1 || t.Port > 65535 {
		return transfer, 0, ErrNoReservation
	}
	return *t, max(0, response.Usage.Details.CachedTokens), nil
}

// Limits of the values in a load report.
const (
	maxMemoryShare = 4
	maxQueuedWork  = 1e6
)

// ParseLoadReport decodes the load report in the header of a response. It returns nil if a value is missing or out of
// range, because a missing value would otherwise count as zero.
func ParseLoadReport(header http.Header) *routing.LoadReport {
	memoryShare, hasMemory := parseNumberHeader(header, HeaderMemoryShare, maxMemoryShare)
	waiting, hasWaiting := parseNumberHeader(header, HeaderWaitingTokens, maxQueuedWork)
	_, hasOpen := parseNumberHeader(header, HeaderOpenRequests, maxQueuedWork)
	if !hasMemory || !hasWaiting || !hasOpen {
		return nil
	}
	return &routing.LoadReport{MemoryShare: memoryShare, QueuedWork: waiting}
}

// parseNumberHeader returns the number in a header, and whether the number is valid and from 0 to the limit.
func parseNumberHeader(header http.Header, name string, limit float64) (v float64, ok bool) {
	v, err := strconv.ParseFloat(header.Get(name), 64)
	return v, err == nil && v >= 0 && v <= limit
}
