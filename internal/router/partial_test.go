package router_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// finished answers all that is open with its writer's refusal or by its time being up.
func (b *bench) untilAnswered(out *screen) {
	b.t.Helper()
	for range 100 {
		if len(answers(b.t, out)) > 0 {
			return
		}
		b.pass(100 * time.Millisecond)
	}
	b.t.Fatal("never answered")
}

// A client sends a request and half of a second one, and stops there. The half came while the first was served, and when
// that had its answer the connection counted as idle: for a minute, and then for good, as it could not be closed either.
func TestHalfRequestBehindOneThatIsServed(t *testing.T) {
	for _, input := range []admission.Input{admission.HeadBegan, admission.HeadWhole} {
		b := newBench(t)
		c, out := b.ask("a1", "chat")
		b.core.Begin(b.now)
		b.core.Reading(c, input, 10)
		out.reading = true
		b.core.Turn(b.now)
		b.untilAnswered(out)
		b.pass(3 * time.Second)
		row := answers(t, out)
		if len(row) != 2 || row[1] != http.StatusRequestTimeout || !out.shut {
			t.Errorf("input %d: answers %v, closed %v; the half is owed an error within 3 s", input, row, out.shut)
		}
	}
}

// A refused half request gives back its bytes with the answer, not when its connection has drained: half requests of other
// clients were refused meanwhile.
func TestBytesOfARefusedHalfRequestAreGivenBack(t *testing.T) {
	b := newBench(t)
	var row []*screen
	for i, held := range []int{64 << 20, 1000, 1000} {
		out := &screen{}
		c := &router.Client{ID: int64(1<<40 + i), Socket: out}
		b.core.Begin(b.now)
		b.core.ClientOpened(c)
		b.core.Reading(c, admission.HeadWhole, held)
		b.core.Turn(b.now)
		row = append(row, out)
	}
	var got [][]int
	for _, out := range row {
		got = append(got, answers(t, out))
	}
	if len(got[0]) != 1 || len(got[1])+len(got[2]) > 0 {
		t.Errorf("answers %v: the largest alone is refused", got)
	}
	if bytes := b.core.Holding().Bytes; bytes != 2000 {
		t.Errorf("%d bytes are counted, 2000 are held", bytes)
	}
}

// A client whose connection broke before anything was sent on asks again, by the same name.
func TestNameOfARequestThatWasNeverSentOn(t *testing.T) {
	b := newBench(t)
	c, _ := b.ask("a1", "alert")
	b.core.Begin(b.now)
	b.core.ClientGone(c)
	b.core.Turn(b.now)
	_, out := b.ask("a1", "alert")
	if row := answers(t, out); slices.Contains(row, http.StatusConflict) {
		t.Error("a request of which no byte went to an engine is known by its name")
	}
	// Once it has been sent, engines know it by its name.
	b = newBench(t)
	c, _ = b.ask("a1", "alert")
	b.connect()
	b.core.Begin(b.now)
	b.core.ClientGone(c)
	b.core.Turn(b.now)
	_, out = b.ask("a1", "alert")
	if row := answers(t, out); !slices.Contains(row, http.StatusConflict) {
		t.Errorf("answers %v: a request that was sent on is taken again by its name", row)
	}
}

// An engine is listed at another address: what is kept or dialled to the old one leads elsewhere by now.
func TestEngineAtAnotherAddress(t *testing.T) {
	move := func(b *bench) {
		b.core.Begin(b.now)
		b.core.TakeList(endpoint.List{Revision: 2, Entries: []endpoint.Entry{
			{ID: "r", Address: "127.0.0.1:2", Kind: "m1", Zone: "a", Weight: 1, State: endpoint.Ready},
			{ID: "w", Address: "127.0.0.1:1", Kind: "m2", Zone: "a", Weight: 1, State: endpoint.Ready}}})
		b.core.Turn(b.now)
	}
	b := newBench(t)
	b.ask("a1", "chat")
	kept := b.connect()
	b.held(kept)
	move(b)
	b.ask("a2", "chat")
	if n := len(toldTimes(t, kept)); n != 1 {
		t.Errorf("%d requests went to the old address on a kept connection", n-1)
	}
	b = newBench(t)
	b.ask("a1", "chat")
	move(b)
	if dialled := b.connect(); len(toldTimes(t, dialled)) != 0 {
		t.Error("a request went to the old address on a connection that was dialled before")
	}
	b.pass(200 * time.Millisecond) // the module waits a little before another attempt
	if len(b.dials) == 0 || b.dials[0].Host != "127.0.0.1:2" {
		t.Error("the request is not sent to the new address")
	}
}

// A process that is not run for a while finds requests that have waited for it: their time began when they came.
func TestTimeOfARequestThatWaitedForTheProcess(t *testing.T) {
	b := newBench(t)
	looked := b.now
	b.now += int64(600 * time.Millisecond)
	b.core.Begin(b.now)
	b.core.EventsSince(looked)
	b.ask("a1", "chat")
	if row := toldTimes(t, b.connect()); len(row) != 1 || row[0] > 2400*time.Millisecond {
		t.Errorf("an engine is told %v of 3 s, 0.6 of which may have passed", row)
	}
}

// A node may be held up for 0.15 s between its look at the clock and the arrival of what it writes. Engines forget a first
// attempt at the end of the window, so a repeat must not be written in the last of it.
func TestWindowLeavesRoomForANodeThatIsHeldUp(t *testing.T) {
	for _, held := range []time.Duration{160 * time.Millisecond, 290 * time.Millisecond} {
		b := mayHaveRun(t)
		b.pass(held)
		for len(b.dials) > 0 {
			b.connect()
		}
		if n := b.posts(); n != 2 {
			t.Errorf("%d attempts, one of them %v into a window of 300 ms", n, held)
		}
	}
}

// A probe for which this machine had no descriptor says nothing of the engine: it counts neither as silent nor as failed.
func TestProbeThatFailsHere(t *testing.T) {
	b := newBench(t)
	b.probe("r")
	line := b.dials[0]
	b.dials = b.dials[1:]
	b.core.Begin(b.now)
	b.core.LineDialled(line, nil, fmt.Errorf("%w: no descriptor", router.ErrLocal))
	b.core.Turn(b.now)
	for _, in := range b.heard {
		if p, ok := in.(routing.HealthCheckResult); ok && p.Verdict != routing.NotSent {
			t.Errorf("the module is told verdict %d of an engine that was never asked", p.Verdict)
		}
	}
	if _, out := b.ask("a1", "alert"); len(answers(t, out)) > 0 || len(b.dials) != 1 {
		t.Errorf("%d connections are dialled for the next request, answers %v", len(b.dials), answers(t, out))
	}
}

// A process that was not run for longer than a client waits answers at once, and sends nothing on.
func TestRequestThatWaitedLongerThanItsClient(t *testing.T) {
	b := newBench(t)
	b.expected = invariant.AnswerLate // by the process that was not run
	looked := b.now
	b.now += int64(4 * time.Second)
	b.core.Begin(b.now)
	b.core.EventsSince(looked)
	_, out := b.ask("a1", "alert")
	b.pass(100 * time.Millisecond)
	for len(b.dials) > 0 {
		b.connect()
	}
	if row := answers(t, out); len(row) != 1 || b.posts() != 0 {
		t.Errorf("answers %v, %d attempts, for a request whose time was over when it was read", row, b.posts())
	}
}

// Engines know a request by its name for as long as an attempt of it is out, however many names come meanwhile.
func TestNameOfAnOpenRequestInAFloodOfNames(t *testing.T) {
	b := newBench(t)
	b.ask("a1", "alert")
	b.connect()
	b.core.TakeNames(13_000)
	_, out := b.ask("a1", "alert")
	if row := answers(t, out); !slices.Contains(row, http.StatusConflict) {
		t.Errorf("answers %v: the name of an open request is taken a second time", row)
	}
}

// Who says that a request is the last on its connection is owed no answer to what comes behind it.
func TestRequestsBehindTheLastOne(t *testing.T) {
	b := newBench(t)
	c, out := b.ask("a1", "chat", "Connection: close\r\n")
	b.asked(c, "a2", "chat")
	b.untilAnswered(out)
	b.pass(2 * time.Second)
	if row := answers(t, out); len(row) != 1 || !out.shut {
		t.Errorf("answers %v, closed %v", row, out.shut)
	}
}

// All engines are out of reach for some seconds, as when the node's own network is cut: what they hold is released when the
// ways are back, as long as a cut of the operators' days lasts.
func TestReleaseBehindALongCut(t *testing.T) {
	b, c, _ := writeOut(t, "chat")
	b.expected = invariant.HeldTooLong
	b.core.Begin(b.now)
	b.core.ClientGone(c)
	b.core.Turn(b.now)
	for cut := b.now + int64(8*time.Second); b.now < cut; b.pass(5 * time.Millisecond) {
		for len(b.dials) > 0 {
			line := b.dials[0]
			b.dials = b.dials[1:]
			b.core.Begin(b.now)
			b.core.LineDialled(line, nil, errors.New("no way"))
			b.core.Turn(b.now)
		}
	}
	before := b.releases("a1")
	b.pass(time.Second)
	for len(b.dials) > 0 {
		b.connect()
	}
	if b.releases("a1") == before {
		t.Error("no release is sent when the ways are back after 8 s")
	}
}

// Discovery moves to an agent that lags behind the one before: a drain that was told is not undone by an older list. Where
// the older list stays, as that of a store that was restored, it counts after some seconds.
func TestOlderListDoesNotUndoADrain(t *testing.T) {
	b := newBench(t)
	tell := func(revision int64, state string, started int64) {
		b.core.Begin(b.now)
		b.core.TakeList(endpoint.List{Revision: revision, Entries: []endpoint.Entry{
			{ID: "r", Address: "127.0.0.1:1", Kind: "m1", Zone: "a", Weight: 1, State: state, StartedAtMs: started},
			{ID: "w", Address: "127.0.0.1:1", Kind: "m2", Zone: "a", Weight: 1, State: endpoint.Ready}}})
		b.core.Turn(b.now)
	}
	sent := func() bool {
		b.ask(fmt.Sprint("a", b.now), "chat")
		b.pass(50 * time.Millisecond)
		any := len(b.dials) > 0
		for len(b.dials) > 0 {
			b.connect()
		}
		return any
	}
	tell(5, endpoint.Draining, 0)
	if sent() {
		t.Error("an attempt to an engine that drains")
	}
	tell(4, endpoint.Ready, 0)
	b.pass(time.Second)
	if sent() {
		t.Error("an attempt to an engine that drains, as an older list has it ready")
	}
	b.pass(15 * time.Second)
	if !sent() {
		t.Error("no attempt 15 s after an older list, which stays")
	}
	tell(6, endpoint.Draining, 0)
	tell(7, endpoint.Ready, 0)
	if !sent() {
		t.Error("no attempt to an engine that a newer list has ready again")
	}
	gone := func(revision int64) {
		b.core.Begin(b.now)
		b.core.TakeList(endpoint.List{Revision: revision, Entries: []endpoint.Entry{
			{ID: "w", Address: "127.0.0.1:1", Kind: "m2", Zone: "a", Weight: 1, State: endpoint.Ready}}})
		b.core.Turn(b.now)
	}
	begun := b.now/int64(time.Millisecond) - 1000
	tell(8, endpoint.Ready, begun)
	gone(9)
	tell(8, endpoint.Ready, begun)
	if sent() {
		t.Error("an attempt to an engine that is gone, as an older list has it")
	}
	tell(8, endpoint.Ready, b.now/int64(time.Millisecond))
	if !sent() {
		t.Error("no attempt to an engine that has started anew")
	}
}
