// Command 8 plays writers, one of which is so slow that its events come 4.5 s apart, for clients that don't ask for the rest of a
// stream.
package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sandcourse/review/parts"
)

const (
	// slowEvents is the time between two events of the slow writer: six tokens of 80 ms each, 9.4 times slower.
	slowEvents = 4500 * time.Millisecond
	duration   = 15 * time.Second // time in which clients send
	rate       = 10               // requests in a second
	writers    = 5
)

func main() { parts.Main(run) }

func run(record *parts.Record) (status int, err error) {
	fleet := parts.NewFleet(record)
	var members []parts.Member
	for i := range 3 + writers {
		e := &parts.Engine{ID: fmt.Sprintf("s-%d", i), Writer: i >= 3, Work: 10 * time.Millisecond, Events: 4}
		if e.ID == "s-7" && parts.Trouble() {
			e.Work, e.WorkFor = slowEvents, func(string) time.Duration { return 100 * time.Millisecond }
		}
		if _, err := fleet.Start(e); err != nil {
			return parts.Failed, err
		}
		defer e.Stop()
		members = append(members, e.Member("SERVING"))
	}
	agent, err := parts.NewAgent(record, 41, members...)
	if err != nil {
		return parts.Failed, err
	}
	defer agent.Stop()
	node, err := parts.NewNode(agent.Address, agent.List(), thalika())
	if err != nil {
		return parts.Failed, err
	}
	defer node.Kill()
	if err := node.Start(node.Folder()); err != nil {
		return parts.Failed, err
	}
	cut, total := load(node, record)
	record.Add("%d of %d streams were cut by the node while their writer ran and went on with them", cut, total)
	if cut > 0 {
		return parts.Broken, nil
	}
	return parts.Held, nil
}

// thalika returns the settings of the deployment thalika-kerala, where the pages give them: clients don't ask for the rest.
func thalika() parts.Settings {
	settings := parts.SmallDeployment()
	settings["classes"] = []any{
		map[string]any{"name": "kit-chat", "effect": "retryable", "worth": 1.0, "streamed": true, "objective_us": 1200000,
			"deadline_us": 5000000, "late_worth": 0.2, "dedup_scope": "all", "memory_span_us": 5000000},
		map[string]any{"name": "box-label", "effect": "retryable", "worth": 2.0, "streamed": true, "objective_us": 2000000,
			"deadline_us": 8000000, "late_worth": 0.3, "dedup_scope": "all", "memory_span_us": 5000000},
	}
	settings["family_info"] = map[string]any{"aim_us_per_1000_prompt_tokens": []float64{40000, 120000}, "may_reserve": false,
		"kind_memory_tokens": []float64{200000, 150000}, "local_read": false, "pin_limit_us": 1000000, "resume": false,
		"stage_of_kind": []string{"read", "write"}, "token_aim_us": []float64{60000, 80000}}
	return settings
}

// load sends requests and counts the streams that began and ended without the last chunk.
func load(node *parts.Node, record *parts.Record) (cut, total int) {
	var running sync.WaitGroup
	var mu sync.Mutex
	client := parts.NewClient(node, record, "box-label")
	for begun := time.Now(); time.Since(begun) < duration; total++ {
		id := fmt.Sprintf("q%d", total)
		running.Go(func() {
			a := client.Send(context.Background(), id, 8*time.Second)
			if a.Status == 200 && !a.Whole {
				mu.Lock()
				defer mu.Unlock()
				cut++
			}
		})
		time.Sleep(time.Second / rate)
	}
	running.Wait()
	return cut, total
}
