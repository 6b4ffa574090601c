package platformengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/platform"
)

// prefillResponse is the body of a prefill's response, which reports no cached tokens.
const prefillResponse = `{"cached_tokens":0}`

// completionChunk is the data of a streamed event. The fields of completionChunk, chunkChoice and chunkDelta are in the order in
// which they are sent.
type completionChunk struct {
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content"`
}

func (e *Engine) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // An attempt counts only after its last byte has arrived.
	}
	requestID := r.Header.Get(platform.HeaderRequestID)
	attempt := &engineAttempt{engineID: e.ID, routerAddr: r.RemoteAddr, awaitsReservation: e.isDecode()}
	e.fleet.startAttempt(e, requestID, attempt)
	defer e.fleet.endAttempt(requestID, attempt)
	if e.Role == Prefill {
		e.prefill(w, r, requestID)
	} else {
		e.decode(w, r, requestID, attempt)
	}
}

// prefill processes a prompt to its end and holds its KV state, even if the router has disconnected.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, requestID string) {
	e.slots <- struct{}{}
	time.Sleep(e.WorkTime)
	<-e.slots
	e.fleet.reserve(e, requestID)
	if r.Context().Err() != nil {
		e.fleet.callBeforeCloseDetected(requestID)
		return
	}
	if e.isEndless() {
		w.WriteHeader(http.StatusAccepted)
		e.sendEndlessly(w, r, "{")
		return
	}
	w.Header().Set(platform.HeaderLoadReport, loadReport)
	w.WriteHeader(http.StatusAccepted)
	writeString(w, prefillResponse)
}

// decode waits for a slot, fetches the reservation and streams the response. An attempt whose router has disconnected stays in
// flight until the engine notices the disconnect.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, requestID string, attempt *engineAttempt) {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		e.fleet.callBeforeCloseDetected(requestID)
		return
	}
	if !e.fleet.fetchReservation(e, requestID, attempt) {
		w.Header().Set(platform.HeaderNotStarted, "1")
		w.WriteHeader(http.StatusGone)
		return
	}
	if e.isEndless() {
		w.Header().Set("Content-Type", "text/event-stream")
		e.sendEndlessly(w, r, "data: ")
		return
	}
	e.stream(r.Context(), w)
}

// isEndless reports whether a response that begins now is one that does not end.
func (e *Engine) isEndless() bool { return time.Since(e.firstResponse()) < e.EndlessTime }

// sendEndlessly sends the beginning of a body, and waits until the router disconnects.
func (e *Engine) sendEndlessly(w http.ResponseWriter, r *http.Request, start string) {
	writeString(w, start+strings.Repeat("x", e.EndlessBytes))
	if http.NewResponseController(w).Flush() == nil {
		<-r.Context().Done()
	}
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := range e.Events {
		if ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if i > 0 {
			time.Sleep(e.WorkTime)
		}
		w.Write(chat.AppendEvent(nil, encodeChunk("w"+strconv.Itoa(i))))
		flusher.Flush()
	}
	w.Write(chat.AppendEvent(nil, []byte(chat.Done)))
	writeString(w, ": "+platform.HeaderLoadReport+": "+loadReport+"\n\n")
}

func encodeChunk(content string) []byte {
	data, _ := json.Marshal(completionChunk{Choices: []chunkChoice{{Delta: chunkDelta{Content: content}}}})
	return data
}
