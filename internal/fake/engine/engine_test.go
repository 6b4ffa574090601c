package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/chat"
)

func TestConfigDefaultsDependOnRole(t *testing.T) {
	prefill, decode := Config{Role: planapi.Prefill}.withDefaults(), Config{Role: planapi.Decode, Slots: 3}.withDefaults()
	if prefill.Slots != 8 || prefill.OtherRoleSlots != 64 || decode.Slots != 3 || decode.OtherRoleSlots != 8 {
		t.Errorf("prefill %+v, decode %+v", prefill, decode)
	}
}

func TestStartFailsOnPortInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if _, err := Start(Config{Name: "e", Addr: listener.Addr().String()}, nil, nil); err == nil {
		t.Error("engine started on a port in use")
	}
}

func TestRestartBeginsColdIncarnationWithoutState(t *testing.T) {
	prefill, _ := startPair(t, nil)
	prefill.mu.Lock()
	prefill.prefixes.add([]prefix{{hash: 1, tokens: 5}})
	prefill.reservations.held["n/1"] = reservation{tokens: 5}
	prefill.mu.Unlock()
	addr := prefill.Addr()
	if err := prefill.Restart(); err != nil {
		t.Fatal(err)
	}
	report := prefill.loadReport()
	if report.Incarnation != 2 || report.CachedTokens != 0 || report.Reservations != 0 || report.UptimeMillis == 0 || prefill.Addr() != addr {
		t.Errorf("after the restart: %+v at %s, was %s", report, prefill.Addr(), addr)
	}
}

func TestIdempotencyKeyIsKnownWithinItsWindow(t *testing.T) {
	var nilKeys *IdempotencyKeys
	keys := &IdempotencyKeys{}
	if nilKeys.checkAndRecord("k") || keys.checkAndRecord("") || keys.checkAndRecord("") || keys.checkAndRecord("k") || !keys.checkAndRecord("k") {
		t.Error("a new key is reported as known, or a known key as new")
	}
	keys.seen["k"] = time.Now().Add(-idempotencyWindow)
	if keys.checkAndRecord("k") {
		t.Error("a key is known after its window")
	}
}

func TestReservationsAndEarlyReleasesExpire(t *testing.T) {
	now := time.Now()
	table := newReservationTable()
	table.held["old/1"] = reservation{createdAt: now.Add(-reservationTimeout - 1)}
	table.held["new/1"] = reservation{createdAt: now.Add(-reservationTimeout)}
	table.releasedEarly["old/2"] = now.Add(-earlyReleaseTimeout - 1)
	table.releasedEarly["new/2"] = now.Add(-earlyReleaseTimeout)
	if keys := table.expire(now); !slices.Equal(keys, []string{"old/1"}) {
		t.Errorf("expired: %q", keys)
	}
	if _, ok := table.releasedEarly["new/2"]; !ok || len(table.releasedEarly) != 1 {
		t.Errorf("early releases: %v", table.releasedEarly)
	}
}

func TestPrefixCacheReportsHotPrefixesAndKeepsItsLimit(t *testing.T) {
	cache := newPrefixCache()
	prompt := []prefix{{hash: 1, tokens: 5}, {hash: 2, tokens: 9}}
	for range hotPrefixUses {
		cache.add(prompt)
	}
	if got := cache.cachedTokens([]prefix{{hash: 1, tokens: 5}, {hash: 3, tokens: 8}}); got != 5 {
		t.Errorf("%d tokens cached of a prompt with the same first prefix, want 5", got)
	}
	report := planapi.EngineReport{HotPrefixes: map[string]float64{}}
	cache.addToReport(&report)
	if report.CachedTokens != 14 || len(report.HotPrefixes) != 1 || report.HotPrefixes["1"] != 5 {
		t.Errorf("report: %+v", report)
	}
	for i := range maxCachedPrefixes {
		cache.add([]prefix{{hash: uint64(i) + 10}})
	}
	if len(cache.tokens) > maxCachedPrefixes || cache.cachedTokens(prompt) != 0 {
		t.Errorf("%d prefixes cached, limit %d", len(cache.tokens), maxCachedPrefixes)
	}
}

func TestColdEngineCrashesUnderTooManyAttempts(t *testing.T) {
	log := &audit.Log{}
	e, err := Start(Config{Role: planapi.Prefill, AttemptRate: 1, WarmUp: time.Minute}, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	sendAttempts := func() {
		for range 6 {
			e.recordArrival(&completionRequest{})
		}
	}
	if sendAttempts(); e.Overloaded() {
		t.Error("a warm engine is overloaded")
	}
	if err := e.Restart(); err != nil {
		t.Fatal(err)
	}
	if sendAttempts(); !e.Overloaded() {
		t.Error("a cold engine is not overloaded")
	}
	if !slices.ContainsFunc(log.EngineRecords(), func(r audit.EngineRecord) bool { return r.Event == audit.Overloaded }) {
		t.Error("no record of the overload")
	}
}

func TestUnresponsiveEngineHandlesRequestOnceResponsive(t *testing.T) {
	prefill, _ := startPair(t, nil)
	prefill.SetFaults(Faults{Unresponsive: true})
	responded := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + prefill.Addr() + "/sandcourse/load")
		if err == nil {
			response.Body.Close()
		}
		responded <- err
	}()
	select {
	case err := <-responded:
		t.Fatalf("an unresponsive engine has responded: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	prefill.SetFaults(Faults{})
	if err := <-responded; err != nil {
		t.Error(err)
	}
}

func TestSleepEndsWithIncarnation(t *testing.T) {
	prefill, _ := startPair(t, nil)
	time.AfterFunc(10*time.Millisecond, prefill.Crash)
	if prefill.sleep(context.Background(), time.Minute) {
		t.Error("sleep continued after the crash")
	}
}

// Messages must be encoded like Go maps, whose keys encoding/json sorts.
func TestMessagesHaveSortedKeys(t *testing.T) {
	request := &completionRequest{completionBody: completionBody{Model: "<m>"}, requestID: "n&1", attemptIndex: "2", promptTokens: 7}
	stop := "stop"
	for name, body := range map[string][]byte{
		"prefill": encodePrefillResponse(request, "127.0.0.1:80", 3),
		"chunk":   encodeChunk(request, "a \u2028", nil),
		"last":    encodeChunk(request, "", &stop),
	} {
		var decoded map[string]any
		var raw map[string]json.RawMessage
		if err := errors.Join(json.Unmarshal(body, &decoded), json.Unmarshal(body, &raw)); err != nil {
			t.Fatal(err)
		}
		if transfer, ok := raw["kv_transfer_params"]; ok {
			decoded["kv_transfer_params"] = transfer // The value has the field order of engineapi.KVTransfer.
		}
		if sorted, err := json.Marshal(decoded); err != nil || !bytes.Equal(body, sorted) {
			t.Errorf("%s: %s, want %s", name, body, sorted)
		}
	}
}

func TestResponseWordsAreDeterministic(t *testing.T) {
	request := func(maxTokens int) *completionRequest {
		return &completionRequest{completionBody: completionBody{MaxTokens: maxTokens,
			Messages: []chat.Message{{Role: "user", Content: json.RawMessage(`"The goal."`)}}}}
	}
	for _, c := range []struct {
		seed                       uint64
		maxTokens, atLeast, atMost int
	}{{7, 0, 1, 1}, {7, 5, 5, 5}, {7, 512, 8, 32}, {8, 64, 8, 32}, {7, 1000, 500, 1000}} {
		one, other := &Engine{config: Config{Seed: c.seed}}, &Engine{config: Config{Seed: c.seed}}
		words := one.responseWords(request(c.maxTokens))
		if n := len(words); n < c.atLeast || n > c.atMost || !slices.Equal(words, other.responseWords(request(c.maxTokens))) {
			t.Errorf("%+v: %d words: %s", c, n, fmt.Sprint(words))
		}
	}
}
