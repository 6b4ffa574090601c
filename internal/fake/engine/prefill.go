package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sandcourse/internal/protocol/engineapi"
)

// minPrefillTime is the time of a prefill whose prompt is completely cached.
const minPrefillTime = time.Millisecond

// completionResponse is the body of a prefill's response. Its fields, and those of the types that it contains, are in the order
// in which they are sent.
type completionResponse struct {
	Choices  []completionChoice   `json:"choices"`
	ID       string               `json:"id"`
	Transfer engineapi.KVTransfer `json:"kv_transfer_params"`
	Model    string               `json:"model"`
	Object   string               `json:"object"`
	Usage    completionUsage      `json:"usage"`
}

type completionChoice struct {
	FinishReason string            `json:"finish_reason"`
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
}

type completionMessage struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

type completionUsage struct {
	CompletionTokens int           `json:"completion_tokens"`
	PromptTokens     int           `json:"prompt_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
	TotalTokens      int           `json:"total_tokens"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// prefill processes the prompt, holds its KV state as a reservation, and responds with the reservation's address.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, request *completionRequest) {
	prefixes := request.prefixes()
	e.mu.Lock()
	cachedTokens := e.prefixes.cachedTokens(prefixes)
	e.mu.Unlock()
	newTokens := request.promptTokens - cachedTokens
	releaseSlot, ok := e.acquireSlot(r.Context(), newTokens)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer releaseSlot()
	startedAt := time.Now()
	duration, incarnation := e.prefillTime(newTokens)
	if !e.sleep(r.Context(), duration) || !e.awaitResponsive(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	var truncate bool
	var addr string
	if !e.updateIfCurrent(incarnation, func() {
		e.prefixes.add(prefixes)
		e.work.prefilledTokens += float64(newTokens)
		e.work.busySeconds += time.Since(startedAt).Seconds() / float64(e.config.Slots)
		e.reserve(request)
		truncate, addr = e.faults.TruncatePrefill, e.addr
	}) {
		panic(http.ErrAbortHandler)
	}
	e.writePrefillResponse(w, encodePrefillResponse(request, addr, cachedTokens), truncate)
}

// prefillTime returns the time that one slot needs for the tokens at the current speed, and the current incarnation.
func (e *Engine) prefillTime(tokens int) (duration time.Duration, incarnation context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slotRate := e.config.PrefillRate / float64(e.config.Slots) * e.speed()
	return time.Duration(float64(tokens)/slotRate*1e9) + minPrefillTime, e.incarnation.ctx
}

// encodePrefillResponse returns the response body of the engine at an address.
func encodePrefillResponse(request *completionRequest, addr string, cachedTokens int) []byte {
	host, portText, _ := strings.Cut(addr, ":")
	port, _ := strconv.Atoi(portText)
	body, _ := json.Marshal(completionResponse{ // Marshal cannot fail, as all values can be represented in JSON.
		Choices: []completionChoice{{FinishReason: "length", Message: completionMessage{Role: "assistant"}}},
		ID:      completionID(request),
		Transfer: engineapi.KVTransfer{RemotePrefill: true, Engine: request.reservationKey(), Host: host, Port: port,
			Blocks: []int{0}},
		Model:  request.Model,
		Object: "chat.completion",
		Usage: completionUsage{CompletionTokens: 1, PromptTokens: request.promptTokens,
			PromptDetails: promptDetails{CachedTokens: cachedTokens}, TotalTokens: request.promptTokens + 1},
	})
	return body
}

func completionID(request *completionRequest) string { return "cmpl-" + request.requestID }

func (e *Engine) writePrefillResponse(w http.ResponseWriter, body []byte, truncate bool) {
	e.setLoadHeaders(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if truncate {
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}
