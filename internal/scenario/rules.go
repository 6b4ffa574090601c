package scenario

import (
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
)

// AuditRules are what a deployment's runs are judged by.
func AuditRules(d *config.Deployment) audit.Rules {
	r := audit.Rules{NonRetriable: map[string]bool{}, DrainGrace: d.Rules.DrainGrace, ReservationLimit: d.Rules.ReservationLimit,
		// A list is looked at every 50 ms.
		ListDelay: 100 * time.Millisecond,
		// What goroutines of a full machine may wait before they see what has happened.
		Tolerance: 150 * time.Millisecond}
	for _, t := range d.Routes {
		r.NonRetriable[t.Name] = t.Effect == config.EffectNonRetriable
	}
	return r
}
