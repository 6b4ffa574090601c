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

// ErrNoReservation refuses the response of a prefill engine that does not say where its KV state is.
var ErrNoReservation = errors.New("prefill response names no KV state")

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
	// A status alone, even 503, does not say that nothing ran.
	return attempt.ErrorStatus
}

// prefillResponse is what the router reads of a prefill engine's response.
type prefillResponse struct {
	Transfer *KVTransfer `json:"kv_transfer_params"`
	Usage    struct {
		Details struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// ParsePrefillResponse decodes the body of a prefill engine's response: where the KV state is, and how many prompt tokens
// were cached.
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

// Limits of the figures of a load report.
const (
	maxMemoryShare = 4
	maxQueuedWork  = 1e6
)

// ParseLoadReport decodes the load report in the header of a response. A report that lacks a figure, or has one out of
// range, counts as none: a missing figure would be taken for zero.
func ParseLoadReport(header http.Header) *routing.LoadReport {
	memoryShare, hasMemory := parseFigure(header, HeaderMemoryShare, maxMemoryShare)
	waiting, hasWaiting := parseFigure(header, HeaderWaitingTokens, maxQueuedWork)
	_, hasOpen := parseFigure(header, HeaderOpenRequests, maxQueuedWork)
	if !hasMemory || !hasWaiting || !hasOpen {
		return nil
	}
	return &routing.LoadReport{MemoryShare: memoryShare, QueuedWork: waiting}
}

// parseFigure reads a header's number, if it is one from 0 to the limit.
func parseFigure(header http.Header, name string, limit float64) (v float64, ok bool) {
	v, err := strconv.ParseFloat(header.Get(name), 64)
	return v, err == nil && v >= 0 && v <= limit
}
