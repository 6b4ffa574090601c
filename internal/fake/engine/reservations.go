package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/engineapi"
)

const (
	reservationTimeout        = 8 * time.Second
	earlyReleaseTimeout       = 30 * time.Second
	reservationExpiryInterval = 200 * time.Millisecond
	fetchTimeout              = 2 * time.Second
	maxReleaseBytes           = 1 << 10
)

// Details of audit.Released records.
const (
	releaseRequested = "release requested"
	releaseDone      = "released"
	releaseFetched   = "fetched"
	releaseExpired   = "expired at the engine"
)

// reservation is the KV state of a prompt, held until a decode engine fetches it.
type reservation struct {
	tokens    int
	createdAt time.Time
}

// reservationTable holds an engine's reservations by key.
type reservationTable struct {
	held map[string]reservation
	// releasedEarly holds the keys of reservations that were released before the prefill ended, with the time of the release.
	releasedEarly map[string]time.Time
}

func newReservationTable() reservationTable {
	return reservationTable{held: map[string]reservation{}, releasedEarly: map[string]time.Time{}}
}

// reservationKey returns the key of the reservation of one attempt.
func reservationKey(requestID, attemptIndex string) string { return requestID + "/" + attemptIndex }

// expire returns the keys of the reservations older than reservationTimeout, and deletes early releases older than
// earlyReleaseTimeout.
func (t *reservationTable) expire(now time.Time) (keys []string) {
	for key, held := range t.held {
		if now.Sub(held.createdAt) > reservationTimeout {
			keys = append(keys, key)
		}
	}
	for key, at := range t.releasedEarly {
		if now.Sub(at) > earlyReleaseTimeout {
			delete(t.releasedEarly, key)
		}
	}
	return keys
}

// expireReservations releases expired reservations until the incarnation ends. A router that crashed neither fetches nor releases
// its reservations.
func (e *Engine) expireReservations(incarnation context.Context) {
	ticker := time.NewTicker(reservationExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-incarnation.Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		for _, key := range e.reservations.expire(time.Now()) {
			e.release(key, releaseExpired)
		}
		e.mu.Unlock()
	}
}

// reserve holds the KV state of a request, unless it was released early or the request is a trial. The caller holds the lock.
func (e *Engine) reserve(request *completionRequest) {
	key := request.reservationKey()
	if _, released := e.reservations.releasedEarly[key]; released || request.isTrial {
		return
	}
	e.reservations.held[key] = reservation{tokens: request.promptTokens, createdAt: time.Now()}
	e.occupancy.usedTokens += request.promptTokens
	e.recordRequest(request, audit.Reserved)
}

// release releases a reservation and reports whether it existed. The caller holds the lock.
func (e *Engine) release(key, detail string) bool {
	held, ok := e.reservations.held[key]
	if ok {
		delete(e.reservations.held, key)
		e.occupancy.usedTokens -= held.tokens
		requestID, _, _ := strings.Cut(key, "/")
		e.record(audit.EngineRecord{Event: audit.Released, RequestID: requestID, Detail: detail})
	}
	return ok
}

// fetchReservation fetches KV state from its prefill engine, which then releases the reservation. It reports whether the fetch
// succeeded.
func (e *Engine) fetchReservation(ctx context.Context, transfer *engineapi.KVTransfer) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", transfer.Host, transfer.Port, fetchPath)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(transfer.Engine))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // A connection is reusable only after the body has been read.
	return response.StatusCode == http.StatusOK
}

func (e *Engine) serveFetch(w http.ResponseWriter, r *http.Request) {
	key, _ := io.ReadAll(io.LimitReader(r.Body, maxReleaseBytes))
	if !e.awaitResponsive(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	ok := e.release(string(key), releaseFetched)
	e.mu.Unlock()
	if !ok {
		http.Error(w, "reservation not found", http.StatusNotFound)
	}
}

// releaseRequest is the body of a router's request to release the reservation of an attempt.
type releaseRequest struct {
	RequestID    string `json:"inference"`
	AttemptIndex int    `json:"send"`
}

func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	var request releaseRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxReleaseBytes)).Decode(&request); err != nil {
		http.Error(w, "release request is not valid JSON", http.StatusBadRequest)
		return
	}
	e.record(audit.EngineRecord{Event: audit.Released, RequestID: request.RequestID, Detail: releaseRequested})
	// An unresponsive engine has received the request and handles it once it is responsive again, even if the router has
	// disconnected by then.
	if !e.awaitResponsive(context.Background()) {
		panic(http.ErrAbortHandler)
	}
	key := reservationKey(request.RequestID, strconv.Itoa(request.AttemptIndex))
	e.mu.Lock()
	if !e.release(key, releaseDone) {
		e.reservations.releasedEarly[key] = time.Now()
	}
	e.mu.Unlock()
	e.setLoadHeaders(w)
	w.Write([]byte("{}"))
}
