package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"

	"sandcourse/internal/audit"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
)

const (
	maxRequestBytes = 64 << 20
	// messageOverheadTokens is the number of tokens of a message in addition to its content.
	messageOverheadTokens = 4
)

// completionBody holds the fields of a chat request's body that an engine uses.
type completionBody struct {
	Model     string                `json:"model"`
	Messages  []chat.Message        `json:"messages"`
	MaxTokens int                   `json:"max_tokens"`
	Transfer  *engineapi.KVTransfer `json:"kv_transfer_params"`
}

// completionRequest is an attempt that an engine has received.
type completionRequest struct {
	completionBody
	requestID       string
	clientRequestID string
	attemptIndex    string
	idempotencyKey  string
	roleEpoch       int64 // epoch of the engine's role according to the router; 0 if unknown
	promptTokens    int
	isTrial         bool // the planner, not a router, sent the request to test the engine's role
}

func (r *completionRequest) isDecode() bool { return r.Transfer.RemotePrefill }

func (r *completionRequest) reservationKey() string {
	return reservationKey(r.requestID, r.attemptIndex)
}

// prefixes returns, for each message, the prefix of the prompt that ends with the message.
func (r *completionRequest) prefixes() []prefix {
	hash, tokens := fnv.New64a(), 0
	var prefixes []prefix
	for _, m := range r.Messages {
		fmt.Fprintf(hash, "%s %d:", m.Role, len(m.Content))
		hash.Write(m.Content)
		tokens += chat.EstimateTokens(m.Content) + messageOverheadTokens
		prefixes = append(prefixes, prefix{hash: hash.Sum64(), tokens: tokens})
	}
	return prefixes
}

// readCompletionRequest parses a request. It returns false if the body cannot be read or is invalid; for an invalid body it
// also sends an error response.
func readCompletionRequest(w http.ResponseWriter, r *http.Request) (*completionRequest, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return nil, false
	}
	request := &completionRequest{
		requestID:       r.Header.Get(chat.HeaderRequestID),
		clientRequestID: r.Header.Get(chat.HeaderClientRequestID),
		attemptIndex:    r.Header.Get(engineapi.HeaderAttempt),
		idempotencyKey:  r.Header.Get(chat.HeaderIdempotencyKey),
	}
	if err := json.Unmarshal(body, &request.completionBody); err != nil || request.Transfer == nil {
		http.Error(w, "request is not JSON with kv_transfer_params", http.StatusBadRequest)
		return nil, false
	}
	request.roleEpoch, _ = strconv.ParseInt(r.Header.Get(engineapi.HeaderRoleEpoch), 10, 64)
	for _, m := range request.Messages {
		request.promptTokens += chat.EstimateTokens(m.Content) + messageOverheadTokens
	}
	request.isTrial = strings.HasPrefix(request.requestID, planapi.TrialPrefix)
	return request, true
}

// recordRequest records an event of a request, unless the request is a trial.
func (e *Engine) recordRequest(request *completionRequest, event audit.EngineEvent) {
	if request.isTrial {
		return
	}
	e.record(audit.EngineRecord{Event: event, RequestID: request.requestID, ClientRequestID: request.clientRequestID,
		Decode: request.isDecode()})
}

// arrivalState is the part of the engine's state that decides whether an arriving request is accepted.
type arrivalState struct {
	role                       string
	staleEpoch, draining, full bool
}

// recordArrival counts an attempt and returns the state of the engine at its arrival.
func (e *Engine) recordArrival(request *completionRequest) arrivalState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countAttempt()
	return arrivalState{
		role:       e.role.serving,
		staleEpoch: request.roleEpoch > 0 && request.roleEpoch != e.role.epoch || e.role.loading,
		draining:   e.draining || e.role.draining,
		full:       e.occupancy.waiting >= e.config.QueueLimit && len(e.slots) == cap(e.slots),
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	request, ok := readCompletionRequest(w, r)
	if !ok {
		return
	}
	e.recordRequest(request, audit.AttemptStarted)
	defer e.recordRequest(request, audit.AttemptEnded)
	if !e.awaitResponsive(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	state := e.recordArrival(request)
	faults, _, _ := e.currentFaults()
	if faults.ResponseDelay > 0 && !e.sleep(r.Context(), faults.ResponseDelay) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case state.staleEpoch:
		e.reject(w, http.StatusConflict, engineapi.RejectedRoleEpoch)
	case faults.FailStatus > 0:
		http.Error(w, "failed", faults.FailStatus)
	case state.draining:
		e.reject(w, http.StatusServiceUnavailable, engineapi.RejectedDraining)
	case state.full:
		e.reject(w, http.StatusTooManyRequests, engineapi.RejectedFull)
	case request.isDecode() != (state.role == planapi.Decode):
		e.reject(w, http.StatusConflict, engineapi.RejectedRole)
	case request.isDecode():
		e.decode(w, r, request)
	default:
		e.prefill(w, r, request)
	}
}

// reject responds that the engine has not started the request, with the reason.
func (e *Engine) reject(w http.ResponseWriter, status int, reason string) {
	e.setLoadHeaders(w)
	w.Header().Set(engineapi.HeaderRejected, reason)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(chat.ErrorBody("server_error", reason, "", "refused: "+reason))
}

// acquireSlot waits for a slot. It returns false if the client disconnects or the engine crashes first. The caller must call
// release when the request has ended.
func (e *Engine) acquireSlot(ctx context.Context, prefillTokens int) (release func(), ok bool) {
	e.mu.Lock()
	slots, incarnation := e.slots, e.incarnation.ctx
	e.occupancy.waiting++
	e.occupancy.openRequests++
	e.occupancy.queuedPrefillTokens += prefillTokens
	e.mu.Unlock()
	select {
	case slots <- struct{}{}:
		ok = true
	case <-ctx.Done():
	case <-incarnation.Done():
	}
	e.updateIfCurrent(incarnation, func() { e.occupancy.waiting-- })
	endRequest := func() {
		e.updateIfCurrent(incarnation, func() {
			e.occupancy.openRequests--
			e.occupancy.queuedPrefillTokens -= prefillTokens
		})
	}
	if !ok {
		endRequest()
		return nil, false
	}
	return func() { <-slots; endRequest() }, true
}
