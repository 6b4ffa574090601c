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
	// trialBody is a client's request with a prompt of one word.
	trialBody             = `{"model":"trial","max_tokens":1,"messages":[{"role":"user","content":"a"}]}`
	trialDialInterval     = 50 * time.Millisecond
	maxTrialResponseBytes = 1 << 16
)

// TrialError says that an engine did not answer a trial as an engine of its role does.
type TrialError struct {
	Role      string
	Status    string // HTTP status of its response
	Rejection string // its reason, if it gave one
}

// Error returns what was asked and how the engine answered.
func (e *TrialError) Error() string {
	asked := "asked to read"
	if e.Role == planapi.Decode {
		asked = "asked to write from a state that is not there"
	}
	return fmt.Sprintf("%s, it answers %s %s", asked, e.Status, e.Rejection)
}

// trialResult runs a trial and returns its result as an event.
func (p *Planner) trialResult(trial assignment.StartTrial) assignment.TrialEnded {
	result := assignment.TrialEnded{Engine: trial.Engine, Number: trial.Number}
	if err := p.runTrial(trial); err != nil {
		result.Reason = err.Error()
	} else {
		result.OK = true
	}
	return result
}

// runTrial sends an engine a small request under its new epoch, through the protocol that edges use. A prefill engine
// answers a prompt of one word with a reservation. A decode engine is asked to go on from a reservation that does not
// exist, and rejects that with a reason which only an engine that decodes gives.
func (p *Planner) runTrial(trial assignment.StartTrial) error {
	ctx, cancel := context.WithTimeout(p.ctx, p.settings.Assignment.TrialTimeout)
	defer cancel()
	requestID := fmt.Sprintf("%s%d-%d", planapi.TrialPrefix, p.term, trial.Number)
	request, err := trialRequest(trial, requestID)
	if err != nil {
		return err
	}
	connection, err := dialUntilDone(ctx, trial.Engine)
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
	// If the release is lost, the engine drops the reservation at its own limit.
	_, _ = connection.Write(engineapi.Release(trial.Engine, requestID, 0))
	return nil
}

// trialRequest is the request of a trial, as it is sent.
func trialRequest(trial assignment.StartTrial, requestID string) ([]byte, error) {
	chatRequest, err := chat.ParseRequest([]byte(trialBody), nil)
	if err != nil {
		return nil, err
	}
	request := engineapi.Request{Chat: chatRequest, ID: requestID}
	if trial.Role != planapi.Decode {
		return request.Prefill(trial.Engine, trial.Epoch, 0)
	}
	host, port, err := net.SplitHostPort(trial.Engine)
	if err != nil {
		return nil, err
	}
	portNumber, _ := strconv.Atoi(port)
	return request.Decode(trial.Engine, trial.Epoch, engineapi.KVTransfer{RemotePrefill: true,
		Engine: requestID + "/none", Host: host, Port: portNumber})
}

// dialUntilDone connects to an engine. It tries again until the context ends: an engine that has just come back may not
// listen yet.
func dialUntilDone(ctx context.Context, engine string) (net.Conn, error) {
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

// checkDecodeResponse checks that an engine knows that the reservation does not exist.
func checkDecodeResponse(response *http.Response) error {
	rejection := response.Header.Get(engineapi.HeaderRejected)
	if rejection != engineapi.RejectedNoReservation {
		return &TrialError{Role: planapi.Decode, Status: response.Status, Rejection: rejection}
	}
	return nil
}

// checkPrefillResponse checks that an engine has answered with a reservation.
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
