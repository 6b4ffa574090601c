package loadgen

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sandcourse/internal/audit"
)

// Route is one model route as clients use it.
type Route struct {
	Name         string
	Share, Value float64
	Retriable    bool
	Target       time.Duration // first token wanted within
	GiveUp       time.Duration
	Most         int
}

// Traffic is an open loop: tries start at their times, however long others take, so that a slow fleet does not
// quiet its own measurement.
type Traffic struct {
	Edges      func() []string // those that a front layer would pick from now
	Routes     []Route
	Rate       float64                        // first tries a second
	Factor     func(at time.Duration) float64 // of the rate
	Hot        func(at time.Duration) float64 // share of tries that begin with a text not seen before
	Length     time.Duration
	Seed       uint64
	Beginnings int
	Words      int // of a shared beginning
	Own        int // words of what a user adds; 0 for 20 to 80
	Turns      int // of a session
	Retries    int
	Leave      float64 // share of tries whose client leaves early
	Log        *audit.Log
}

// Run sends it all and waits for the last answer.
func (t Traffic) Run(ctx context.Context) {
	client := NewClient()
	defer client.Close()
	rng := rand.New(rand.NewPCG(t.Seed, 0x5eed))
	var all sync.WaitGroup
	begun := time.Now()
	type session struct {
		name     string
		messages []Line
		turns    int
	}
	var sessions []*session
	shares := 0.0
	for _, r := range t.Routes {
		shares += r.Share
	}
	next := 0.0
	for n := 0; ; n++ {
		rate := t.Rate
		if t.Factor != nil {
			rate *= t.Factor(time.Duration(next * 1e9))
		}
		next += rng.ExpFloat64() / max(rate, 0.01)
		at := time.Duration(next * 1e9)
		if at > t.Length {
			break
		}
		pick := rng.Float64() * shares
		route := t.Routes[len(t.Routes)-1]
		for _, r := range t.Routes {
			if pick -= r.Share; pick < 0 {
				route = r
				break
			}
		}
		var s *session
		if len(sessions) > 0 && rng.Float64() < 0.6 {
			i := rng.IntN(len(sessions))
			s = sessions[i]
			if s.turns--; s.turns <= 0 {
				sessions = slices.Delete(sessions, i, i+1)
			}
		} else {
			beginning := int(float64(t.Beginnings) * math.Pow(rng.Float64(), 2)) // some much more used than others
			if t.Hot != nil && rng.Float64() < t.Hot(at) {
				beginning = 1_000_000 + int(at/time.Second)/10
			}
			s = &session{name: fmt.Sprintf("s%d-%d", t.Seed, n), turns: max(1, t.Turns-1),
				messages: []Line{{"system", text(beginning, t.Words)}}}
			sessions = append(sessions, s)
		}
		own := t.Own
		if own == 0 {
			own = 20 + rng.IntN(60)
		}
		s.messages = append(slices.Clip(s.messages), Line{"user", text(2_000_000+n, own)})
		ask := Ask{Route: route.Name, Session: s.name, Request: fmt.Sprintf("r%d-%d", t.Seed, n), Messages: s.messages,
			Most: route.Most, GiveUp: route.GiveUp, Whole: rng.Float64() < 0.1}
		if rng.Float64() < t.Leave {
			ask.LeaveAfter = time.Duration(rng.Float64() * float64(route.Target))
		}
		seed := rng.Uint64()
		select {
		case <-ctx.Done():
			all.Wait()
			return
		case <-time.After(time.Until(begun.Add(at))):
		}
		all.Go(func() { t.try(ctx, client, ask, route, seed) })
	}
	all.Wait()
}

// try is one client with its retries: any failure of what is retriable, else only what was shed or never taken.
func (t Traffic) try(ctx context.Context, client *Client, ask Ask, route Route, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := 0; ; i++ {
		edges := t.Edges()
		if len(edges) == 0 {
			return
		}
		seen, advice := client.Do(ctx, edges[rng.IntN(len(edges))], ask)
		t.Log.Hear(seen)
		again := seen.Final == "shed" || route.Retriable && (seen.Final == "errored" || seen.Final == "lost")
		if !again || i >= t.Retries || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(advice, 100*time.Millisecond) + time.Duration(rng.IntN(100))*time.Millisecond):
		}
	}
}

var vocabulary = strings.Fields("highlight clip goal keeper corner desk caption alert member match wing left right " +
	"cross replay second half summary score minute national team camera angle crowd whistle")

// text is the same for the same number.
func text(number, words int) string {
	rng := rand.New(rand.NewPCG(uint64(number), 7))
	var b strings.Builder
	for range words {
		b.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

// Sum is what a run came to.
type Sum struct {
	Offered, InTime float64 // value: of first tries, and of answers whose first token came in time
	Finals          map[string]int
	Routes          map[string]*hdrhistogram.Histogram // first tokens in microseconds
	Tries           int
}

// Add up the calls of a log, a client's tries counted with its first.
func Add(calls []audit.Call, routes []Route) Sum {
	s := Sum{Finals: map[string]int{}, Routes: map[string]*hdrhistogram.Histogram{}, Tries: len(calls)}
	first, served := map[string]time.Time{}, map[string]bool{}
	slices.SortStableFunc(calls, func(a, b audit.Call) int { return a.Sent.Compare(b.Sent) })
	for _, c := range calls {
		i := slices.IndexFunc(routes, func(r Route) bool { return r.Name == c.Route })
		if i < 0 {
			continue
		}
		r := routes[i]
		if _, ok := first[c.Request]; !ok {
			first[c.Request] = c.Sent
			s.Offered += r.Value
		}
		s.Finals[c.Final]++
		if c.First > 0 {
			if s.Routes[r.Name] == nil {
				s.Routes[r.Name] = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
			}
			s.Routes[r.Name].RecordValue(c.First.Microseconds())
		}
		inTime := c.Sent.Sub(first[c.Request])+c.First <= r.Target
		if c.Final == "completed" && c.First > 0 && inTime && !served[c.Request] {
			served[c.Request] = true
			s.InTime += r.Value
		}
	}
	return s
}

// Print writes it as a table.
func (s Sum) Print(w io.Writer) {
	fmt.Fprintf(w, "value completed in time: %.1f of %.1f (%.3f), %d tries\n", s.InTime, s.Offered,
		s.InTime/cmp.Or(s.Offered, 1), s.Tries)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, final := range slices.Sorted(maps.Keys(s.Finals)) {
		fmt.Fprintf(t, "%s\t%d\n", final, s.Finals[final])
	}
	t.Flush()
	fmt.Fprintln(t, "model route\tfirst tokens\tp50 ms\tp90 ms\tp99 ms")
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		h := s.Routes[name]
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\n", name, h.TotalCount(), float64(h.ValueAtQuantile(50))/1000,
			float64(h.ValueAtQuantile(90))/1000, float64(h.ValueAtQuantile(99))/1000)
	}
	t.Flush()
}
