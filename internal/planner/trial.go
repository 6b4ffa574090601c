package planner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
)

const loadPath = engineapi.LoadPath

// readEndpointFile reads a roster, bounded as the follower of the file bounds it.
func readEndpointFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, 4<<20+1))
}

// runTrial gives an engine a small piece of work under its new epoch, through the protocol that edges speak. A
// reader shows a state for a prompt of one word; a writer, asked for the answer from a state that does not
// exist, says so, which only an engine that writes knows.
func (p *Planner) runTrial(t assignment.StartTrial) error {
	ctx, cancel := context.WithTimeout(p.ctx, p.settings.Assignment.TrialTimeout)
	defer cancel()
	call, err := chat.ParseRequest([]byte(`{"model":"trial","max_tokens":1,"messages":[{"role":"user","content":"a"}]}`), nil)
	if err != nil {
		return err
	}
	job := engineapi.Request{Chat: call, ID: fmt.Sprintf("%s%d-%d", planapi.TrialPrefix, p.term, t.Number)}
	request, err := job.Prefill(t.Engine, t.Epoch, 0)
	if t.Role == planapi.Decode {
		host, port, e := net.SplitHostPort(t.Engine)
		if e != nil {
			return e
		}
		number, _ := strconv.Atoi(port)
		request, err = job.Decode(t.Engine, t.Epoch, engineapi.KVTransfer{RemotePrefill: true, Engine: job.ID +
			"/none", Host: host, Port: number})
	}
	if err != nil {
		return err
	}
	// An engine that has just come back may not listen for a moment.
	var conn net.Conn
	for conn == nil {
		if conn, err = (&net.Dialer{}).DialContext(ctx, "tcp", t.Engine); err != nil {
			select {
			case <-ctx.Done():
				return err
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	if _, err := conn.Write(request); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	word := answer.Header.Get(engineapi.HeaderRejected)
	if t.Role == planapi.Decode {
		if word != engineapi.RejectedNoReservation {
			return fmt.Errorf("asked to write from a state that is not there, it answers %s %s",
				answer.Status, word)
		}
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, 1<<16))
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("asked to read, it answers %s %s", answer.Status, word)
	}
	if _, _, err := engineapi.ParsePrefillResponse(body); err != nil {
		return err
	}
	// What it holds for the trial is let go of; if this is lost, it drops the state by its own time.
	if _, err := conn.Write(engineapi.Release(t.Engine, job.ID, 0)); err != nil {
		return nil
	}
	return nil
}
