// Package engine is a stand-in for engines: readers and writers on loopback sockets with slots, queues, memory,
// kept texts, cold starts and faults on order. It speaks what docs/engine-protocol.md says. Its figures are
// made up; it serves tests, demos and bad days.
package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/chat"
	proto "sandcourse/internal/protocol/engineapi"
)

// Config says what an engine can do. Zero values are filled in by Start.
type Config struct {
	Name, Role        string // role: read or write
	Addr              string // to listen on; its port may be 0
	Seed              uint64
	Slots, QueueLimit int
	OtherRoleSlots    int     // in the other role
	MemoryTokens      int     // tokens
	PrefillRate       float64 // prompt tokens read a second, over all slots
	TokenTime         time.Duration
	AttemptRate       float64 // sends a second that it can do when warm: a cold one is pushed over by a multiple
	WarmUp            time.Duration
	WarmUpShare       float64
	OverloadFactor    float64
	OverloadWindow    time.Duration
	Reload            time.Duration // between leaving one role and serving in the other
}

// Faults are what is wrong with an engine now.
type Faults struct {
	Unresponsive       bool          `json:"Silent"`     // takes what comes and never answers
	Slowdown           float64       `json:"Slow"`       // times slower; 0 for not
	StallFirst         bool          `json:"StallFirst"` // stops before the first token
	StallAfter         int           `json:"StallAfter"` // stops after so many tokens
	BreakAfter         int           `json:"BreakAfter"` // breaks the connection after so many tokens
	TruncatePrefill    bool          `json:"HalfAnswer"` // a read's answer stops half way
	EmptyLoadReport    bool          `json:"Lie"`        // reports no load at all, whatever there is
	ResponseDelay      time.Duration `json:"SlowAccept"` // before the first byte of an answer
	FailStatus         int           `json:"FailStatus"` // answers sends with this status and no word why
	RoleChangeHangs    bool          `json:"NeverBack"`  // a change of its role never comes to an end
	FalseRole          bool          `json:"FalseRole"`  // it claims the role that it is asked for, and goes on in the old one
	IgnoreRoleOrders   bool          `json:"DeafOrders"` // takes no orders of a planner
	ReportedWorkFactor float64       `json:"LieWork"`    // times the work that it reports; 0 for the truth
}

// IdempotencyKeys are the repeat marks known to a group of engines.
type IdempotencyKeys struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// seenBefore says whether a mark has run within the window, and notes it.
func (m *IdempotencyKeys) seenBefore(mark string) bool {
	if m == nil || mark == "" {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil {
		m.seen = map[string]time.Time{}
	}
	at, ok := m.seen[mark]
	m.seen[mark] = time.Now()
	return ok && time.Since(at) < 30*time.Second
}

// Engine is one stand-in.
type Engine struct {
	config          Config
	log             *audit.Log
	idempotencyKeys *IdempotencyKeys

	mu                  sync.Mutex
	server              *http.Server
	addr                string
	running             bool
	overloaded          bool
	draining            bool
	coldSince           time.Time // of this life, if it counts as cold
	faults              Faults
	slots               chan struct{}
	waiting             int
	queuedPrefillTokens int
	openRequests        int
	usedTokens          int
	cached              map[uint64]int
	reservations        map[string]reservation
	releasedEarly       map[string]time.Time // inferences let go of before their read ended
	recentAttempts      []time.Time
	role                string
	epoch               int64
	term                int64
	reportedRole        string // the role that it reports
	loading             bool
	drainingByPlanner   bool // told to drain by a planner
	incarnation         int64
	prefilledTokens     float64 // of this life
	decodedTokens       float64
	busySeconds         float64
	prefixUses          map[uint64]int // of beginnings
	incarnationContext  context.Context
	cancelIncarnation   context.CancelFunc
	changed             chan struct{} // closed when faults change
}

type reservation struct {
	tokens int
	at     time.Time
}

// Start listens and serves as a warm engine.
func Start(m Config, log *audit.Log, marks *IdempotencyKeys) (*Engine, error) {
	read := m.Role == "read"
	pick := func(a, b int) int {
		if read {
			return a
		}
		return b
	}
	m.Addr = cmp.Or(m.Addr, "127.0.0.1:0")
	m.Slots, m.QueueLimit = cmp.Or(m.Slots, pick(8, 64)), cmp.Or(m.QueueLimit, pick(48, 32))
	m.OtherRoleSlots = cmp.Or(m.OtherRoleSlots, pick(64, 8))
	m.MemoryTokens = cmp.Or(m.MemoryTokens, pick(200_000, 150_000))
	m.PrefillRate, m.AttemptRate = cmp.Or(m.PrefillRate, 200_000), cmp.Or(m.AttemptRate, 60)
	m.TokenTime = cmp.Or(m.TokenTime, 5*time.Millisecond)
	m.WarmUp, m.WarmUpShare = cmp.Or(m.WarmUp, 10*time.Second), cmp.Or(m.WarmUpShare, 0.3)
	m.OverloadFactor, m.OverloadWindow = cmp.Or(m.OverloadFactor, 3), cmp.Or(m.OverloadWindow, time.Second)
	m.Reload = cmp.Or(m.Reload, time.Second)
	e := &Engine{config: m, role: m.Role, reportedRole: m.Role, epoch: 1, log: log, idempotencyKeys: marks, addr: m.Addr, changed: make(chan struct{})}
	return e, e.listen(false)
}

// Addr is where it listens, the same over restarts.
func (e *Engine) Addr() string { e.mu.Lock(); defer e.mu.Unlock(); return e.addr }

// Role is read or write.
func (e *Engine) Role() string { e.mu.Lock(); defer e.mu.Unlock(); return e.role }

// Epoch is of its role.
func (e *Engine) Epoch() int64 { e.mu.Lock(); defer e.mu.Unlock(); return e.epoch }

func (e *Engine) listen(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, err := net.Listen("tcp", e.addr)
	for try := 0; err != nil && cold && try < 100; try++ { // its port may be another connection's for a moment
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", e.addr)
	}
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", e.config.Name, err)
	}
	e.addr, e.running, e.overloaded, e.coldSince = l.Addr().String(), true, false, time.Time{}
	if cold {
		e.coldSince = time.Now()
	}
	e.waiting, e.queuedPrefillTokens, e.openRequests, e.usedTokens = 0, 0, 0, 0
	e.cached, e.reservations, e.releasedEarly, e.recentAttempts = map[uint64]int{}, map[string]reservation{}, map[string]time.Time{}, nil
	e.prefilledTokens, e.decodedTokens, e.busySeconds, e.prefixUses = 0, 0, 0, map[uint64]int{}
	e.loading, e.drainingByPlanner = false, false
	if e.role != e.reportedRole && !e.faults.FalseRole { // it ended while it loaded for its next role, and starts in that
		e.role = e.reportedRole
		e.config.Slots, e.config.OtherRoleSlots = e.config.OtherRoleSlots, e.config.Slots
	}
	e.slots = make(chan struct{}, e.config.Slots)
	e.incarnation++
	e.incarnationContext, e.cancelIncarnation = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+proto.ChatPath, e.serveChat)
	mux.HandleFunc("GET "+proto.LoadPath, e.serveLoad)
	mux.HandleFunc("POST "+proto.ReleasePath, e.serveRelease)
	mux.HandleFunc("POST /sandcourse/fetch", e.serveFetch)
	mux.HandleFunc("POST "+planapi.RolePath, e.serveRole)
	mux.HandleFunc("POST /admin/faults", e.serveFaults)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go e.server.Serve(l)
	go e.expireReservations(e.incarnationContext)
	e.record(audit.EngineRecord{Event: audit.Started})
	return nil
}

// expireReservations drops states that nobody has taken: nodes may die.
func (e *Engine) expireReservations(life context.Context) {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-life.Done():
			return
		case <-tick.C:
		}
		e.mu.Lock()
		for name, s := range e.reservations {
			if time.Since(s.at) > 8*time.Second {
				e.release(name, "dropped by the engine")
			}
		}
		for name, at := range e.releasedEarly {
			if time.Since(at) > 30*time.Second {
				delete(e.releasedEarly, name)
			}
		}
		e.mu.Unlock()
	}
}

// Crash ends it with all that it holds; every connection is reset.
func (e *Engine) Crash() {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return
	}
	e.running = false
	server, end := e.server, e.cancelIncarnation
	e.record(audit.EngineRecord{Event: audit.Crashed})
	e.mu.Unlock()
	end()
	server.Close()
}

// Restart crashes it, if it runs, and starts it cold.
func (e *Engine) Restart() error { e.Crash(); return e.listen(true) }

// Stop ends it for good.
func (e *Engine) Stop() { e.Crash() }

// SetFaults puts faults in the place of those there were.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	close(e.changed)
	e.changed = make(chan struct{})
}

// Drain makes it refuse what is new, or take it again.
func (e *Engine) Drain(on bool) { e.mu.Lock(); e.draining = on; e.mu.Unlock() }

// ClearCache forgets all kept texts.
func (e *Engine) ClearCache() { e.mu.Lock(); e.cached = map[uint64]int{}; e.mu.Unlock() }

// HeldReservations is how many states wait here.
func (e *Engine) HeldReservations() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.reservations) }

// Overloaded is whether it was pushed over while cold.
func (e *Engine) Overloaded() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.overloaded }

func (e *Engine) recordRequest(a completionRequest, s audit.EngineRecord) {
	if !a.trial {
		e.record(s)
	}
}

func (e *Engine) record(s audit.EngineRecord) {
	if e.log != nil {
		s.At, s.Engine = time.Now(), e.addr
		e.log.RecordEngine(s)
	}
}

// speed is the share of its work that it can do now. Called with the lock held.
func (e *Engine) speed() float64 {
	share := 1.0
	if !e.coldSince.IsZero() {
		if since := time.Since(e.coldSince); since < e.config.WarmUp {
			share = e.config.WarmUpShare + (1-e.config.WarmUpShare)*since.Seconds()/e.config.WarmUp.Seconds()
		}
	}
	if e.faults.Slowdown > 1 {
		share /= e.faults.Slowdown
	}
	return share
}

// countAttempt counts a send that came; a cold engine that gets too many falls over and stays down.
func (e *Engine) countAttempt() {
	now := time.Now()
	e.recentAttempts = append(e.recentAttempts, now)
	for len(e.recentAttempts) > 0 && now.Sub(e.recentAttempts[0]) > e.config.OverloadWindow {
		e.recentAttempts = e.recentAttempts[1:]
	}
	if e.coldSince.IsZero() || now.Sub(e.coldSince) >= e.config.WarmUp || e.overloaded {
		return
	}
	// Two of slack: single sends are lumps.
	budget := e.config.OverloadFactor*e.config.AttemptRate*e.speed()*e.config.OverloadWindow.Seconds() + 2
	if float64(len(e.recentAttempts)) > budget {
		e.overloaded = true
		e.record(audit.EngineRecord{Event: audit.Overloaded,
			Detail: fmt.Sprintf("%d sends in %v, budget %.1f", len(e.recentAttempts), e.config.OverloadWindow, budget)})
		go e.Crash()
	}
}

func (e *Engine) setLoadHeaders(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	memory, waiting, open := float64(e.usedTokens)/float64(e.config.MemoryTokens), float64(e.queuedPrefillTokens)/1000, e.openRequests+len(e.reservations)
	if e.faults.EmptyLoadReport {
		memory, waiting, open = 0, 0, 0
	}
	h := w.Header()
	h.Set(proto.HeaderMemoryShare, strconv.FormatFloat(memory, 'f', 3, 64))
	h.Set(proto.HeaderWaitingTokens, strconv.FormatFloat(waiting, 'f', 3, 64))
	h.Set(proto.HeaderOpenRequests, strconv.Itoa(open))
}

func (e *Engine) currentFaults() (Faults, chan struct{}, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.changed, e.incarnationContext
}

// awaitAudible waits while the engine is silent; false means that the caller has gone or the engine has.
func (e *Engine) awaitAudible(ctx context.Context, quiet func(Faults) bool) bool {
	for {
		f, changed, life := e.currentFaults()
		if !quiet(f) {
			return ctx.Err() == nil && life.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-life.Done():
			return false
		case <-changed:
		}
	}
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	_, _, life := e.currentFaults()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-life.Done():
	case <-t.C:
		return true
	}
	return false
}

func reject(w http.ResponseWriter, status int, why string) {
	w.Header().Set(proto.HeaderRejected, why)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(chat.ErrorBody("server_error", why, "", "refused: "+why))
}

func silent(f Faults) bool { return f.Unresponsive }

type completionRequest struct {
	Model     string            `json:"model"`
	Messages  []chat.Message    `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Transfer  *proto.KVTransfer `json:"kv_transfer_params"`
	name      string
	send      string
	request   string
	mark      string
	prompt    int
	trial     bool
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return
	}
	var a completionRequest
	if err := json.Unmarshal(body, &a); err != nil || a.Transfer == nil {
		http.Error(w, "no call with kv_transfer_params", http.StatusBadRequest)
		return
	}
	a.name, a.request = r.Header.Get(chat.HeaderRequestID), r.Header.Get(chat.HeaderClientRequestID)
	a.send = r.Header.Get(proto.HeaderAttempt)
	a.mark = r.Header.Get(chat.HeaderIdempotencyKey)
	for _, m := range a.Messages {
		a.prompt += chat.EstimateTokens(m.Content) + 4
	}
	writes := a.Transfer.RemotePrefill
	// A trial is the planner's question for the role, and no send of an edge.
	a.trial = strings.HasPrefix(a.name, planapi.TrialPrefix)
	e.recordRequest(a, audit.EngineRecord{Event: audit.AttemptStarted, RequestID: a.name, ClientRequestID: a.request, Decode: writes})
	defer e.recordRequest(a, audit.EngineRecord{Event: audit.AttemptEnded, RequestID: a.name, ClientRequestID: a.request, Decode: writes})
	if !e.awaitAudible(r.Context(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.countAttempt()
	draining, role := e.draining || e.drainingByPlanner, e.role
	epoch, _ := strconv.ParseInt(r.Header.Get(proto.HeaderRoleEpoch), 10, 64)
	older := epoch > 0 && epoch != e.epoch || e.loading
	full := e.waiting >= e.config.QueueLimit && len(e.slots) == cap(e.slots)
	e.mu.Unlock()
	f, _, _ := e.currentFaults()
	if f.ResponseDelay > 0 && !e.sleep(r.Context(), f.ResponseDelay) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case older:
		e.setLoadHeaders(w)
		reject(w, http.StatusConflict, proto.RejectedRoleEpoch)
	case f.FailStatus > 0:
		http.Error(w, "failed", f.FailStatus)
	case draining:
		e.setLoadHeaders(w)
		reject(w, http.StatusServiceUnavailable, proto.RejectedDraining)
	case full:
		e.setLoadHeaders(w)
		reject(w, http.StatusTooManyRequests, proto.RejectedFull)
	case writes != (role == "write"):
		e.setLoadHeaders(w)
		reject(w, http.StatusConflict, proto.RejectedRole)
	case writes:
		e.decode(w, r, a)
	default:
		e.prefill(w, r, a)
	}
}

// acquireSlot waits for one; the caller gives it back by calling free.
func (e *Engine) acquireSlot(ctx context.Context, tokens int) (free func(), ok bool) {
	e.mu.Lock()
	slots, life := e.slots, e.incarnationContext
	e.waiting++
	e.openRequests++
	e.queuedPrefillTokens += tokens
	e.mu.Unlock()
	done := func() {
		e.mu.Lock()
		if e.incarnationContext == life {
			e.openRequests--
			e.queuedPrefillTokens -= tokens
		}
		e.mu.Unlock()
	}
	select {
	case slots <- struct{}{}:
		ok = true
	case <-ctx.Done():
	case <-life.Done():
	}
	e.mu.Lock()
	if e.incarnationContext == life {
		e.waiting--
	}
	e.mu.Unlock()
	if !ok {
		done()
		return nil, false
	}
	return func() { <-slots; done() }, true
}

// prefixHashes are the hashes of the prompt up to each message's end, and the tokens up to there.
func (a *completionRequest) prefixHashes() (hashes []uint64, tokens []int) {
	h, n := fnv.New64a(), 0
	for _, m := range a.Messages {
		fmt.Fprintf(h, "%s %d:", m.Role, len(m.Content))
		h.Write(m.Content)
		n += chat.EstimateTokens(m.Content) + 4
		hashes, tokens = append(hashes, h.Sum64()), append(tokens, n)
	}
	return hashes, tokens
}

func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, a completionRequest) {
	hashes, tokens := a.prefixHashes()
	kept := 0
	e.mu.Lock()
	for i, h := range hashes {
		if _, ok := e.cached[h]; ok {
			kept = tokens[i]
		}
	}
	e.mu.Unlock()
	free, ok := e.acquireSlot(r.Context(), a.prompt-kept)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer free()
	begun := time.Now()
	e.mu.Lock()
	pace := e.config.PrefillRate / float64(e.config.Slots) * e.speed()
	life := e.incarnationContext
	e.mu.Unlock()
	if !e.sleep(r.Context(), time.Duration(float64(a.prompt-kept)/pace*1e9)+time.Millisecond) ||
		!e.awaitAudible(r.Context(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	if e.incarnationContext != life {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	for i, h := range hashes {
		e.cached[h] = tokens[i]
	}
	e.prefilledTokens += float64(a.prompt - kept)
	e.busySeconds += time.Since(begun).Seconds() / float64(e.config.Slots)
	if len(hashes) > 0 {
		e.prefixUses[hashes[0]]++
	}
	if len(e.cached) > 20_000 {
		clear(e.cached)
	}
	key := a.name + "/" + a.send
	_, gone := e.releasedEarly[key]
	if !gone && !a.trial {
		e.reservations[key] = reservation{a.prompt, time.Now()}
		e.usedTokens += a.prompt
		e.record(audit.EngineRecord{Event: audit.Reserved, RequestID: a.name, ClientRequestID: a.request})
	}
	half, addr := e.faults.TruncatePrefill, e.addr
	e.mu.Unlock()
	host, port, _ := strings.Cut(addr, ":")
	number, _ := strconv.Atoi(port)
	body, _ := json.Marshal(map[string]any{"id": "cmpl-" + a.name, "object": "chat.completion", "model": a.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "length",
			"message": map[string]any{"role": "assistant", "content": ""}}},
		"usage": map[string]any{"prompt_tokens": a.prompt, "completion_tokens": 1, "total_tokens": a.prompt + 1,
			"prompt_tokens_details": map[string]any{"cached_tokens": kept}},
		"kv_transfer_params": proto.KVTransfer{RemotePrefill: true, Engine: key, Host: host, Port: number,
			Blocks: []int{0}}})
	e.setLoadHeaders(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if half {
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

// release frees a state. Called with the lock held.
func (e *Engine) release(key, how string) bool {
	s, ok := e.reservations[key]
	if ok {
		delete(e.reservations, key)
		e.usedTokens -= s.tokens
		name, _, _ := strings.Cut(key, "/")
		e.record(audit.EngineRecord{Event: audit.Released, RequestID: name, Detail: how})
	}
	return ok
}

func (e *Engine) decode(w http.ResponseWriter, r *http.Request, a completionRequest) {
	free, ok := e.acquireSlot(r.Context(), a.prompt)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer free()
	if !e.fetchReservation(r.Context(), a.Transfer) {
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		e.setLoadHeaders(w)
		reject(w, http.StatusConflict, proto.RejectedNoReservation)
		return
	}
	e.mu.Lock()
	life := e.incarnationContext
	e.usedTokens += a.prompt
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.incarnationContext == life {
			e.usedTokens -= a.prompt
		}
		e.mu.Unlock()
	}()
	if !e.awaitAudible(r.Context(), func(f Faults) bool { return f.Unresponsive || f.StallFirst }) {
		panic(http.ErrAbortHandler)
	}
	if e.idempotencyKeys.seenBefore(a.mark) {
		e.record(audit.EngineRecord{Event: audit.Deduplicated, RequestID: a.name, ClientRequestID: a.request})
	} else {
		e.record(audit.EngineRecord{Event: audit.Executed, RequestID: a.name, ClientRequestID: a.request})
	}
	e.setLoadHeaders(w)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i, word := range e.answerWords(a) {
		f, _, life := e.currentFaults()
		if f.BreakAfter > 0 && i >= f.BreakAfter || life.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if f.StallAfter > 0 && i >= f.StallAfter {
			stalled := func(f Faults) bool { return f.StallAfter > 0 && i >= f.StallAfter }
			if !e.awaitAudible(r.Context(), stalled) {
				panic(http.ErrAbortHandler)
			}
		}
		if !e.awaitAudible(r.Context(), silent) {
			panic(http.ErrAbortHandler)
		}
		w.Write(chat.AppendEvent(nil, streamEvent(a, word, "")))
		flush.Flush()
		e.mu.Lock()
		part := e.speed()
		e.decodedTokens++
		e.busySeconds += e.config.TokenTime.Seconds() / part / float64(e.config.Slots)
		e.mu.Unlock()
		if !e.sleep(r.Context(), time.Duration(float64(e.config.TokenTime)/part)) {
			panic(http.ErrAbortHandler)
		}
	}
	w.Write(chat.AppendEvent(nil, streamEvent(a, "", "stop")))
	w.Write(chat.AppendEvent(nil, []byte(chat.Done)))
}

func streamEvent(a completionRequest, word, finish string) []byte {
	choice := map[string]any{"index": 0, "delta": map[string]any{"content": word}, "finish_reason": nil}
	if finish != "" {
		choice["delta"], choice["finish_reason"] = map[string]any{}, finish
	}
	data, _ := json.Marshal(map[string]any{"id": "cmpl-" + a.name, "object": "chat.completion.chunk",
		"model": a.Model, "choices": []any{choice}})
	return data
}

var vocabulary = strings.Fields("the home side answered late and the crowd rose again before the keeper held the ball " +
	"while both captains waited for the whistle that never quite came over the noise of the valley")

// answerWords is the same for the same seed and prompt.
func (e *Engine) answerWords(a completionRequest) []string {
	hashes, _ := a.prefixHashes()
	x := e.config.Seed
	if len(hashes) > 0 {
		x ^= hashes[len(hashes)-1]
	}
	var row []string
	long := int(8 + x%25)
	if a.MaxTokens > 64 && a.MaxTokens != 512 { // who asks for much gets much; 512 is what edges ask for who are asked for nothing
		long = a.MaxTokens/2 + int(x%uint64(a.MaxTokens/2))
	}
	for range max(1, min(a.MaxTokens, long)) {
		x = x*6364136223846793005 + 1442695040888963407
		row = append(row, vocabulary[x>>33%uint64(len(vocabulary))]+" ")
	}
	return row
}

// fetchReservation takes a state from its reader, which lets go of it.
func (e *Engine) fetchReservation(ctx context.Context, t *proto.KVTransfer) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		fmt.Sprintf("http://%s:%d/sandcourse/fetch", t.Host, t.Port), strings.NewReader(t.Engine))
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (e *Engine) serveFetch(w http.ResponseWriter, r *http.Request) {
	name, _ := io.ReadAll(io.LimitReader(r.Body, 1<<10))
	if !e.awaitAudible(r.Context(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	ok := e.release(string(name), "fetched")
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such state", http.StatusNotFound)
	}
}

func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	var a struct {
		Inference string
		Send      int
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<10)).Decode(&a); err != nil {
		http.Error(w, "no inference is named", http.StatusBadRequest)
		return
	}
	// A silent engine has the order on its socket and follows it once it goes on, whoever has hung up by then.
	e.record(audit.EngineRecord{Event: audit.Released, RequestID: a.Inference, Detail: "asked for"})
	if !e.awaitAudible(context.Background(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	key := fmt.Sprint(a.Inference, "/", a.Send)
	if !e.release(key, "released") {
		e.releasedEarly[key] = time.Now()
	}
	e.mu.Unlock()
	e.setLoadHeaders(w)
	w.Write([]byte("{}"))
}

// serveFaults takes faults as JSON, for engines in processes of their own.
func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<12)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}
