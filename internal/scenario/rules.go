package scenario

import (
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
)

// AuditRules returns the rules with which package audit checks runs of a deployment.
func AuditRules(d *config.Deployment) audit.Rules {
	r := audit.Rules{NonRetriable: map[string]bool{}, DrainGrace: d.Rules.DrainGrace, ReservationLimit: d.Rules.ReservationLimit,
		// Edges check the endpoint list for changes every 50 ms.
		ListDelay: 100 * time.Millisecond,
		// Goroutines on a busy machine may run this long after the event that wakes them.
		Tolerance: 150 * time.Millisecond}
	for _, route := range d.Routes {
		r.NonRetriable[route.Name] = route.Effect == config.EffectNonRetriable
	}
	return r
}
