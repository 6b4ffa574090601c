package platformengine

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/platform"
)

func TestReleaseAppliesToAllEngines(t *testing.T) {
	fleet := NewFleet(&audit.Log{})
	prefill, decode := startPair(t, fleet)
	for range 2 {
		send(t, prefill, http.MethodPost, platform.CompletionsPath, "n-1")
	}
	if held := fleet.HeldReservations(); held != 2 {
		t.Errorf("%d reservations after two prefills", held)
	}
	send(t, decode, http.MethodDelete, platform.ReservationsPath+"n-1", "")
	if held, releases := fleet.HeldReservations(), fleet.Releases(); held != 0 || releases != 1 {
		t.Errorf("%d reservations after %d releases", held, releases)
	}
}

func TestReleaseKeepsReservationThatAnAttemptAwaits(t *testing.T) {
	fleet := NewFleet(&audit.Log{})
	prefill, decode := startPair(t, fleet)
	decode.slots <- struct{}{} // The attempt below waits for a slot.
	send(t, prefill, http.MethodPost, platform.CompletionsPath, "n-1")
	response := make(chan string, 1)
	go func() { response <- send(t, decode, http.MethodPost, platform.CompletionsPath, "n-1") }()
	waitFor(t, fleet.hasAttempt("n-1"))
	send(t, prefill, http.MethodDelete, platform.ReservationsPath+"n-1", "")
	if held := fleet.HeldReservations(); held != 1 {
		t.Errorf("%d reservations while an attempt awaits one, want 1", held)
	}
	<-decode.slots
	if got := <-response; !strings.Contains(got, "[DONE]") {
		t.Errorf("response of the attempt: %s", got)
	}
}

func TestRouterClosedRecordsEndOfAttemptOnce(t *testing.T) {
	log := &audit.Log{}
	fleet := NewFleet(log)
	_, decode := startPair(t, fleet)
	attempt := &engineAttempt{engineID: decode.ID, routerAddr: "router:1"}
	fleet.startAttempt(decode, "n-1", attempt)
	fleet.RouterClosed(decode.ID, "router:2")
	if attempt.ended {
		t.Error("attempt ended by the close of another connection")
	}
	fleet.RouterClosed(decode.ID, "router:1")
	fleet.endAttempt("n-1", attempt)
	ends := 0
	for _, record := range log.EngineRecords() {
		if record.Event == audit.AttemptEnded {
			ends++
		}
	}
	if ends != 1 {
		t.Errorf("end of one attempt recorded %d times, want once", ends)
	}
}

func TestBeforeCloseDetectedIsCalledForDisconnectedAttempt(t *testing.T) {
	fleet := NewFleet(&audit.Log{})
	requestIDs := make(chan string, 1)
	fleet.BeforeCloseDetected = func(requestID string, released <-chan struct{}) {
		<-released
		requestIDs <- requestID
	}
	_, decode := startPair(t, fleet)
	decode.slots <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		waitFor(t, fleet.hasAttempt("n-1"))
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+decode.Addr+platform.CompletionsPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(platform.HeaderRequestID, "n-1")
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
		t.Fatal("attempt without a slot got a response")
	}
	send(t, decode, http.MethodDelete, platform.ReservationsPath+"n-1", "")
	if got := <-requestIDs; got != "n-1" {
		t.Errorf("BeforeCloseDetected called for %q, want n-1", got)
	}
}

func (f *Fleet) hasAttempt(requestID string) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.requestState(requestID).attempts) > 0
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Error("condition not met within 10 s")
			return
		}
	}
}
