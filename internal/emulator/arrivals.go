package emulator

import (
	"fmt"
	"math"
	"time"
)

const (
	minPromptTokens = 8
	minAnswerTokens = 2
	minRequestRate  = 1e-6
	minTurnPause    = 2 // seconds between two turns of a session
	turnPauseRange  = 4 // seconds
)

// session is a conversation of one client.
type session struct {
	name   string
	route  int
	prefix string
}

// nextArrival schedules the next session, by a Poisson process of the scenario's rate.
func (em *emulation) nextArrival(number int) {
	gap := em.random.ExpFloat64() / max(em.scenario.RequestRate*em.rateFactor, minRequestRate)
	em.after(time.Duration(gap*1e9), func() {
		if em.now >= em.endTime() {
			return
		}
		em.startSession(number)
		em.nextArrival(number + 1)
	})
}

// startSession draws a route and a prefix and sends the first request.
func (em *emulation) startSession(number int) {
	route := em.drawRoute()
	// Zipf's law with exponent one: the k-th prefix is used in proportion to 1/k.
	rank := int(math.Exp(em.random.Float64()*math.Log(float64(max(1, em.scenario.Prefixes))+1))) - 1
	s := session{name: fmt.Sprint("s", number), route: route, prefix: fmt.Sprint("b", route, "-", rank)}
	em.startTurn(s, em.scenario.PrefixTokens, max(1, em.scenario.Turns))
}

// drawRoute draws the index of a route in proportion to its share.
func (em *emulation) drawRoute() int {
	shares := 0.0
	for _, r := range em.scenario.Routes {
		shares += r.Share
	}
	draw := em.random.Float64() * shares
	for i, r := range em.scenario.Routes {
		if draw -= r.Share; draw < 0 {
			return i
		}
	}
	return len(em.scenario.Routes) - 1
}

// startTurn sends the request of one turn of a session; the next turn begins some seconds later.
func (em *emulation) startTurn(s session, contextTokens float64, turnsLeft int) {
	route := em.scenario.Routes[s.route]
	userTokens := max(minPromptTokens, route.PromptTokens*em.random.ExpFloat64())
	r := &clientRequest{emulation: em, session: s, id: fmt.Sprint(s.name, ".", turnsLeft), promptTokens: math.Round(contextTokens + userTokens),
		firstSentAt: em.now, answerTokens: max(minAnswerTokens, math.Round(route.AnswerTokens*em.random.ExpFloat64()))}
	em.records.offered(route, r.firstSentAt)
	r.send()
	if turnsLeft <= 1 {
		return
	}
	pause := time.Duration(minTurnPause+turnPauseRange*em.random.Float64()) * time.Second
	em.after(pause, func() {
		if em.now < em.endTime() {
			em.startTurn(s, r.promptTokens+r.answerTokens, turnsLeft-1)
		}
	})
}
