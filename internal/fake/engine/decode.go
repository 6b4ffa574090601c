package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
)

// completionChunk is the data of a streamed event. The fields of completionChunk, chunkChoice and chunkDelta are in the order in
// which they are sent.
type completionChunk struct {
	Choices []chunkChoice `json:"choices"`
	ID      string        `json:"id"`
	Model   string        `json:"model"`
	Object  string        `json:"object"`
}

type chunkChoice struct {
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
	Index        int        `json:"index"`
}

type chunkDelta struct {
	Content string `json:"content,omitempty"` // text of the token; absent in the last chunk
}

// decode fetches the KV state of a prompt and streams the response.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, request *completionRequest) {
	releaseSlot, ok := e.acquireSlot(r.Context(), request.promptTokens)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer releaseSlot()
	if !e.fetchReservation(r.Context(), request.Transfer) {
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		e.reject(w, http.StatusConflict, engineapi.RejectedNoReservation)
		return
	}
	defer e.acquireMemory(request.promptTokens)()
	if !e.awaitUnblocked(r.Context(), func(f Faults) bool { return f.Unresponsive || f.StallFirst }) {
		panic(http.ErrAbortHandler)
	}
	e.recordExecution(request)
	e.setLoadHeaders(w)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i, word := range e.responseWords(request) {
		if !e.awaitToken(r.Context(), i) {
			panic(http.ErrAbortHandler)
		}
		w.Write(chat.AppendEvent(nil, encodeChunk(request, word, nil)))
		flusher.Flush()
		if !e.sleep(r.Context(), e.countToken()) {
			panic(http.ErrAbortHandler)
		}
	}
	finishReason := "stop"
	w.Write(chat.AppendEvent(nil, encodeChunk(request, "", &finishReason)))
	w.Write(chat.AppendEvent(nil, []byte(chat.Done)))
}

// acquireMemory allocates KV memory until release is called.
func (e *Engine) acquireMemory(tokens int) (release func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	incarnation := e.incarnation.ctx
	e.occupancy.usedTokens += tokens
	return func() { e.updateIfCurrent(incarnation, func() { e.occupancy.usedTokens -= tokens }) }
}

// recordExecution records that a request is executed or, if its idempotency key is known, deduplicated.
func (e *Engine) recordExecution(request *completionRequest) {
	event := audit.Executed
	if e.idempotencyKeys.checkAndRecord(request.idempotencyKey) {
		event = audit.Deduplicated
	}
	e.record(audit.EngineRecord{Event: event, RequestID: request.requestID, ClientRequestID: request.clientRequestID})
}

// awaitToken waits until no fault blocks the token with this index. It returns false if the connection must be broken.
func (e *Engine) awaitToken(ctx context.Context, index int) bool {
	faults, _, incarnation := e.currentFaults()
	if faults.BreakAfter > 0 && index >= faults.BreakAfter || incarnation.Err() != nil {
		return false
	}
	stalled := func(f Faults) bool { return f.StallAfter > 0 && index >= f.StallAfter }
	return e.awaitUnblocked(ctx, stalled) && e.awaitResponsive(ctx)
}

// countToken counts a token and returns the time to generate it.
func (e *Engine) countToken() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	speed := e.speed()
	e.work.decodedTokens++
	e.work.busySeconds += e.config.TokenTime.Seconds() / speed / float64(e.config.Slots)
	return time.Duration(float64(e.config.TokenTime) / speed)
}

func encodeChunk(request *completionRequest, content string, finishReason *string) []byte {
	data, _ := json.Marshal(completionChunk{ // Marshal cannot fail, as all values can be represented in JSON.
		Choices: []chunkChoice{{Delta: chunkDelta{Content: content}, FinishReason: finishReason}},
		ID:      completionID(request),
		Model:   request.Model,
		Object:  "chat.completion.chunk",
	})
	return data
}

var vocabulary = strings.Fields("the home side answered late and the crowd rose again before the keeper held the ball " +
	"while both captains waited for the whistle that never quite came over the noise of the valley")

const (
	minResponseWords   = 8
	responseWordsRange = 25
	// A response to a request for more than longRequestTokens tokens has at least half of them. The router sends unsetMaxTokens
	// for a client request without max_tokens.
	longRequestTokens = 64
	unsetMaxTokens    = 512

	// Multiplier and increment of the 64-bit linear congruential generator of words.
	wordMultiplier = 6364136223846793005
	wordIncrement  = 1442695040888963407
)

// responseWords returns the tokens of a response, which are the same for the same seed, prompt and max_tokens.
func (e *Engine) responseWords(request *completionRequest) []string {
	state := e.config.Seed
	if prefixes := request.prefixes(); len(prefixes) > 0 {
		state ^= prefixes[len(prefixes)-1].hash
	}
	length := int(minResponseWords + state%responseWordsRange)
	if request.MaxTokens > longRequestTokens && request.MaxTokens != unsetMaxTokens {
		length = request.MaxTokens/2 + int(state%uint64(request.MaxTokens/2))
	}
	var words []string
	for range max(1, min(request.MaxTokens, length)) {
		state = state*wordMultiplier + wordIncrement
		words = append(words, vocabulary[state>>33%uint64(len(vocabulary))]+" ")
	}
	return words
}
