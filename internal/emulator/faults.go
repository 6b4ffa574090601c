package emulator

import "math"

// injectFault starts a fault, and schedules its end.
func (em *emulation) injectFault(f Fault) {
	if f.Kind == FaultBurst {
		em.rateFactor *= f.Magnitude
		em.scheduleAfter(f.Duration, func() { em.rateFactor /= f.Magnitude })
		return
	}
	for _, e := range em.affectedEngines(f) {
		switch f.Kind {
		case FaultRestart:
			e.crash()
			em.scheduleAfter(f.Duration, func() { e.start(); em.publishEndpoints() })
		case FaultUnlisted:
			e.crash()
			e.isUnlisted = true
			em.publishEndpoints()
			em.scheduleAfter(f.Duration, func() { e.isUnlisted = false; e.start(); em.publishEndpoints() })
		case FaultSlow:
			e.slowdown = f.Magnitude
			em.scheduleAfter(f.Duration, func() { e.slowdown = 1 })
		case FaultUnresponsive:
			e.isUnresponsive = true
			em.scheduleAfter(f.Duration, e.resume)
		case FaultDrain:
			e.isDraining = true
			em.publishEndpoints()
			em.scheduleAfter(f.Duration, func() { e.isDraining = false; em.publishEndpoints() })
		case FaultCacheLoss:
			clear(e.prefixCache)
		}
	}
}

// affectedEngines returns the engines that a fault affects: the share Magnitude of the engines of its role, in their order.
func (em *emulation) affectedEngines(f Fault) (affected []*engine) {
	for _, e := range em.engines {
		if f.Role == "" || f.Role == e.role {
			affected = append(affected, e)
		}
	}
	if f.Kind == FaultSlow { // All engines are affected, and Magnitude is the factor.
		return affected
	}
	count := int(math.Ceil(f.Magnitude * float64(len(affected))))
	return affected[:min(count, len(affected))]
}
