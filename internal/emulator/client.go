package emulator

import (
	"fmt"
	"strings"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/router"
)

const (
	retryPause    = 500 * time.Millisecond
	retryJitter   = 500 // range of the random part of the retry delay, in milliseconds
	bytesPerToken = 4
)

// Substrings by which the client recognizes the parts of a response.
const (
	streamStatus = "HTTP/1.1 200"
	streamDone   = "data: [DONE]"
	streamError  = `data: {"error"`
)

// clientRequest is a request of a client, including its retries.
type clientRequest struct {
	emulation        *emulation
	session          session
	id               string
	promptTokens     float64
	answerTokens     float64
	firstSentAt      int64 // time at which the first attempt was sent
	sentAt           int64 // time at which the current attempt was sent
	firstTokenAt     int64
	attempt          int
	router           *simulatedRouter
	clientConnection *router.ClientConnection
	responseHead     []byte
	streaming        bool
	ended            bool
	runCount         int
	prefilledTokens  float64 // prefilled tokens of attempts that have no first token yet
}

func (r *clientRequest) route() Route { return r.emulation.scenario.Routes[r.session.route] }

// send sends one attempt to a random router, as a load balancer does.
func (r *clientRequest) send() {
	em, route := r.emulation, r.route()
	target := em.routers[em.random.IntN(len(em.routers))]
	em.recorder.result.Attempts++
	r.id = fmt.Sprint(r.id, "'") // Engines identify attempts by this ID, so each attempt has its own.
	em.requests[r.id] = r
	r.router, r.sentAt, r.responseHead, r.streaming, r.ended = target, em.now, nil, false, false
	target.clientCount++
	conn := &router.ClientConnection{ID: target.clientCount}
	conn.Socket = &clientSocket{request: r, connection: conn}
	r.clientConnection = conn
	request := &router.ClientRequest{Parsed: chatapi.ToRequest(r.chatRequest()), Bytes: bytesPerToken * int(r.promptTokens),
		Tenant: r.session.name, KeepAlive: true}
	em.scheduleAfter(networkDelay, func() {
		target.handle(func(core *router.Router) {
			core.ClientOpened(conn)
			core.ReceiveRequest(conn, request)
		})
	})
	attempt := r.attempt
	em.scheduleAfter(route.Timeout, func() {
		if !r.ended && !r.streaming && r.attempt == attempt {
			r.finish(outcomeAbandoned)
			target.handle(func(core *router.Router) { core.ClientDisconnected(conn) })
		}
	})
}

// chatRequest returns the request in the form of the chat API.
func (r *clientRequest) chatRequest() *chat.Request {
	return &chat.Request{Model: r.route().Name, Session: r.session.name, PrefixHash: r.session.prefix, PromptTokens: int(r.promptTokens),
		PrefixTokens: int(r.emulation.scenario.PrefixTokens), MaxOutputTokens: int(r.answerTokens) + 1, Stream: true,
		ClientRequestID: r.id, FirstTokenTimeout: r.route().Timeout, RetryCount: r.attempt}
}

// receive handles bytes of a response.
func (r *clientRequest) receive(data []byte) {
	if r.responseHead == nil {
		r.responseHead = append(r.responseHead, data...) // The head determines the outcome, except for the end of a stream.
	}
	text := string(data)
	if !strings.HasPrefix(string(r.responseHead), streamStatus) {
		r.receiveFailure(text)
		return
	}
	if !r.streaming {
		r.streaming = true
		r.recordFirstToken()
	}
	switch {
	case strings.Contains(text, streamDone):
		r.finish(outcomeCompleted)
	case strings.Contains(text, streamError):
		r.finish(outcomeErrored)
	}
}

func (r *clientRequest) receiveFailure(text string) {
	if !strings.Contains(text, chat.HeaderOutcome+": "+outcomeShed) {
		r.finish(outcomeErrored)
		return
	}
	if !strings.Contains(text, chat.HeaderRequestID) {
		r.emulation.recorder.result.Rejected++
	}
	r.finish(outcomeShed)
}

func (r *clientRequest) recordFirstToken() {
	em := r.emulation
	em.recorder.firstTokenTimes = append(em.recorder.firstTokenTimes, em.now-r.sentAt)
	r.firstTokenAt, r.prefilledTokens = em.now, 0
}

// finish ends the current attempt. The client retries if that is safe, up to the scenario's number of retries.
func (r *clientRequest) finish(outcome string) {
	em, route := r.emulation, r.route()
	r.ended = true
	em.recorder.result.Outcomes[outcome]++
	em.recorder.result.WastedTokens += r.prefilledTokens
	r.prefilledTokens = 0
	conn, target := r.clientConnection, r.router
	em.scheduleAfter(networkDelay, func() { target.handle(func(core *router.Router) { core.ClientDisconnected(conn) }) })
	if outcome == outcomeCompleted {
		// The first token target counts from the first attempt, because the client has been waiting since then.
		if time.Duration(r.firstTokenAt-r.firstSentAt) <= route.FirstTokenTarget {
			em.recorder.recordCompletedInTime(route, r.firstSentAt)
		}
		return
	}
	safeToRetry := outcome == outcomeShed || route.Effect == config.EffectRetriable
	if !safeToRetry || r.attempt >= em.scenario.Retries {
		return
	}
	delay := retryPause + time.Duration(em.random.IntN(retryJitter))*time.Millisecond
	em.scheduleAfter(delay, func() {
		r.attempt++
		r.send()
	})
}

// clientSocket is the client's side of the connection of one attempt.
type clientSocket struct {
	request    *clientRequest
	connection *router.ClientConnection
}

// Send receives bytes from the router. Bytes after the end of the attempt, or of an earlier attempt, are dropped.
func (c *clientSocket) Send(data []byte) error {
	if !c.request.ended && c.request.clientConnection == c.connection {
		c.request.receive(data)
	}
	return nil
}

// Flushed returns true: the client reads immediately.
func (c *clientSocket) Flushed() bool { return true }

// StopReading has no effect on an emulated client.
func (c *clientSocket) StopReading() {}

// Disconnected returns false: disconnects are passed to the router as events.
func (c *clientSocket) Disconnected() bool { return false }

// CloseIfIdle returns true: an idle connection can always be closed.
func (c *clientSocket) CloseIfIdle() bool { return true }

// Close has no effect on an emulated client.
func (c *clientSocket) Close() {}
