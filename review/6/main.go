// Command 6 plays bad clients that connect by hundreds, send valid requests with a long deadline and go, while usual clients send
// thirty requests a second.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"sandcourse/review/parts"
)

const (
	burst       = 400                    // connections of bad clients at once
	burstPeriod = 300 * time.Millisecond // time between two bursts
	stay        = 120 * time.Millisecond // time from a bad client's request to its close
	badDeadline = 15                     // Request-Timeout of the bad clients, in seconds: the deadline of their class

	fillTime = 9 * time.Second  // time in which only bad clients send
	goodTime = 40 * time.Second // time in which usual clients send
	goodRate = 30               // requests of usual clients in a second
	deadline = 3 * time.Second  // half of the class's deadline, as the tries of some clients have
	// answerSlack is the half second in which an answer past the client's time only earns nothing, and the slack on sockets.
	answerSlack = 550 * time.Millisecond

	memoryMB, sockets = 2048, 4096 // the limits in the example of the deployment page
	engines           = 12
)

func main() { parts.Main(run) }

func run(record *parts.Record) (status int, err error) {
	fleet := parts.NewFleet(record)
	fleet.Unrecorded = func(request string) bool { return strings.HasPrefix(request, "bad") }
	members, stop, err := startEngines(fleet)
	defer stop()
	if err != nil {
		return parts.Failed, err
	}
	agent, err := parts.NewAgent(record, 41, members...)
	if err != nil {
		return parts.Failed, err
	}
	defer agent.Stop()
	node, err := parts.NewNode(agent.Address, agent.List(), aprite())
	if err != nil {
		return parts.Failed, err
	}
	defer node.Kill()
	if err := errors.Join(node.SetLimits(memoryMB, sockets), node.Start(node.Folder())); err != nil {
		return parts.Failed, err
	}
	badClients, end := context.WithCancel(context.Background())
	defer end()
	var flood sync.WaitGroup
	if parts.Trouble() {
		flood.Go(func() { sendBursts(badClients, node, record, fleet) })
		time.Sleep(fillTime)
	}
	late, total := sendGood(node, record)
	end()
	flood.Wait()
	record.Add("%d of %d usual requests got no final answer within %v of their time; %d releases arrived at the engines",
		late, total, answerSlack, fleet.Releases())
	if late > 0 {
		return parts.Broken, nil
	}
	return parts.Held, nil
}

// aprite returns the settings of the deployment aprite-chat, where the pages give them.
func aprite() parts.Settings {
	settings := parts.SmallDeployment()
	settings["classes"] = []any{
		map[string]any{"name": "stock-question", "effect": "retryable", "worth": 1.0, "streamed": true, "objective_us": 1500000,
			"deadline_us": 6000000, "late_worth": 0.2, "dedup_scope": "all", "memory_span_us": 5000000},
		map[string]any{"name": "reservation", "effect": "fragile", "worth": 2.0, "streamed": true, "objective_us": 3000000,
			"deadline_us": 15000000, "late_worth": 0.3, "dedup_scope": "all", "memory_span_us": 5000000},
	}
	settings["family_info"] = map[string]any{"aim_us_per_1000_prompt_tokens": []float64{40000, 40000}, "may_reserve": false,
		"kind_memory_tokens": []float64{200000, 150000}, "local_read": false, "pin_limit_us": 300000, "resume": true,
		"stage_of_kind": []string{"read", "write"}, "token_aim_us": []float64{60000, 80000}}
	return settings
}

// startEngines starts as many readers as writers. A read for a bad client takes longer than the client stays.
func startEngines(fleet *parts.Fleet) (members []parts.Member, stop func(), err error) {
	var started []*parts.Engine
	stop = func() {
		for _, e := range started {
			e.Stop()
		}
	}
	for i := range engines {
		e, err := fleet.Start(&parts.Engine{ID: fmt.Sprintf("s-%02d", i), Writer: i%2 == 1, Work: 5 * time.Millisecond, Events: 3,
			WorkFor: func(request string) time.Duration {
				if strings.HasPrefix(request, "bad") {
					return 300 * time.Millisecond
				}
				return 20 * time.Millisecond
			}})
		if err != nil {
			return nil, stop, err
		}
		started, members = append(started, e), append(members, e.Member("SERVING"))
	}
	return members, stop, nil
}

// sendBursts sends bursts of requests whose clients go before the answer.
func sendBursts(ctx context.Context, node *parts.Node, record *parts.Record, fleet *parts.Fleet) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		record.Add("bad clients: burst %d of %d requests; %d releases arrived so far", n, burst, fleet.Releases())
		for i := range burst {
			clients.Go(func() { sendBad(node.Address, fmt.Sprintf("bad%dn%d", n, i)) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(burstPeriod):
		}
	}
}

// sendBad sends one valid request and closes the connection soon after.
func sendBad(address, id string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	const body = `{"model":"chat"}`
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Class: reservation\r\n"+
		"Affinity-Key: %s\r\nRequest-Timeout: %d\r\nContent-Length: %d\r\n\r\n%s", id, id, badDeadline, len(body), body)
	time.Sleep(stay)
}

// sendGood sends the requests of usual clients and counts those without a final answer in time.
func sendGood(node *parts.Node, record *parts.Record) (late, total int) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	client := parts.NewClient(node, record, "stock-question")
	for begun := time.Now(); time.Since(begun) < goodTime; total++ {
		id := fmt.Sprintf("good%d", total)
		requests.Go(func() {
			a := client.Send(context.Background(), id, deadline)
			unanswered := a.Status == 0 || a.Status != 200 && a.Late > answerSlack || a.Status == 200 && a.FirstLate > answerSlack
			if unanswered {
				record.Add("client: %s has no final answer in time: status %d, %v past its time", id, a.Status, a.Late)
				mu.Lock()
				defer mu.Unlock()
				late++
			}
		})
		time.Sleep(time.Second / goodRate)
	}
	requests.Wait()
	return late, total
}
