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
	// errDeadlineExceeded: the client's deadline passed while it waited for the edge.
	errDeadlineExceeded = errors.New("the client's time is over")
	// errConnectionCloses: the edge has announced that it closes the connection after this response.
	errConnectionCloses = errors.New("the edge closes the connection")
)

// asDeadlineExceeded replaces a timeout of the network by errDeadlineExceeded.
func asDeadlineExceeded(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errDeadlineExceeded
	}
	return err
}

// readResponse reads one response into the request's record. An error says that the connection can't be used any more.
func (c *client) readResponse(connection *clientConnection, record *audit.ClientRecord) error {
	response, err := http.ReadResponse(connection.in, nil)
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
		record.Reason = "a stream without its end came with its last chunk"
		c.soak.violate("%s: a stream without its end came with its last chunk: %q", record.ClientRequestID, rest)
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

// responseOutcome returns the outcome of a response by its status and by the error of reading its body.
func responseOutcome(status int, readErr error) audit.Outcome {
	switch {
	case status == http.StatusOK && readErr == nil:
		return audit.OutcomeCompleted
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return audit.OutcomeShed
	default: // among them a stream that broke
		return audit.OutcomeErrored
	}
}
