// Command drill runs brains on the simulator's wire: one line of events in, one line of actions out.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"

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
	nodes := map[string]*routing.Brain{} // nil: created once, down now
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		reply, err := answer(line, nodes, func(text string) { fmt.Fprintf(log, "drill: line %d: %s\n", number, text) })
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if _, err := out.Write(append(reply, '\n')); err != nil {
			return err
		}
	}
}

func answer(line []byte, nodes map[string]*routing.Brain, note func(string)) ([]byte, error) {
	now, events, err := simproto.Decode(line)
	if err != nil {
		return nil, err
	}
	actions := []simproto.Action{}
	for i, ev := range events {
		node, created := nodes[ev.Node]
		switch {
		case ev.Create != nil:
			nodes[ev.Node] = routing.New(ev.Create.Seed, ev.Create.Facts)
		case ev.Unknown != "":
			note(fmt.Sprintf("event %d: unknown event %q passed over", i, ev.Unknown))
		case !created:
			return nil, fmt.Errorf("event %d: field i: %q was never created", i, ev.Node)
		case ev.Down:
			nodes[ev.Node] = nil
		case node != nil:
			actions = append(actions, step(node, ev.Node, now, ev.Input)...)
		}
	}
	return json.Marshal(map[string][]simproto.Action{"out": actions})
}

func step(node *routing.Brain, name string, now int64, in routing.Input) (actions []simproto.Action) {
	defer func() {
		if p := recover(); p != nil {
			actions = []simproto.Action{simproto.Die(name, fmt.Sprint(p))}
		}
	}()
	for _, effect := range node.Step(now, in) {
		actions = append(actions, simproto.Encode(name, effect))
	}
	return actions
}
