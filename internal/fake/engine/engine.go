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

// Make says what an engine can do. Zero values are filled in by Start.
type Make struct {
	Name, Role   string // role: read or write
	Addr         string // to listen on; its port may be 0
	Seed         uint64
	Slots, Queue int
	OtherSlots   int     // in the other role
	Memory       int     // tokens
	Pace         float64 // prompt tokens read a second, over all slots
	TokenTime    time.Duration
	Rate         float64 // sends a second that it can do when warm: a cold one is pushed over by a multiple
	Cold         time.Duration
	ColdShare    float64
	FallMultiple float64
	FallWindow   time.Duration
	Reload       time.Duration // between leaving one role and serving in the other
}

// Faults are what is wrong with an engine now.
type Faults struct {
	Silent     bool          // takes what comes and never answers
	Slow       float64       // times slower; 0 for not
	StallFirst bool          // stops before the first token
	StallAfter int           // stops after so many tokens
	BreakAfter int           // breaks the connection after so many tokens
	HalfAnswer bool          // a read's answer stops half way
	Lie        bool          // reports no load at all, whatever there is
	SlowAccept time.Duration // before the first byte of an answer
	FailStatus int           // answers sends with this status and no word why
	NeverBack  bool          // a change of its role never comes to an end
	FalseRole  bool          // it claims the role that it is asked for, and goes on in the old one
	DeafOrders bool          // takes no orders of a planner
	LieWork    float64       // times the work that it reports; 0 for the truth
}

// Marks are the repeat marks known to a group of engines.
type Marks struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// known says whether a mark has run within the window, and notes it.
func (m *Marks) known(mark string) bool {
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
	m     Make
	log   *audit.Log
	marks *Marks

	mu         sync.Mutex
	server     *http.Server
	addr       string
	up         bool
	fallen     bool
	draining   bool
	began      time.Time // of this life, if it counts as cold
	faults     Faults
	slots      chan struct{}
	waiting    int
	toRead     int
	open       int
	used       int
	kept       map[uint64]int
	states     map[string]state
	dropped    map[string]time.Time // inferences let go of before their read ended
	recent     []time.Time
	role       string
	epoch      int64
	term       int64
	claims     string // the role that it reports
	loading    bool
	leaving    bool // told to drain by a planner
	lives      int64
	readTokens float64 // of this life
	written    float64
	busy       float64
	uses       map[uint64]int // of beginnings
	life       context.Context
	end        context.CancelFunc
	changed    chan struct{} // closed when faults change
}

type state struct {
	tokens int
	at     time.Time
}

// Start listens and serves as a warm engine.
func Start(m Make, log *audit.Log, marks *Marks) (*Engine, error) {
	read := m.Role == "read"
	pick := func(a, b int) int {
		if read {
			return a
		}
		return b
	}
	m.Addr = cmp.Or(m.Addr, "127.0.0.1:0")
	m.Slots, m.Queue = cmp.Or(m.Slots, pick(8, 64)), cmp.Or(m.Queue, pick(48, 32))
	m.OtherSlots = cmp.Or(m.OtherSlots, pick(64, 8))
	m.Memory = cmp.Or(m.Memory, pick(200_000, 150_000))
	m.Pace, m.Rate = cmp.Or(m.Pace, 200_000), cmp.Or(m.Rate, 60)
	m.TokenTime = cmp.Or(m.TokenTime, 5*time.Millisecond)
	m.Cold, m.ColdShare = cmp.Or(m.Cold, 10*time.Second), cmp.Or(m.ColdShare, 0.3)
	m.FallMultiple, m.FallWindow = cmp.Or(m.FallMultiple, 3), cmp.Or(m.FallWindow, time.Second)
	m.Reload = cmp.Or(m.Reload, time.Second)
	e := &Engine{m: m, role: m.Role, claims: m.Role, epoch: 1, log: log, marks: marks, addr: m.Addr, changed: make(chan struct{})}
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
		return fmt.Errorf("stand-in %s: %w", e.m.Name, err)
	}
	e.addr, e.up, e.fallen, e.began = l.Addr().String(), true, false, time.Time{}
	if cold {
		e.began = time.Now()
	}
	e.waiting, e.toRead, e.open, e.used = 0, 0, 0, 0
	e.kept, e.states, e.dropped, e.recent = map[uint64]int{}, map[string]state{}, map[string]time.Time{}, nil
	e.readTokens, e.written, e.busy, e.uses = 0, 0, 0, map[uint64]int{}
	e.loading, e.leaving = false, false
	if e.role != e.claims && !e.faults.FalseRole { // it ended while it loaded for its next role, and starts in that
		e.role = e.claims
		e.m.Slots, e.m.OtherSlots = e.m.OtherSlots, e.m.Slots
	}
	e.slots = make(chan struct{}, e.m.Slots)
	e.lives++
	e.life, e.end = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+proto.ChatPath, e.serveChat)
	mux.HandleFunc("GET "+proto.LoadPath, e.serveLoad)
	mux.HandleFunc("POST "+proto.ReleasePath, e.serveRelease)
	mux.HandleFunc("POST /sandcourse/fetch", e.serveFetch)
	mux.HandleFunc("POST "+planapi.RolePath, e.serveRole)
	mux.HandleFunc("POST /admin/faults", e.serveFaults)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go e.server.Serve(l)
	go e.sweep(e.life)
	e.see(audit.Seen{What: audit.Up})
	return nil
}

// sweep drops states that nobody has taken: nodes may die.
func (e *Engine) sweep(life context.Context) {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-life.Done():
			return
		case <-tick.C:
		}
		e.mu.Lock()
		for name, s := range e.states {
			if time.Since(s.at) > 8*time.Second {
				e.letGo(name, "dropped by the engine")
			}
		}
		for name, at := range e.dropped {
			if time.Since(at) > 30*time.Second {
				delete(e.dropped, name)
			}
		}
		e.mu.Unlock()
	}
}

// Crash ends it with all that it holds; every connection is reset.
func (e *Engine) Crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	server, end := e.server, e.end
	e.see(audit.Seen{What: audit.Broke})
	e.mu.Unlock()
	end()
	server.Close()
}

// Restart crashes it, if it runs, and starts it cold.
func (e *Engine) Restart() error { e.Crash(); return e.listen(true) }

// Stop ends it for good.
func (e *Engine) Stop() { e.Crash() }

// Set puts faults in the place of those there were.
func (e *Engine) Set(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	close(e.changed)
	e.changed = make(chan struct{})
}

// Drain makes it refuse what is new, or take it again.
func (e *Engine) Drain(on bool) { e.mu.Lock(); e.draining = on; e.mu.Unlock() }

// Flush forgets all kept texts.
func (e *Engine) Flush() { e.mu.Lock(); e.kept = map[uint64]int{}; e.mu.Unlock() }

// Held is how many states wait here.
func (e *Engine) Held() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.states) }

// Fallen is whether it was pushed over while cold.
func (e *Engine) Fallen() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.fallen }

func (e *Engine) seeOf(a ask, s audit.Seen) {
	if !a.trial {
		e.see(s)
	}
}

func (e *Engine) see(s audit.Seen) {
	if e.log != nil {
		s.At, s.Engine = time.Now(), e.addr
		e.log.See(s)
	}
}

// part is the share of its work that it can do now. Called with the lock held.
func (e *Engine) part() float64 {
	share := 1.0
	if !e.began.IsZero() {
		if since := time.Since(e.began); since < e.m.Cold {
			share = e.m.ColdShare + (1-e.m.ColdShare)*since.Seconds()/e.m.Cold.Seconds()
		}
	}
	if e.faults.Slow > 1 {
		share /= e.faults.Slow
	}
	return share
}

// press counts a send that came; a cold engine that gets too many falls over and stays down.
func (e *Engine) press() {
	now := time.Now()
	e.recent = append(e.recent, now)
	for len(e.recent) > 0 && now.Sub(e.recent[0]) > e.m.FallWindow {
		e.recent = e.recent[1:]
	}
	if e.began.IsZero() || now.Sub(e.began) >= e.m.Cold || e.fallen {
		return
	}
	// Two of slack: single sends are lumps.
	budget := e.m.FallMultiple*e.m.Rate*e.part()*e.m.FallWindow.Seconds() + 2
	if float64(len(e.recent)) > budget {
		e.fallen = true
		e.see(audit.Seen{What: audit.FellOver,
			How: fmt.Sprintf("%d sends in %v, budget %.1f", len(e.recent), e.m.FallWindow, budget)})
		go e.Crash()
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	memory, waiting, open := float64(e.used)/float64(e.m.Memory), float64(e.toRead)/1000, e.open+len(e.states)
	if e.faults.Lie {
		memory, waiting, open = 0, 0, 0
	}
	h := w.Header()
	h.Set(proto.HeaderMemoryShare, strconv.FormatFloat(memory, 'f', 3, 64))
	h.Set(proto.HeaderWaitingTokens, strconv.FormatFloat(waiting, 'f', 3, 64))
	h.Set(proto.HeaderOpenRequests, strconv.Itoa(open))
}

func (e *Engine) fault() (Faults, chan struct{}, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.changed, e.life
}

// hush waits while the engine is silent; false means that the caller has gone or the engine has.
func (e *Engine) hush(ctx context.Context, quiet func(Faults) bool) bool {
	for {
		f, changed, life := e.fault()
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

func (e *Engine) wait(ctx context.Context, d time.Duration) bool {
	_, _, life := e.fault()
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

func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set(proto.HeaderRejected, why)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(chat.ErrorBody("server_error", why, "", "refused: "+why))
}

func silent(f Faults) bool { return f.Silent }

type ask struct {
	Model    string            `json:"model"`
	Messages []chat.Message    `json:"messages"`
	Most     int               `json:"max_tokens"`
	Transfer *proto.KVTransfer `json:"kv_transfer_params"`
	name     string
	send     string
	request  string
	mark     string
	prompt   int
	trial    bool
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return
	}
	var a ask
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
	e.seeOf(a, audit.Seen{What: audit.Began, Inference: a.name, Request: a.request, Writes: writes})
	defer e.seeOf(a, audit.Seen{What: audit.Ended, Inference: a.name, Request: a.request, Writes: writes})
	if !e.hush(r.Context(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.press()
	draining, role := e.draining || e.leaving, e.role
	epoch, _ := strconv.ParseInt(r.Header.Get(proto.HeaderRoleEpoch), 10, 64)
	older := epoch > 0 && epoch != e.epoch || e.loading
	full := e.waiting >= e.m.Queue && len(e.slots) == cap(e.slots)
	e.mu.Unlock()
	f, _, _ := e.fault()
	if f.SlowAccept > 0 && !e.wait(r.Context(), f.SlowAccept) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case older:
		e.report(w)
		refuse(w, http.StatusConflict, proto.RejectedRoleEpoch)
	case f.FailStatus > 0:
		http.Error(w, "failed", f.FailStatus)
	case draining:
		e.report(w)
		refuse(w, http.StatusServiceUnavailable, proto.RejectedDraining)
	case full:
		e.report(w)
		refuse(w, http.StatusTooManyRequests, proto.RejectedFull)
	case writes != (role == "write"):
		e.report(w)
		refuse(w, http.StatusConflict, proto.RejectedRole)
	case writes:
		e.write(w, r, a)
	default:
		e.read(w, r, a)
	}
}

// slot waits for one; the caller gives it back by calling free.
func (e *Engine) slot(ctx context.Context, tokens int) (free func(), ok bool) {
	e.mu.Lock()
	slots, life := e.slots, e.life
	e.waiting++
	e.open++
	e.toRead += tokens
	e.mu.Unlock()
	done := func() {
		e.mu.Lock()
		if e.life == life {
			e.open--
			e.toRead -= tokens
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
	if e.life == life {
		e.waiting--
	}
	e.mu.Unlock()
	if !ok {
		done()
		return nil, false
	}
	return func() { <-slots; done() }, true
}

// sums are the hashes of the prompt up to each message's end, and the tokens up to there.
func (a *ask) sums() (hashes []uint64, tokens []int) {
	h, n := fnv.New64a(), 0
	for _, m := range a.Messages {
		fmt.Fprintf(h, "%s %d:", m.Role, len(m.Content))
		h.Write(m.Content)
		n += chat.EstimateTokens(m.Content) + 4
		hashes, tokens = append(hashes, h.Sum64()), append(tokens, n)
	}
	return hashes, tokens
}

func (e *Engine) read(w http.ResponseWriter, r *http.Request, a ask) {
	hashes, tokens := a.sums()
	kept := 0
	e.mu.Lock()
	for i, h := range hashes {
		if _, ok := e.kept[h]; ok {
			kept = tokens[i]
		}
	}
	e.mu.Unlock()
	free, ok := e.slot(r.Context(), a.prompt-kept)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer free()
	begun := time.Now()
	e.mu.Lock()
	pace := e.m.Pace / float64(e.m.Slots) * e.part()
	life := e.life
	e.mu.Unlock()
	if !e.wait(r.Context(), time.Duration(float64(a.prompt-kept)/pace*1e9)+time.Millisecond) ||
		!e.hush(r.Context(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	if e.life != life {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	for i, h := range hashes {
		e.kept[h] = tokens[i]
	}
	e.readTokens += float64(a.prompt - kept)
	e.busy += time.Since(begun).Seconds() / float64(e.m.Slots)
	if len(hashes) > 0 {
		e.uses[hashes[0]]++
	}
	if len(e.kept) > 20_000 {
		clear(e.kept)
	}
	key := a.name + "/" + a.send
	_, gone := e.dropped[key]
	if !gone && !a.trial {
		e.states[key] = state{a.prompt, time.Now()}
		e.used += a.prompt
		e.see(audit.Seen{What: audit.Holds, Inference: a.name, Request: a.request})
	}
	half, addr := e.faults.HalfAnswer, e.addr
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
	e.report(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if half {
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

// letGo frees a state. Called with the lock held.
func (e *Engine) letGo(key, how string) bool {
	s, ok := e.states[key]
	if ok {
		delete(e.states, key)
		e.used -= s.tokens
		name, _, _ := strings.Cut(key, "/")
		e.see(audit.Seen{What: audit.LetGo, Inference: name, How: how})
	}
	return ok
}

func (e *Engine) write(w http.ResponseWriter, r *http.Request, a ask) {
	free, ok := e.slot(r.Context(), a.prompt)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer free()
	if !e.fetch(r.Context(), a.Transfer) {
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		e.report(w)
		refuse(w, http.StatusConflict, proto.RejectedNoReservation)
		return
	}
	e.mu.Lock()
	life := e.life
	e.used += a.prompt
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.life == life {
			e.used -= a.prompt
		}
		e.mu.Unlock()
	}()
	if !e.hush(r.Context(), func(f Faults) bool { return f.Silent || f.StallFirst }) {
		panic(http.ErrAbortHandler)
	}
	if e.marks.known(a.mark) {
		e.see(audit.Seen{What: audit.Repeat, Inference: a.name, Request: a.request})
	} else {
		e.see(audit.Seen{What: audit.Ran, Inference: a.name, Request: a.request})
	}
	e.report(w)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i, word := range e.answer(a) {
		f, _, life := e.fault()
		if f.BreakAfter > 0 && i >= f.BreakAfter || life.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if f.StallAfter > 0 && i >= f.StallAfter {
			stalled := func(f Faults) bool { return f.StallAfter > 0 && i >= f.StallAfter }
			if !e.hush(r.Context(), stalled) {
				panic(http.ErrAbortHandler)
			}
		}
		if !e.hush(r.Context(), silent) {
			panic(http.ErrAbortHandler)
		}
		w.Write(chat.AppendEvent(nil, event(a, word, "")))
		flush.Flush()
		e.mu.Lock()
		part := e.part()
		e.written++
		e.busy += e.m.TokenTime.Seconds() / part / float64(e.m.Slots)
		e.mu.Unlock()
		if !e.wait(r.Context(), time.Duration(float64(e.m.TokenTime)/part)) {
			panic(http.ErrAbortHandler)
		}
	}
	w.Write(chat.AppendEvent(nil, event(a, "", "stop")))
	w.Write(chat.AppendEvent(nil, []byte(chat.Done)))
}

func event(a ask, word, finish string) []byte {
	choice := map[string]any{"index": 0, "delta": map[string]any{"content": word}, "finish_reason": nil}
	if finish != "" {
		choice["delta"], choice["finish_reason"] = map[string]any{}, finish
	}
	data, _ := json.Marshal(map[string]any{"id": "cmpl-" + a.name, "object": "chat.completion.chunk",
		"model": a.Model, "choices": []any{choice}})
	return data
}

var words = strings.Fields("the home side answered late and the crowd rose again before the keeper held the ball " +
	"while both captains waited for the whistle that never quite came over the noise of the valley")

// answer is the same for the same seed and prompt.
func (e *Engine) answer(a ask) []string {
	hashes, _ := a.sums()
	x := e.m.Seed
	if len(hashes) > 0 {
		x ^= hashes[len(hashes)-1]
	}
	var row []string
	long := int(8 + x%25)
	if a.Most > 64 && a.Most != 512 { // who asks for much gets much; 512 is what edges ask for who are asked for nothing
		long = a.Most/2 + int(x%uint64(a.Most/2))
	}
	for range max(1, min(a.Most, long)) {
		x = x*6364136223846793005 + 1442695040888963407
		row = append(row, words[x>>33%uint64(len(words))]+" ")
	}
	return row
}

// fetch takes a state from its reader, which lets go of it.
func (e *Engine) fetch(ctx context.Context, t *proto.KVTransfer) bool {
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
	if !e.hush(r.Context(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	ok := e.letGo(string(name), "fetched")
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
	e.see(audit.Seen{What: audit.LetGo, Inference: a.Inference, How: "asked for"})
	if !e.hush(context.Background(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	key := fmt.Sprint(a.Inference, "/", a.Send)
	if !e.letGo(key, "released") {
		e.dropped[key] = time.Now()
	}
	e.mu.Unlock()
	e.report(w)
	w.Write([]byte("{}"))
}

// serveFaults takes faults as JSON, for engines in processes of their own.
func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<12)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Set(f)
}
