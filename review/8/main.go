// Command 8 plays a drain while discovery is slow: each call is answered 2.2 s after it came.
package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sandcourse/review/parts"
)

const (
	// slowAnswer is how long discovery takes for a call while it is slow. It ends well before the call's wait is over by 2 s.
	slowAnswer = 2200 * time.Millisecond
	// toldLatest is when a change counts as told at the latest, after discovery had it.
	toldLatest = 6 * time.Second
	// grace is the grace of the drain with the slack of a time limit on sockets.
	grace = 250*time.Millisecond + 50*time.Millisecond

	drainAt  = 6 * time.Second
	duration = 20 * time.Second
)

func main() { parts.Main(run) }

func run(record *parts.Record) (status int, err error) {
	fleet := parts.NewFleet(record)
	var members []parts.Member
	engines := map[string]*parts.Engine{}
	for i, id := range []string{"s-r1", "s-r2", "s-w1", "s-w2"} {
		e, err := fleet.Start(&parts.Engine{ID: id, Writer: i >= 2, Work: 10 * time.Millisecond, Events: 5})
		if err != nil {
			return parts.Failed, err
		}
		defer e.Stop()
		engines[id] = e
		members = append(members, e.Member("SERVING"))
	}
	agent, err := parts.NewAgent(record, 41, members...)
	if err != nil {
		return parts.Failed, err
	}
	defer agent.Stop()
	start := time.Now()
	if parts.Trouble() {
		agent.Delay = func() time.Duration {
			if time.Since(start) < drainAt-3*time.Second {
				return 0
			}
			return slowAnswer
		}
	}
	node, err := parts.NewNode(agent.Address, agent.List(), parts.SmallDeployment())
	if err != nil {
		return parts.Failed, err
	}
	defer node.Kill()
	if err := node.Start(node.Folder()); err != nil {
		return parts.Failed, err
	}
	var drained time.Time
	drain := time.AfterFunc(drainAt-time.Since(start), func() {
		drained = time.Now()
		agent.Set(engines["s-r1"].Member("DRAINING"))
		agent.Set(engines["s-w1"].Member("DRAINING"))
	})
	defer drain.Stop()
	load(node, record, duration-time.Since(start))
	return verdict(record, fleet, drained)
}

// load sends ten requests a second.
func load(node *parts.Node, record *parts.Record, span time.Duration) {
	client := parts.NewClient(node, record, "clip-summary")
	var requests sync.WaitGroup
	end := time.Now().Add(span)
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("q%d", i)
		requests.Go(func() { client.Send(context.Background(), id, 3*time.Second) })
		time.Sleep(100 * time.Millisecond)
	}
	requests.Wait()
}

// verdict checks that no send to a draining engine arrived later than the grace after the drain counted as told.
func verdict(record *parts.Record, fleet *parts.Fleet, drained time.Time) (status int, err error) {
	late, total := 0, 0
	var last time.Duration
	for _, s := range fleet.Sends() {
		total++
		if after := s.At.Sub(drained); (s.Engine == "s-r1" || s.Engine == "s-w1") && after > toldLatest+grace {
			late++
			last = max(last, after)
		}
	}
	record.Add("%d sends; %d of them to a draining engine later than %v after discovery had the drain, the last one after %v",
		total, late, toldLatest+grace, last)
	if total == 0 {
		return parts.Failed, fmt.Errorf("no send was seen")
	}
	if late > 0 {
		return parts.Broken, nil
	}
	return parts.Held, nil
}
