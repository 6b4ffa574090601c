package modelcheck

import (
	"fmt"
	"strings"

	"sandcourse/internal/config"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/router"
)

// The outcomes of a client's request: those of the chat API, abandoned if the client disconnected, and lost if its router
// was killed.
const (
	outcomeCompleted = chat.OutcomeCompleted
	outcomeErrored   = chat.OutcomeErrored
	outcomeShed      = chat.OutcomeShed
	outcomeAbandoned = "left"
	outcomeLost      = "lost"
)

// simulatedClient is a client that sends one request.
type simulatedClient struct {
	simulation     *simulation
	connection     *router.ClientConnection
	number         int
	effect         config.Effect
	received       []byte
	requestSent    bool
	disconnected   bool
	sentAt         int64
	endedAt        int64
	outcome        string
	outcomeCount   int
	requestID      string // ID that the router assigned to the request
	decodeFinished bool   // a decode engine has sent the last event of the stream
	retried        bool   // the client reconnected with the same request after it disconnected
	possibleRuns   int    // number of decode engines that may have run the request
}

// addClient opens a client's connection.
func (s *simulation) addClient(effect config.Effect) *simulatedClient {
	c := &simulatedClient{simulation: s, number: s.clientsOpened, effect: effect}
	s.clientsOpened++
	c.connection = &router.ClientConnection{ID: int64(s.clientsOpened), Socket: c}
	s.clients = append(s.clients, c)
	s.handle(func() { s.core.ClientOpened(c.connection) })
	return c
}

// clientOf returns the client of a request, or nil.
func (s *simulation) clientOf(requestID string) *simulatedClient {
	for _, c := range s.clients {
		if c.requestID == requestID {
			return c
		}
	}
	return nil
}

// sendRequest sends a client's request to the router.
func (s *simulation) sendRequest(c *simulatedClient) {
	c.requestSent, c.sentAt = true, s.now
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"x"}]}`, c.effect)
	call, err := chat.ParseRequest(body, nil)
	if err != nil {
		panic(err) // The call cannot fail, as the body is fixed.
	}
	s.requestsSent[s.incarnation]++
	c.requestID = fmt.Sprintf("%s-%x-%d", s.deployment.NodeName, s.incarnation, s.requestsSent[s.incarnation])
	openBefore := s.core.InFlight().Requests
	s.handle(func() {
		s.core.ReceiveRequest(c.connection, &router.ClientRequest{Parsed: chatapi.ToRequest(call), Bytes: len(body), KeepAlive: true})
	})
	if c.endedAt > 0 && !strings.Contains(string(c.received), chat.HeaderRequestID) { // rejected before admission
		s.requestsSent[s.incarnation]--
		c.requestID = ""
		if s.world.MaxOpenRequests == 0 || openBefore < s.world.MaxOpenRequests {
			s.violationLog.add("P13 client %d is rejected with %d requests open", c.number, openBefore)
		}
	}
}

// recordPossibleRun records that a decode engine may have run a request.
func (s *simulation) recordPossibleRun(r *engineRequest) {
	if c := s.clientOf(r.requestID); c != nil && !r.firstTokenSent {
		c.possibleRuns++
	}
}

// isWaiting reports whether the client has sent its request and has no outcome yet.
func (c *simulatedClient) isWaiting() bool { return c.requestSent && c.endedAt == 0 }

// disconnect ends the client's connection without a response and records the outcome.
func (c *simulatedClient) disconnect(outcome string) {
	c.disconnected, c.endedAt, c.outcome = true, c.simulation.now, outcome
}

// isStreaming reports whether the client has received its first token, after which its timeout no longer applies.
func (c *simulatedClient) isStreaming() bool {
	return strings.HasPrefix(string(c.received), streamStatus)
}

// Send receives bytes of a response.
func (c *simulatedClient) Send(data []byte) error {
	c.received = append(c.received, data...)
	c.countOutcomes()
	return nil
}

// Flushed returns true: the client reads immediately.
func (c *simulatedClient) Flushed() bool { return true }

// StopReading has no effect on a simulated client.
func (c *simulatedClient) StopReading() {}

// Disconnected reports whether the client has disconnected.
func (c *simulatedClient) Disconnected() bool { return c.disconnected }

// CloseIfIdle returns true: an idle connection can always be closed.
func (c *simulatedClient) CloseIfIdle() bool { return true }

// Close has no effect on a simulated client.
func (c *simulatedClient) Close() {}

// Substrings by which the client recognizes the parts of a response.
const (
	responseStart = "HTTP/1.1 "
	streamStatus  = "HTTP/1.1 200"
	streamDone    = "data: [DONE]"
	streamError   = `data: {"error"`
	lastChunk     = "\r\n0\r\n\r\n"
)

// countOutcomes counts the final responses in the received bytes, and records the outcome at the first one.
func (c *simulatedClient) countOutcomes() {
	text := string(c.received)
	count, outcome := strings.Count(text, responseStart), ""
	switch {
	case strings.HasPrefix(text, streamStatus):
		count, outcome = c.streamOutcomes(text)
	case strings.Contains(text, chat.HeaderOutcome+": "+outcomeShed):
		outcome = outcomeShed
	case count > 0:
		outcome = outcomeErrored
	}
	if count > 0 && c.endedAt == 0 {
		c.endedAt, c.outcome = c.simulation.now, outcome
		c.simulation.checkOutcome(c)
	}
	if count > 1 && c.outcomeCount <= 1 {
		c.simulation.violationLog.add("P1 client %d has %d final responses", c.number, count)
	}
	c.outcomeCount = count
}

// streamOutcomes counts the final events of a stream and the responses that follow it, and returns the stream's outcome.
func (c *simulatedClient) streamOutcomes(text string) (count int, outcome string) {
	done, failed := strings.Count(text, streamDone), strings.Count(text, streamError)
	count = done + failed + strings.Count(text, responseStart) - 1
	end := strings.Index(text, lastChunk)
	if done+failed == 0 && end >= 0 {
		c.simulation.violationLog.add("P1 stream of client %d ends with neither a last event nor an error", c.number)
	}
	if done > 0 {
		outcome = outcomeCompleted
	} else if failed > 0 {
		outcome = outcomeErrored
	}
	if count > 0 && end >= 0 && end+len(lastChunk) < len(text) {
		c.simulation.violationLog.add("P1 client %d receives more bytes after the end of its stream", c.number)
	}
	return count, outcome
}
