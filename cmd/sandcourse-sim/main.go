// Command sandcourse-sim runs routing policies in the simulator: one line of events in, one line of actions out.
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

// errNotCreated is an event of a node that was never created.
var errNotCreated = errors.New("was never created")

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

// run answers each line of the input until its end.
func run(in io.Reader, out, log io.Writer) error {
	input := bufio.NewReaderSize(in, inputBufferSize)
	nodes := fleet{}
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

// fleet is the policy of each node that was created; nil while the node is down.
type fleet map[string]*routing.Policy

// reply is the answer to a batch.
type reply struct {
	Actions []simproto.Action `json:"out"`
}

// handleBatch answers one batch, and returns the types of events that it does not know.
func (f fleet) handleBatch(line []byte) (answer []byte, unknown []string, err error) {
	now, events, err := simproto.Decode(line)
	if err != nil {
		return nil, nil, err
	}
	actions := []simproto.Action{}
	for i, event := range events {
		policy, created := f[event.Node]
		switch {
		case event.Create != nil:
			f[event.Node] = routing.New(event.Create.Seed, event.Create.Config)
		case event.Unknown != "":
			unknown = append(unknown, event.Unknown)
		case !created:
			return nil, nil, fmt.Errorf("event %d: field i: %q %w", i, event.Node, errNotCreated)
		case event.Down:
			f[event.Node] = nil
		case policy != nil:
			actions = append(actions, step(policy, event.Node, now, event.Payload)...)
		}
	}
	answer, err = json.Marshal(reply{actions})
	return answer, unknown, err
}

// step is one step of a node's policy. A panic ends the node, not the program.
func step(policy *routing.Policy, node string, now time.Duration, event routing.Event) (actions []simproto.Action) {
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
