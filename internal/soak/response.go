package soak

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sandcourse/internal/audit"
)

var (
	// errDeadlineExceeded reports that the deadline of the client's connection passed before the response ended.
	errDeadlineExceeded = errors.New("client deadline exceeded")
	// errConnectionCloses reports that the edge has announced the close of the connection after the response.
	errConnectionCloses = errors.New("edge closed the connection")
)

// asDeadlineExceeded returns errDeadlineExceeded for a network timeout and any other error unchanged.
func asDeadlineExceeded(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errDeadlineExceeded
	}
	return err
}

// readResponse reads one response into the request's record. After an error the connection must not be reused.
func (c *client) readResponse(connection *clientConnection, record *audit.ClientRecord) error {
	response, err := http.ReadResponse(connection.reader, nil)
	if err != nil {
		return asDeadlineExceeded(err)
	}
	defer response.Body.Close()
	record.OutcomeCount = 1
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil && !errors.Is(err, io.EOF) {
		record.Outcome = audit.OutcomeErrored
		return asDeadlineExceeded(err)
	}
	if response.StatusCode == http.StatusOK {
		record.FirstToken = time.Since(record.Sent)
	}
	rest, err := io.ReadAll(response.Body)
	record.Outcome = responseOutcome(response.StatusCode, err)
	if record.Outcome == audit.OutcomeCompleted && !strings.Contains(string(rest), "[DONE]") {
		record.Reason = "response body ended without the final stream event"
		c.soak.recordViolation("%s: response body ended without the final stream event: %q", record.ClientRequestID, rest)
	}
	c.soak.countResponse(strconv.Itoa(response.StatusCode))
	if err != nil {
		return asDeadlineExceeded(err)
	}
	if response.Close {
		return errConnectionCloses
	}
	return nil
}

// responseOutcome returns the outcome of a response from its status and the error from reading its body.
func responseOutcome(status int, readErr error) audit.Outcome {
	switch {
	case status == http.StatusOK && readErr == nil:
		return audit.OutcomeCompleted
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return audit.OutcomeShed
	default: // all other responses, including a broken stream
		return audit.OutcomeErrored
	}
}
