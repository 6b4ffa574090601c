package emulator

import "math"

// injectFault begins a fault, and ends it after its time.
func (em *emulation) injectFault(f Fault) {
	if f.Kind == FaultBurst {
		em.rateFactor *= f.Fraction
		em.after(f.Duration, func() { em.rateFactor /= f.Fraction })
		return
	}
	for _, e := range em.affectedBy(f) {
		switch f.Kind {
		case FaultRestart:
			e.crash()
			em.after(f.Duration, func() { e.start(); em.publish() })
		case FaultLost:
			e.crash()
			e.unlisted = true
			em.publish()
			em.after(f.Duration, func() { e.unlisted = false; e.start(); em.publish() })
		case FaultSlow:
			e.slowdown = f.Fraction
			em.after(f.Duration, func() { e.slowdown = 1 })
		case FaultSilent:
			e.unresponsive = true
			em.after(f.Duration, e.resume)
		case FaultDrain:
			e.draining = true
			em.publish()
			em.after(f.Duration, func() { e.draining = false; em.publish() })
		case FaultForget:
			clear(e.cached)
		}
	}
}

// affectedBy is the engines that a fault concerns: the first of its role, as many as it says.
func (em *emulation) affectedBy(f Fault) (affected []*engine) {
	for _, e := range em.engines {
		if f.Role == "" || f.Role == e.role {
			affected = append(affected, e)
		}
	}
	if f.Kind == FaultSlow { // its fraction is the factor
		return affected
	}
	count := int(math.Ceil(f.Fraction * float64(len(affected))))
	return affected[:min(count, len(affected))]
}
