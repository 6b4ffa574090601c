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
	minTurnPause    = 2 // least pause between two turns of a session, in seconds
	turnPauseRange  = 4 // range of the pause between two turns, in seconds
)

// session is a conversation of a client with several turns.
type session struct {
	name   string
	route  int
	prefix string
}

// scheduleArrival schedules the next session by a Poisson process of the current arrival rate.
func (em *emulation) scheduleArrival(number int) {
	interval := em.random.ExpFloat64() / max(em.scenario.RequestRate*em.rateFactor, minRequestRate)
	em.scheduleAfter(time.Duration(interval*1e9), func() {
		if em.now >= em.endTime() {
			return
		}
		em.startSession(number)
		em.scheduleArrival(number + 1)
	})
}

// startSession draws a route and a prefix, and starts the first turn.
func (em *emulation) startSession(number int) {
	route := em.drawRoute()
	// Zipf's law with exponent 1: the frequency of the k-th prefix is proportional to 1/k.
	rank := int(math.Exp(em.random.Float64()*math.Log(float64(max(1, em.scenario.Prefixes))+1))) - 1
	s := session{name: fmt.Sprint("s", number), route: route, prefix: fmt.Sprint("b", route, "-", rank)}
	em.startTurn(s, em.scenario.PrefixTokens, max(1, em.scenario.Turns))
}

// drawRoute draws the index of a route with a probability proportional to its share.
func (em *emulation) drawRoute() int {
	totalShare := 0.0
	for _, r := range em.scenario.Routes {
		totalShare += r.Share
	}
	draw := em.random.Float64() * totalShare
	for i, r := range em.scenario.Routes {
		if draw -= r.Share; draw < 0 {
			return i
		}
	}
	return len(em.scenario.Routes) - 1
}

// startTurn sends the request of one turn of a session, and schedules the next turn some seconds later.
func (em *emulation) startTurn(s session, contextTokens float64, turnsLeft int) {
	route := em.scenario.Routes[s.route]
	userTokens := max(minPromptTokens, route.PromptTokens*em.random.ExpFloat64())
	r := &clientRequest{emulation: em, session: s, id: fmt.Sprint(s.name, ".", turnsLeft), promptTokens: math.Round(contextTokens + userTokens),
		firstSentAt: em.now, answerTokens: max(minAnswerTokens, math.Round(route.AnswerTokens*em.random.ExpFloat64()))}
	em.recorder.recordOffered(route, r.firstSentAt)
	r.send()
	if turnsLeft <= 1 {
		return
	}
	pause := time.Duration(minTurnPause+turnPauseRange*em.random.Float64()) * time.Second
	em.scheduleAfter(pause, func() {
		if em.now < em.endTime() {
			em.startTurn(s, r.promptTokens+r.answerTokens, turnsLeft-1)
		}
	})
}
