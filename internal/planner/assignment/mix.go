package assignment

import (
	"time"

	"sandcourse/internal/planner/planapi"
)

// usableCapacityShare is the share of an engine's capacity that can be used before queueing delays first tokens. At a
// higher utilization, a few simultaneous arrivals wait longer than their own prefill takes. With a share of 0.75,
// changes began before any value was lost.
const usableCapacityShare = 0.9

// RouteDemand is the demand on one model route.
type RouteDemand struct {
	Route         string  `json:"route"`
	Rate          float64 `json:"rate"`         // requests per second
	PrefillTokens float64 `json:"read_tokens"`  // prefill tokens of one request, without cached tokens
	DecodeTokens  float64 `json:"write_tokens"` // decode tokens of one request
	Value         float64 `json:"value"`        // value of one request
	LostRate      float64 `json:"lost"`         // requests per second that are shed or miss their latency objective
}

// TrafficMix is the demand on all model routes, sorted by descending value.
type TrafficMix []RouteDemand

// perRole holds one value for each role.
type perRole struct{ prefill, decode float64 }

func (p perRole) of(role string) float64 {
	if role == planapi.Prefill {
		return p.prefill
	}
	return p.decode
}

// moved returns the values after engines moved to a role from the other one.
func (p perRole) moved(to string, engines float64) perRole {
	if to == planapi.Prefill {
		return perRole{p.prefill + engines, p.decode - engines}
	}
	return perRole{p.prefill - engines, p.decode + engines}
}

// without returns the values after engines of a role went out of service.
func (p perRole) without(role string, engines float64) perRole {
	if role == planapi.Prefill {
		return perRole{p.prefill - engines, p.decode}
	}
	return perRole{p.prefill, p.decode - engines}
}

func (p perRole) byRole() map[string]float64 {
	return map[string]float64{planapi.Prefill: p.prefill, planapi.Decode: p.decode}
}

// required returns how many engines of each role the mix keeps busy.
func (m TrafficMix) required(throughput perRole) (engines perRole) {
	for _, demand := range m {
		engines.prefill += demand.Rate * demand.PrefillTokens / max(throughput.prefill, 1)
		engines.decode += demand.Rate * demand.DecodeTokens / max(throughput.decode, 1)
	}
	return engines
}

// servedValue returns the value per second that the given engines can serve. Capacity of both roles is given to
// routes of the highest value first.
func (m TrafficMix) servedValue(engines, throughput perRole) (value float64) {
	prefillCapacity := engines.prefill * throughput.prefill * usableCapacityShare
	decodeCapacity := engines.decode * throughput.decode * usableCapacityShare
	for _, demand := range m {
		share := 1.0
		if demand.PrefillTokens > 0 {
			share = min(share, prefillCapacity/(demand.Rate*demand.PrefillTokens))
		}
		if demand.DecodeTokens > 0 {
			share = min(share, decodeCapacity/(demand.Rate*demand.DecodeTokens))
		}
		share = max(share, 0)
		prefillCapacity -= share * demand.Rate * demand.PrefillTokens
		decodeCapacity -= share * demand.Rate * demand.DecodeTokens
		value += share * demand.Rate * demand.Value
	}
	return value
}

// offeredValue returns the value per second of all arrivals.
func (m TrafficMix) offeredValue() (value float64) {
	for _, demand := range m {
		value += demand.Rate * demand.Value
	}
	return value
}

// lostValue returns the value per second of the requests that edges counted as shed or late.
func (m TrafficMix) lostValue() (value float64) {
	for _, demand := range m {
		value += demand.LostRate * demand.Value
	}
	return value
}

const (
	// Limits of a loss factor. A factor outside them indicates other faults rather than a wrong split of roles.
	minLossFactor = 1. / 3
	maxLossFactor = 4
)

// mixSample is a mix and the ratio of measured to estimated loss of value under it. The estimate assumes
// that routes of the lowest value lose first, but in practice a route with a short latency objective is late first.
type mixSample struct {
	mix        TrafficMix
	lossFactor float64
}

// newMixSample compares the loss that the edges counted with the estimated loss for the serving engines.
func newMixSample(mix TrafficMix, serving, throughput perRole) mixSample {
	offered := mix.offeredValue()
	estimatedLoss := offered - mix.servedValue(serving, throughput)
	if estimatedLoss < noiseShare*offered {
		return mixSample{mix, 1}
	}
	return mixSample{mix, min(max(mix.lostValue()/estimatedLoss, minLossFactor), maxLossFactor)}
}

// value returns the value per second that the given engines would serve under the mix.
func (s mixSample) value(engines, throughput perRole) float64 {
	offered := s.mix.offeredValue()
	return offered - s.lossFactor*(offered-s.mix.servedValue(engines, throughput))
}

// The mixes of the last four minutes represent the usual load; an average needs at least those of one minute.
const (
	mixInterval = 10 * time.Second
	maxMixes    = 24
	minMixes    = 6
)

// mixHistory holds the mixes of the last minutes.
type mixHistory struct {
	samples    []mixSample
	recordedAt int64
}

// recordIfDue records one sample for each mixInterval.
func (h *mixHistory) recordIfDue(now int64, sample mixSample) {
	if len(sample.mix) > 0 && (len(h.samples) == 0 || time.Duration(now-h.recordedAt) >= mixInterval) {
		h.samples, h.recordedAt = appendBounded(h.samples, sample, maxMixes), now
	}
}
