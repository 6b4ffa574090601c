// Package engine is the protocol to engines: what is asked of a reader and of a writer, and how their answers
// are read. It does no I/O. docs/engine-protocol.md says which part is the publicly known form of prefill/decode
// disaggregation and which is this project's extension.
package engineapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"sandcourse/internal/attempt"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/routing"
)

// Paths and headers. Those that begin with X-Sandcourse or /sandcourse are extensions.
const (
	ChatPath    = "/v1/chat/completions"
	LoadPath    = "/sandcourse/load"
	ReleasePath = "/sandcourse/release"

	HeaderRejected      = "X-Sandcourse-Refused" // why an engine surely did not run a send
	HeaderMemoryShare   = "X-Sandcourse-Memory"  // share of memory held, 0 to 1
	HeaderWaitingTokens = "X-Sandcourse-Waiting" // thousands of prompt tokens to read or fetch
	HeaderOpenRequests  = "X-Sandcourse-Open"    // inferences it holds
	HeaderAttempt       = "X-Sandcourse-Send"    // which send of the inference a read is; its state goes by both
	HeaderRoleEpoch     = "X-Sandcourse-Epoch"   // of the engine's role, as the edge knows it
)

// The words of HeaderRefused.
const (
	RejectedFull          = "full"
	RejectedDraining      = "draining"
	RejectedNoReservation = "no-state"
	RejectedRoleEpoch     = "epoch" // its role has another epoch by now, or it loads for the next one
	RejectedRole          = "role"  // it has no epochs, or the same, and another role
)

// KVTransfer is kv_transfer_params: how a read state is named.
type KVTransfer struct {
	RemoteDecode  bool   `json:"do_remote_decode"`
	RemotePrefill bool   `json:"do_remote_prefill"`
	Engine        string `json:"remote_engine_id,omitempty"`
	Host          string `json:"remote_host,omitempty"`
	Port          int    `json:"remote_port,omitempty"`
	Blocks        []int  `json:"remote_block_ids,omitempty"`
}

// Request is one inference on its way to engines.
type Request struct {
	Chat *chat.Request
	ID   string // of the inference, unique over nodes and restarts
}

// Prefill asks a reader for a state; send is its number among the inference's sends. Epoch is of the engine's role, 0
// where it has none.
func (r Request) Prefill(host string, roleEpoch int64, attemptIndex int) ([]byte, error) {
	return r.encode(host, roleEpoch, attemptIndex, map[string]any{"stream": false, "stream_options": nil, "max_tokens": 1,
		"max_completion_tokens": nil, "kv_transfer_params": KVTransfer{RemoteDecode: true}})
}

// Decode asks a writer for the answer from a state.
func (r Request) Decode(host string, roleEpoch int64, t KVTransfer) ([]byte, error) {
	return r.encode(host, roleEpoch, -1, map[string]any{"stream": true, "max_tokens": r.Chat.MaxOutputTokens,
		"max_completion_tokens": nil, "kv_transfer_params": t})
}

func (r Request) encode(host string, roleEpoch int64, attemptIndex int, replacements map[string]any) ([]byte, error) {
	body, err := r.Chat.RewrittenBody(replacements)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.Grow(len(body) + 512)
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s: %s\r\n",
		ChatPath, host, len(body), chat.HeaderRequestID, r.ID)
	if attemptIndex >= 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", HeaderAttempt, attemptIndex)
	}
	if roleEpoch > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", HeaderRoleEpoch, roleEpoch)
	}
	for _, field := range [][2]string{{chat.HeaderClientRequestID, r.Chat.ClientRequestID}, {chat.HeaderIdempotencyKey, r.Chat.IdempotencyKey}} {
		if field[1] != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", field[0], field[1])
		}
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes(), nil
}

// HealthCheck asks an engine for its load.
func HealthCheck(host string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", LoadPath, host)
}

// Release asks a reader to let go of what it holds, or comes to hold, from one send of an inference.
func Release(host, requestID string, attemptIndex int) []byte {
	body, _ := json.Marshal(map[string]any{"inference": requestID, "send": attemptIndex})
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", ReleasePath, host, len(body), body)
}

// ClassifyHead says what a status line and its head mean for a send.
func ClassifyHead(response *http.Response) attempt.Event {
	rejection := response.Header.Get(HeaderRejected)
	switch {
	case response.StatusCode == http.StatusOK && rejection == "":
		return attempt.SuccessStatus
	case response.StatusCode < 400:
		return attempt.MalformedResponse
	case rejection == RejectedNoReservation:
		return attempt.ReservationNotFound
	case rejection == RejectedFull, rejection == RejectedDraining, rejection == RejectedRoleEpoch, rejection == RejectedRole:
		return attempt.Rejected
	}
	// A status alone, 503 too, does not say that nothing ran.
	return attempt.ErrorStatus
}

// ParsePrefillResponse reads a reader's answer: the state's name and how many prompt tokens it had kept.
func ParsePrefillResponse(body []byte) (transfer KVTransfer, cachedTokens int, err error) {
	var response struct {
		Transfer *KVTransfer `json:"kv_transfer_params"`
		Usage    struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return transfer, 0, fmt.Errorf("reader's answer is not JSON: %w", err)
	}
	if response.Transfer == nil || !response.Transfer.RemotePrefill || response.Transfer.Host == "" ||
		response.Transfer.Port < 1 || response.Transfer.Port > 65535 {
		return transfer, 0, fmt.Errorf("reader's answer names no state to fetch")
	}
	return *response.Transfer, max(0, response.Usage.Details.Cached), nil
}

// ParseLoadReport reads an engine's load. If a figure is missing or out of range there is no report: with a part of the
// figures, the rest would be taken for zero.
func ParseLoadReport(header http.Header) *routing.LoadReport {
	const maxMemoryShare, maxWork = 4, 1e6
	memoryShare, hasMemory := parseFigure(header, HeaderMemoryShare, maxMemoryShare)
	waiting, hasWaiting := parseFigure(header, HeaderWaitingTokens, maxWork)
	_, hasOpen := parseFigure(header, HeaderOpenRequests, maxWork)
	if !hasMemory || !hasWaiting || !hasOpen {
		return nil
	}
	return &routing.LoadReport{MemoryShare: memoryShare, QueuedWork: waiting}
}

// parseFigure reads a header's number, if it is one from 0 to limit.
func parseFigure(header http.Header, name string, limit float64) (v float64, ok bool) {
	v, err := strconv.ParseFloat(header.Get(name), 64)
	return v, err == nil && v >= 0 && v <= limit
}
