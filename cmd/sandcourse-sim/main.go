// Command drill runs brains on the simulator's wire: one line of events in, one line of actions out.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"sandcourse/internal/routing"
	"sandcourse/internal/simproto"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out, log io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	policies := map[string]*routing.Policy{} // nil: created once, down now
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		reply, err := handleBatch(line, policies, func(text string) { fmt.Fprintf(log, "drill: line %d: %s\n", lineNumber, text) })
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if _, err := out.Write(append(reply, '\n')); err != nil {
			return err
		}
	}
}

func handleBatch(line []byte, policies map[string]*routing.Policy, warn func(string)) ([]byte, error) {
	now, events, err := simproto.Decode(line)
	if err != nil {
		return nil, err
	}
	actions := []simproto.Action{}
	for i, event := range events {
		policy, created := policies[event.Node]
		switch {
		case event.Create != nil:
			policies[event.Node] = routing.New(event.Create.Seed, event.Create.Config)
		case event.Unknown != "":
			warn(fmt.Sprintf("event %d: unknown event %q passed over", i, event.Unknown))
		case !created:
			return nil, fmt.Errorf("event %d: field i: %q was never created", i, event.Node)
		case event.Down:
			policies[event.Node] = nil
		case policy != nil:
			actions = append(actions, stepPolicy(policy, event.Node, now, event.Payload)...)
		}
	}
	return json.Marshal(map[string][]simproto.Action{"out": actions})
}

func stepPolicy(policy *routing.Policy, name string, now time.Duration, event routing.Event) (actions []simproto.Action) {
	defer func() {
		if p := recover(); p != nil {
			actions = []simproto.Action{simproto.NodeFailed(name, fmt.Sprint(p))}
		}
	}()
	for _, action := range policy.Step(now, event) {
		actions = append(actions, simproto.Encode(name, action))
	}
	return actions
}
