package assignment

import (
	"time"

	"sandcourse/internal/planner/planapi"
)

// usableCapacity is the part of an engine's capacity that can be used before queues make first tokens late.
// Above it, a few arrivals together wait longer than their own prefill takes; with 0.75, changes began where no
// value was lost yet.
const usableCapacity = 0.9

// RouteDemand is the demand on one model route.
type RouteDemand struct {
	Route         string  `json:"route"`
	Rate          float64 `json:"rate"`         // requests per second
	PrefillTokens float64 `json:"read_tokens"`  // of one request, without the cached ones
	DecodeTokens  float64 `json:"write_tokens"` // of one request
	Value         float64 `json:"value"`        // of one request
	LostRate      float64 `json:"lost"`         // requests per second that are shed or miss their latency objective
}

// TrafficMix is the demand on all model routes, those of the highest value first.
type TrafficMix []RouteDemand

// perRole is a figure of each role.
type perRole struct{ prefill, decode float64 }

func (p perRole) of(role string) float64 {
	if role == planapi.Prefill {
		return p.prefill
	}
	return p.decode
}

// moved is the figures after engines moved to a role from the other one.
func (p perRole) moved(to string, engines float64) perRole {
	if to == planapi.Prefill {
		return perRole{p.prefill + engines, p.decode - engines}
	}
	return perRole{p.prefill - engines, p.decode + engines}
}

// without is the figures after engines of a role went out of service.
func (p perRole) without(role string, engines float64) perRole {
	if role == planapi.Prefill {
		return perRole{p.prefill - engines, p.decode}
	}
	return perRole{p.prefill, p.decode - engines}
}

func (p perRole) byName() map[string]float64 {
	return map[string]float64{planapi.Prefill: p.prefill, planapi.Decode: p.decode}
}

// required is how many engines of each role the mix keeps busy.
func (m TrafficMix) required(throughput perRole) (engines perRole) {
	for _, demand := range m {
		engines.prefill += demand.Rate * demand.PrefillTokens / max(throughput.prefill, 1)
		engines.decode += demand.Rate * demand.DecodeTokens / max(throughput.decode, 1)
	}
	return engines
}

// servedValue is the value per second that so many engines bring: routes of the highest value first, each as far
// as the capacity of both roles lasts.
func (m TrafficMix) servedValue(engines, throughput perRole) (value float64) {
	prefillCapacity := engines.prefill * throughput.prefill * usableCapacity
	decodeCapacity := engines.decode * throughput.decode * usableCapacity
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

// offeredValue is the value per second of all arrivals.
func (m TrafficMix) offeredValue() (value float64) {
	for _, demand := range m {
		value += demand.Rate * demand.Value
	}
	return value
}

// lostValue is the value per second of the requests that edges counted as shed or late.
func (m TrafficMix) lostValue() (value float64) {
	for _, demand := range m {
		value += demand.LostRate * demand.Value
	}
	return value
}

const (
	// Beyond these limits of its loss factor, what edges count says more of other faults than of roles.
	minLossFactor = 1. / 3
	maxLossFactor = 4
)

// mixSample is a mix and how much more value was lost under it than estimated: routes do not lose in the order
// of their value alone, and one with a short latency objective is late first.
type mixSample struct {
	mix        TrafficMix
	lossFactor float64
}

// sampleMix compares what the edges counted as lost with what the engines that serve would lose by estimate.
func sampleMix(mix TrafficMix, serving, throughput perRole) mixSample {
	offered := mix.offeredValue()
	estimatedLoss := offered - mix.servedValue(serving, throughput)
	if estimatedLoss < noiseShare*offered {
		return mixSample{mix, 1}
	}
	return mixSample{mix, min(max(mix.lostValue()/estimatedLoss, minLossFactor), maxLossFactor)}
}

// value is the value per second that so many engines would bring under a mix.
func (s mixSample) value(engines, throughput perRole) float64 {
	offered := s.mix.offeredValue()
	return offered - s.lossFactor*(offered-s.mix.servedValue(engines, throughput))
}

// The mixes of the last four minutes are what the load usually is; those of a minute show it already.
const (
	mixInterval = 10 * time.Second
	maxMixes    = 24
	minMixes    = 6
)

// mixHistory remembers the mixes of the last minutes.
type mixHistory struct {
	samples    []mixSample
	recordedAt int64
}

// record keeps a sample for each interval.
func (h *mixHistory) record(now int64, sample mixSample) {
	if len(sample.mix) > 0 && (len(h.samples) == 0 || time.Duration(now-h.recordedAt) >= mixInterval) {
		h.samples, h.recordedAt = appendBounded(h.samples, sample, maxMixes), now
	}
}
