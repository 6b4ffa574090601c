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

// Streams of random numbers: the second half of a generator's seed.
const (
	trafficStream = 0x5eed
	clientStream  = 1
	textStream    = 7
)

const (
	minRate              = 0.01 // requests a second
	sessionReuseShare    = 0.6  // of the requests that continue a session
	unaryShare           = 0.1  // of the requests that ask for one response
	minUserWords         = 20
	userWordsRange       = 60
	minBackoff           = 100 * time.Millisecond
	backoffJitter        = 100 // milliseconds
	hotPrefixSeconds     = 10  // for which a hot prefix stays the same
	firstHotPrefixNumber = 1_000_000
	firstUserTextNumber  = 2_000_000
)

// Route is one model route as clients use it.
type Route struct {
	Name             string
	Share            float64       // of the requests, in proportion to the other routes
	PriorityWeight   float64       // value of a request
	Retriable        bool          // clients retry whatever failed, not only what was shed
	FirstTokenTarget time.Duration // latency objective of the first token
	Timeout          time.Duration
	MaxTokens        int
}

// Traffic is an open loop: requests start at their times, however long others take, so that a slow fleet does not
// reduce its own load.
type Traffic struct {
	Edges           func() []string // those that a load balancer would pick from now
	Routes          []Route
	Rate            float64                        // first attempts a second
	RateFactor      func(at time.Duration) float64 // of the rate; nil for none
	HotPrefixShare  func(at time.Duration) float64 // share of new sessions that begin with a hot prefix; nil for none
	Duration        time.Duration
	Seed            uint64
	Prefixes        int
	PrefixWords     int // of a shared prefix
	UserWords       int // of what a user adds; 0 for 20 to 80
	Turns           int // of a session
	Retries         int
	DisconnectShare float64 // share of requests whose client disconnects early
	Log             *audit.Log
}

// Run sends all requests and waits for the last response.
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

// generator draws the requests of a traffic, by its seed.
type generator struct {
	Traffic
	random             *rand.Rand
	lastArrivalSeconds float64 // of the last arrival
	sessions           []*session
}

// session is a conversation that may go on.
type session struct {
	name      string
	messages  []Message
	turnsLeft int
}

// nextArrival draws when the next request starts, by a Poisson process.
func (g *generator) nextArrival() time.Duration {
	rate := g.Rate
	if g.RateFactor != nil {
		rate *= g.RateFactor(time.Duration(g.lastArrivalSeconds * 1e9))
	}
	g.lastArrivalSeconds += g.random.ExpFloat64() / max(rate, minRate)
	return time.Duration(g.lastArrivalSeconds * 1e9)
}

// drawRoute draws a route in proportion to its share.
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

// request draws the request of a number.
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

// drawSession continues a session or starts one.
func (g *generator) drawSession(number int, at time.Duration) *session {
	if len(g.sessions) > 0 && g.random.Float64() < sessionReuseShare {
		i := g.random.IntN(len(g.sessions))
		s := g.sessions[i]
		if s.turnsLeft--; s.turnsLeft <= 0 {
			g.sessions = slices.Delete(g.sessions, i, i+1)
		}
		return s
	}
	prefix := int(float64(g.Prefixes) * math.Pow(g.random.Float64(), 2)) // some much more used than others
	if g.HotPrefixShare != nil && g.random.Float64() < g.HotPrefixShare(at) {
		prefix = firstHotPrefixNumber + int(at/time.Second)/hotPrefixSeconds
	}
	s := &session{name: fmt.Sprintf("s%d-%d", g.Seed, number), turnsLeft: max(1, g.Turns-1),
		messages: []Message{{"system", generateText(prefix, g.PrefixWords)}}}
	g.sessions = append(g.sessions, s)
	return s
}

// retries is whether a client retries after this outcome.
func (r Route) shouldRetry(outcome audit.Outcome) bool {
	failed := outcome == audit.OutcomeErrored || outcome == audit.OutcomeLost
	return outcome == audit.OutcomeShed || r.Retriable && failed
}

// sendWithRetries is one client with its retries.
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

// generateText is the same for the same number.
func generateText(number, words int) string {
	random := rand.New(rand.NewPCG(uint64(number), textStream))
	var b strings.Builder
	for range words {
		b.WriteString(vocabulary[random.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}
