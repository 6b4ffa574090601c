package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sandcourse/internal/protocol/engineapi"
	"sandcourse/internal/router"
)

// box is one engine.
type box struct {
	w      *world
	name   string
	role   string
	up     bool
	gone   bool // not listed
	drains bool
	silent bool
	slow   float64
	life   int
	began  int64 // of this life if it counts as cold, else 0

	busy    int
	waiting []*job
	stuck   []func() // what waits while it is silent
	memory  float64
	toRead  float64
	states  map[string]float64 // tokens, by inference and send
	kept    map[string]float64
	recent  []int64
	lines   map[*line]bool
}

// job is one request that the engine has taken.
type job struct {
	l      *line
	ask    *ask
	name   string // of the inference
	send   string
	state  string // to fetch
	reader *box
	writes bool
	over   bool
	life   int
}

func (b *box) slots() int {
	if b.role == "read" {
		return b.w.d.Engine.ReadSlots
	}
	return b.w.d.Engine.WriteSlots
}

// part is the share of its work that it can do now.
func (b *box) part() float64 {
	e, share := b.w.d.Engine, 1.0
	if since := time.Duration(b.w.now - b.began); b.began > 0 && since < e.Cold {
		share = e.ColdShare + (1-e.ColdShare)*float64(since)/float64(e.Cold)
	}
	return share / max(1, b.slow)
}

func (b *box) start() {
	b.up, b.silent, b.life = true, false, b.life+1
	b.busy, b.waiting, b.stuck, b.memory, b.toRead = 0, nil, nil, 0, 0
	b.states, b.kept, b.recent = map[string]float64{}, map[string]float64{}, nil
	if b.life > 1 {
		b.began = b.w.now
	}
}

func (b *box) crash() {
	if !b.up {
		return
	}
	b.up = false
	clear(b.states)
	for _, l := range sorted(b.lines) {
		l.reset()
	}
}

func (b *box) wake() {
	b.silent = false
	row := b.stuck
	b.stuck = nil
	for _, do := range row {
		do()
	}
}

// speak does something that the engine says now, or once it is not silent any more.
func (b *box) speak(life int, do func()) {
	if b.life != life || !b.up {
		return
	}
	if b.silent {
		b.stuck = append(b.stuck, func() { b.speak(life, do) })
		return
	}
	do()
}

func (b *box) report() http.Header {
	h := http.Header{}
	h.Set(engineapi.HeaderMemoryShare, strconv.FormatFloat(b.memory/b.w.d.Engine.Memory, 'f', 3, 64))
	h.Set(engineapi.HeaderWaitingTokens, strconv.FormatFloat(b.toRead/1000, 'f', 3, 64))
	h.Set(engineapi.HeaderOpenRequests, strconv.Itoa(b.busy+len(b.waiting)+len(b.states)))
	return h
}

func head(status int, h http.Header) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: h}
}

// press counts a send; a cold engine that gets too many falls over. As the stand-ins do, with what it does
// when warm reckoned from its slots and the day's mean work.
func (b *box) press() {
	w := b.w
	b.recent = append(b.recent, w.now)
	for len(b.recent) > 0 && w.now-b.recent[0] > int64(time.Second) {
		b.recent = b.recent[1:]
	}
	if b.began == 0 || time.Duration(w.now-b.began) >= w.d.Engine.Cold {
		return
	}
	if float64(len(b.recent)) > 3*w.warmRate(b.role)*b.part()+2 {
		w.res.Pushed++
		b.crash()
	}
}

// warmRate is how many sends a second a warm engine of a role can do of the day's mix.
func (w *world) warmRate(role string) float64 {
	work, shares := 0.0, 0.0
	for _, r := range w.d.Routes {
		shares += r.Share
		if role == "read" {
			work += r.Share * (r.Prompt + w.d.Shared/4) / w.d.Engine.ReadPace
		} else {
			work += r.Share * r.Answer * w.d.Engine.TokenTime.Seconds() * (1 + w.d.Engine.Batch)
		}
	}
	slots := w.d.Engine.ReadSlots
	if role != "read" {
		slots = w.d.Engine.WriteSlots
	}
	return float64(slots) * shares / work
}

func (b *box) take(j *job) {
	w := b.w
	b.press()
	if !b.up {
		return
	}
	j.life = b.life
	refuse := func(status int, why string) {
		h := b.report()
		h.Set(engineapi.HeaderRejected, why)
		b.speak(j.life, func() { j.whole(head(status, h), nil) })
	}
	switch {
	case b.drains:
		refuse(http.StatusServiceUnavailable, engineapi.RejectedDraining)
	case j.writes != (b.role == "write"):
		refuse(http.StatusConflict, engineapi.RejectedRole)
	case len(b.waiting) >= w.d.Engine.Queue:
		refuse(http.StatusTooManyRequests, engineapi.RejectedFull)
	default:
		if !j.writes {
			b.toRead += j.ask.prompt
		}
		b.waiting = append(b.waiting, j)
		b.next()
	}
}

// next begins what waits, in turn, as far as slots and memory reach.
func (b *box) next() {
	for b.up && !b.silent && b.busy < b.slots() && len(b.waiting) > 0 {
		j := b.waiting[0]
		if j.writes && b.memory > 0 && b.memory+j.ask.prompt+j.ask.answer > b.w.d.Engine.Memory {
			return
		}
		b.waiting = b.waiting[1:]
		if j.over {
			if !j.writes {
				b.toRead -= j.ask.prompt
			}
			continue
		}
		b.busy++
		if j.writes {
			b.write(j)
		} else {
			b.read(j)
		}
	}
	if b.silent && len(b.waiting) > 0 {
		life := b.life
		b.stuck = append(b.stuck, func() {
			if b.life == life {
				b.next()
			}
		})
	}
}

func (b *box) read(j *job) {
	w := b.w
	kept := 0.0
	if b.kept[j.ask.begins] > 0 {
		kept = w.d.Shared
	}
	if b.kept[j.ask.session] > 0 {
		kept = max(kept, min(b.kept[j.ask.session], j.ask.prompt))
	}
	took := time.Duration((j.ask.prompt - kept) / (w.d.Engine.ReadPace * b.part()) * 1e9)
	w.after(took+2*time.Millisecond, func() {
		b.speak(j.life, func() {
			b.busy--
			b.toRead -= j.ask.prompt
			defer b.next()
			if j.over && j.l.closed { // its node has closed the connection: a read that runs ends, and holds
				b.hold(j)
				return
			}
			w.res.Reads += j.ask.prompt - kept
			w.res.Kept += kept
			j.ask.read += j.ask.prompt - kept
			b.kept[j.ask.begins], b.kept[j.ask.session] = w.d.Shared, j.ask.prompt
			if len(b.kept) > 4000 { // as much as its memory keeps; the oldest would go first, here all go
				clear(b.kept)
			}
			b.hold(j)
			host, port, _ := strings.Cut(b.name, ":")
			body := fmt.Appendf(nil,
				`{"usage":{"prompt_tokens_details":{"cached_tokens":%d}},"kv_transfer_params":{"do_remote_prefill":true,`+
					`"remote_engine_id":%q,"remote_host":%q,"remote_port":%s}}`, int(kept), j.name+"/"+j.send,
				host, port)
			j.whole(head(http.StatusOK, b.report()), body)
		})
	})
}

func (b *box) hold(j *job) {
	key := j.name + "/" + j.send
	b.states[key] = j.ask.prompt
	life := b.life
	b.w.after(8*time.Second, func() { // an engine's own time-out
		if b.life == life {
			delete(b.states, key)
		}
	})
}

func (b *box) write(j *job) {
	w := b.w
	need := j.ask.prompt + j.ask.answer
	b.memory += need
	life := b.life
	done := func() {
		if b.life == life {
			b.busy--
			b.memory -= need
			b.next()
		}
	}
	tokens, ok := 0.0, false
	if j.reader != nil && j.reader.up {
		tokens, ok = j.reader.states[j.state]
	}
	if !ok {
		h := b.report()
		h.Set(engineapi.HeaderRejected, engineapi.RejectedNoReservation)
		b.speak(life, func() { j.whole(head(http.StatusConflict, h), nil); done() })
		return
	}
	w.after(time.Duration(tokens/w.d.Engine.Move*1e9), func() {
		if b.life != life {
			return
		}
		delete(j.reader.states, j.state)
		if j.over {
			done()
			return
		}
		b.stream(j, 0, done)
	})
}

// stream gives an answer in parts: its first token, then some at a time, at least one each second.
func (b *box) stream(j *job, given int, done func()) {
	w := b.w
	pace := time.Duration(float64(w.d.Engine.TokenTime) * (1 +
		w.d.Engine.Batch*float64(b.busy)/float64(b.slots())) / b.part())
	left := int(j.ask.answer) - given
	if given == 0 {
		left = 1
	}
	part := max(1, min(left, int(time.Second/max(pace, 1))))
	w.after(time.Duration(part)*pace, func() {
		b.speak(j.life, func() {
			if j.over {
				done()
				return
			}
			if given == 0 {
				j.ask.ran++
				if j.ask.ran == 2 && w.d.Routes[j.ask.route].Effect == "non-retriable" {
					w.res.Twice++
				}
				h := b.report()
				h.Set("Content-Type", "text/event-stream")
				j.l.node.do(func(o *router.Router) { o.ResponseHead(j.l.core, head(http.StatusOK, h), nil) })
			}
			j.l.node.do(func(o *router.Router) { o.StreamEvent(j.l.core, []byte(`{"choices":[]}`)) })
			if given += part; given < int(j.ask.answer) {
				b.stream(j, given, done)
				return
			}
			if !j.over {
				j.over, j.l.job = true, nil
				j.l.node.do(func(o *router.Router) {
					o.StreamEvent(j.l.core, []byte("[DONE]"))
					if !j.l.closed {
						o.ResponseComplete(j.l.core, nil, true)
					}
				})
			}
			done()
		})
	})
}

// whole is an answer that is read to its end in one go.
func (j *job) whole(h *http.Response, body []byte) {
	if j.over {
		return
	}
	j.over, j.l.job = true, nil
	j.l.node.do(func(o *router.Router) {
		o.ResponseHead(j.l.core, h, nil)
		if !j.l.closed {
			o.ResponseComplete(j.l.core, body, true)
		}
	})
}
