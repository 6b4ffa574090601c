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
	Name                  string
	Share, PriorityWeight float64
	Retriable             bool
	FirstTokenTarget      time.Duration // first token wanted within
	Timeout               time.Duration
	MaxTokens             int
}

// Traffic is an open loop: tries start at their times, however long others take, so that a slow fleet does not
// quiet its own measurement.
type Traffic struct {
	Edges           func() []string // those that a front layer would pick from now
	Routes          []Route
	Rate            float64                        // first tries a second
	RateFactor      func(at time.Duration) float64 // of the rate
	HotPrefixShare  func(at time.Duration) float64 // share of tries that begin with a text not seen before
	Duration        time.Duration
	Seed            uint64
	Prefixes        int
	PrefixWords     int // of a shared beginning
	UserWords       int // words of what a user adds; 0 for 20 to 80
	Turns           int // of a session
	Retries         int
	DisconnectShare float64 // share of tries whose client leaves early
	Log             *audit.Log
}

// Run sends it all and waits for the last answer.
func (t Traffic) Run(ctx context.Context) {
	client := NewClient()
	defer client.Close()
	rng := rand.New(rand.NewPCG(t.Seed, 0x5eed))
	var workers sync.WaitGroup
	startedAt := time.Now()
	type session struct {
		name     string
		messages []Message
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
		if t.RateFactor != nil {
			rate *= t.RateFactor(time.Duration(next * 1e9))
		}
		next += rng.ExpFloat64() / max(rate, 0.01)
		at := time.Duration(next * 1e9)
		if at > t.Duration {
			break
		}
		draw := rng.Float64() * shares
		route := t.Routes[len(t.Routes)-1]
		for _, r := range t.Routes {
			if draw -= r.Share; draw < 0 {
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
			prefix := int(float64(t.Prefixes) * math.Pow(rng.Float64(), 2)) // some much more used than others
			if t.HotPrefixShare != nil && rng.Float64() < t.HotPrefixShare(at) {
				prefix = 1_000_000 + int(at/time.Second)/10
			}
			s = &session{name: fmt.Sprintf("s%d-%d", t.Seed, n), turns: max(1, t.Turns-1),
				messages: []Message{{"system", generateText(prefix, t.PrefixWords)}}}
			sessions = append(sessions, s)
		}
		userWords := t.UserWords
		if userWords == 0 {
			userWords = 20 + rng.IntN(60)
		}
		s.messages = append(slices.Clip(s.messages), Message{"user", generateText(2_000_000+n, userWords)})
		request := Request{Route: route.Name, Session: s.name, RequestID: fmt.Sprintf("r%d-%d", t.Seed, n), Messages: s.messages,
			MaxTokens: route.MaxTokens, Timeout: route.Timeout, Unary: rng.Float64() < 0.1}
		if rng.Float64() < t.DisconnectShare {
			request.DisconnectAfter = time.Duration(rng.Float64() * float64(route.FirstTokenTarget))
		}
		seed := rng.Uint64()
		select {
		case <-ctx.Done():
			workers.Wait()
			return
		case <-time.After(time.Until(startedAt.Add(at))):
		}
		workers.Go(func() { t.sendWithRetries(ctx, client, request, route, seed) })
	}
	workers.Wait()
}

// sendWithRetries is one client with its retries: any failure of what is retriable, else only what was shed or never taken.
func (t Traffic) sendWithRetries(ctx context.Context, client *Client, request Request, route Route, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := 0; ; i++ {
		edges := t.Edges()
		if len(edges) == 0 {
			return
		}
		record, retryAfter := client.Do(ctx, edges[rng.IntN(len(edges))], request)
		t.Log.RecordClient(record)
		retry := record.Outcome == audit.OutcomeShed || route.Retriable && (record.Outcome == audit.OutcomeErrored || record.Outcome == audit.OutcomeLost)
		if !retry || i >= t.Retries || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(retryAfter, 100*time.Millisecond) + time.Duration(rng.IntN(100))*time.Millisecond):
		}
	}
}

var vocabulary = strings.Fields("highlight clip goal keeper corner desk caption alert member match wing left right " +
	"cross replay second half summary score minute national team camera angle crowd whistle")

// generateText is the same for the same number.
func generateText(number, words int) string {
	rng := rand.New(rand.NewPCG(uint64(number), 7))
	var b strings.Builder
	for range words {
		b.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

// Summary is what a run came to.
type Summary struct {
	Offered, InTime float64 // value: of first tries, and of answers whose first token came in time
	Outcomes        map[audit.Outcome]int
	FirstTokens     map[string]*hdrhistogram.Histogram // first tokens in microseconds
	Attempts        int
}

// Summarize up the calls of a log, a client's tries counted with its first.
func Summarize(calls []audit.ClientRecord, routes []Route) Summary {
	s := Summary{Outcomes: map[audit.Outcome]int{}, FirstTokens: map[string]*hdrhistogram.Histogram{}, Attempts: len(calls)}
	first, served := map[string]time.Time{}, map[string]bool{}
	slices.SortStableFunc(calls, func(a, b audit.ClientRecord) int { return a.Sent.Compare(b.Sent) })
	for _, c := range calls {
		i := slices.IndexFunc(routes, func(r Route) bool { return r.Name == c.Route })
		if i < 0 {
			continue
		}
		r := routes[i]
		if _, ok := first[c.ClientRequestID]; !ok {
			first[c.ClientRequestID] = c.Sent
			s.Offered += r.PriorityWeight
		}
		s.Outcomes[c.Outcome]++
		if c.FirstToken > 0 {
			if s.FirstTokens[r.Name] == nil {
				s.FirstTokens[r.Name] = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
			}
			s.FirstTokens[r.Name].RecordValue(c.FirstToken.Microseconds())
		}
		inTime := c.Sent.Sub(first[c.ClientRequestID])+c.FirstToken <= r.FirstTokenTarget
		if c.Outcome == audit.OutcomeCompleted && c.FirstToken > 0 && inTime && !served[c.ClientRequestID] {
			served[c.ClientRequestID] = true
			s.InTime += r.PriorityWeight
		}
	}
	return s
}

// Print writes it as a table.
func (s Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "value completed in time: %.1f of %.1f (%.3f), %d tries\n", s.InTime, s.Offered,
		s.InTime/cmp.Or(s.Offered, 1), s.Attempts)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, final := range slices.Sorted(maps.Keys(s.Outcomes)) {
		fmt.Fprintf(t, "%s\t%d\n", final, s.Outcomes[final])
	}
	t.Flush()
	fmt.Fprintln(t, "model route\tfirst tokens\tp50 ms\tp90 ms\tp99 ms")
	for _, name := range slices.Sorted(maps.Keys(s.FirstTokens)) {
		h := s.FirstTokens[name]
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\n", name, h.TotalCount(), float64(h.ValueAtQuantile(50))/1000,
			float64(h.ValueAtQuantile(90))/1000, float64(h.ValueAtQuantile(99))/1000)
	}
	t.Flush()
}
