package emulator

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/router"
)

const (
	retryPause    = 500 * time.Millisecond
	retryJitter   = 500 // milliseconds
	bytesPerToken = 4
)

// Marks in the bytes of a response.
const (
	streamStatus = "HTTP/1.1 200"
	streamDone   = "data: [DONE]"
	streamError  = `data: {"error"`
)

// clientRequest is one request of a client, with its retries.
type clientRequest struct {
	emulation       *emulation
	session         session
	id              string
	promptTokens    float64
	answerTokens    float64
	firstSentAt     int64 // the first attempt
	sentAt          int64 // this attempt
	firstTokenAt    int64
	attempt         int
	router          *simulatedRouter
	client          *router.ClientConnection
	responseHead    []byte
	streaming       bool
	ended           bool
	runs            int
	prefilledTokens float64 // that no first token came of so far
}

func (r *clientRequest) route() Route { return r.emulation.scenario.Routes[r.session.route] }

// send sends one attempt, to a router that a load balancer picks.
func (r *clientRequest) send() {
	em, route := r.emulation, r.route()
	target := em.routers[em.random.IntN(len(em.routers))]
	em.records.result.Attempts++
	r.id = fmt.Sprint(r.id, "'") // each attempt has an ID of its own, as engines know it
	em.requests[r.id] = r
	r.router, r.sentAt, r.responseHead, r.streaming, r.ended = target, em.now, nil, false, false
	target.clientCount++
	client := &router.ClientConnection{ID: target.clientCount}
	client.Socket = &clientSocket{request: r, client: client}
	r.client = client
	httpRequest, err := http.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	if err != nil {
		panic(err) // of constants
	}
	request := &router.ClientRequest{Request: httpRequest, Call: chatapi.ToRequest(r.call()), Bytes: bytesPerToken * int(r.promptTokens),
		Caller: r.session.name}
	em.after(networkDelay, func() {
		target.handle(func(core *router.Router) {
			core.ClientOpened(client)
			core.ReceiveRequest(client, request)
		})
	})
	attempt := r.attempt
	em.after(route.Timeout, func() {
		if !r.ended && !r.streaming && r.attempt == attempt {
			r.finish(outcomeLeft)
			target.handle(func(core *router.Router) { core.ClientDisconnected(client) })
		}
	})
}

// call is the request as the chat API carries it.
func (r *clientRequest) call() *chat.Request {
	return &chat.Request{Model: r.route().Name, Session: r.session.name, PrefixHash: r.session.prefix, PromptTokens: int(r.promptTokens),
		PrefixTokens: int(r.emulation.scenario.PrefixTokens), MaxOutputTokens: int(r.answerTokens) + 1, Stream: true,
		ClientRequestID: r.id, FirstTokenTimeout: r.route().Timeout, RetryCount: r.attempt}
}

// receive handles bytes of a response.
func (r *clientRequest) receive(data []byte) {
	if r.responseHead == nil {
		r.responseHead = append(r.responseHead, data...) // the head says all but the end
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
		r.emulation.records.result.Rejected++
	}
	r.finish(outcomeShed)
}

func (r *clientRequest) recordFirstToken() {
	em := r.emulation
	em.records.firstTokenTimes = append(em.records.firstTokenTimes, em.now-r.sentAt)
	r.firstTokenAt, r.prefilledTokens = em.now, 0
}

// finish ends one attempt. The client retries where that is harmless, as often as the scenario says.
func (r *clientRequest) finish(outcome string) {
	em, route := r.emulation, r.route()
	r.ended = true
	em.records.result.Outcomes[outcome]++
	em.records.result.WastedTokens += r.prefilledTokens
	r.prefilledTokens = 0
	client, target := r.client, r.router
	em.after(networkDelay, func() { target.handle(func(core *router.Router) { core.ClientDisconnected(client) }) })
	if outcome == outcomeCompleted {
		// In time is by the first attempt: the client has been waiting since.
		if time.Duration(r.firstTokenAt-r.firstSentAt) <= route.FirstTokenTarget {
			em.records.completedInTime(route, r.firstSentAt)
		}
		return
	}
	harmless := outcome == outcomeShed || route.Effect == config.EffectRetriable
	if !harmless || r.attempt >= em.scenario.Retries {
		return
	}
	pause := retryPause + time.Duration(em.random.IntN(retryJitter))*time.Millisecond
	em.after(pause, func() {
		r.attempt++
		r.send()
	})
}

// clientSocket is a client's end of the connection of one attempt.
type clientSocket struct {
	request *clientRequest
	client  *router.ClientConnection
}

// Send takes what the router sends to the client. What comes after the end, or of an earlier attempt, is dropped.
func (c *clientSocket) Send(data []byte) error {
	if !c.request.ended && c.request.client == c.client {
		c.request.receive(data)
	}
	return nil
}

// Flushed reports that the client reads at once.
func (c *clientSocket) Flushed() bool { return true }

// StopReading has no effect on an emulated client.
func (c *clientSocket) StopReading() {}

// Disconnected reports that the client is there until it says otherwise.
func (c *clientSocket) Disconnected() bool { return false }

// CloseIfIdle reports that the connection could be closed.
func (c *clientSocket) CloseIfIdle() bool { return true }

// Close has no effect on an emulated client.
func (c *clientSocket) Close() {}
