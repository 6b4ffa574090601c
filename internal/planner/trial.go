package planner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
)

const (
	// trialBody is a chat request with a prompt of one word.
	trialBody             = `{"model":"trial","max_tokens":1,"messages":[{"role":"user","content":"a"}]}`
	trialDialInterval     = 50 * time.Millisecond
	maxTrialResponseBytes = 1 << 16
)

// TrialError reports that an engine's response to a trial does not match its role.
type TrialError struct {
	Role      string
	Status    string // HTTP status of the response
	Rejection string // rejection reason of the response, if any
}

// Error returns the kind of the trial and the engine's response.
func (e *TrialError) Error() string {
	trial := "prefill trial"
	if e.Role == planapi.Decode {
		trial = "decode trial with a missing reservation"
	}
	return fmt.Sprintf("%s: unexpected response %s %s", trial, e.Status, e.Rejection)
}

// runTrial runs a trial and returns the event that reports its outcome.
func (p *Planner) runTrial(trial assignment.StartTrial) assignment.TrialEnded {
	result := assignment.TrialEnded{Engine: trial.Engine, Number: trial.Number}
	if err := p.verifyRole(trial); err != nil {
		result.Reason = err.Error()
	} else {
		result.OK = true
	}
	return result
}

// verifyRole sends an engine a small request under its new epoch, through the protocol that edges use. A prefill engine must
// respond to a prompt of one word with a reservation. A decode engine is sent a reservation that does not exist, and must
// reject it with a reason that only a decode engine gives.
func (p *Planner) verifyRole(trial assignment.StartTrial) error {
	ctx, cancel := context.WithTimeout(p.ctx, p.settings.Assignment.TrialTimeout)
	defer cancel()
	requestID := fmt.Sprintf("%s%d-%d", planapi.TrialPrefix, p.term, trial.Number)
	request, err := trialRequest(trial, requestID)
	if err != nil {
		return err
	}
	connection, err := dialWithRetry(ctx, trial.Engine)
	if err != nil {
		return err
	}
	defer connection.Close()
	deadline, _ := ctx.Deadline()
	connection.SetDeadline(deadline)
	if _, err := connection.Write(request); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if trial.Role == planapi.Decode {
		return checkDecodeResponse(response)
	}
	if err := checkPrefillResponse(response); err != nil {
		return err
	}
	// If the release is lost, the reservation expires at the engine.
	_, _ = connection.Write(engineapi.EncodeRelease(trial.Engine, requestID, 0))
	return nil
}

// trialRequest returns the encoded request of a trial.
func trialRequest(trial assignment.StartTrial, requestID string) ([]byte, error) {
	chatRequest, err := chat.ParseRequest([]byte(trialBody), nil)
	if err != nil {
		return nil, err
	}
	request := engineapi.Request{Chat: chatRequest, ID: requestID}
	if trial.Role != planapi.Decode {
		return request.EncodeForPrefill(trial.Engine, trial.Epoch, 0)
	}
	host, port, err := net.SplitHostPort(trial.Engine)
	if err != nil {
		return nil, err
	}
	portNumber, _ := strconv.Atoi(port)
	return request.EncodeForDecode(trial.Engine, trial.Epoch, engineapi.KVTransfer{RemotePrefill: true,
		Engine: requestID + "/none", Host: host, Port: portNumber})
}

// dialWithRetry connects to an engine and retries until the context ends: an engine that has just restarted may not listen
// yet.
func dialWithRetry(ctx context.Context, engine string) (net.Conn, error) {
	for {
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", engine)
		if err == nil {
			return connection, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(trialDialInterval):
		}
	}
}

// checkDecodeResponse checks that an engine rejected the request because the reservation does not exist.
func checkDecodeResponse(response *http.Response) error {
	rejection := response.Header.Get(engineapi.HeaderRejected)
	if rejection != engineapi.RejectedNoReservation {
		return &TrialError{Role: planapi.Decode, Status: response.Status, Rejection: rejection}
	}
	return nil
}

// checkPrefillResponse checks that an engine responded with a reservation.
func checkPrefillResponse(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxTrialResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &TrialError{Role: planapi.Prefill, Status: response.Status,
			Rejection: response.Header.Get(engineapi.HeaderRejected)}
	}
	_, _, err = engineapi.ParsePrefillResponse(body)
	return err
}
