package loadgen

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"sandcourse/internal/audit"
)

// Stream numbers for the random number generators. Each is the second half of the seed of a PCG generator.
const (
	trafficStream = 0x5eed
	clientStream  = 1
	textStream    = 7
)

const (
	minRate              = 0.01 // requests per second
	sessionReuseShare    = 0.6  // share of requests that continue a session
	unaryShare           = 0.1  // share of requests for a unary response instead of a stream
	minUserWords         = 20
	userWordsRange       = 60
	minBackoff           = 100 * time.Millisecond
	backoffJitter        = 100 // range of the random part of the retry delay, in milliseconds
	hotPrefixSeconds     = 10  // time after which the hot prefix changes
	firstHotPrefixNumber = 1_000_000
	firstUserTextNumber  = 2_000_000
)

// Route is a model route with the behavior of its clients.
type Route struct {
	Name             string
	Share            float64       // share of the requests, relative to the other routes
	PriorityWeight   float64       // value of a request
	Retriable        bool          // clients retry failed requests, not only shed ones
	FirstTokenTarget time.Duration // latency objective of the first token
	Timeout          time.Duration
	MaxTokens        int
}

// Traffic is an open-loop load generator: requests start at scheduled times regardless of the duration of others, so that a slow
// fleet does not reduce the load.
type Traffic struct {
	Edges           func() []string // function that returns the addresses of the edges that a load balancer would currently use
	Routes          []Route
	Rate            float64                        // new requests per second
	RateFactor      func(at time.Duration) float64 // factor of Rate at a time since the start; nil for 1
	HotPrefixShare  func(at time.Duration) float64 // share of new sessions that begin with the hot prefix; nil for 0
	Duration        time.Duration
	Seed            uint64
	Prefixes        int     // number of shared prefixes
	PrefixWords     int     // length of a shared prefix
	UserWords       int     // length of a user message; 0 for a random length of 20 to 79
	Turns           int     // number of turns of a session
	Retries         int     // maximum number of retries of a request
	DisconnectShare float64 // share of requests whose client disconnects early
	Log             *audit.Log
}

// Run sends all requests and waits for all responses.
func (t Traffic) Run(ctx context.Context) {
	client := NewClient()
	defer client.Close()
	g := &generator{Traffic: t, random: rand.New(rand.NewPCG(t.Seed, trafficStream))}
	var clients sync.WaitGroup
	defer clients.Wait()
	startedAt := time.Now()
	for number := 0; ; number++ {
		at := g.nextArrival()
		if at > t.Duration {
			return
		}
		route := g.drawRoute()
		request := g.drawRequest(number, at, route)
		seed := g.random.Uint64()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startedAt.Add(at))):
		}
		clients.Go(func() { t.sendWithRetries(ctx, client, request, route, seed) })
	}
}

// generator draws the requests of a Traffic with a random number generator, which the seed determines.
type generator struct {
	Traffic
	random             *rand.Rand
	lastArrivalSeconds float64 // time of the last arrival since the start
	sessions           []*session
}

// session is a conversation that may be continued.
type session struct {
	name      string
	messages  []Message
	turnsLeft int
}

// nextArrival returns the start time of the next request, drawn from a Poisson process.
func (g *generator) nextArrival() time.Duration {
	rate := g.Rate
	if g.RateFactor != nil {
		rate *= g.RateFactor(time.Duration(g.lastArrivalSeconds * 1e9))
	}
	g.lastArrivalSeconds += g.random.ExpFloat64() / max(rate, minRate)
	return time.Duration(g.lastArrivalSeconds * 1e9)
}

// drawRoute returns a random route with a probability proportional to its share.
func (g *generator) drawRoute() Route {
	totalShare := 0.0
	for _, r := range g.Routes {
		totalShare += r.Share
	}
	draw := g.random.Float64() * totalShare
	for _, r := range g.Routes {
		if draw -= r.Share; draw < 0 {
			return r
		}
	}
	return g.Routes[len(g.Routes)-1]
}

// drawRequest returns a random request. The number identifies the request and determines the text of the user message.
func (g *generator) drawRequest(number int, at time.Duration, route Route) Request {
	s := g.drawSession(number, at)
	userWords := g.UserWords
	if userWords == 0 {
		userWords = minUserWords + g.random.IntN(userWordsRange)
	}
	s.messages = append(slices.Clip(s.messages), Message{"user", generateText(firstUserTextNumber+number, userWords)})
	r := Request{Route: route.Name, Session: s.name, RequestID: fmt.Sprintf("r%d-%d", g.Seed, number), Messages: s.messages,
		MaxTokens: route.MaxTokens, Timeout: route.Timeout, Unary: g.random.Float64() < unaryShare}
	if g.random.Float64() < g.DisconnectShare {
		r.DisconnectAfter = time.Duration(g.random.Float64() * float64(route.FirstTokenTarget))
	}
	return r
}

// drawSession returns a random open session or a new one.
func (g *generator) drawSession(number int, at time.Duration) *session {
	if len(g.sessions) > 0 && g.random.Float64() < sessionReuseShare {
		i := g.random.IntN(len(g.sessions))
		s := g.sessions[i]
		if s.turnsLeft--; s.turnsLeft <= 0 {
			g.sessions = slices.Delete(g.sessions, i, i+1)
		}
		return s
	}
	prefix := int(float64(g.Prefixes) * math.Pow(g.random.Float64(), 2)) // Low numbers are much more frequent than high ones.
	if g.HotPrefixShare != nil && g.random.Float64() < g.HotPrefixShare(at) {
		prefix = firstHotPrefixNumber + int(at/time.Second)/hotPrefixSeconds
	}
	s := &session{name: fmt.Sprintf("s%d-%d", g.Seed, number), turnsLeft: max(1, g.Turns-1),
		messages: []Message{{"system", generateText(prefix, g.PrefixWords)}}}
	g.sessions = append(g.sessions, s)
	return s
}

// shouldRetry reports whether a client of the route retries after an outcome.
func (r Route) shouldRetry(outcome audit.Outcome) bool {
	failed := outcome == audit.OutcomeErrored || outcome == audit.OutcomeLost
	return outcome == audit.OutcomeShed || r.Retriable && failed
}

// sendWithRetries sends a request and its retries, each to a random edge.
func (t Traffic) sendWithRetries(ctx context.Context, client *Client, request Request, route Route, seed uint64) {
	random := rand.New(rand.NewPCG(seed, clientStream))
	for attempt := 0; ; attempt++ {
		edges := t.Edges()
		if len(edges) == 0 {
			return
		}
		record, retryAfter := client.Do(ctx, edges[random.IntN(len(edges))], request)
		t.Log.RecordClient(record)
		if !route.shouldRetry(record.Outcome) || attempt >= t.Retries || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(retryAfter, minBackoff) + time.Duration(random.IntN(backoffJitter))*time.Millisecond):
		}
	}
}

var vocabulary = strings.Fields("highlight clip goal keeper corner desk caption alert member match wing left right " +
	"cross replay second half summary score minute national team camera angle crowd whistle")

// generateText returns a text that depends only on the number and the word count.
func generateText(number, words int) string {
	random := rand.New(rand.NewPCG(uint64(number), textStream))
	var b strings.Builder
	for range words {
		b.WriteString(vocabulary[random.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}
