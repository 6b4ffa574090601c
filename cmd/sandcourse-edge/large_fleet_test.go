package main_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/fake/discoveryagent"
	"sandcourse/internal/fake/platformclient"
	"sandcourse/internal/fake/platformengine"
	"sandcourse/internal/soak"
)

// Limits of the platform that the tests in this file check.
const (
	drainGrace      = 250*time.Millisecond + 50*time.Millisecond // Every limit is 50 ms longer on sockets.
	endForwardLimit = time.Second                                // time to forward the end of a stream
	lateAnswerLimit = 500 * time.Millisecond                     // longest time of an answer after the deadline
	// machineSlack is the tolerance for a machine that runs other tests at the same time.
	machineSlack = 300 * time.Millisecond
	// servedShare is the share of requests that a node has to serve, compared with a small fleet.
	servedShare = 0.85
)

// slowStartObligations are the settings of a fleet of 300 nodes for the slow start of engines.
const slowStartObligations = `,"cold_us":9000000,"cold_share":0.3,"fall_multiple":3.0,"overload_for_us":1000000`

// fleetNodes is the number of nodes in the settings.
const fleetNodes = 300

// largeFleet is one edge in a separate process, and many engines with a discovery agent whose list changes.
type largeFleet struct {
	*edgeProcesses
	agent   *discoveryagent.Agent
	engines []*platformengine.Engine
}

func startLargeFleet(t *testing.T, engines int, objective time.Duration) *largeFleet {
	t.Helper()
	log := &audit.Log{}
	f := &largeFleet{edgeProcesses: &edgeProcesses{t: t, log: log, fleet: platformengine.NewFleet(log),
		obligations: slowStartObligations, objective: objective}}
	entries := map[string]string{}
	for i := range engines {
		config := platformengine.Config{ID: fmt.Sprintf("s-%04d", i), Role: platformengine.Prefill, Slots: 4, WorkTime: 10 * time.Millisecond}
		if i%2 == 1 {
			config.Role, config.Events = platformengine.Decode, 5
		}
		e, err := f.fleet.Start(config)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Stop)
		f.engines = append(f.engines, e)
		entries[e.ID] = e.Entry()
	}
	agent, err := discoveryagent.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Stop)
	f.agent = agent
	agent.Update(entries)
	f.startEdge(edgeBinary(t), 0, fleetNodes, agent.Address, agent.Snapshot(), nil)
	f.awaitReady(f.addresses[0])
	return f
}

// replaceHalf drains a tenth of the engines in each step, while the previously drained tenth returns as newly started. Half of
// the engines are never replaced.
func (f *largeFleet) replaceHalf(ctx context.Context, interval time.Duration) {
	step := len(f.engines) / 10
	for i := 0; ctx.Err() == nil; i++ {
		entries := map[string]string{}
		for j := range step {
			returning, leaving := f.engines[(i%5)*step+j], f.engines[((i+1)%5)*step+j]
			entries[returning.ID] = returning.EntryIn(platformengine.Serving, time.Now())
			entries[leaving.ID] = leaving.EntryIn(platformengine.Draining, time.Time{})
			f.log.RecordReadiness(audit.ReadinessChange{At: time.Now(), Engine: returning.ID, Ready: true})
			f.log.RecordReadiness(audit.ReadinessChange{At: time.Now(), Engine: leaving.ID})
		}
		f.agent.Update(entries)
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// sendAtRate sends requests at a constant rate for the given length of time, and waits for all responses.
func (f *largeFleet) sendAtRate(name string, perSecond int, length, deadline time.Duration) (sent int) {
	return platformclient.Client{Address: f.addresses[0], Class: "chat", Log: f.log}.SendAtRate(name, perSecond, length, deadline)
}

// checkInvariantsAndResponses checks the invariants, the end of each stream and the share of requests that were served.
func (f *largeFleet) checkInvariantsAndResponses(sent int) {
	f.t.Helper()
	f.waitForRelease()
	rules := audit.Rules{DrainGrace: drainGrace, ReservationLimit: reservationLimit, Tolerance: reservationSlack}
	for _, violation := range f.log.Check(rules, time.Now()) {
		f.t.Errorf("%s\n\t%s", violation, strings.Join(f.log.Trace(violation.RequestID), "\n\t"))
	}
	f.checkResponses(sent)
}

// checkResponses checks the records of clients against those of engines.
func (f *largeFleet) checkResponses(sent int) {
	f.t.Helper()
	ended := map[string]time.Time{}
	for _, record := range f.log.EngineRecords() {
		if record.Event == audit.AttemptEnded {
			ended[record.RequestID] = record.At
		}
	}
	completed := 0
	var slowestToken, slowestEnd time.Duration
	for _, record := range f.log.ClientRecords() {
		if record.Outcome == audit.OutcomeCompleted {
			completed++
			slowestToken = max(slowestToken, record.FirstToken)
			slowestEnd = max(slowestEnd, record.End.Sub(ended[record.RequestID]))
		} else if late := record.End.Sub(record.Deadline); late > lateAnswerLimit+machineSlack {
			f.t.Errorf("%s is %s %v after its deadline", record.RequestID, record.Outcome, late)
		}
	}
	if slowestEnd > endForwardLimit+machineSlack {
		f.t.Errorf("the end of a stream reached the client %v after the engine sent it", slowestEnd)
	}
	if float64(completed) < servedShare*float64(sent) {
		f.t.Errorf("%d of %d requests were served", completed, sent)
	}
	f.t.Logf("%d of %d served, slowest first token %v, slowest end %v", completed, sent, slowestToken, slowestEnd)
}

func TestRollingReplacementOfLargeFleetDoesNotDelayRequests(t *testing.T) {
	const engines, perSecond, duration, share = 1600, 40, 6 * time.Second, 0.4 // share is of a core, as the deployment allows
	f := startLargeFleet(t, engines, longObjective)
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	go f.replaceHalf(ctx, 300*time.Millisecond)
	var throttled sync.WaitGroup
	throttled.Go(func() { soak.Throttle(ctx, f.pids[0], share) })
	f.checkInvariantsAndResponses(f.sendAtRate("q", perSecond, duration, 4800*time.Millisecond))
	throttled.Wait()
}

func TestNodeServesAtOnceAfterABurstThatItCannotServe(t *testing.T) {
	const engines, share, objective = 200, 0.1, time.Second
	f := startLargeFleet(t, engines, objective)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var throttled sync.WaitGroup
	throttled.Go(func() { soak.Throttle(ctx, f.pids[0], share) })
	var burst sync.WaitGroup
	burst.Go(func() { f.sendAtRate("burst", 1500, 2*time.Second, 4800*time.Millisecond) })
	time.Sleep(2*time.Second + 500*time.Millisecond)
	stop()
	throttled.Wait()
	after := time.Now()
	sent := f.sendAtRate("after", 40, 2*time.Second, 4800*time.Millisecond)
	burst.Wait()
	served := 0
	for _, record := range f.log.ClientRecords() {
		if strings.HasPrefix(record.RequestID, "after") && record.Outcome == audit.OutcomeCompleted && record.FirstToken < objective {
			served++
		}
		late := record.End.Sub(record.Deadline)
		if record.Outcome == audit.OutcomeLost || record.Outcome != audit.OutcomeCompleted && late > lateAnswerLimit+machineSlack {
			t.Errorf("%s is %s %v after its deadline: %s", record.RequestID, record.Outcome, late, record.Reason)
		}
	}
	if float64(served) < servedShare*float64(sent) {
		t.Errorf("%d of %d requests after a burst were served within their objective, checked %v after it", served, sent, time.Since(after))
	}
}
