// Command sandcourse-sim runs routing policies for a simulator: it reads one batch of events per line and writes the resulting
// actions.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"sandcourse/internal/routing"
	"sandcourse/internal/simproto"
)

const (
	program         = "sandcourse-sim"
	inputBufferSize = 1 << 20
)

// errNotCreated is returned for an event of a node that was never created.
var errNotCreated = errors.New("was never created")

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

// run handles the batches of the input, one per line, until its end.
func run(in io.Reader, out, log io.Writer) error {
	input := bufio.NewReaderSize(in, inputBufferSize)
	nodes := nodePolicies{}
	for lineNumber := 1; ; lineNumber++ {
		line, err := input.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		reply, unknown, err := nodes.handleBatch(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		for _, eventType := range unknown {
			fmt.Fprintf(log, "%s: unknown event ignored: line=%d type=%q\n", program, lineNumber, eventType)
		}
		if _, err := out.Write(append(reply, '\n')); err != nil {
			return err
		}
	}
}

// nodePolicies maps the name of each created node to its policy, which is nil while the node is down.
type nodePolicies map[string]*routing.Policy

// reply is the response to a batch.
type reply struct {
	Actions []simproto.Action `json:"out"`
}

// handleBatch handles one batch and returns the encoded reply and the types of unknown events.
func (policies nodePolicies) handleBatch(line []byte) (encodedReply []byte, unknown []string, err error) {
	now, events, err := simproto.Decode(line)
	if err != nil {
		return nil, nil, err
	}
	actions := []simproto.Action{}
	for i, event := range events {
		policy, created := policies[event.Node]
		switch {
		case event.Create != nil:
			policies[event.Node] = routing.New(event.Create.Seed, event.Create.Config)
		case event.Unknown != "":
			unknown = append(unknown, event.Unknown)
		case !created:
			return nil, nil, fmt.Errorf("event %d: field i: %q %w", i, event.Node, errNotCreated)
		case event.Down:
			policies[event.Node] = nil
		case policy != nil:
			actions = append(actions, stepPolicy(policy, event.Node, now, event.Payload)...)
		}
	}
	encodedReply, err = json.Marshal(reply{actions})
	return encodedReply, unknown, err
}

// stepPolicy runs one step of a node's policy. A panic is reported as a failure of the node and does not end the program.
func stepPolicy(policy *routing.Policy, node string, now time.Duration, event routing.Event) (actions []simproto.Action) {
	defer func() {
		if reason := recover(); reason != nil {
			actions = []simproto.Action{simproto.NodeFailed(node, fmt.Sprint(reason))}
		}
	}()
	for _, action := range policy.Step(now, event) {
		actions = append(actions, simproto.Encode(node, action))
	}
	return actions
}
